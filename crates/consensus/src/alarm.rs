//! Conditions that an operator should see.

use crate::ids::MemberId;
use crate::wire::AckState;
use sprucelink_time::TimeDelta;

/// A condition that an operator should see.
#[derive(Debug, Clone, PartialEq)]
pub enum Alarm {
    /// This member was found to have lost acknowledged writes.
    Quarantined(QuarantineReason),
    /// A peer has a different state after the same entry, or a different entry at an index that this member
    /// has committed.
    Diverged {
        /// The peer that differs.
        peer: MemberId,
        /// Index of the entry.
        index: u64,
    },
    /// A peer knows another boot of this member with the same or a higher number. Raised once after a start,
    /// it means that an earlier start did not finish rejoining. Raised repeatedly, it means that another
    /// process runs under this member's id.
    DuplicateInstance {
        /// The number of the other boot.
        boot: u64,
    },
    /// This leader was not ticked for an election timeout or longer, and stepped down.
    LeaderPaused {
        /// Time since the last tick.
        paused_for: TimeDelta,
    },
    /// Responses of members that were themselves rejoining had to count: if two disks lost the same writes,
    /// the loss may stay undetected.
    WeakRejoinQuorum,
    /// An operator overrode the rejoin protocol.
    OperatorOverride,
}

/// Why a member is quarantined.
#[derive(Debug, Clone, PartialEq)]
pub enum QuarantineReason {
    /// A peer observed that this member acknowledged more than its disk held at its start.
    LostAcknowledgedWrites {
        /// The peer.
        observed_by: MemberId,
        /// State that the peer observed as acknowledged.
        observed: AckState,
        /// State that the disk held.
        recovered: AckState,
    },
    /// A leader relies on an entry that this member acknowledged and no longer has.
    MissingLogEntry {
        /// The leader.
        leader: MemberId,
        /// Index of the entry that the leader relies on.
        index: u64,
        /// Index of the last entry in this member's log.
        last_index: u64,
    },
    /// The member was quarantined before a restart, as its disk shows.
    FoundEarlier,
}
