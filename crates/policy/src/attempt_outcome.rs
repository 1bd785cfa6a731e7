//! The end of an attempt: what its outcome says about the health of its engine, whether it may still run, and
//! the next step of its request.

use crate::events::Outcome;
use crate::retry::RetryDecision;

/// Number of engine errors after which a request is not retried: if it fails on two engines, the request
/// itself is most likely the cause.
const MAX_ENGINE_ERRORS: u32 = 2;

/// What an outcome says about the engine's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthEvidence {
    Success,
    Failure,
    /// No evidence: the attempt may have been slow by itself, or the engine was not expected to answer it.
    None,
}

impl HealthEvidence {
    pub(crate) fn of(outcome: Outcome) -> HealthEvidence {
        match outcome {
            Outcome::Succeeded => HealthEvidence::Success,
            // A stuck attempt ends as cancelled; `OutlierDetector` detects engines that do not respond.
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverSent => HealthEvidence::None,
            // An engine that rejects requests because of its load counts as failing, so that traffic moves to
            // other engines.
            Outcome::EngineError
            | Outcome::RejectedByEngine
            | Outcome::ConnectFailed
            | Outcome::ConnectionLost => HealthEvidence::Failure,
        }
    }
}

/// Whether an attempt that has ended for this manager may still run on its engine, so that its key must be
/// blocked.
pub(crate) fn may_still_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled)
}

/// Next step of a request whose attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// The request has its response and is removed.
    Finish,
    /// The request is queued for a further attempt.
    Retry,
    /// The request gets a final response from this manager.
    Respond,
}

/// Decides the next step. `engine_errors`: number of the request's attempts that ended with an engine error.
/// `retry` is called only if everything else allows a retry.
pub(crate) fn next_step(
    outcome: Outcome,
    is_answered: bool,
    engine_errors: u32,
    retry: impl FnOnce() -> RetryDecision,
) -> NextStep {
    if is_answered || outcome == Outcome::Succeeded {
        return NextStep::Finish;
    }
    if engine_errors < MAX_ENGINE_ERRORS && retry().is_allowed() {
        return NextStep::Retry;
    }
    NextStep::Respond
}

#[cfg(test)]
mod tests;
