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
        /// The peer whose state or entry differs.
        peer: MemberId,
        /// Index of the entry after which, or at which, the members differ.
        index: u64,
    },
    /// A peer knows another boot of this member with the same or a higher number. Raised once after a start,
    /// it means that an earlier start did not finish rejoining. Raised repeatedly, it means that another
    /// process runs under this member's id.
    DuplicateInstance {
        /// Number of the other boot, as the peer knows it.
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

/// How a member was found to have lost acknowledged writes.
#[derive(Debug, Clone, PartialEq)]
pub enum QuarantineReason {
    /// A peer observed that this member acknowledged more than its disk held at its start.
    LostAcknowledgedWrites {
        /// The peer that observed the acknowledgement.
        observed_by: MemberId,
        /// Highest state that the peer observed this member to acknowledge.
        observed: AckState,
        /// State that this member's disk held at its start.
        recovered: AckState,
    },
    /// A leader relies on an entry that this member acknowledged and no longer has.
    MissingLogEntry {
        /// The leader whose message shows the loss.
        leader: MemberId,
        /// Index of the entry that the leader relies on.
        index: u64,
        /// Index of the last entry in this member's log.
        last_index: u64,
    },
    /// The member was quarantined before a restart, as its disk shows.
    FoundEarlier,
}
