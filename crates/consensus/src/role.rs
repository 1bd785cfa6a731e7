//! The role of a member.

use crate::ids::MemberId;

/// The role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Restarted, and not yet allowed to take part ([`crate::rejoin`]).
    Rejoining,
    /// Found to have lost acknowledged writes; excluded permanently under this incarnation.
    Quarantined,
    /// Not a member, as far as it knows.
    NonMember,
    /// Follows without a vote.
    Learner,
    /// Follows.
    Follower,
    /// Requests votes.
    Candidate,
    /// Leads.
    Leader,
}

/// A member's role, its term and the leader that it knows of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The role.
    pub role: Role,
    /// The term.
    pub term: u64,
    /// The leader, if one is known.
    pub leader: Option<MemberId>,
}
