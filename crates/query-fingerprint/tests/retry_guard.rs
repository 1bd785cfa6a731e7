//! The decision of the retry guard for reading, writing and unreadable statements.

use sprucelink_query_fingerprint::facts::read;
use sprucelink_query_fingerprint::retry_guard::{guard, DeclaredEffect, OnMismatch, RetryDecision};

#[test]
fn writing_statement_in_safe_class_is_sent_once_or_rejected() {
    let facts = |sql: &str| read(sql);
    let (reads, writes) =
        (facts("SELECT a FROM x_1.t"), facts("WITH d AS (DELETE FROM x_1.t RETURNING a) SELECT a FROM d"));
    let unknown = facts("SELECT a FROM x_1.t ((");
    use OnMismatch::{Once, Refuse, Trust};
    for (f, on, decision) in [
        (&reads, Refuse, RetryDecision::AsDeclared),
        (&writes, Trust, RetryDecision::AsDeclared),
        (&writes, Once, RetryDecision::Once),
        (&writes, Refuse, RetryDecision::Refuse),
        (&unknown, Refuse, RetryDecision::Once),
        (&unknown, Trust, RetryDecision::AsDeclared),
    ] {
        assert_eq!(guard(f, DeclaredEffect::Safe, on), decision, "{f:?} {on:?}");
        assert_eq!(guard(f, DeclaredEffect::Keyed, on), RetryDecision::AsDeclared);
    }
}
