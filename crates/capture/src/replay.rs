//! Feeds the events of a capture to the policy again and compares its actions with the recorded ones, bit for
//! bit.
//!
//! The input is a [`Segment`] and [`ReplayOptions`]; the result is a [`ReplaySummary`]. Each [`Step`] is
//! passed to the caller's callback.

mod actions;
mod outcome_policy;
mod recorded_attempts;
mod replayer;

pub use actions::action_kind;
pub use outcome_policy::OutcomePolicy;

use crate::error::{BoxError, ReplayError};
use crate::segment::{Record, Segment};
use replayer::Replayer;
use serde::Serialize;
use sprucelink_policy::{Action, Policy, Timestamp};
use std::collections::BTreeMap;

/// The first record at which the replayed and the recorded actions differ.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Divergence {
    /// Index of the record in its segment, from 0.
    pub record: usize,
    /// Time at which the policy was given the event, in Unix microseconds.
    pub at_us: i64,
    /// Debug text of the event.
    pub event: String,
    /// Text of the recorded actions.
    pub expected: String,
    /// Text of the replayed actions.
    pub got: String,
    /// Kinds of actions that differ in number or content: `send`, `terms`, ... ([`action_kind`]); `order` if
    /// only the order differs, `unknown` if only a digest was recorded.
    pub kinds: Vec<&'static str>,
}

/// A panic of the policy during a replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyPanic {
    /// Index in its segment of the record at which the policy panicked, from 0.
    pub record: usize,
    /// Message of the panic.
    pub message: String,
}

/// The result of the replay of a segment.
#[derive(Clone, Debug, Default)]
pub struct ReplaySummary {
    /// Number of events that were given to the policy.
    pub events: usize,
    /// Number of events for which the policy's answer differs from the recorded one.
    pub differing_events: usize,
    /// The first difference; `None` if all answers equal the recorded ones.
    pub first_divergence: Option<Divergence>,
    /// Number of differing events by kind of action; an event may count under several kinds.
    pub differing_by_kind: BTreeMap<&'static str, usize>,
    /// Digest of all replayed answers, in order.
    pub digest: u64,
    /// Panic of the policy, at which the replay ended; absent if the policy did not panic.
    pub panic: Option<PolicyPanic>,
}

/// Callback for each step of a replay, after the policy has handled it.
pub type StepCallback<'a, 'b> = &'a mut (dyn FnMut(Step<'_>) + 'b);

/// One input of a replay.
pub struct Step<'a> {
    /// Index of the record in its segment, from 0.
    pub record_index: usize,
    /// The record, with the event that the replayed policy was given, which may differ from the recorded one.
    pub record: &'a Record,
    /// The policy after it handled the event.
    pub policy: &'a Policy,
    /// The policy's actions, including explanations if [`ReplayOptions::explain`] is set.
    pub actions: &'a [Action],
}

/// Changes the policy before it is given the first event.
pub type PolicyChange<'a> = &'a dyn Fn(&mut Policy) -> Result<(), BoxError>;

/// Options of a replay.
pub struct ReplayOptions<'a> {
    /// Treatment of recorded outcomes of decisions that the replayed policy did not make.
    pub outcome_policy: OutcomePolicy,
    /// Time up to which records are replayed; all records if absent.
    pub until: Option<Timestamp>,
    /// Whether the policy adds explanations of its decisions to its actions.
    pub explain: bool,
    /// Change of the policy before the replay, for example of its settings.
    pub change: PolicyChange<'a>,
}

impl Default for ReplayOptions<'_> {
    fn default() -> Self {
        ReplayOptions {
            outcome_policy: OutcomePolicy::Recorded,
            until: None,
            explain: false,
            change: &|_| Ok(()),
        }
    }
}

/// Replays a segment from its checkpoint. A panic of the policy ends the replay and is part of the summary.
///
/// # Errors
/// This build cannot read the checkpoint, or the change of the policy fails.
pub fn replay_segment(
    segment: &Segment,
    options: &ReplayOptions,
    on_step: StepCallback,
) -> Result<ReplaySummary, ReplayError> {
    let mut policy = segment.policy()?;
    (options.change)(&mut policy).map_err(ReplayError::Change)?;
    policy.set_explaining(options.explain);
    Ok(Replayer::new(policy, options.outcome_policy, on_step).run(segment, options.until))
}
