//! The records of the fleet's replicated log, and positions in it.
//!
//! An [`Entry`] is proposed by a manager or an operator, agreed on by the consensus crate, and applied by
//! every manager in the same order. An applied entry is a [`Record`]: the entry, its [`Position`] and its
//! [`Outcome`]. An outcome depends only on the records before it, so it is the same at every manager. How
//! entries are agreed on, what they mean and who reads them is outside the scope of this crate.

mod entry;
mod position;
mod proposal_dedup;

/// The records, as `proto/replicated_log.proto` defines them.
#[allow(missing_docs, reason = "generated: the documentation is in proto/replicated_log.proto")]
pub mod v1 {
    include!(concat!(env!("OUT_DIR"), "/sprucelink.replicated_log.v1.rs"));
}

pub use entry::{decode, encode, EntryError, MAX_ENTRY_BYTES};
pub use position::{ParsePositionError, Position};
pub use proposal_dedup::{OriginHistory, ProposalDedup, MAX_ORIGINS, SEQUENCE_WINDOW};
pub use prost;
pub use v1::{Entry, Outcome, Record};

/// The descriptors of the records, as an encoded `FileDescriptorSet`.
pub const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/replicated_log.fds"));

impl Record {
    /// Position of the record: its epoch and index.
    pub fn position(&self) -> Position {
        Position { epoch: self.epoch, index: self.index }
    }
}

impl Outcome {
    /// Outcome of an entry that took effect and was assigned a number (0: none).
    pub fn applied(assigned_number: u64) -> Outcome {
        Outcome { kind: v1::outcome::Kind::Applied as i32, assigned_number, ..Outcome::default() }
    }

    /// Outcome of an entry that broke a rule, with the rule's stable name and an explanation.
    pub fn rejected(rule: &str, explanation: impl Into<String>) -> Outcome {
        Outcome {
            kind: v1::outcome::Kind::Rejected as i32,
            rule: rule.to_owned(),
            explanation: explanation.into(),
            assigned_number: 0,
        }
    }

    /// Outcome of an entry whose proposal had already taken effect.
    pub fn duplicate() -> Outcome {
        Outcome { kind: v1::outcome::Kind::Duplicate as i32, ..Outcome::default() }
    }

    /// Whether the entry took effect; false for rejected and duplicate entries.
    pub fn is_applied(&self) -> bool {
        self.kind() == v1::outcome::Kind::Applied
    }
}
