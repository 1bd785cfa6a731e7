//! Tests of parsing and validating scenarios, and of selecting managers.

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
fn errors_name_the_invalid_field() {
    let error = |text: &str| Scenario::parse(text).unwrap_err().to_string();
    assert!(error("{ managrs: 3 }").contains("managrs"));
    assert!(error("{ managers: 100000 }").contains("managers"));
    assert!(error("{ seconds: 1, steps: [ { at: 5, do: 'heal' } ] }").contains("steps[0]: at"));
    assert!(error("{ steps: [ { at: 5, do: { kill: { from: 0.5, to: 0.2 } } } ] }").contains("in order"));
    assert!(error("{ groups: [0.5, 0.2] }").contains("groups"));
    assert!(error("{ name: '../x' }").contains("name"));
    let e = error("{ steps: [ { at: 1, do: { cut: { from: 'b', to: 'lists', how: 'close' } } } ] }");
    assert!(e.contains("unknown party \"b\""), "{e}");
}

#[test]
fn managers_are_selected_in_exactly_one_way_and_drawn_by_the_seed() {
    let s = Scenario::parse("{ managers: 8, groups: [0.5, 0.5] }").expect("read");
    let selector = |text: &str| json5::from_str::<ManagerSelector>(text).expect("read");
    assert_eq!(selector("{ names: ['n7', 'n0', 'n7'] }").select(&s, 0), [7, 0]);
    assert_eq!(selector("{ group: 'b' }").select(&s, 0), [4, 5, 6, 7]);
    assert_eq!(selector("{ from: 0.25, to: 0.5 }").select(&s, 0), [2, 3]);
    let drawn = selector("{ drawn: 3 }");
    assert_eq!(drawn.select(&s, 1), drawn.select(&s, 1), "the same in each run");
    let selections: std::collections::BTreeSet<Vec<usize>> = (0..20).map(|k| drawn.select(&s, k)).collect();
    assert!(selections.len() > 5, "different managers for different draws");
    for invalid in [
        "{}",
        "{ names: ['n8'] }",
        "{ names: ['n01'] }",
        "{ group: 'c' }",
        "{ drawn: 9 }",
        "{ group: 'a', drawn: 1 }",
    ] {
        assert!(selector(invalid).check(&s).is_err(), "{invalid}");
    }
}

#[test]
fn invalid_process_faults_are_reported_with_their_path() {
    let valid = "{ managers: 5, groups: [0.6, 0.4], pairs: true, seconds: 20, clocks: { n1: -500, b: 3000 },
        ports: [ { name: 'fanout', said: 'fanout on ' } ], args: ['--fleet', '{folder}/fleet.json5'],
        files: { 'fleet.json5': { peers: '{peers_json:fanout}', offset: '{clock_offset_ms}' } },
        strikes: [ { point: 'vote.unsynced', who: { names: ['n0'] }, do: 'kill', back_ms: 300,
                     also: [ { part: { from: ['n1'], to: ['n2', 'b'], one_way: true, new: 'refuse' } } ] } ],
        subscribers: { count: 20, versions: ['1', '2'], needs: { '1': { permit: ['/holder'] } } },
        check: { budgets: [ { of: 'managers', most: 2 } ], halt_ms: 300 },
        steps: [ { at: 1, every: 2, times: 3, spread: 0.5, do: { restart_empty: { drawn: 1 } } },
                 { at: 2, do: { disk: { who: { group: 'a' }, fault: { hold_back: 2 } } } },
                 { at: 3, do: { subscribers: { drop: 0.5 } } } ] }";
    let s = Scenario::parse(valid).expect("read");
    assert_eq!((s.clock_offset_ms(0), s.clock_offset_ms(1), s.clock_offset_ms(4)), (0, -500, 3000));
    assert!(s.uses_fault_proxy() && s.records_history());
    for (from, to, expected) in [
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
        let e = Scenario::parse(&valid.replace(from, to)).unwrap_err().to_string();
        assert!(e.contains(expected), "{to}: {e}");
    }
}

/// Histories contain this text, and readers of stored histories search for it.
#[test]
fn the_debug_text_of_actions_is_that_of_stored_histories() {
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
