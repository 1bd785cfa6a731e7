//! Who is in the council, as committed entries say: the same steps at every member.

use crate::ids::MemberId;
use crate::limits::{MAX_LEARNERS, MAX_NODES, MAX_VOTERS, MIN_VOTERS};
use crate::wire;
use std::collections::BTreeMap;

/// A change of members by one, the only kind there is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfChange {
    /// What is to happen.
    pub kind: ConfChangeKind,
    /// To whom.
    pub member: MemberId,
}

/// What happens to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfChangeKind {
    /// It comes in and follows, without a vote.
    AddLearner,
    /// A learner gets its vote.
    Promote,
    /// It goes, for good under this incarnation.
    Remove,
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

/// Voters, learners, and every node's highest incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Membership {
    /// Who has a vote, sorted.
    pub voters: Vec<MemberId>,
    /// Who follows without one, sorted.
    pub learners: Vec<MemberId>,
    /// The highest incarnation that each node ever had here.
    pub incarnations: BTreeMap<u32, u32>,
}

impl Membership {
    /// The council as founded.
    pub(crate) fn founded(founders: &[MemberId]) -> Self {
        let mut voters = founders.to_vec();
        voters.sort_unstable();
        let incarnations = founders.iter().map(|member| (member.node, member.incarnation)).collect();
        Membership { voters, learners: Vec::new(), incarnations }
    }

    /// Whether a member is in, as a voter or learner.
    pub fn contains(&self, member: MemberId) -> bool {
        self.voters.contains(&member) || self.learners.contains(&member)
    }

    /// Why a change can't be made, if so. The same rule at the proposer and wherever the entry is applied.
    pub fn objection(&self, change: ConfChange) -> Option<&'static str> {
        let member = change.member;
        match change.kind {
            ConfChangeKind::AddLearner => {
                if member.node == 0 || member.incarnation == 0 {
                    return Some("nodes and incarnations count from 1");
                }
                if self.incarnations.get(&member.node).is_some_and(|&highest| highest >= member.incarnation) {
                    return Some("this incarnation, or a later one, was in the council before");
                }
                if self.learners.len() >= MAX_LEARNERS {
                    return Some("as many learners as there may be");
                }
                let known = self.incarnations.contains_key(&member.node);
                (!known && self.incarnations.len() >= MAX_NODES)
                    .then_some("as many nodes as can be remembered")
            }
            ConfChangeKind::Promote => {
                if !self.learners.contains(&member) {
                    return Some("not a learner here");
                }
                (self.voters.len() >= MAX_VOTERS).then_some("as many voters as there may be")
            }
            ConfChangeKind::Remove => {
                if !self.contains(member) {
                    return Some("not in the council");
                }
                (self.voters.contains(&member) && self.voters.len() <= MIN_VOTERS)
                    .then_some("no fewer voters may be left")
            }
        }
    }

    /// Makes a change that has no objection.
    pub(crate) fn apply(&mut self, change: ConfChange) {
        let member = change.member;
        self.voters.retain(|&held| held != member);
        self.learners.retain(|&held| held != member);
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
        let raw = |list: &[MemberId]| list.iter().map(|member| member.raw()).collect();
        wire::Membership { voters: raw(&self.voters), learners: raw(&self.learners) }
    }

    /// `None` when the lists are over their bounds, or somebody stands in them twice.
    pub(crate) fn from_wire(members: &wire::Membership, incarnations: &[u64]) -> Option<Self> {
        let list = |raw: &[u64]| {
            let mut list: Vec<MemberId> = raw.iter().map(|&raw| MemberId::from_raw(raw)).collect();
            list.sort_unstable();
            list
        };
        let (voters, learners) = (list(&members.voters), list(&members.learners));
        let mut all: Vec<MemberId> = voters.iter().chain(&learners).copied().collect();
        all.sort_unstable();
        all.dedup();
        let whole =
            all.len() == voters.len() + learners.len() && all.iter().all(|m| m.node > 0 && m.incarnation > 0);
        if !whole
            || voters.len() > MAX_VOTERS
            || learners.len() > MAX_LEARNERS
            || incarnations.len() > MAX_NODES
        {
            return None;
        }
        let incarnations = incarnations
            .iter()
            .map(|&raw| MemberId::from_raw(raw))
            .map(|m| (m.node, m.incarnation))
            .collect();
        Some(Membership { voters, learners, incarnations })
    }

    pub(crate) fn incarnations_raw(&self) -> Vec<u64> {
        self.incarnations.iter().map(|(&node, &incarnation)| MemberId::new(node, incarnation).raw()).collect()
    }
}
