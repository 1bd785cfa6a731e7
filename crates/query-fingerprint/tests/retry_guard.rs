//! Tests of the retry guard's decisions for statements that read, that write and that cannot be parsed.

use sprucelink_query_fingerprint::facts::read_statement;
use sprucelink_query_fingerprint::retry_guard::{decide_retry, DeclaredEffect, OnMismatch, RetryDecision};

#[test]
fn writing_statement_in_safe_class_is_trusted_sent_once_or_rejected() {
    let reads = read_statement("SELECT a FROM x_1.t");
    let writes = read_statement("WITH d AS (DELETE FROM x_1.t RETURNING a) SELECT a FROM d");
    let unknown = read_statement("SELECT a FROM x_1.t ((");
    use OnMismatch::{Once, Refuse, Trust};
    for (facts, on_mismatch, decision) in [
        (&reads, Refuse, RetryDecision::AsDeclared),
        (&writes, Trust, RetryDecision::AsDeclared),
        (&writes, Once, RetryDecision::Once),
        (&writes, Refuse, RetryDecision::Refuse),
        (&unknown, Refuse, RetryDecision::Once),
        (&unknown, Trust, RetryDecision::AsDeclared),
    ] {
        assert_eq!(
            decide_retry(facts, DeclaredEffect::Safe, on_mismatch),
            decision,
            "{facts:?} {on_mismatch:?}"
        );
        assert_eq!(decide_retry(facts, DeclaredEffect::Keyed, on_mismatch), RetryDecision::AsDeclared);
    }
}
