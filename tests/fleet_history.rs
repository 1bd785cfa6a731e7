//! The harness's history of a run with processes of the program: commands to engines, calls to list services,
//! and the outages of managers and engines with their causes.
use sprucelink_cluster_harness::history;
use sprucelink_cluster_harness::run::{self, Program};
use sprucelink_cluster_harness::scenario::Scenario;
use sprucelink_history_checker::event::{Event, ExitCause};
use sprucelink_history_checker::invariants::budget;

/// Managers restarted by the harness and an engine drained by the list are not planned outages of the fleet,
/// and violate no disruption budget, however small. Commands in the history name their manager, and an engine
/// that is used throughout is never unavailable.
#[test]
fn outages_caused_by_the_harness_are_not_planned_outages() {
    let text = "{ managers: 3, seconds: 7, load: { rate: 150, heavy: 0 }, engines: { count: 3, light_ms: 5 },
        check: { budgets: [ { of: 'managers', most: 0 }, { of: 'engines', most: 0 } ], quiet_ms: 2500 },
        steps: [ { at: 2, do: { roll: { names: ['n1'] } } }, { at: 2.5, do: { engines_drain: { from: 0, to: 0.34 } } } ] }";
    let scenario = Scenario::parse(text).expect("a scenario");
    let dir = run::scratch("history");
    let path = env!("CARGO_BIN_EXE_sprucelink").into();
    let outcome =
        run::run(&scenario, &Program { path, args: Vec::new(), dir: dir.clone() }).expect("carried out");
    let lines = history::read(outcome.history.as_ref().expect("a history")).expect("read");
    run::clear(&dir);
    let verdict = outcome.verdict.expect("judged");
    assert!(verdict.is_passed(), "{:?}", verdict.violations().collect::<Vec<_>>());
    assert_eq!(verdict.examined(budget::NAME), 0, "no planned outage");
    let count = |matches: &dyn Fn(&Event) -> bool| lines.iter().filter(|l| matches(&l.event)).count();
    for i in 0..3 {
        let name = format!("n{i}");
        let is_from_manager = |event: &Event| matches!(event, Event::Command { word, manager: Some(m), .. } if word == "do" && *m == name);
        assert!(count(&is_from_manager) > 50, "{name}: {} commands", count(&is_from_manager));
    }
    assert!(count(&|e| matches!(e, Event::Connected { .. })) >= 3);
    assert_eq!(
        count(&|e| matches!(e, Event::ListCall { answer, .. } if answer == "serving")),
        outcome.report.calls
    );
    assert_eq!(count(&|e| matches!(e, Event::Exited { status: Some(0), cause: ExitCause::Nemesis, .. })), 1);
    assert_eq!(count(&|e| matches!(e, Event::FaultBegan { on } if on == &["s-0000"])), 1);
}
