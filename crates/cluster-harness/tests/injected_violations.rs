//! The rig on a stand-in for managers: its faults do what they say, a run without a broken rule passes, and one with a
//! rule broken by an injected violation fails for it.
use sprucelink_cluster_harness::history;
use sprucelink_cluster_harness::run::{self, Outcome, Program};
use sprucelink_cluster_harness::scenario::Scenario;
use sprucelink_history_checker::event::{Event, ExitCause, HistoryEntry};
use sprucelink_history_checker::invariants::{
    acknowledged, agreement, budget, halt, order, schema, uncommitted,
};
use std::path::Path;

/// The stand-in, built beside the rig: `cargo test` builds examples.
fn program(dir: &Path) -> Program {
    let fleet = Path::new(env!("CARGO_BIN_EXE_sprucelink-cluster-harness"));
    let path = fleet.with_file_name("examples").join("standin");
    assert!(
        path.exists(),
        "{} is not there: cargo build -p sprucelink-cluster-harness --examples",
        path.display()
    );
    Program { path, args: Vec::new(), dir: dir.to_owned() }
}

/// Three managers, subscribers of two versions, one budget; `plan`: what is in the stand-ins' plan besides.
fn play(name: &str, plan: &str, more: &str) -> (Outcome, Vec<HistoryEntry>) {
    let text = format!(
        "{{ name: '{name}', managers: 3, pairs: true, seconds: 8, load: {{ rate: 0 }}, engines: {{ count: 1 }},
            ports: [ {{ name: 'fanout', said: 'fanout on ' }} ], args: ['--plan', '{{folder}}/plan.json5'],
            files: {{ 'plan.json5': {{ name: '{{name}}', folder: '{{folder}}', version: '{{version}}',
                      clock_offset_ms: '{{clock_offset_ms}}', {plan} }} }},
            supervise: {{ back_ms: 500 }},
            subscribers: {{ count: 12, at: 0.6, retry_ms: 100, versions: ['1', '2'], filters: ['', '', 'kind=permit'],
                            needs: {{ '1': {{ permit: ['/n'] }} }},
                            marks: {{ halt: {{ record: 'halt', id: '/id', version: '/to' }} }} }},
            check: {{ budgets: [ {{ of: 'managers', most: 1 }} ], notice_ms: 100, halt_ms: 400, settle_ms: 700 }},
            {more} }}"
    );
    let scenario = Scenario::parse(&text).expect("a scenario");
    let dir = run::scratch(name);
    let got = run::run(&scenario, &program(&dir)).expect("carried out");
    let lines = history::read(got.history.as_ref().expect("a history")).expect("read");
    run::clear(&dir);
    let verdict = got.verdict.as_ref().expect("judged");
    verdict.violations().take(3).for_each(|v| eprintln!("{name}: {v:?}"));
    (got, lines)
}

fn seen(got: &Outcome, rule: &str) -> u64 {
    got.verdict.as_ref().expect("judged").examined(rule)
}

/// Whether just the rules named are broken.
fn breaks(name: &str, plan: &str, more: &str, rules: &[&str]) {
    let (got, _) = play(name, plan, more);
    let verdict = got.verdict.expect("judged");
    for rule in rules {
        assert!(verdict.is_violated(rule), "{name}: {rule} is not broken");
    }
    assert!(
        verdict.invariants.iter().all(|(n, f)| f.violations.is_empty() || rules.contains(n)),
        "{name}: {verdict:?}"
    );
}

/// Kills, stops, partitions, storms and hops, and a release in order: no rule is broken, and each had something to judge.
#[test]
fn a_run_full_of_faults_in_which_no_rule_is_broken_passes() {
    let (got, lines) = play(
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
    assert_eq!(got.report.violations, Some(0));
    assert_eq!(got.report.up, 3);
    for rule in
        [agreement::NAME, budget::NAME, schema::NAME, order::NAME, uncommitted::NAME, acknowledged::NAME]
    {
        assert!(seen(&got, rule) > 0, "{rule} had nothing to judge");
    }
    assert!(seen(&got, order::NAME) > 100, "{} records", seen(&got, order::NAME));
    // n0 is killed exactly where it waits, and so is not beyond it; n1 comes back as what it asked for.
    let at = |what: &dyn Fn(&Event) -> bool| lines.iter().position(|l| what(&l.event));
    let named = |p: &str, name: &str| p == name;
    let point =
        at(&|e| matches!(e, Event::FailpointHit { process, .. } if named(process, "n0"))).expect("a point");
    let killed = at(
        &|e| matches!(e, Event::Exited { process, signal: Some(9), cause: ExitCause::Nemesis, .. } if named(process, "n0")),
    );
    assert!(killed.expect("killed") > point);
    let left = at(
        &|e| matches!(e, Event::Exited { process, status: Some(75), next: Some(v), .. } if named(process, "n1") && v == "v2"),
    );
    let back = at(
        &|e| matches!(e, Event::Started { process, version, .. } if named(process, "n1") && version == "v2"),
    );
    assert!(left.expect("left") < back.expect("back"));
    assert!(at(&|e| matches!(e, Event::Suspended { process } if named(process, "n2"))).is_some());
    assert!(at(&|e| matches!(e, Event::Resumed { process } if named(process, "n2"))).is_some());
    assert!(
        at(&|e| matches!(e, Event::SubscriberDisconnected { why, .. } if why.contains("dropped"))).is_some()
    );
}

/// What managers tell subscribers, broken in each way by one of them or by all.
#[test]
fn records_that_one_manager_tells_wrongly_fail_the_run() {
    let told_wrongly = [agreement::NAME, uncommitted::NAME];
    std::thread::scope(|s| {
        s.spawn(|| breaks("rig-skip", "plant: 'skip', plant_at: 'n1'", "", &[order::NAME]));
        s.spawn(|| breaks("rig-repeat", "plant: 'repeat', plant_at: 'n1'", "", &[order::NAME]));
        s.spawn(|| breaks("rig-strip", "plant: 'strip'", "", &[schema::NAME]));
        s.spawn(|| breaks("rig-reword", "plant: 'reword', plant_at: 'n1'", "", &told_wrongly));
        let early = [agreement::NAME, uncommitted::NAME, order::NAME];
        s.spawn(move || breaks("rig-early", "plant: 'early', plant_at: 'n1'", "", &early));
    });
}

/// What managers do: two out at once, one out for a halted release, an operation acknowledged and dropped.
#[test]
fn outages_and_acknowledgements_that_break_a_rule_fail_the_run() {
    std::thread::scope(|s| {
        s.spawn(|| breaks("rig-two-out", "next: 'v2', out_ms: { n1: 1500, n2: 1500 }", "", &[budget::NAME]));
        // A crash in the fault proxy of a permit breaks nothing; a permit in the fault proxy of a crash does.
        let crash = "steps: [ { at: 1.2, do: { kill: { names: ['n2'] } } } ]";
        s.spawn(move || breaks("rig-crash", "next: 'v2', out_ms: { n1: 2500 }", crash, &[budget::NAME]));
        s.spawn(|| breaks("rig-halt", "next: 'v2', halt_at: 10, out_ms: { n1: 2500 }", "", &[halt::NAME]));
        let call = "steps: [ { at: 2, do: { call: { to: { names: ['n1'] }, port: 'fanout', path: '/v1/op/{op}', op: 'o' } } } ]";
        s.spawn(move || breaks("rig-lose", "plant: 'lose', plant_at: 'n1'", call, &[acknowledged::NAME]));
    });
}

/// Folders, disks and clocks: what each start finds is in its log.
#[test]
fn folders_disks_and_clocks_are_as_the_scenario_says() {
    let (got, lines) = play(
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
    let held = |i: usize, what: &str| assert!(got.logs[i].contains(what), "n{i}: {what}: {}", got.logs[i]);
    // 24 bytes a start; the last of the second start's three writes was held back, and lost.
    held(0, "store held 40 bytes");
    held(1, "store held 44 bytes");
    held(1, "no space left");
    // One start's, put back, less three.
    held(2, "store held 21 bytes");
    held(0, "clock off by -1500 ms");
    held(1, "clock off by 20 ms");
    let starts = lines.iter().filter(|l| matches!(l.event, Event::Started { emptied: false, .. })).count();
    assert_eq!(starts, 9);
}

/// A process that asks for another version without naming one has crashed, and an emptied folder is empty.
#[test]
fn a_process_that_names_no_version_crashes_and_an_emptied_folder_is_empty() {
    let (got, lines) = play(
        "rig-nameless",
        "out_ms: { n1: 900 }",
        "steps: [ { at: 2, do: { restart_empty: { names: ['n2'] } } } ]",
    );
    assert_eq!(got.report.crashed, 1);
    assert!(got.logs[2].contains("store held 0 bytes"), "{}", got.logs[2]);
    let of_n1 = |l: &&HistoryEntry| matches!(&l.event, Event::Started { process, .. } if process == "n1");
    assert_eq!(lines.iter().filter(of_n1).count(), 1, "it stays down");
}
