//! Errors of a member: failed starts and rejected calls.

use crate::config::ConfigError;
use crate::ids::MemberId;
use crate::limits::{MAX_PROPOSAL_BYTES, MAX_SNAPSHOT_BYTES};
use crate::membership::ConfChangeViolation;

/// Why a member can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration is invalid.
    #[error("invalid configuration")]
    Config(#[source] ConfigError),
    /// The commit index in the store is beyond the last entry in it.
    #[error(
        "the store lacks committed entries: entry {commit} is committed, the last stored entry is {last}"
    )]
    MissingCommittedEntries {
        /// Index of the last entry known to be committed.
        commit: u64,
        /// Index of the last entry in the store.
        last: u64,
    },
    /// The entries in the store have a gap.
    #[error("the store has entry {found} where entry {expected} is expected")]
    EntryGap {
        /// The expected index.
        expected: u64,
        /// The index of the entry found instead.
        found: u64,
    },
    /// The raft library rejected its configuration.
    #[error("the raft library could not start")]
    Raft(#[source] raft::Error),
}

/// Why a proposal was rejected. It was neither appended nor forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This member is rejoining, or it does not lead and knows of no leader.
    #[error("not the leader: {}", describe_leader(.leader))]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<MemberId>,
    },
    /// Too many proposals are pending, or the log is full. The proposal may be retried later.
    #[error("too many proposals are pending")]
    TooManyPending,
    /// The proposal is longer than [`MAX_PROPOSAL_BYTES`].
    #[error("the proposal is longer than {MAX_PROPOSAL_BYTES} bytes")]
    TooLarge,
    /// A proposal with this id is pending.
    #[error("a proposal with this id is pending")]
    AlreadyPending,
    /// This member is quarantined.
    #[error("this member is quarantined")]
    Quarantined,
}

/// Why an election or a transfer of leadership was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LeadershipError {
    /// Only the leader can transfer its leadership.
    #[error("not the leader: {}", describe_leader(.leader))]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<MemberId>,
    },
    /// This member must not lead now: it has no vote, or its log is behind its floors.
    #[error("this member must not lead now")]
    NotElectable,
    /// Leadership can be transferred only to another voter.
    #[error("the target is not another voter")]
    NotAnotherVoter,
    /// The raft library did not start an election.
    #[error("the raft library did not start an election")]
    Dropped,
}

/// Why a membership change was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConfChangeError {
    /// Only the leader can change the membership.
    #[error("not the leader: {}", describe_leader(.leader))]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<MemberId>,
    },
    /// Another change is pending, or the leader has not yet committed an entry of its term.
    #[error("another change is pending")]
    Pending,
    /// The change breaks a rule of the membership.
    #[error("invalid membership change")]
    Invalid(#[source] ConfChangeViolation),
    /// A leader has to transfer its leadership before it is removed.
    #[error("the leader has to transfer its leadership first")]
    RemovesLeader,
    /// The learner lacks more than [`crate::limits::MAX_PROMOTION_LAG`] committed entries, or has not
    /// acknowledged any entry.
    #[error("the learner lacks {missing_entries} entries")]
    LearnerBehind {
        /// Number of committed entries that the learner lacks.
        missing_entries: u64,
    },
    /// The raft library did not accept the proposal.
    #[error("the raft library dropped the proposal")]
    Dropped,
}

/// Why a snapshot was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot is longer than [`MAX_SNAPSHOT_BYTES`].
    #[error("the snapshot is longer than {MAX_SNAPSHOT_BYTES} bytes")]
    TooLarge,
    /// The snapshot's entry is not applied, or not after the last snapshot.
    #[error("entry {index} is not applied, or not after the last snapshot")]
    InvalidIndex {
        /// Index of the last entry in the rejected snapshot.
        index: u64,
    },
}

fn describe_leader(leader: &Option<MemberId>) -> String {
    match leader {
        Some(leader) => format!("{leader} leads"),
        None => "no leader is known".to_owned(),
    }
}
