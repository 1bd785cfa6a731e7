//! Tests of the guard against stale and contradictory endpoint lists.

use super::EndpointState::{Draining, Gone, Ready};
use super::*;
use quickcheck::{Gen, QuickCheck};

const MICROS_PER_SEC: i64 = 1_000_000;

fn at_micros(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn guard_at_revision_7() -> EndpointListGuard {
    let mut guard = EndpointListGuard::new(EndpointListGuardConfig::default());
    let decision = guard.evaluate(at_micros(0), 7, true, &[("a", Ready), ("b", Ready), ("c", Gone)]);
    assert_eq!((decision.accepted.len(), decision.is_complete, decision.is_stale), (3, true, false));
    guard
}

#[test]
fn stale_list_drains_but_neither_restores_nor_removes_engines() {
    let mut guard = guard_at_revision_7();
    let decision =
        guard.evaluate(at_micros(MICROS_PER_SEC), 5, true, &[("a", Draining), ("c", Ready), ("old", Ready)]);
    assert_eq!(decision.accepted, [0], "only the drain is applied");
    assert!(decision.is_stale && !decision.is_complete, "engine b, which the stale list omits, stays");
    let decision = guard.evaluate(at_micros(MICROS_PER_SEC), 6, false, &[("a", Ready)]);
    assert!(decision.accepted.is_empty(), "a second stale event does not undo the drain");
    let decision = guard.evaluate(at_micros(MICROS_PER_SEC), 8, false, &[("a", Ready)]);
    assert_eq!(decision.accepted, [0], "a newer event may undo the drain");
}

#[test]
fn stale_list_that_persists_is_accepted() {
    let mut guard = guard_at_revision_7();
    let list = [("x", Ready)];
    assert!(guard.evaluate(at_micros(MICROS_PER_SEC), 1, true, &list).accepted.is_empty());
    assert!(guard.evaluate(at_micros(2 * MICROS_PER_SEC), 1, true, &list).accepted.is_empty());
    let decision = guard.evaluate(at_micros(3 * MICROS_PER_SEC), 1, true, &list);
    assert!(!decision.is_stale && decision.is_complete && decision.accepted == [0]);
    assert_eq!(guard.revision(), 1, "revisions count from those of the accepted list");
    assert!(!guard.evaluate(at_micros(3 * MICROS_PER_SEC), 2, false, &[("y", Ready)]).is_stale);
}

#[test]
fn newer_list_in_between_restarts_the_wait_of_stale_lists() {
    let mut guard = guard_at_revision_7();
    assert!(guard.evaluate(at_micros(MICROS_PER_SEC), 1, true, &[("x", Ready)]).is_stale);
    assert!(!guard.evaluate(at_micros(2 * MICROS_PER_SEC), 9, true, &[("a", Ready)]).is_stale);
    assert!(
        guard.evaluate(at_micros(3 * MICROS_PER_SEC + MICROS_PER_SEC / 2), 1, true, &[("x", Ready)]).is_stale,
        "the wait starts again with this list"
    );
}

#[test]
fn more_cautious_of_two_contradicting_entries_counts() {
    let mut guard = guard_at_revision_7();
    let entries = [("a", Draining), ("b", Ready), ("a", Ready), ("b", Gone)];
    let decision = guard.evaluate(at_micros(MICROS_PER_SEC), 8, false, &entries);
    assert_eq!((decision.accepted, decision.contradictions), (vec![0, 3], 2));
}

#[test]
fn guard_that_is_off_accepts_any_order_of_revisions() {
    let mut guard = EndpointListGuard::new(EndpointListGuardConfig { accept_stale_after_ms: 0.0 });
    guard.evaluate(at_micros(0), 7, true, &[("a", Draining)]);
    let decision = guard.evaluate(at_micros(0), 3, true, &[("a", Ready)]);
    assert!(decision.is_complete && decision.accepted == [0]);
}

/// A generated event: its revision, whether it is complete, and its engines with their states.
type GeneratedEvent = (u8, bool, Vec<(u8, u8)>);

/// In any order of events: a drain or removal is always applied unless the tracked state is as cautious
/// already, and a stale event never makes an engine less cautious.
#[test]
fn cautious_states_are_never_lost_and_stale_events_never_relax_a_state() {
    fn holds(events: Vec<GeneratedEvent>) -> bool {
        let mut guard = EndpointListGuard::new(EndpointListGuardConfig { accept_stale_after_ms: 60_000.0 });
        events.iter().enumerate().all(|(micros, (revision, is_complete, engines))| {
            let ids: Vec<String> = engines.iter().map(|(id, _)| format!("{}", id % 8)).collect();
            let entries: Vec<(&str, EndpointState)> = ids
                .iter()
                .zip(engines)
                .map(|(id, (_, state))| (id.as_str(), [Ready, Draining, Gone][usize::from(*state) % 3]))
                .collect();
            let before = guard.states.clone();
            let decision =
                guard.evaluate(at_micros(micros as i64), u64::from(*revision), *is_complete, &entries);
            let all_applied = entries.iter().all(|(id, state)| {
                let previous = before.get(*id);
                let current = guard.states.get(*id);
                *state == Ready
                    || (decision.is_stale && previous.is_none())
                    || current.is_some_and(|current| current >= state)
            });
            let none_relaxed =
                !decision.is_stale || before.iter().all(|(id, previous)| guard.states[id] >= *previous);
            all_applied && none_relaxed
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 11))
        .quickcheck(holds as fn(Vec<GeneratedEvent>) -> bool);
}

#[test]
fn tracked_engines_are_bounded() {
    let mut guard = EndpointListGuard::new(EndpointListGuardConfig::default());
    for event in 0..3 {
        let ids: Vec<String> = (0..MAX_ENGINES).map(|index| format!("{event}-{index}")).collect();
        let entries: Vec<(&str, EndpointState)> = ids.iter().map(|id| (id.as_str(), Gone)).collect();
        guard.evaluate(at_micros(0), event + 1, false, &entries);
        assert!(guard.states.len() <= MAX_ENGINES);
    }
}
