//! Outcomes were recorded for the decisions of the day. Where the replayed policy decides differently, an
//! [`OutcomePolicy`] says which of them it is given.

use super::recorded_attempts::RecordedAttempts;
use crate::error::UnknownOutcomePolicy;
use serde::Serialize;
use sprucelink_policy::{Event, LoadReport, Outcome, Policy};
use std::str::FromStr;

/// Which recorded outcomes the replayed policy is given, where they belong to a decision that it did not take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OutcomePolicy {
    /// All, unchanged. The policy ignores an attempt that it does not have in flight; an attempt that it forwarded to
    /// another engine under the same number gets the outcome, latency and load report of the recorded one.
    #[default]
    Recorded,
    /// Only what belongs to the request, not what belongs to the engine. An attempt on another engine ends at the
    /// recorded time, as succeeded or as cancelled, with its own cost and no load report, and its progress reports are
    /// left out. An attempt that was not recorded ends only when the policy cancels it.
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

/// The event that a replayed policy is given in place of a recorded one under [`OutcomePolicy::Matched`]; `None` where
/// the event is left out.
pub(super) fn match_event(event: &Event, policy: &Policy, recorded: &RecordedAttempts) -> Option<Event> {
    let (Event::ProgressReported { id, attempt, .. } | Event::AttemptEnded { id, attempt, .. }) = event
    else {
        return Some(event.clone());
    };
    // Of an attempt that was not recorded, or only by a digest, the engine is unknown: the number has to do.
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
