//! Tests of `ledger`.

use super::*;

/// The checker is tested by runs that break its rules.
#[test]
fn second_attempts_and_sends_after_a_drain_are_seen() {
    let (l, t) = (Ledger::default(), Instant::now());
    l.reached(1, 0, 1, t);
    l.reached(1, 1, 9, t);
    assert_eq!(l.read().second_attempts, 1);
    l.over(1, 1, 9);
    l.reached(1, 0, 2, t);
    assert_eq!(l.read().second_attempts, 1, "one after the other is no second one");
    l.over(1, 0, 1);
    l.reached(1, 2, 3, t);
    assert_eq!(l.read().second_attempts, 2, "an end on another connection ends nothing here");
    l.drained(5, t);
    l.reached(2, 5, 1, t + Duration::from_millis(500));
    assert_eq!(l.read().after_drain, 0);
    l.reached(3, 5, 1, t + Duration::from_millis(600));
    let all = l.read();
    assert_eq!((all.after_drain, all.attempts, all.further), (1, 6, 3));
}
