//! Elections and leadership transfers that an operator requests.

use super::{LeadershipError, Node};
use crate::ids::MemberId;

impl Node {
    /// Starts an election now, if this member may campaign.
    ///
    /// # Errors
    /// The member may not campaign: it has no vote, or its log is behind its floors.
    pub fn campaign(&mut self) -> Result<(), LeadershipError> {
        if !self.may_campaign() || !self.raw_node.raft.promotable() {
            return Err(LeadershipError::NotElectable);
        }
        self.raw_node.campaign().map_err(|_| LeadershipError::Dropped)
    }

    /// Transfers leadership to another voter as soon as that voter has all entries. The transfer is abandoned
    /// after an election timeout.
    ///
    /// # Errors
    /// This member does not lead, or `to` is this member or has no vote.
    pub fn transfer_leadership(&mut self, to: MemberId) -> Result<(), LeadershipError> {
        if !self.is_leading() {
            return Err(LeadershipError::NotLeader { leader: self.leader() });
        }
        if !self.current_membership().membership.voters.contains(&to) || to == self.id {
            return Err(LeadershipError::NotAnotherVoter);
        }
        self.raw_node.transfer_leader(to.raw());
        Ok(())
    }
}
