//! Snapshots of the applied state.

use crate::ids::LogPosition;
use crate::membership::Membership;

/// The state of the applied log up to and including an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of the last entry that the snapshot covers.
    pub term: u64,
    /// The membership as of that entry.
    pub membership: Membership,
    /// The applied state; empty for a new group.
    pub data: Vec<u8>,
}

impl Snapshot {
    /// The position of the last entry that the snapshot covers.
    pub(crate) fn position(&self) -> LogPosition {
        LogPosition::new(self.term, self.index)
    }
}
