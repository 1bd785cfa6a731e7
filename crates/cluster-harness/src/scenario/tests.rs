//! What is read and what is refused.

use super::*;

#[test]
fn a_scenario_is_read_with_comments_and_defaults() {
    let s = Scenario::parse(
        "{ // a fleet\n name: 'herd', managers: 10, groups: [0.7, 0.3], seconds: 20,
           steps: [ { at: 1, do: { kill: { from: 0, to: 0.7 } } }, { at: 2, do: { lists: 'refuse' } },
                    { at: 3, do: 'older_list' }, { at: 3, do: { engines_come: 2 } },
                    { at: 4, do: { fault: { from: 'a', to: 'lists', rule: { drop: 0.1 } } } } ] }",
    )
    .expect("read");
    assert_eq!(s.steps.len(), 5);
    assert_eq!(s.steps[0].action, Action::Kill(FleetRange { from: 0.0, to: 0.7, over_ms: 0.0 }.into()));
    assert!(s.uses_fault_proxy());
    assert_eq!((s.group_of(0), s.group_of(6), s.group_of(7), s.group_of(9)), (0, 0, 1, 1));
    assert_eq!(FleetRange { from: 0.25, to: 0.5, over_ms: 0.0 }.indices(8), 2..4);
}

#[test]
fn what_cannot_be_meant_is_named() {
    let wrong = |text: &str| Scenario::parse(text).unwrap_err().to_string();
    assert!(wrong("{ managrs: 3 }").contains("managrs"));
    assert!(wrong("{ managers: 100000 }").contains("managers"));
    assert!(wrong("{ seconds: 1, steps: [ { at: 5, do: 'heal' } ] }").contains("steps[0]: at"));
    assert!(wrong("{ steps: [ { at: 5, do: { kill: { from: 0.5, to: 0.2 } } } ] }").contains("in order"));
    assert!(wrong("{ groups: [0.5, 0.2] }").contains("groups"));
    assert!(wrong("{ name: '../x' }").contains("name"));
    let e = wrong("{ steps: [ { at: 1, do: { cut: { from: 'b', to: 'lists', how: 'close' } } } ] }");
    assert!(e.contains("\"b\" is no group"), "{e}");
}
#[test]
fn whom_is_told_in_one_way_and_drawn_by_the_seed() {
    let s = Scenario::parse("{ managers: 8, groups: [0.5, 0.5] }").expect("read");
    let who = |text: &str| json5::from_str::<ManagerSelector>(text).expect("read");
    assert_eq!(who("{ names: ['n7', 'n0', 'n7'] }").select(&s, 0), [7, 0]);
    assert_eq!(who("{ group: 'b' }").select(&s, 0), [4, 5, 6, 7]);
    assert_eq!(who("{ from: 0.25, to: 0.5 }").select(&s, 0), [2, 3]);
    let drawn = who("{ drawn: 3 }");
    assert_eq!(drawn.select(&s, 1), drawn.select(&s, 1), "the same each run");
    let times: std::collections::BTreeSet<Vec<usize>> = (0..20).map(|k| drawn.select(&s, k)).collect();
    assert!(times.len() > 5, "and other ones each time");
    for bad in [
        "{}",
        "{ names: ['n8'] }",
        "{ names: ['n01'] }",
        "{ group: 'c' }",
        "{ drawn: 9 }",
        "{ group: 'a', drawn: 1 }",
    ] {
        assert!(who(bad).check(&s).is_err(), "{bad}");
    }
}

#[test]
fn faults_of_processes_are_checked_by_path() {
    let good = "{ managers: 5, groups: [0.6, 0.4], pairs: true, seconds: 20, clocks: { n1: -500, b: 3000 },
        ports: [ { name: 'fanout', said: 'fanout on ' } ], args: ['--fleet', '{folder}/fleet.json5'],
        files: { 'fleet.json5': { peers: '{peers_json:fanout}', offset: '{clock_offset_ms}' } },
        strikes: [ { point: 'vote.unsynced', who: { names: ['n0'] }, do: 'kill', back_ms: 300,
                     also: [ { part: { from: ['n1'], to: ['n2', 'b'], one_way: true, new: 'refuse' } } ] } ],
        subscribers: { count: 20, versions: ['1', '2'], needs: { '1': { permit: ['/holder'] } } },
        check: { budgets: [ { of: 'managers', most: 2 } ], halt_ms: 300 },
        steps: [ { at: 1, every: 2, times: 3, spread: 0.5, do: { restart_empty: { drawn: 1 } } },
                 { at: 2, do: { disk: { who: { group: 'a' }, fault: { hold_back: 2 } } } },
                 { at: 3, do: { subscribers: { drop: 0.5 } } } ] }";
    let s = Scenario::parse(good).expect("read");
    assert_eq!((s.clock_of(0), s.clock_of(1), s.clock_of(4)), (0, -500, 3000));
    assert!(s.uses_fault_proxy() && s.records());
    for (from, to, named) in [
        ("'n2', 'b'", "'n1'", "on both sides"),
        ("n1: -500", "n9: 1", "clocks"),
        ("peers_json:fanout", "peers_json:council", "files.fleet.json5"),
        ("{folder}", "{folders}", "args"),
        ("vote.unsynced", "vote unsynced", "strikes[0]"),
        ("hold_back: 2", "hold_back: 2000", "steps[1]"),
        ("times: 3", "times: 30", "steps[0]: the last time"),
        ("['/holder']", "['holder']", "subscribers.needs"),
        ("halt_ms: 300", "halt_ms: 3000000", "check.halt_ms"),
        ("name: 'fanout'", "name: 'council'", "files"),
        ("count: 20", "count: 301", "subscribers.count"),
    ] {
        let e = Scenario::parse(&good.replace(from, to)).unwrap_err().to_string();
        assert!(e.contains(named), "{to}: {e}");
    }
}

/// A history holds this text, and readers of kept histories look for it.
#[test]
fn the_debug_form_of_actions_stays_as_histories_hold_it() {
    assert_eq!(
        format!("{:?}", Action::Kill(ManagerSelector::single(1))),
        r#"Kill(Who { from: None, to: None, names: Some(["n1"]), group: None, drawn: None, over_ms: 0.0 })"#
    );
    let range = FleetRange { from: 0.0, to: 0.5, over_ms: 0.0 };
    assert_eq!(
        format!("{:?}", Action::EnginesDrain(range)),
        "EnginesDrain(Part { from: 0.0, to: 0.5, over_ms: 0.0 })"
    );
}
