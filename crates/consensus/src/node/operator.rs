//! Snapshots of the applied state, and what an operator may override.

use super::{Node, Phase, SnapshotError};
use crate::alarm::Alarm;
use crate::ids::MemberId;
use crate::limits::MAX_SNAPSHOT_BYTES;
use crate::rejoin::{RejoinFloors, RejoinOutcome};

impl Node {
    /// Takes the applied state up to and including an entry; the log before it is dropped, except for some entries.
    ///
    /// # Errors
    /// When the snapshot is not acceptable; then the log stays as it is.
    pub fn snapshot_taken(&mut self, index: u64, state: Vec<u8>) -> Result<(), SnapshotError> {
        self.is_snapshot_requested = false;
        if state.len() > MAX_SNAPSHOT_BYTES {
            return Err(SnapshotError::TooLarge);
        }
        if index > self.progress.applied || index <= self.raw_node.store().snapshot_index() {
            return Err(SnapshotError::InvalidIndex { index });
        }
        if !self.raw_node.mut_store().compact(index, state) {
            return Err(SnapshotError::InvalidIndex { index });
        }
        self.persistence.is_snapshot_due = true;
        Ok(())
    }

    /// An operator declares the disk of a rejoining member complete, or lifts the log floors of an established one. To be
    /// used only where members are permanently lost and the disk is known to hold all that was acknowledged, which rejoining
    /// otherwise establishes. False when there was nothing to lift.
    pub fn trust_disk(&mut self) -> bool {
        match self.phase {
            Phase::Rejoining { .. } => {
                self.establish(RejoinOutcome { floors: RejoinFloors::default(), is_weak: false });
            }
            Phase::Established if !self.has_reached_log_floors() => self.floors.logs.clear(),
            _ => return false,
        }
        self.raise_alarm(Alarm::OperatorOverride);
        true
    }

    /// An operator declares a member's store permanently lost, so that nobody waits for what it held. A rejoining member
    /// counts it as a response; an established one lifts the floor that it set. To be used where the remaining members are
    /// too few to rejoin by themselves: an entry that only that store still held is then lost.
    pub fn declare_lost(&mut self, member: MemberId) {
        match &mut self.phase {
            Phase::Rejoining { quorum, .. } => quorum.declare_lost(member),
            Phase::Established => self.floors.logs.retain(|floor| floor.member != member),
            Phase::Quarantined(_) => return,
        }
        self.raise_alarm(Alarm::OperatorOverride);
        self.finish_rejoin();
    }
}
