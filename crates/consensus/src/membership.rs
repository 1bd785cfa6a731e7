//! The members of the group. Committed entries change them, in the same order at every member.

use crate::ids::MemberId;
use crate::limits::{MAX_LEARNERS, MAX_NODES, MAX_VOTERS, MIN_VOTERS};
use crate::wire;
use std::collections::BTreeMap;

/// A change of one member, the only kind of membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfChange {
    /// Kind of the change.
    pub kind: ConfChangeKind,
    /// The member that is added, promoted or removed.
    pub member: MemberId,
}

/// Kind of a membership change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfChangeKind {
    /// The member is added as a learner, which follows without a vote.
    AddLearner,
    /// A learner becomes a voter.
    Promote,
    /// The member is removed permanently under this incarnation.
    Remove,
}

/// The rule that a membership change breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConfChangeViolation {
    /// Nodes and incarnations count from 1.
    #[error("nodes and incarnations count from 1")]
    InvalidMember,
    /// This incarnation of the node, or a later one, was a member before.
    #[error("this incarnation, or a later one, was a member before")]
    IncarnationReused,
    /// There are already [`MAX_LEARNERS`] learners.
    #[error("there are already {MAX_LEARNERS} learners")]
    TooManyLearners,
    /// The incarnations of [`MAX_NODES`] nodes are already recorded, and the node is a new one.
    #[error("the incarnations of {MAX_NODES} nodes are already recorded")]
    TooManyNodes,
    /// Only a learner can be promoted.
    #[error("not a learner")]
    NotALearner,
    /// There are already [`MAX_VOTERS`] voters.
    #[error("there are already {MAX_VOTERS} voters")]
    TooManyVoters,
    /// Only a member can be removed.
    #[error("not a member")]
    NotAMember,
    /// [`MIN_VOTERS`] voters have to remain.
    #[error("{MIN_VOTERS} voters have to remain")]
    TooFewVoters,
}

impl ConfChange {
    pub(crate) fn to_wire(self) -> wire::ConfChange {
        let kind = match self.kind {
            ConfChangeKind::AddLearner => 0,
            ConfChangeKind::Promote => 1,
            ConfChangeKind::Remove => 2,
        };
        wire::ConfChange { kind, member: self.member.raw() }
    }

    /// Decodes a change; `None` for an unknown kind.
    pub(crate) fn from_wire(change: &wire::ConfChange) -> Option<Self> {
        let kind = match change.kind {
            0 => ConfChangeKind::AddLearner,
            1 => ConfChangeKind::Promote,
            2 => ConfChangeKind::Remove,
            _ => return None,
        };
        Some(ConfChange { kind, member: MemberId::from_raw(change.member) })
    }
}

/// Voters, learners, and the highest incarnation of every node.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Membership {
    /// Members with a vote, sorted.
    pub voters: Vec<MemberId>,
    /// Members without a vote, sorted.
    pub learners: Vec<MemberId>,
    /// The highest incarnation under which each node was ever a member, by node.
    pub incarnations: BTreeMap<u32, u32>,
}

/// A membership and the index of the entry that made it effective.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct VersionedMembership {
    /// Index of the entry; 0 for the configured contacts.
    pub index: u64,
    /// The members as of that entry.
    pub membership: Membership,
}

impl Membership {
    /// A membership with these voters and no learners.
    pub(crate) fn from_voters(voters: &[MemberId]) -> Self {
        let incarnations = voters.iter().map(|member| (member.node, member.incarnation)).collect();
        let mut voters = voters.to_vec();
        voters.sort_unstable();
        Membership { voters, learners: Vec::new(), incarnations }
    }

    /// Whether a member is a voter or a learner.
    pub fn contains(&self, member: MemberId) -> bool {
        self.voters.contains(&member) || self.learners.contains(&member)
    }

    /// Checks a change. The same rules apply when it is proposed and at every member that applies it.
    ///
    /// # Errors
    /// The first rule that the change breaks.
    pub fn check(&self, change: ConfChange) -> Result<(), ConfChangeViolation> {
        match change.kind {
            ConfChangeKind::AddLearner => self.check_added(change.member),
            ConfChangeKind::Promote => self.check_promoted(change.member),
            ConfChangeKind::Remove => self.check_removed(change.member),
        }
    }

    fn check_added(&self, member: MemberId) -> Result<(), ConfChangeViolation> {
        if member.node == 0 || member.incarnation == 0 {
            return Err(ConfChangeViolation::InvalidMember);
        }
        let highest = self.incarnations.get(&member.node);
        if highest.is_some_and(|&highest| highest >= member.incarnation) {
            return Err(ConfChangeViolation::IncarnationReused);
        }
        if self.learners.len() >= MAX_LEARNERS {
            return Err(ConfChangeViolation::TooManyLearners);
        }
        if highest.is_none() && self.incarnations.len() >= MAX_NODES {
            return Err(ConfChangeViolation::TooManyNodes);
        }
        Ok(())
    }

    fn check_promoted(&self, member: MemberId) -> Result<(), ConfChangeViolation> {
        if !self.learners.contains(&member) {
            return Err(ConfChangeViolation::NotALearner);
        }
        if self.voters.len() >= MAX_VOTERS {
            return Err(ConfChangeViolation::TooManyVoters);
        }
        Ok(())
    }

    fn check_removed(&self, member: MemberId) -> Result<(), ConfChangeViolation> {
        if !self.contains(member) {
            return Err(ConfChangeViolation::NotAMember);
        }
        if self.voters.contains(&member) && self.voters.len() <= MIN_VOTERS {
            return Err(ConfChangeViolation::TooFewVoters);
        }
        Ok(())
    }

    /// Applies a change that [`Membership::check`] accepts.
    pub(crate) fn apply(&mut self, change: ConfChange) {
        let member = change.member;
        self.voters.retain(|&voter| voter != member);
        self.learners.retain(|&learner| learner != member);
        match change.kind {
            ConfChangeKind::AddLearner => {
                self.learners.push(member);
                self.learners.sort_unstable();
                self.incarnations.insert(member.node, member.incarnation);
            }
            ConfChangeKind::Promote => {
                self.voters.push(member);
                self.voters.sort_unstable();
            }
            ConfChangeKind::Remove => {}
        }
    }

    pub(crate) fn to_wire(&self) -> wire::Membership {
        let raw = |members: &[MemberId]| members.iter().map(|member| member.raw()).collect();
        wire::Membership { voters: raw(&self.voters), learners: raw(&self.learners) }
    }

    /// Decodes a membership; `None` when a list exceeds its bound, or a member is invalid or appears twice.
    pub(crate) fn from_wire(membership: &wire::Membership, incarnations: &[u64]) -> Option<Self> {
        let voters = sorted_members(&membership.voters);
        let learners = sorted_members(&membership.learners);
        let is_within_bounds =
            voters.len() <= MAX_VOTERS && learners.len() <= MAX_LEARNERS && incarnations.len() <= MAX_NODES;
        if !is_within_bounds || !are_valid_and_distinct(&voters, &learners) {
            return None;
        }
        let incarnations = incarnations
            .iter()
            .map(|&raw| MemberId::from_raw(raw))
            .map(|member| (member.node, member.incarnation))
            .collect();
        Some(Membership { voters, learners, incarnations })
    }

    /// The highest incarnation of each node, as raw member numbers.
    pub(crate) fn incarnations_raw(&self) -> Vec<u64> {
        self.incarnations.iter().map(|(&node, &incarnation)| MemberId::new(node, incarnation).raw()).collect()
    }
}

fn sorted_members(raw: &[u64]) -> Vec<MemberId> {
    let mut members: Vec<MemberId> = raw.iter().map(|&raw| MemberId::from_raw(raw)).collect();
    members.sort_unstable();
    members
}

fn are_valid_and_distinct(voters: &[MemberId], learners: &[MemberId]) -> bool {
    let mut members: Vec<MemberId> = voters.iter().chain(learners).copied().collect();
    let is_valid = |member: &MemberId| member.node > 0 && member.incarnation > 0;
    if !members.iter().all(is_valid) {
        return false;
    }
    members.sort_unstable();
    members.dedup();
    members.len() == voters.len() + learners.len()
}
