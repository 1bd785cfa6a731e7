//! Status of a member: its role, term, log progress and membership.

use super::{Node, Phase};
use crate::alarm::QuarantineReason;
use crate::ids::MemberId;
use crate::membership::{Membership, VersionedMembership};
use crate::role::Role;
use raft::StateRole;
use sprucelink_time::{TimeDelta, Timestamp};

/// Replication progress of a member's log, as known to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberProgress {
    /// Id of the member.
    pub member: MemberId,
    /// Index of the last entry that the member is known to hold.
    pub matched: u64,
}

impl Node {
    /// Id of this member: its node and the incarnation of its store.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The current raft term.
    pub fn term(&self) -> u64 {
        self.raw_node.raft.term
    }

    /// The role that was last handed out; `None` before the first [`Node::ready`].
    pub fn role(&self) -> Option<Role> {
        self.last_role_change.map(|change| change.role)
    }

    /// The leader that this member knows of. The value is a hint: the member may no longer lead.
    pub fn leader(&self) -> Option<MemberId> {
        if !self.is_established() {
            return None;
        }
        MemberId::from_raft(self.raw_node.raft.leader_id)
    }

    /// Time for which this member has led, by its own clock; `None` when it doesn't lead. The value is a hint
    /// and not a lease: another member may lead by now.
    pub fn leading_for(&self, now: Timestamp) -> Option<TimeDelta> {
        self.leading_since.map(|since| (now - since).max(TimeDelta::ZERO))
    }

    /// Why this member is quarantined, if it is.
    pub fn quarantine_reason(&self) -> Option<&QuarantineReason> {
        match &self.phase {
            Phase::Quarantined(reason) => Some(reason),
            _ => None,
        }
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.raw_node.raft.raft_log.committed
    }

    /// The term of an entry in this member's log, committed or not; `None` when it is compacted or does not
    /// exist.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.raw_node.raft.raft_log.term(index).ok().filter(|&term| term > 0)
    }

    /// The membership as of the last entry handed out.
    pub fn membership(&self) -> Membership {
        self.current_membership().membership.clone()
    }

    /// The membership as of the last entry handed out, and the index of the entry that made it effective.
    pub fn versioned_membership(&self) -> VersionedMembership {
        self.current_membership().clone()
    }

    /// Replication progress of each member; empty unless this member leads.
    pub fn progress(&self) -> Vec<MemberProgress> {
        if self.raw_node.raft.state != StateRole::Leader {
            return Vec::new();
        }
        let progress = self.raw_node.raft.prs().iter();
        progress
            .map(|(&id, progress)| MemberProgress {
                member: MemberId::from_raw(id),
                matched: progress.matched,
            })
            .collect()
    }

    /// One line with the state of this member, for debugging a run.
    pub fn describe(&self) -> String {
        let current = self.current_membership();
        format!(
            "{:?} term {} leader {:?} last {:?} commit {} applied {} floor {:?} boot {} voters [{}] learners [{}] from {}",
            self.role(),
            self.term(),
            self.leader().map(|leader| leader.to_string()),
            self.last_position(),
            self.commit_index(),
            self.progress.applied,
            self.floors.furthest_log_position(),
            self.boot,
            join(&current.membership.voters),
            join(&current.membership.learners),
            current.index,
        )
    }
}

fn join(members: &[MemberId]) -> String {
    members.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
}
