//! Selects the recorded outcomes that a replayed policy is given. They were recorded for the decisions of the
//! original policy; where the replayed policy makes other decisions, an [`OutcomePolicy`] says which outcomes
//! still apply.

use super::recorded_attempts::RecordedAttempts;
use crate::error::UnknownOutcomePolicy;
use serde::Serialize;
use sprucelink_policy::{Event, LoadReport, Outcome, Policy};
use std::str::FromStr;

/// Treatment of recorded outcomes that belong to a decision that the replayed policy did not make.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OutcomePolicy {
    /// The policy is given all outcomes unchanged. It ignores outcomes of attempts that it does not have in
    /// flight. If it forwarded an attempt to another engine than was recorded, under the same attempt number,
    /// the attempt gets the outcome, latency and load report of the recorded attempt.
    #[default]
    Recorded,
    /// The policy is given the parts of an outcome that depend on the request, but not those that depend on
    /// the engine. An attempt on another engine than was recorded ends at the recorded time, as succeeded or
    /// as cancelled, with the recorded query cost and without a load report, and its progress notes are left
    /// out. An attempt that was not recorded ends only when the policy cancels it.
    Matched,
}

impl FromStr for OutcomePolicy {
    type Err = UnknownOutcomePolicy;
    fn from_str(text: &str) -> Result<OutcomePolicy, UnknownOutcomePolicy> {
        match text {
            "recorded" => Ok(OutcomePolicy::Recorded),
            "matched" => Ok(OutcomePolicy::Matched),
            _ => Err(UnknownOutcomePolicy(text.to_owned())),
        }
    }
}

/// The event that a replayed policy is given in place of a recorded one under [`OutcomePolicy::Matched`];
/// `None` if the event is left out.
pub(super) fn match_event(event: &Event, policy: &Policy, recorded: &RecordedAttempts) -> Option<Event> {
    let (Event::ProgressReported { id, attempt, .. } | Event::AttemptEnded { id, attempt, .. }) = event
    else {
        return Some(event.clone());
    };
    // The engine is unknown if the attempt was not recorded, or only as part of a digest: the event then
    // applies to the attempt with the same number.
    let Some(recorded_engine) = recorded.engine_of(*id, *attempt) else { return Some(event.clone()) };
    let (own_attempt, own_engine) = policy.in_flight_attempt(*id)?;
    if own_attempt == *attempt && own_engine == recorded_engine {
        return Some(event.clone());
    }
    let Event::AttemptEnded { id, outcome, latency, complete, query_cost, .. } = event else { return None };
    let succeeded = *outcome == Outcome::Succeeded;
    Some(Event::AttemptEnded {
        id: *id,
        attempt: own_attempt,
        outcome: if succeeded { Outcome::Succeeded } else { Outcome::Cancelled },
        latency: *latency,
        complete: *complete,
        query_cost: *query_cost,
        report: LoadReport::default(),
    })
}
