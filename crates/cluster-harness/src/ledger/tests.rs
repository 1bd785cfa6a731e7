//! Tests that the ledger counts each attempt that breaks a rule.

use super::*;

/// Breaks the rules of the ledger, and checks that each violation is counted.
#[test]
fn second_attempts_and_attempts_after_a_drain_are_counted() {
    let ledger = Ledger::default();
    let t = Instant::now();
    ledger.record_attempt(1, 0, 1, t);
    ledger.record_attempt(1, 1, 9, t);
    assert_eq!(ledger.read().second_attempts, 1);
    ledger.record_end(1, 1, 9);
    ledger.record_attempt(1, 0, 2, t);
    assert_eq!(ledger.read().second_attempts, 1, "attempts one after the other don't count");
    ledger.record_end(1, 0, 1);
    ledger.record_attempt(1, 2, 3, t);
    assert_eq!(ledger.read().second_attempts, 2, "an end on another connection doesn't end this attempt");
    ledger.record_drain(5, t);
    ledger.record_attempt(2, 5, 1, t + Duration::from_millis(500));
    assert_eq!(ledger.read().after_drain, 0);
    ledger.record_attempt(3, 5, 1, t + Duration::from_millis(600));
    let all = ledger.read();
    assert_eq!((all.after_drain, all.attempts, all.retries), (1, 6, 3));
}
