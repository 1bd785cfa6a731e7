//! Conditions that an operator should see.

use crate::ids::MemberId;
use crate::wire::AckState;
use sprucelink_time::TimeDelta;

/// A condition that an operator should see.
#[derive(Debug, Clone, PartialEq)]
pub enum Alarm {
    /// This member was found to have lost acknowledged writes.
    Quarantined(QuarantineReason),
    /// A peer has another state after the same entry, or another entry where this member's is committed.
    Diverged {
        /// The peer.
        peer: MemberId,
        /// The entry.
        index: u64,
    },
    /// A peer knows another boot of this member with the same or a higher number. Once after a start: an earlier start did
    /// not get beyond rejoining. Repeatedly: another process runs under this member's id.
    DuplicateInstance {
        /// The number of the other boot.
        boot: u64,
    },
    /// This leader was not ticked for long, and stepped down.
    LeaderPaused {
        /// How long it was not ticked.
        paused_for: TimeDelta,
    },
    /// Responses of members that were themselves rejoining had to count: two disks that lost the same writes go
    /// undetected.
    WeakRejoinQuorum,
    /// An operator overrode the rejoin protocol.
    OperatorOverride,
}

/// Why a member is quarantined.
#[derive(Debug, Clone, PartialEq)]
pub enum QuarantineReason {
    /// A peer saw it acknowledge more than its disk held at its start.
    LostAcknowledgedWrites {
        /// The peer.
        observed_by: MemberId,
        /// What the peer saw acknowledged.
        observed: AckState,
        /// What the disk held.
        recovered: AckState,
    },
    /// A leader counts on an entry that it acknowledged and does not have.
    MissingLogEntry {
        /// The leader.
        leader: MemberId,
        /// The entry that the leader counts on.
        index: u64,
        /// The last entry in the log.
        last_index: u64,
    },
    /// It was quarantined before a restart, as its disk shows.
    FoundEarlier,
}
