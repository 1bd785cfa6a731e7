//! The end of an attempt: what its outcome says of its engine, whether it may still run, and what happens to
//! its request next.

use crate::events::Outcome;
use crate::retry::RetryDecision;

/// Engine errors that end a request: what two engines cannot do is most likely the request's own fault.
const MAX_ENGINE_ERRORS: u32 = 2;

/// What an outcome says of the engine's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthEvidence {
    Success,
    Failure,
    /// Nothing: the attempt may have been slow by itself, or was not the engine's to answer.
    None,
}

impl HealthEvidence {
    pub(crate) fn of(outcome: Outcome) -> HealthEvidence {
        match outcome {
            Outcome::Succeeded => HealthEvidence::Success,
            // An attempt that is stuck ends as cancelled; `OutlierDetector` judges silence.
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NeverSent => HealthEvidence::None,
            // An engine that rejects for its load counts as failing, so that the traffic moves to others.
            Outcome::EngineError
            | Outcome::RejectedByEngine
            | Outcome::ConnectFailed
            | Outcome::ConnectionLost => HealthEvidence::Failure,
        }
    }
}

/// Whether an attempt may still run on its engine although it has ended here, so that its key must be
/// blocked.
pub(crate) fn may_still_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled)
}

/// What happens to a request whose attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// It has its response and is forgotten.
    Finish,
    /// It is queued for a further attempt.
    Retry,
    /// It gets a final response.
    Respond,
}

/// Decides on the next step. `engine_errors`: the request's attempts that ended with an engine's error.
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
