//! The cluster harness with processes of the program: managers started together against stand-ins that count
//! calls and dials, and the difficult cases of a cold start. These tests use few processes;
//! docs/measurements/cold-start.md has runs with 50 to 200.
use sprucelink_cluster_harness::engines::CountingEngine;
use sprucelink_cluster_harness::lists::ListService;
use sprucelink_cluster_harness::procs::{self, Fleet};
use sprucelink_cluster_harness::report::Report;
use sprucelink_cluster_harness::run::{self, Outcome, Program};
use sprucelink_cluster_harness::scenario::Scenario;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Three managers start at once: each calls the list service once, dials an engine for its only request, and
/// serves that request. The harness counts the calls and dials, and ends every process that it started.
#[test]
fn harness_counts_calls_and_dials_of_managers_started_together() {
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
        let address = fleet.serving(i).expect("an address");
        assert!(
            sprucelink_cluster_harness::query_once(address, 0x100 + i as u64).expect("an answer"),
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

fn folder(name: &str) -> PathBuf {
    run::scratch(name)
}

/// Runs a scenario and checks that every manager comes up and every request is accounted for. `cold_start`
/// holds the settings of the cold start; `None` turns it off.
fn play(name: &str, scenario: &str, cold_start: Option<&str>) -> Outcome {
    let scenario = Scenario::parse(scenario).expect("a scenario");
    let dir = folder(name);
    std::fs::create_dir_all(&dir).expect("a folder");
    let mut args = Vec::new();
    if let Some(text) = cold_start {
        let file = dir.join("cold-start.json5");
        std::fs::write(&file, text).expect("written");
        args = vec!["--cold-start".to_owned(), file.display().to_string()];
    }
    let program = Program { path: env!("CARGO_BIN_EXE_sprucelink").into(), args, dir: dir.clone() };
    let outcome = run::run(&scenario, &program).expect("carried out");
    run::clear(&dir);
    eprintln!("{}\n{}", Report::head(), outcome.report.line());
    let report = &outcome.report;
    assert_eq!(
        (report.became_ready, report.crashed),
        (report.managers, 0),
        "every manager came up and none crashed"
    );
    assert!(report.issued > 0, "clients sent requests");
    let ended = report.served + report.refused + report.failed + report.lost + report.not_taken + report.died;
    assert_eq!(ended, report.issued, "every request has exactly one outcome");
    let counts = &report.attempt_counts;
    assert_eq!(
        (report.lost, counts.second_attempts, counts.cold_engine_falls),
        (0, 0, 0),
        "no rule is broken"
    );
    outcome
}

/// Guards against overloading the list service when a fleet starts at once. Each manager draws the time of
/// its first call from a window (full jitter). The window may be seconds wide in installations whose engines
/// reject work while they drain; the calls are then spread over seconds. Without the cold start each manager
/// calls as soon as it is up.
#[test]
fn first_calls_of_managers_started_together_are_spread() {
    let wide =
        "{ enabled: true, lists: { fleet_rate: 2, engines_refuse_drained: true, window_most_ms: 6000 } }";
    let scenario = "{ managers: 8, seconds: 6, load: { rate: 40 }, engines: { count: 2 } }";
    let outcome = play("spread", scenario, Some(wide));
    assert_eq!(outcome.report.calls, 8, "one call each");
    let has_calls = |n: &u32| *n > 0;
    let first = outcome.calls.iter().position(has_calls).expect("a first call");
    let last = outcome.calls.iter().rposition(has_calls).expect("a last call");
    assert!(last - first >= 6, "calls spread over at least 1.5 s: {:?}", outcome.calls);
    assert_eq!(
        outcome.report.served, outcome.report.issued,
        "the list in the configuration serves meanwhile"
    );
}

/// Guards against overloading a list service that refuses calls while a fleet starts: each manager backs off
/// as gRPC does (1 s, 1.6 s, ...) and doesn't call four times per second; the list in the configuration
/// serves meanwhile.
#[test]
fn starting_fleet_backs_off_from_a_refusing_list_service() {
    let scenario = "{ managers: 6, seconds: 5, lists: 'refuse', load: { rate: 60 }, engines: { count: 2 } }";
    let outcome = play("refused", scenario, Some("{ enabled: true }"));
    // Calls are due at about 0, 1, 2.6 and 5.2 s, with jitter at most a fifth earlier.
    assert!(
        (6..=6 * 4).contains(&outcome.report.calls),
        "{} calls of 6 managers in 5 s",
        outcome.report.calls
    );
    assert_eq!(outcome.report.served, outcome.report.issued);
    let plain = play("refused-off", scenario, None);
    assert!(
        plain.report.calls >= 6 * 8,
        "{} calls without the cold start: the comparison shows nothing",
        plain.report.calls
    );
}

/// A list service accepts calls and never answers: the list in the configuration serves, and each manager
/// logs that it is ready although the feed has not answered.
#[test]
fn starting_fleet_becomes_ready_although_the_list_service_stalls() {
    let scenario = "{ managers: 4, seconds: 5, lists: 'stall', load: { rate: 60 }, engines: { count: 2 } }";
    let outcome = play("stalled", scenario, Some("{ enabled: true, ready: { feed_wait_ms: 500 } }"));
    assert_eq!(outcome.report.served, outcome.report.issued);
    for log in &outcome.logs {
        assert!(log.contains("feed_answered=false connected=true"), "{log}");
    }
}

/// Half of the listed engines are cold when the managers come up, and the other half don't exist: every
/// request has exactly one outcome, and no cold engine is overloaded.
#[test]
fn start_with_half_of_the_engines_cold_and_half_missing_serves_and_overloads_none() {
    let scenario = "{ managers: 4, seconds: 6, load: { rate: 120 },
        engines: { count: 4, cold: 2, missing: 2, cores: 4, light_ms: 20, heavy_ms: 100 } }";
    let outcome = play("half", scenario, Some("{ enabled: true }"));
    let report = &outcome.report;
    assert_eq!(report.failed, 0, "requests without an engine are rejected, not failed");
    assert!(report.served * 4 >= report.issued, "{} of {} served", report.served, report.issued);
}

/// A manager without knowledge of its engines admits only as many requests at a time as its warm-up allows,
/// `first` at the beginning, and rejects the others at once with a retry delay. Without the cold start all
/// are admitted.
#[test]
fn starting_fleet_admits_only_what_its_warm_up_allows() {
    let scenario = "{ managers: 2, seconds: 4, load: { rate: 200, heavy: 0, timeout_ms: 6000 },
        engines: { count: 2, cores: 8, light_ms: 900 } }";
    let slow_warm_up =
        "{ enabled: true, admission: { first: 2, gain: 0.01, open_at: 1000, warm_ms: 60000 } }";
    let limited = play("earned", scenario, Some(slow_warm_up));
    // Two managers with two admitted requests each: never more than four busy threads within the four
    // seconds.
    assert!(limited.report.max_threads <= 5.0, "{} threads", limited.report.max_threads);
    assert!(limited.report.refused > limited.report.served, "{:?}", limited.report);
    let plain = play("earned-off", scenario, None);
    assert!(plain.report.max_threads >= 8.0, "without the cold start: {} threads", plain.report.max_threads);
}

/// Managers are killed and restarted twice during their warm-up: each comes up and logs once that it is
/// ready, only its admitted requests are lost, and no cold engine is overloaded.
#[test]
fn managers_killed_during_their_warm_up_restart_and_overload_no_cold_engine() {
    let scenario = "{ managers: 4, seconds: 7, load: { rate: 80 },
        engines: { count: 3, cold: 3, cores: 4, light_ms: 20, heavy_ms: 100 },
        steps: [ { at: 1.5, do: { restart: { from: 0, to: 1 } } }, { at: 2.5, do: { restart: { from: 0, to: 1 } } } ] }";
    let outcome =
        play("killed", scenario, Some("{ enabled: true, ready: { feed_wait_ms: 500, link_wait_ms: 500 } }"));
    for log in &outcome.logs {
        assert_eq!(log.matches("ready after").count(), 1, "{log}");
    }
}

/// One manager after the other gets SIGTERM while engines are replaced: admitted requests are answered, every
/// manager exits with 0 and restarts, and drains are obeyed. With SIGKILL the admitted requests are lost,
/// which the harness must count.
#[test]
fn rolling_restart_while_engines_are_replaced_loses_no_request() {
    let scenario_with = |restart: &str| {
        format!(
            "{{ managers: 4, seconds: 9, drain_grace_ms: 2500, load: {{ rate: 150, heavy: 0 }},
              engines: {{ count: 3, cores: 16, light_ms: 200 }},
              steps: [ {{ at: 2, do: {{ engines_come: 1 }} }}, {{ at: 3, do: {{ {restart}: {{ from: 0, to: 1, over_ms: 3000 }} }} }},
                       {{ at: 3.5, do: {{ engines_drain: {{ from: 0, to: 0.25 }} }} }},
                       {{ at: 7, do: {{ engines_go: {{ from: 0, to: 0.25 }} }} }} ] }}"
        )
    };
    let outcome = play("rolling", &scenario_with("roll"), Some("{ enabled: true }"));
    assert_eq!((outcome.report.died, outcome.report.attempt_counts.after_drain), (0, 0));
    assert!(
        outcome.report.served * 10 >= outcome.report.issued * 9,
        "{} of {}",
        outcome.report.served,
        outcome.report.issued
    );
    let killed = play("rolling-killed", &scenario_with("restart"), Some("{ enabled: true }"));
    assert!(killed.report.died > 0, "requests lost by a kill are counted");
}

/// Guards against a list that is older than the current one, and a list that names an engine both as draining
/// and as ready. With the cold start's check the drain applies and the older list restores no engine. Without
/// the check requests continue to be sent to the draining engine.
#[test]
fn older_or_contradictory_list_restores_no_drained_engine() {
    let scenario = "{ managers: 4, seconds: 10, drain_grace_ms: 2500, load: { rate: 150 }, engines: { count: 3 },
        steps: [ { at: 2, do: { engines_come: 1 } }, { at: 3, do: { engines_drain: { from: 0.25, to: 0.5 } } },
                 { at: 3.5, do: 'older_list' }, { at: 4, do: 'contradictory_list' } ] }";
    let outcome = play("older", scenario, Some("{ enabled: true }"));
    assert_eq!(outcome.report.attempt_counts.after_drain, 0);
    assert!(
        outcome
            .logs
            .iter()
            .all(|l| l.contains("endpoint list applied in part") && l.contains("contradicted=")),
        "partly applied lists are logged"
    );
    let plain = play("older-off", scenario, None);
    assert!(
        plain.report.attempt_counts.after_drain > 0,
        "without the check requests are sent to the draining engine"
    );
}
