//! The fleet rig on the real program: managers started together against its counting stand-ins, and the hard
//! cases of a cold start. Processes are few here; docs/measurements/cold-start.md has them at 50 to 200.
use sprucelink_cluster_harness::engines::CountingEngine;
use sprucelink_cluster_harness::lists::ListService;
use sprucelink_cluster_harness::procs::{self, Fleet};
use sprucelink_cluster_harness::report::Report;
use sprucelink_cluster_harness::run::{self, Outcome, Program};
use sprucelink_cluster_harness::scenario::Scenario;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Three managers start at once: each is up, calls the list service once, dials an engine for the one
/// request it is asked, and serves it; the rig counts all of it and ends every process it started.
#[test]
fn the_rig_counts_the_calls_and_dials_of_managers_started_together() {
    let start = Instant::now();
    let engine = CountingEngine::start(start).expect("an engine");
    let list = procs::list(&[("s-0001".to_owned(), engine.address)]);
    let service = ListService::start(list, start).expect("a list service");
    let dir = std::env::temp_dir().join(format!("sprucelink-rig-test-{}", std::process::id()));
    let mut fleet = Fleet::new(Path::new(env!("CARGO_BIN_EXE_sprucelink")), &dir).expect("a fleet");
    let settings = procs::settings(3);
    for i in 0..3 {
        let name = format!("n{i}");
        let config = procs::config(&name, 0xaa + i as u64, service.address, &service.known(), &settings);
        fleet.start(&name, &config, &[]).expect("started");
    }
    assert_eq!(fleet.wait_all("accepting connections front=platform ", Duration::from_secs(20)), 3);
    for i in 0..3 {
        let at = fleet.serving(i).expect("an address");
        assert!(
            sprucelink_cluster_harness::query_once(at, 0x100 + i as u64).expect("an answer"),
            "manager {i} served"
        );
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    while service.calls.len() < 3 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(service.calls.len(), 3, "one call each");
    assert_eq!(engine.work.len(), 3, "one query each");
    let dials = engine.dials.len();
    assert!((1..=3).contains(&dials), "{dials} dials for three managers");
    fleet.end_all();
    let _ = std::fs::remove_dir_all(&dir);
}

/// A folder of this test's own.
fn folder(name: &str) -> PathBuf {
    run::scratch(name)
}

/// Runs a scenario with the program as built for the tests; `cold`: the cold start's settings, if it is on.
fn play(name: &str, scenario: &str, cold: Option<&str>) -> Outcome {
    let scenario = Scenario::parse(scenario).expect("a scenario");
    let dir = folder(name);
    std::fs::create_dir_all(&dir).expect("a folder");
    let mut args = Vec::new();
    if let Some(text) = cold {
        let file = dir.join("cold-start.json5");
        std::fs::write(&file, text).expect("written");
        args = vec!["--cold-start".to_owned(), file.display().to_string()];
    }
    let program = Program { path: env!("CARGO_BIN_EXE_sprucelink").into(), args, dir: dir.clone() };
    let got = run::run(&scenario, &program).expect("carried out");
    run::clear(&dir);
    eprintln!("{}\n{}", Report::head(), got.report.line());
    let r = &got.report;
    assert_eq!(
        (r.became_ready, r.crashed),
        (r.managers, 0),
        "every manager came up and none ended by itself"
    );
    assert!(r.issued > 0, "clients asked");
    assert_eq!(r.served + r.refused + r.failed + r.lost + r.not_taken + r.died, r.issued, "each has one end");
    assert_eq!(
        (r.lost, r.attempt_counts.second_attempts, r.attempt_counts.cold_engine_falls),
        (0, 0, 0),
        "no rule is broken"
    );
    got
}

/// Guards the list service against a fleet that starts together: with a wide window, as installations may set
/// whose engines turn work away while they drain, first calls spread over seconds by full jitter. Without the cold
/// start each manager calls the moment it is up.
#[test]
fn first_calls_of_managers_started_together_are_spread() {
    let wide =
        "{ enabled: true, lists: { fleet_rate: 2, engines_refuse_drained: true, window_most_ms: 6000 } }";
    let scenario = "{ managers: 8, seconds: 6, load: { rate: 40 }, engines: { count: 2 } }";
    let got = play("spread", scenario, Some(wide));
    assert_eq!(got.report.calls, 8, "one call each");
    let with = |n: &u32| *n > 0;
    let first = got.calls.iter().position(with).expect("a first call");
    let last = got.calls.iter().rposition(with).expect("a last call");
    assert!(last - first >= 6, "over a second and a half at least: {:?}", got.calls);
    assert_eq!(got.report.served, got.report.issued, "the list of the start serves meanwhile");
}

/// Guards a list service that refuses while a fleet starts: calls come by gRPC's backoff (1 s, 1.6 s, ...), not
/// every quarter of a second from each manager; the list of the start serves meanwhile.
#[test]
fn a_list_service_that_refuses_a_starting_fleet_is_spared() {
    let scenario = "{ managers: 6, seconds: 5, lists: 'refuse', load: { rate: 60 }, engines: { count: 2 } }";
    let got = play("refused", scenario, Some("{ enabled: true }"));
    // At about 0, 1, 2.6 and 5.2 s, a fifth sooner at the soonest.
    assert!((6..=6 * 4).contains(&got.report.calls), "{} calls of 6 managers in 5 s", got.report.calls);
    assert_eq!(got.report.served, got.report.issued);
    let plain = play("refused-off", scenario, None);
    assert!(
        plain.report.calls >= 6 * 8,
        "{} calls without: the comparison has no ground",
        plain.report.calls
    );
}

/// Guards a start whose list service takes calls and says nothing: the list of the start serves, and each manager
/// says that it is ready although the feed has not answered.
#[test]
fn a_list_service_that_stalls_keeps_no_starting_fleet_out() {
    let scenario = "{ managers: 4, seconds: 5, lists: 'stall', load: { rate: 60 }, engines: { count: 2 } }";
    let got = play("stalled", scenario, Some("{ enabled: true, ready: { feed_wait_ms: 500 } }"));
    assert_eq!(got.report.served, got.report.issued);
    for log in &got.logs {
        assert!(log.contains("feed_answered=false connected=true"), "{log}");
    }
}

/// Half of the engines that the list names are cold when the managers come up, and half are not there: every
/// request has its end, and no cold engine is pushed over.
#[test]
fn a_start_on_engines_half_cold_and_half_gone_serves_and_pushes_none_over() {
    let scenario = "{ managers: 4, seconds: 6, load: { rate: 120 },
        engines: { count: 4, cold: 2, missing: 2, cores: 4, light_ms: 20, heavy_ms: 100 } }";
    let got = play("half", scenario, Some("{ enabled: true }"));
    let r = &got.report;
    assert_eq!(r.failed, 0, "what found no engine is refused, not failed");
    assert!(r.served * 4 >= r.issued, "{} of {} served", r.served, r.issued);
}

/// A manager that starts on engines it knows nothing of takes in hand only what its warm-up has earned: at first
/// `first` requests, the rest is refused at once with advice. Without it all are taken.
#[test]
fn a_starting_fleet_takes_in_hand_what_its_warm_up_has_earned() {
    let scenario = "{ managers: 2, seconds: 4, load: { rate: 200, heavy: 0, timeout_ms: 6000 },
        engines: { count: 2, cores: 8, light_ms: 900 } }";
    let tight = "{ enabled: true, admission: { first: 2, gain: 0.01, open_at: 1000, warm_ms: 60000 } }";
    let warm = play("earned", scenario, Some(tight));
    // Two managers, two in hand each: never more than four threads at work, for four seconds.
    assert!(warm.report.max_threads <= 5.0, "{} threads", warm.report.max_threads);
    assert!(warm.report.refused > warm.report.served, "{:?}", warm.report);
    let plain = play("earned-off", scenario, None);
    assert!(plain.report.max_threads >= 8.0, "without it: {} threads", plain.report.max_threads);
}

/// Managers that are killed and started again in their own warm-up, twice: each comes up, says once that it is
/// ready, and what it had taken is the only thing that dies with it.
#[test]
fn managers_killed_again_in_their_warm_up_come_back_and_push_no_cold_engine_over() {
    let scenario = "{ managers: 4, seconds: 7, load: { rate: 80 },
        engines: { count: 3, cold: 3, cores: 4, light_ms: 20, heavy_ms: 100 },
        steps: [ { at: 1.5, do: { restart: { from: 0, to: 1 } } }, { at: 2.5, do: { restart: { from: 0, to: 1 } } } ] }";
    let got =
        play("killed", scenario, Some("{ enabled: true, ready: { feed_wait_ms: 500, link_wait_ms: 500 } }"));
    for log in &got.logs {
        assert_eq!(log.matches("ready after").count(), 1, "{log}");
    }
}

/// SIGTERM to one manager after the other while engines are replaced: what was taken is answered, every manager
/// exits with 0 and comes back, drains are heeded. The same with SIGKILL loses what was in hand: the rig sees it.
#[test]
fn a_rolling_restart_while_engines_are_replaced_loses_nothing() {
    let steps = |how: &str| {
        format!(
            "{{ managers: 4, seconds: 9, drain_grace_ms: 2500, load: {{ rate: 150, heavy: 0 }},
              engines: {{ count: 3, cores: 16, light_ms: 200 }},
              steps: [ {{ at: 2, do: {{ engines_come: 1 }} }}, {{ at: 3, do: {{ {how}: {{ from: 0, to: 1, over_ms: 3000 }} }} }},
                       {{ at: 3.5, do: {{ engines_drain: {{ from: 0, to: 0.25 }} }} }},
                       {{ at: 7, do: {{ engines_go: {{ from: 0, to: 0.25 }} }} }} ] }}"
        )
    };
    let got = play("rolling", &steps("roll"), Some("{ enabled: true }"));
    assert_eq!((got.report.died, got.report.attempt_counts.after_drain), (0, 0));
    assert!(
        got.report.served * 10 >= got.report.issued * 9,
        "{} of {}",
        got.report.served,
        got.report.issued
    );
    let killed = play("rolling-killed", &steps("restart"), Some("{ enabled: true }"));
    assert!(killed.report.died > 0, "what a kill loses is seen");
}

/// Guards against a list that is older than the one held, and one that says of an engine both that it drains and
/// that it is ready: with the cold start's guard the drain counts and the older list brings nothing back.
/// Without it work goes on to the draining engine for good.
#[test]
fn an_older_and_a_contradictory_list_bring_no_drained_engine_back() {
    let scenario = "{ managers: 4, seconds: 10, drain_grace_ms: 2500, load: { rate: 150 }, engines: { count: 3 },
        steps: [ { at: 2, do: { engines_come: 1 } }, { at: 3, do: { engines_drain: { from: 0.25, to: 0.5 } } },
                 { at: 3.5, do: 'older_list' }, { at: 4, do: 'contradictory_list' } ] }";
    let got = play("older", scenario, Some("{ enabled: true }"));
    assert_eq!(got.report.attempt_counts.after_drain, 0);
    assert!(
        got.logs.iter().all(|l| l.contains("endpoint list applied in part") && l.contains("contradicted=")),
        "it is said in the log"
    );
    let plain = play("older-off", scenario, None);
    assert!(plain.report.attempt_counts.after_drain > 0, "without it work goes on to what drains");
}
