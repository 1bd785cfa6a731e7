//! Snapshots of the applied state, and the overrides of the rejoin protocol that an operator may issue.

use super::{Node, Phase, SnapshotError};
use crate::alarm::Alarm;
use crate::ids::MemberId;
use crate::limits::MAX_SNAPSHOT_BYTES;
use crate::rejoin::{RejoinFloors, RejoinOutcome};

impl Node {
    /// Stores a snapshot of the applied state up to and including entry `index`. The log before that entry is
    /// dropped, except for [`crate::limits::RETAINED_ENTRIES`].
    ///
    /// # Errors
    /// The snapshot was not accepted; the log is unchanged.
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

    /// Operator override: ends the rejoining of this member without floors, or removes the log floors of an
    /// established member. It may be used only if members are permanently lost and this member's disk is
    /// known to hold everything that the member acknowledged, which rejoining otherwise ensures. Returns
    /// false when nothing was overridden.
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

    /// Operator override: declares a member's store permanently lost, so that this member doesn't wait for
    /// its contents. While rejoining, this member counts it as a response; once established, it removes the
    /// floor that the lost member set. It may be used if too few members remain to rejoin by themselves. An
    /// entry that only the lost store held is then lost.
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
