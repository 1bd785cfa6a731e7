//! The rig's history of processes of the program itself: what reached engines and list services, who was out and why.
use sprucelink_cluster_harness::history;
use sprucelink_cluster_harness::run::{self, Program};
use sprucelink_cluster_harness::scenario::Scenario;
use sprucelink_history_checker::event::{Event, ExitCause};
use sprucelink_history_checker::invariants::budget;

/// Managers restarted by the rig and an engine drained by the list are outages that the fleet did not permit, however
/// small the budget; commands name their manager, and an engine that is used all along is never out.
#[test]
fn what_the_rig_does_to_managers_and_engines_is_no_permit_of_theirs() {
    let text = "{ managers: 3, seconds: 7, load: { rate: 150, heavy: 0 }, engines: { count: 3, light_ms: 5 },
        check: { budgets: [ { of: 'managers', most: 0 }, { of: 'engines', most: 0 } ], quiet_ms: 2500 },
        steps: [ { at: 2, do: { roll: { names: ['n1'] } } }, { at: 2.5, do: { engines_drain: { from: 0, to: 0.34 } } } ] }";
    let scenario = Scenario::parse(text).expect("a scenario");
    let dir = run::scratch("history");
    let path = env!("CARGO_BIN_EXE_sprucelink").into();
    let got =
        run::run(&scenario, &Program { path, args: Vec::new(), dir: dir.clone() }).expect("carried out");
    let lines = history::read(got.history.as_ref().expect("a history")).expect("read");
    run::clear(&dir);
    let verdict = got.verdict.expect("judged");
    assert!(verdict.is_passed(), "{:?}", verdict.violations().collect::<Vec<_>>());
    assert_eq!(verdict.examined(budget::NAME), 0, "no planned outage");
    let count = |what: &dyn Fn(&Event) -> bool| lines.iter().filter(|l| what(&l.event)).count();
    for i in 0..3 {
        let name = format!("n{i}");
        let of = |e: &Event| matches!(e, Event::Command { word, manager: Some(m), .. } if word == "do" && *m == name);
        assert!(count(&of) > 50, "{name}: {} commands", count(&of));
    }
    assert!(count(&|e| matches!(e, Event::Connected { .. })) >= 3);
    assert_eq!(
        count(&|e| matches!(e, Event::ListCall { answer, .. } if answer == "serving")),
        got.report.calls
    );
    assert_eq!(count(&|e| matches!(e, Event::Exited { status: Some(0), cause: ExitCause::Nemesis, .. })), 1);
    assert_eq!(count(&|e| matches!(e, Event::FaultBegan { on } if on == &["s-0000"])), 1);
}
