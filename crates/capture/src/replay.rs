//! Feeds a capture to the policy again and compares its actions, one by one and bit by bit.
//!
//! Enters: a [`Segment`] and [`ReplayOptions`]. Leaves: a [`ReplaySummary`], and each [`Step`] to the caller's callback.

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

/// The first place where replayed and recorded actions differ.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Divergence {
    /// The record's number in its segment, from 0.
    pub record: usize,
    /// When the policy was given the event, in Unix microseconds.
    pub at_us: i64,
    /// The event.
    pub event: String,
    /// The recorded actions.
    pub expected: String,
    /// The replayed actions.
    pub got: String,
    /// Kinds of actions of which there are more or fewer, or other ones: `send`, `terms`, ...
    pub kinds: Vec<&'static str>,
}

/// A panic of the policy during a replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyPanic {
    /// The number of the record that it was given, in its segment, from 0.
    pub record: usize,
    /// The panic's message.
    pub message: String,
}

/// The result of the replay of a segment.
#[derive(Clone, Debug, Default)]
pub struct ReplaySummary {
    /// Events given to the policy.
    pub events: usize,
    /// Events to which the policy's answer differs from the recorded one.
    pub differing_events: usize,
    /// The first of them.
    pub first_divergence: Option<Divergence>,
    /// How many of them differ in each kind of action.
    pub differing_by_kind: BTreeMap<&'static str, usize>,
    /// Digest of all replayed answers, in order.
    pub digest: u64,
    /// The policy's panic, if it had one; the replay ends there.
    pub panic: Option<PolicyPanic>,
}

/// Is called after each step of a replay.
pub type StepCallback<'a, 'b> = &'a mut (dyn FnMut(Step<'_>) + 'b);

/// One input of a replay.
pub struct Step<'a> {
    /// The record's number in its segment, from 0.
    pub number: usize,
    /// The record, with the event as it was given to the policy.
    pub record: &'a Record,
    /// The policy after the event.
    pub policy: &'a Policy,
    /// The policy's actions, explanations among them where [`ReplayOptions::explain`] asks for them.
    pub actions: &'a [Action],
}

/// A change of the policy before it is given the first event.
pub type PolicyChange<'a> = &'a dyn Fn(&mut Policy) -> Result<(), BoxError>;

/// How a segment is replayed.
pub struct ReplayOptions<'a> {
    /// What becomes of outcomes of decisions that the replayed policy did not take.
    pub outcome_policy: OutcomePolicy,
    /// The time up to which records are replayed; all if absent.
    pub until: Option<Timestamp>,
    /// The policy explains its decisions.
    pub explain: bool,
    /// What is changed of the policy.
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

/// Replays a segment from its checkpoint.
///
/// # Errors
/// A checkpoint that this build cannot read, or a change of the policy that fails.
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
