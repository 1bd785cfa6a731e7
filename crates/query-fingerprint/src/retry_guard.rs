//! Whether a statement may be retried: the stricter of what its class declares and what the statement does.
//!
//! This is not in the path of requests: no part of the manager calls it. The retries of requests are decided
//! by `RetryRule` in the policy and by the core's send guard.

use crate::facts::StatementFacts;
use serde::Serialize;

/// What a class declares about running its requests more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DeclaredEffect {
    /// Safe to repeat.
    Safe,
    /// Repeats with the same key are dropped by engines.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// What is done with a statement that may write under a class declared safe to repeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnMismatch {
    /// It is sent as its class declares, as the platform's protocol specifies.
    #[default]
    Trust,
    /// It is sent once at most.
    Once,
    /// It is rejected before it is sent.
    Refuse,
}

/// How often a statement may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryDecision {
    /// As its class declares.
    AsDeclared,
    /// Once at most.
    Once,
    /// Not at all.
    Refuse,
}

/// The stricter of what a class declares and what a statement is. An unknown statement may write; under `once` and
/// `refuse` it is treated as one that does.
pub fn guard(facts: &StatementFacts, declared: DeclaredEffect, on: OnMismatch) -> RetryDecision {
    match (declared, facts.may_write, on) {
        (DeclaredEffect::Safe, true, OnMismatch::Once) => RetryDecision::Once,
        // A rejection needs certainty: a statement that merely could not be parsed is sent once instead.
        (DeclaredEffect::Safe, true, OnMismatch::Refuse) if facts.is_complete => RetryDecision::Refuse,
        (DeclaredEffect::Safe, true, OnMismatch::Refuse) => RetryDecision::Once,
        _ => RetryDecision::AsDeclared,
    }
}
