//! Decides whether a statement may be retried: the stricter of the effect that its class declares and the
//! effect that the statement may have.
//!
//! The manager does not call this module: retries of requests are decided by `RetryRule` in the policy and by
//! the send guard in the core.

use crate::facts::StatementFacts;
use serde::Serialize;

/// Effect of running a request more than once, as declared by its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DeclaredEffect {
    /// The request is safe to repeat.
    Safe,
    /// Engines ignore repetitions of a request with the same idempotency key.
    Keyed,
    /// The request must never run twice.
    Unsafe,
}

/// Treatment of a statement that may write although its class is declared safe to repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnMismatch {
    /// Send the statement as its class declares, as the platform's protocol specifies.
    #[default]
    Trust,
    /// Send the statement at most once.
    Once,
    /// Reject the statement before it is sent.
    Refuse,
}

/// Decision on how often a statement may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryDecision {
    /// The declared effect of the statement's class alone decides whether it may be sent again.
    AsDeclared,
    /// The statement may be sent at most once.
    Once,
    /// The statement is rejected before it is sent.
    Refuse,
}

/// Decides by the stricter of the declared effect and the facts of a statement. A statement that could not be
/// parsed counts as one that may write.
pub fn decide_retry(
    facts: &StatementFacts,
    declared: DeclaredEffect,
    on_mismatch: OnMismatch,
) -> RetryDecision {
    match (declared, facts.may_write, on_mismatch) {
        (DeclaredEffect::Safe, true, OnMismatch::Once) => RetryDecision::Once,
        // Only a statement whose parsed form may write is rejected; a statement that could not be parsed is
        // sent at most once.
        (DeclaredEffect::Safe, true, OnMismatch::Refuse) if facts.is_complete => RetryDecision::Refuse,
        (DeclaredEffect::Safe, true, OnMismatch::Refuse) => RetryDecision::Once,
        _ => RetryDecision::AsDeclared,
    }
}
