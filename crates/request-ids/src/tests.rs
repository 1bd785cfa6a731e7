//! Tests of the ids of recent requests.

use super::*;

#[test]
fn id_is_rejected_for_another_statement_until_its_retention_ends() {
    let mut recent = RecentRequests::default();
    let first = Timestamp::ZERO;
    let last = first + RETENTION;
    let late = last + TimeDelta::from_micros(1);
    assert!(recent.insert(1, b"a", first));
    assert!(recent.insert(1, b"a", last), "the client's retry");
    assert!(!recent.insert(1, b"b", last));
    assert!(recent.insert(1, b"b", late));
}

#[test]
fn number_of_ids_stays_bounded() {
    let mut recent = RecentRequests::default();
    (2..2 * MAX_IDS as u64).for_each(|id| assert!(recent.insert(id, b"", Timestamp::ZERO)));
    assert!(recent.by_age.len() <= MAX_IDS && recent.statement_hashes.len() <= MAX_IDS);
}
