//! Membership changes: one member at a time, through learners.

use super::{ConfChangeError, Node};
use crate::convert;
use crate::ids::MemberId;
use crate::limits::MAX_PROMOTION_LAG;
use crate::membership::{ConfChange, ConfChangeKind};
use prost::Message as _;

impl Node {
    /// Proposes to add a member without a vote. An incarnation that was a member before is rejected.
    ///
    /// # Errors
    /// The change was not proposed.
    pub fn add_learner(&mut self, member: MemberId) -> Result<(), ConfChangeError> {
        self.propose_conf_change(ConfChange { kind: ConfChangeKind::AddLearner, member })
    }

    /// Proposes to make a learner a voter. Rejected while the learner lacks more than [`MAX_PROMOTION_LAG`]
    /// committed entries.
    ///
    /// # Errors
    /// The change was not proposed.
    pub fn promote(&mut self, member: MemberId) -> Result<(), ConfChangeError> {
        self.check_leads()?;
        let progress = self.raw_node.raft.prs().get(member.raw());
        let matched = progress.map_or(0, |progress| progress.matched);
        let missing_entries = self.raw_node.raft.raft_log.committed.saturating_sub(matched);
        let is_behind = missing_entries > MAX_PROMOTION_LAG || matched == 0;
        if is_behind && self.current_membership().membership.learners.contains(&member) {
            return Err(ConfChangeError::LearnerBehind { missing_entries });
        }
        self.propose_conf_change(ConfChange { kind: ConfChangeKind::Promote, member })
    }

    /// Proposes to remove a member permanently: its incarnation can't be added again.
    ///
    /// # Errors
    /// The change was not proposed. A leader must transfer its leadership before it can be removed.
    pub fn remove(&mut self, member: MemberId) -> Result<(), ConfChangeError> {
        if member == self.id {
            return Err(ConfChangeError::RemovesLeader);
        }
        self.propose_conf_change(ConfChange { kind: ConfChangeKind::Remove, member })
    }

    fn propose_conf_change(&mut self, change: ConfChange) -> Result<(), ConfChangeError> {
        self.check_leads()?;
        self.current_membership().membership.check(change).map_err(ConfChangeError::Invalid)?;
        if self.raw_node.raft.has_pending_conf() || !self.raw_node.raft.commit_to_current_term() {
            return Err(ConfChangeError::Pending);
        }
        let context = change.to_wire().encode_to_vec();
        let proposed = self.raw_node.propose_conf_change(context, convert::conf_change_to_raft(change));
        proposed.map_err(|_| ConfChangeError::Dropped)
    }

    fn check_leads(&self) -> Result<(), ConfChangeError> {
        if self.is_leading() {
            return Ok(());
        }
        Err(ConfChangeError::NotLeader { leader: self.leader() })
    }
}
