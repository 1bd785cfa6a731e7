//! A segment of a capture: a checkpoint of the policy and the records after it. Each segment can be replayed
//! without the others.

use crate::engine_numbers::EngineNumbers;
use crate::error::StateError;
use crate::identity;
use crate::input::RecordedInput;
use sprucelink_policy::{Action, Policy, Timestamp};
use std::path::PathBuf;

/// The policy's answer to an event, as far as it was recorded.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The actions, without explanations.
    Complete(Vec<Action>),
    /// Number and digest of the actions, which are enough to compare them with a replay's.
    Digest {
        /// Number of actions.
        count: u32,
        /// Digest of the encoded actions ([`crate::codec::digest_actions`]).
        digest: u64,
    },
    /// No answer: the program ended before the policy had answered.
    None,
}

/// An input of the policy and its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Time at which the policy was given the input. If the clock was set back, it may be earlier than the
    /// time of the previous record.
    pub at: Timestamp,
    /// The event, or a change of an engine's number.
    pub input: RecordedInput,
    /// The policy's answer; it has no actions if the input is a change of an engine's number.
    pub answer: Answer,
}

/// The way in which a segment ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentEnd {
    /// The recorder closed the segment.
    Closed {
        /// Number of events lost after the last record.
        lost_events: u64,
    },
    /// The file ends without a tail: the program is still writing, or was killed.
    Truncated {
        /// Whether the last frame is incomplete.
        inside_frame: bool,
    },
    /// The file is damaged from a byte offset on.
    Damaged {
        /// Offset in the file, in bytes.
        offset: usize,
        /// What is wrong at that offset.
        reason: String,
    },
}

/// Metadata of a segment and of its recorder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Version of the file format.
    pub format: u32,
    /// Name, version and target of the program that recorded.
    pub build: String,
    /// Checksum of the recording policy's source text ([`identity::policy_checksum`]).
    pub policy_checksum: u32,
    /// Digest of the recording build's floating-point functions ([`identity::float_digest`]).
    pub float_digest: u64,
    /// Sequence number of the segment since the recorder started, from 0.
    pub number: u64,
    /// Time at which the policy started.
    pub policy_started_at: Timestamp,
    /// Seed with which the policy started.
    pub seed: u64,
    /// Number of events lost between the previous segment and this one.
    pub lost_events_before: u64,
    /// Rules that a replay must hold, each as JSON; empty unless the segment is a case.
    pub rules: Vec<String>,
    /// Whether answers are recorded completely; otherwise they are recorded as digests.
    pub has_complete_answers: bool,
    /// Description of a case; empty for other segments.
    pub note: String,
}

/// A part of a capture that can be replayed without the others.
#[derive(Clone, Debug)]
pub struct Segment {
    /// File that the segment was read from.
    pub file: PathBuf,
    /// Offset of the segment in the file, in bytes.
    pub offset: usize,
    /// Metadata of the segment and its recorder.
    pub header: SegmentHeader,
    /// Time of the checkpoint.
    pub at: Timestamp,
    /// State of the policy at the checkpoint, in MessagePack.
    pub state: Vec<u8>,
    /// Numbers of the engines at the checkpoint.
    pub engines: EngineNumbers,
    /// Records after the checkpoint, in the order in which the policy was given the inputs.
    pub records: Vec<Record>,
    /// The way in which the segment ends.
    pub end: SegmentEnd,
}

impl Segment {
    /// The policy as it was at the checkpoint. Fields that are missing from the state of an older build get
    /// their defaults.
    ///
    /// # Errors
    /// This build cannot read the state.
    pub fn policy(&self) -> Result<Policy, StateError> {
        rmp_serde::from_slice(&self.state).map_err(StateError)
    }

    /// Time of the last record, or of the checkpoint if there are no records.
    pub fn until(&self) -> Timestamp {
        self.records.last().map_or(self.at, |record| record.at)
    }

    /// Texts for the differences between the recording build and this one; empty if both make the same
    /// decisions.
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
                "recorded by a build whose exp, ln or powf round otherwise: decisions may differ in the last bit of \
                 a weight"
                    .to_owned(),
            );
        }
        differences
    }
}
