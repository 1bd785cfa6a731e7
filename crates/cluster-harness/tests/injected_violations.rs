//! Tests of the harness with a stand-in for managers: faults have the effect that the scenario describes, a
//! run without violations passes the checker, and a run with an injected violation fails it.

use sprucelink_cluster_harness::history;
use sprucelink_cluster_harness::run::{self, Outcome, Program};
use sprucelink_cluster_harness::scenario::Scenario;
use sprucelink_history_checker::event::{Event, ExitCause, HistoryEntry};
use sprucelink_history_checker::invariants::{
    acknowledged, agreement, budget, halt, order, schema, uncommitted,
};
use std::path::Path;

/// The stand-in, in the target folder of the harness: `cargo test` builds examples.
fn program(dir: &Path) -> Program {
    let harness = Path::new(env!("CARGO_BIN_EXE_sprucelink-cluster-harness"));
    let path = harness.with_file_name("examples").join("standin");
    assert!(
        path.exists(),
        "{} does not exist: cargo build -p sprucelink-cluster-harness --examples",
        path.display()
    );
    Program { path, args: Vec::new(), dir: dir.to_owned() }
}

/// Runs a scenario of three managers, of which one may be out of service at a time, and subscribers of two
/// versions. `plan_fields` are added to the stand-ins' plan, `scenario_fields` to the scenario.
fn play(name: &str, plan_fields: &str, scenario_fields: &str) -> (Outcome, Vec<HistoryEntry>) {
    let text = format!(
        "{{ name: '{name}', managers: 3, pairs: true, seconds: 8, load: {{ rate: 0 }}, engines: {{ count: 1 }},
            ports: [ {{ name: 'fanout', said: 'fanout on ' }} ], args: ['--plan', '{{folder}}/plan.json5'],
            files: {{ 'plan.json5': {{ name: '{{name}}', folder: '{{folder}}', version: '{{version}}',
                      clock_offset_ms: '{{clock_offset_ms}}', {plan_fields} }} }},
            supervise: {{ back_ms: 500 }},
            subscribers: {{ count: 12, at: 0.6, retry_ms: 100, versions: ['1', '2'], filters: ['', '', 'kind=permit'],
                            needs: {{ '1': {{ permit: ['/n'] }} }},
                            marks: {{ halt: {{ record: 'halt', id: '/id', version: '/to' }} }} }},
            check: {{ budgets: [ {{ of: 'managers', most: 1 }} ], notice_ms: 100, halt_ms: 400, settle_ms: 700 }},
            {scenario_fields} }}"
    );
    let scenario = Scenario::parse(&text).expect("a scenario");
    let dir = run::scratch(name);
    let outcome = run::run(&scenario, &program(&dir)).expect("completed");
    let entries = history::read(outcome.history.as_ref().expect("a history")).expect("read");
    run::clear(&dir);
    let verdict = outcome.verdict.as_ref().expect("checked");
    verdict.violations().take(3).for_each(|v| eprintln!("{name}: {v:?}"));
    (outcome, entries)
}

/// Number of facts that the checker examined for an invariant.
fn examined(outcome: &Outcome, rule: &str) -> u64 {
    outcome.verdict.as_ref().expect("checked").examined(rule)
}

/// Asserts that a run violates these invariants and no others.
fn assert_violates(name: &str, plan_fields: &str, scenario_fields: &str, rules: &[&str]) {
    let (outcome, _) = play(name, plan_fields, scenario_fields);
    let verdict = outcome.verdict.expect("checked");
    for rule in rules {
        assert!(verdict.is_violated(rule), "{name}: {rule} is not violated");
    }
    assert!(
        verdict.invariants.iter().all(|(n, f)| f.violations.is_empty() || rules.contains(n)),
        "{name}: {verdict:?}"
    );
}

/// In a run with kills, stops, partitions, reconnect storms, hops and an orderly release, no invariant is
/// violated, and each invariant that the test names has examined at least one fact.
#[test]
fn a_run_with_faults_and_without_violations_passes() {
    let (outcome, entries) = play(
        "rig-good",
        "next: 'v2', out_ms: { n0: 900, n1: 3800, n2: 5600 }",
        "strikes: [ { point: 'standin.permit', who: { names: ['n0'] }, do: 'kill', back_ms: 300 },
                    { point: 'standin.permit', who: { names: ['n2'] }, do: 'stop', back_ms: 300,
                      also: [ { subscribers: { drop: 0.5 } } ] } ],
         steps: [ { at: 1.2, do: { part: { from: ['subscribers'], to: ['n1'], one_way: true } } },
                  { at: 2.5, do: { join: { from: ['subscribers'], to: ['n1'], one_way: true } } },
                  { at: 2.6, every: 0.2, times: 3, spread: 0.1, do: { subscribers: { hop: 0.3 } } },
                  { at: 2.7, do: { cut: { from: 'subscribers', to: 'n1', how: 'reset' } } },
                  { at: 5.2, do: { call: { to: { names: ['n1'] }, port: 'fanout', path: '/v1/op/{op}', op: 'o' } } } ]",
    );
    assert_eq!(outcome.report.violations, Some(0));
    assert_eq!(outcome.report.became_ready, 3);
    for rule in
        [agreement::NAME, budget::NAME, schema::NAME, order::NAME, uncommitted::NAME, acknowledged::NAME]
    {
        assert!(examined(&outcome, rule) > 0, "{rule} examined nothing");
    }
    assert!(examined(&outcome, order::NAME) > 100, "{} records", examined(&outcome, order::NAME));
    // n0 is killed while it waits at the failpoint; n1 is restarted as the version that it requested.
    let position = |matches: &dyn Fn(&Event) -> bool| entries.iter().position(|e| matches(&e.event));
    let failpoint = position(&|e| matches!(e, Event::FailpointHit { process, .. } if process == "n0"))
        .expect("a failpoint hit");
    let killed = position(
        &|e| matches!(e, Event::Exited { process, signal: Some(9), cause: ExitCause::Nemesis, .. } if process == "n0"),
    );
    assert!(killed.expect("killed") > failpoint);
    let exited = position(
        &|e| matches!(e, Event::Exited { process, status: Some(75), next: Some(v), .. } if process == "n1" && v == "v2"),
    );
    let restarted = position(
        &|e| matches!(e, Event::Started { process, version, .. } if process == "n1" && version == "v2"),
    );
    assert!(exited.expect("exited") < restarted.expect("restarted"));
    assert!(position(&|e| matches!(e, Event::Suspended { process } if process == "n2")).is_some());
    assert!(position(&|e| matches!(e, Event::Resumed { process } if process == "n2")).is_some());
    assert!(position(&|e| matches!(e, Event::SubscriberDisconnected { why, .. } if why.contains("dropped")))
        .is_some());
}

/// One manager or all of them leave out, repeat, truncate or change records, or send uncommitted ones: the
/// checker reports the violated invariants of subscribers.
#[test]
fn runs_with_wrong_records_violate_the_invariants_of_subscribers() {
    let divergence = [agreement::NAME, uncommitted::NAME];
    std::thread::scope(|s| {
        s.spawn(|| assert_violates("rig-skip", "plant: 'skip', plant_at: 'n1'", "", &[order::NAME]));
        s.spawn(|| assert_violates("rig-repeat", "plant: 'repeat', plant_at: 'n1'", "", &[order::NAME]));
        s.spawn(|| assert_violates("rig-strip", "plant: 'strip'", "", &[schema::NAME]));
        s.spawn(|| assert_violates("rig-reword", "plant: 'reword', plant_at: 'n1'", "", &divergence));
        let early = [agreement::NAME, uncommitted::NAME, order::NAME];
        s.spawn(move || assert_violates("rig-early", "plant: 'early', plant_at: 'n1'", "", &early));
    });
}

/// Two managers are out of service at once, one is out for a halted release, or an acknowledged operation is
/// lost: the checker reports the violated invariants of managers.
#[test]
fn runs_with_excess_outages_or_lost_operations_violate_the_invariants_of_managers() {
    std::thread::scope(|s| {
        s.spawn(|| {
            assert_violates("rig-two-out", "next: 'v2', out_ms: { n1: 1500, n2: 1500 }", "", &[budget::NAME])
        });
        // A crash during a permitted outage violates nothing; a permitted outage during a crash does.
        let crash = "steps: [ { at: 1.2, do: { kill: { names: ['n2'] } } } ]";
        s.spawn(move || {
            assert_violates("rig-crash", "next: 'v2', out_ms: { n1: 2500 }", crash, &[budget::NAME])
        });
        s.spawn(|| {
            assert_violates("rig-halt", "next: 'v2', halt_at: 10, out_ms: { n1: 2500 }", "", &[halt::NAME])
        });
        let call = "steps: [ { at: 2, do: { call: { to: { names: ['n1'] }, port: 'fanout', path: '/v1/op/{op}', op: 'o' } } } ]";
        s.spawn(move || {
            assert_violates("rig-lose", "plant: 'lose', plant_at: 'n1'", call, &[acknowledged::NAME])
        });
    });
}

/// Copies of folders, torn files, disk faults and clock offsets change what the stand-in logs at its start:
/// the size of its store and its clock offset.
#[test]
fn copies_disk_faults_and_clock_offsets_take_effect() {
    let (outcome, entries) = play(
        "rig-disk",
        "",
        "clocks: { n0: -1500, a: 20 },
         steps: [ { at: 1.1, do: { keep_copy: { names: ['n2'] } } },
                  { at: 1.2, do: { disk: { who: { names: ['n0'] }, fault: { hold_back: 1 } } } },
                  { at: 1.2, do: { disk: { who: { names: ['n1'] }, fault: { full_after: 20 } } } },
                  { at: 1.5, do: { restart: { from: 0, to: 1 } } },
                  { at: 2.6, do: { kill: { names: ['n2'] } } }, { at: 2.7, do: { put_back: { names: ['n2'] } } },
                  { at: 2.8, do: { tear: { who: { names: ['n2'] }, file: 'store', bytes: 3 } } },
                  { at: 3.2, do: { restart: { from: 0, to: 1 } } } ]",
    );
    let assert_logged =
        |i: usize, text: &str| assert!(outcome.logs[i].contains(text), "n{i}: {text}: {}", outcome.logs[i]);
    // Each start writes 24 bytes; the last of the second start's three writes was held back, and lost.
    assert_logged(0, "store held 40 bytes");
    assert_logged(1, "store held 44 bytes");
    assert_logged(1, "no space left");
    // The 24 bytes of one start were restored from the copy, then truncated by 3.
    assert_logged(2, "store held 21 bytes");
    assert_logged(0, "clock off by -1500 ms");
    assert_logged(1, "clock off by 20 ms");
    let starts = entries.iter().filter(|e| matches!(e.event, Event::Started { emptied: false, .. })).count();
    assert_eq!(starts, 9);
}

/// A process that requests another version without naming one counts as crashed and is not restarted;
/// `restart_empty` empties the folder.
#[test]
fn a_process_that_names_no_version_has_crashed_and_restart_empty_empties_the_folder() {
    let (outcome, entries) = play(
        "rig-nameless",
        "out_ms: { n1: 900 }",
        "steps: [ { at: 2, do: { restart_empty: { names: ['n2'] } } } ]",
    );
    assert_eq!(outcome.report.crashed, 1);
    assert!(outcome.logs[2].contains("store held 0 bytes"), "{}", outcome.logs[2]);
    let is_start_of_n1 =
        |e: &&HistoryEntry| matches!(&e.event, Event::Started { process, .. } if process == "n1");
    assert_eq!(entries.iter().filter(is_start_of_n1).count(), 1, "n1 stays down");
}
