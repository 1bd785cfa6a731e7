//! Identifiers of members and proposals, and positions in the log.

use std::fmt;

/// A member of the consensus group: a node and one of its incarnations.
///
/// An incarnation is one store. A node whose store was lost, replaced or quarantined comes back under a
/// higher incarnation; an incarnation that was once a member is never added again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// The node's number, from 1.
    pub node: u32,
    /// The incarnation of the node's store, from 1.
    pub incarnation: u32,
}

impl MemberId {
    /// The member with the given node and incarnation.
    pub const fn new(node: u32, incarnation: u32) -> Self {
        MemberId { node, incarnation }
    }

    /// The member as one number, with the node in the upper 32 bits. Never 0, because nodes count from 1.
    pub const fn raw(self) -> u64 {
        (self.node as u64) << 32 | self.incarnation as u64
    }

    /// The member with a number that [`MemberId::raw`] returned.
    pub const fn from_raw(raw: u64) -> Self {
        MemberId { node: (raw >> 32) as u32, incarnation: raw as u32 }
    }

    /// The member with a raw number of the raft library, which uses 0 for no member.
    pub(crate) fn from_raft(raw: u64) -> Option<Self> {
        (raw != 0).then(|| Self::from_raw(raw))
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.node, self.incarnation)
    }
}

/// Identifies a proposal: its proposer and a number that the proposer chose. The pair is part of the log
/// entry, so that the state machine can drop duplicates ([`crate::ProposalDedup`]).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// The proposer. A proposer that restarts without its counter uses a new origin.
    pub origin: u64,
    /// Number of the proposal, counted by the proposer.
    pub sequence: u64,
}

/// The term and index of a log entry. Positions are ordered as Raft compares logs: by term, then by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct LogPosition {
    /// Term in which a leader appended the entry.
    pub term: u64,
    /// Index of the entry in the log, from 1; 0 is the position before the first entry.
    pub index: u64,
}

impl LogPosition {
    /// The position with the given term and index.
    pub const fn new(term: u64, index: u64) -> Self {
        LogPosition { term, index }
    }
}
