//! Names of members and proposals.

use std::fmt;

/// A member of the council: a node, and which of its incarnations.
///
/// An incarnation is one store. A node whose store was lost, replaced or quarantined comes back under a higher
/// incarnation; an incarnation that was in the council once never comes in again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// The node's number, from 1.
    pub node: u32,
    /// Its incarnation, from 1.
    pub incarnation: u32,
}

impl MemberId {
    /// A member's name.
    pub const fn new(node: u32, incarnation: u32) -> Self {
        MemberId { node, incarnation }
    }

    /// As one number: the node in the upper half. Never 0 for a node from 1.
    pub const fn raw(self) -> u64 {
        (self.node as u64) << 32 | self.incarnation as u64
    }

    /// From one number.
    pub const fn from_raw(raw: u64) -> Self {
        MemberId { node: (raw >> 32) as u32, incarnation: raw as u32 }
    }

    /// From one number, where 0 stands for nobody.
    pub(crate) fn known(raw: u64) -> Option<Self> {
        (raw != 0).then(|| Self::from_raw(raw))
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.node, self.incarnation)
    }
}

/// What tells a proposal from all others: who made it and a number that it gave. The pair goes into the entry, so that
/// whoever applies entries can drop a repeat ([`crate::ProposalDedup`]).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId {
    /// The proposer; one that starts anew without its counter takes a new origin.
    pub origin: u64,
    /// Counts that proposer's proposals.
    pub sequence: u64,
}
