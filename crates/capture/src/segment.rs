//! A segment of a capture: a checkpoint of the policy and the records after it. Each segment replays alone.

use crate::engine_numbers::EngineNumbers;
use crate::error::StateError;
use crate::identity;
use crate::input::RecordedInput;
use sprucelink_policy::{Action, Policy, Timestamp};
use std::path::PathBuf;

/// The policy's answer to an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The actions.
    Complete(Vec<Action>),
    /// What the actions are compared by, where only that was recorded.
    Digest {
        /// How many actions there were.
        count: u32,
        /// The digest of their encoded form.
        digest: u64,
    },
    /// None: the program ended before the policy had answered.
    None,
}

/// An input with the policy's answer to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When it happened.
    pub at: Timestamp,
    /// What happened.
    pub input: RecordedInput,
    /// What the policy answered.
    pub answer: Answer,
}

/// How a segment ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentEnd {
    /// Closed in order.
    Closed {
        /// Events lost after it.
        lost_events: u64,
    },
    /// The file ends without a tail: the program is still writing, or was killed.
    Truncated {
        /// The last frame is incomplete.
        inside_frame: bool,
    },
    /// Damaged from a byte offset on.
    Damaged {
        /// The offset in the file, in bytes.
        offset: usize,
        /// What is wrong there.
        reason: String,
    },
}

/// What a segment says of itself and of its recorder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Version of the file format.
    pub format: u32,
    /// The program that recorded: name, version and target.
    pub build: String,
    /// Checksum of the recording policy's source text ([`identity::policy_checksum`]).
    pub policy_checksum: u32,
    /// Digest of the recording build's floating-point functions ([`identity::float_digest`]).
    pub float_digest: u64,
    /// The segment's number since the recorder started, from 0.
    pub number: u64,
    /// When the policy started.
    pub policy_started_at: Timestamp,
    /// The seed that the policy started with.
    pub seed: u64,
    /// Events lost between the segment before and this one.
    pub lost_events_before: u64,
    /// The rules that a replay must hold, each as JSON; none, unless the segment is a case.
    pub rules: Vec<String>,
    /// Answers are recorded completely; otherwise as digests.
    pub has_complete_answers: bool,
    /// What a case shows, in words.
    pub note: String,
}

/// A part of a capture that replays alone.
#[derive(Clone, Debug)]
pub struct Segment {
    /// Its file.
    pub file: PathBuf,
    /// Its offset in the file, in bytes.
    pub offset: usize,
    /// Its header.
    pub header: SegmentHeader,
    /// When its checkpoint was taken.
    pub at: Timestamp,
    /// The state of the policy then, in MessagePack.
    pub state: Vec<u8>,
    /// Numbers of the engines then.
    pub engines: EngineNumbers,
    /// The records after the checkpoint.
    pub records: Vec<Record>,
    /// How it ended.
    pub end: SegmentEnd,
}

impl Segment {
    /// The policy as it was at the checkpoint. Fields that an older state lacks take their defaults.
    ///
    /// # Errors
    /// A state that this build cannot read.
    pub fn policy(&self) -> Result<Policy, StateError> {
        rmp_serde::from_slice(&self.state).map_err(StateError)
    }

    /// The time of its last record, otherwise of its checkpoint.
    pub fn until(&self) -> Timestamp {
        self.records.last().map_or(self.at, |record| record.at)
    }

    /// How the build that recorded it differs from this one, in words; empty where both decide alike.
    pub fn build_differences(&self) -> Vec<String> {
        let mut differences = Vec::new();
        let own_checksum = identity::policy_checksum();
        if self.header.policy_checksum != own_checksum {
            differences.push(format!(
                "recorded by another decision module ({:08x}, here {own_checksum:08x})",
                self.header.policy_checksum
            ));
        }
        if self.header.float_digest != identity::float_digest() {
            differences.push(
                "recorded by a build whose exp, ln or powf round otherwise: decisions may part in the last bit of \
                 a weight"
                    .to_owned(),
            );
        }
        differences
    }
}
