//! The role of a member.

use crate::ids::MemberId;

/// The role of a member in the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The member has restarted and may not vote, acknowledge entries or campaign yet ([`crate::rejoin`]).
    Rejoining,
    /// The member was found to have lost acknowledged writes; it is excluded permanently under this
    /// incarnation.
    Quarantined,
    /// The newest membership that this process knows doesn't contain it.
    NonMember,
    /// The member follows the leader and has no vote.
    Learner,
    /// The member follows the leader and votes in elections.
    Follower,
    /// The member requests votes or pre-votes.
    Candidate,
    /// The member leads its term.
    Leader,
}

/// A member's role, its term and the leader that it knows of, after any of them changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleChange {
    /// The new role.
    pub role: Role,
    /// The member's current term.
    pub term: u64,
    /// The leader, if one is known.
    pub leader: Option<MemberId>,
}
