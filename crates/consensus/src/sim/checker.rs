//! Invariants that must hold under all faults. The checker examines the frames that hosts send, the entries
//! that they apply, and their roles, outcomes and alarms.

use super::recorder::chain_entry;
use crate::alarm::Alarm;
use crate::frame::Frame;
use crate::ids::{MemberId, ProposalId};
use crate::node::Node;
use crate::pending_proposals::ProposalOutcome;
use crate::ready::CommittedEntry;
use crate::role::{Role, RoleChange};
use crate::wire::envelope::Body;
use sprucelink_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Number of newest committed entries that a new leader's log is checked for.
const CHECKED_ENTRIES: usize = 256;
/// Kind of a vote request on the wire; the request is also the sender's vote for itself.
const VOTE_REQUEST: u32 = 3;
/// Kind of a vote response on the wire: a vote for the receiver, unless the response rejects the request.
const VOTE_RESPONSE: u32 = 4;

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Virtual time at which the checker found the violation.
    pub occurred_at: Timestamp,
    /// The violated invariant, with the members, entries and proposals concerned.
    pub kind: ViolationKind,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.3} s: {}", self.occurred_at.as_secs_f64(), self.kind)
    }
}

/// Kind of a violation, by invariant.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ViolationKind {
    /// Election safety: two leaders in one term.
    #[error("{first} and {second} both lead in term {term}")]
    TwoLeaders {
        /// The member that led first in the term.
        first: MemberId,
        /// The member that led later in the same term.
        second: MemberId,
        /// The term that both members led.
        term: u64,
    },
    /// Leader completeness: a new leader lacks a committed entry.
    #[error("{leader} leads in term {term} without entry {index} of term {entry_term}")]
    IncompleteLeader {
        /// The new leader.
        leader: MemberId,
        /// Term of the leader.
        term: u64,
        /// Index of the committed entry.
        index: u64,
        /// Term of the committed entry.
        entry_term: u64,
    },
    /// State machine safety: two members apply different entries at one index.
    #[error("{member} applies a different entry at {index} than an earlier member")]
    DivergentEntry {
        /// The member that applied the entry later.
        member: MemberId,
        /// Index of the entry in the log.
        index: u64,
    },
    /// A member reports that a peer's state differs from its own.
    #[error("the states of {member} and {peer} differ after entry {index}")]
    DivergentState {
        /// The member that reports the difference.
        member: MemberId,
        /// The peer whose state differs.
        peer: MemberId,
        /// Index of the entry after which the states differ.
        index: u64,
    },
    /// A proposal was reported as dropped and is committed.
    #[error("a proposal reported as dropped is committed: {id:?}")]
    DroppedButCommitted {
        /// Id of the proposal.
        id: ProposalId,
    },
    /// A proposal was reported as committed and no member has applied it.
    #[error("a proposal reported as committed at {index} was not applied by any member: {id:?}")]
    CommittedButNotApplied {
        /// Id of the proposal.
        id: ProposalId,
        /// Log index that was reported for the proposal.
        index: u64,
    },
    /// A quarantined member sends Raft messages.
    #[error("{member} is quarantined and sends Raft messages")]
    QuarantinedMemberActive {
        /// The quarantined member.
        member: MemberId,
    },
    /// A member votes for two candidates in one term.
    #[error("{member} votes twice in term {term}")]
    DoubleVote {
        /// The member that voted twice.
        member: MemberId,
        /// The term of both votes.
        term: u64,
    },
    /// The group has no leader after the recovery time.
    #[error("no leader at the end\n{hosts}")]
    NoLeader {
        /// One line with the state of each host.
        hosts: String,
    },
    /// A member lacks a committed proposal at the end.
    #[error("{member} lacks {id:?}, reported as committed at {index}; the last entry is {last_committed}")]
    ProposalLost {
        /// The member that lacks the proposal.
        member: MemberId,
        /// Id of the proposal.
        id: ProposalId,
        /// Log index that was reported for the proposal.
        index: u64,
        /// Index of the last committed entry.
        last_committed: u64,
    },
    /// A member applied a proposal more than once.
    #[error("{member} applied {id:?} {count} times")]
    AppliedRepeatedly {
        /// The member that applied the proposal.
        member: MemberId,
        /// Id of the proposal.
        id: ProposalId,
        /// Number of times that the member applied the proposal.
        count: u32,
    },
}

/// Number of proposals by reported outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Number of proposals reported as committed.
    pub committed: u64,
    /// Number of proposals reported as dropped.
    pub dropped: u64,
    /// Number of proposals whose outcome was reported as unknown.
    pub unknown: u64,
}

/// Identifies a vote: a member, a term, and the boot for members that lost writes (otherwise 0).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct VoteKey {
    member: MemberId,
    term: u64,
    boot: u64,
}

/// A committed entry, as it was first applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AppliedEntry {
    term: u64,
    digest: u64,
}

/// Checks the invariants during a run and keeps the first violation.
#[derive(Debug, Default)]
pub struct Checker {
    now: Timestamp,
    /// The first violation, if there was one.
    pub violation: Option<Violation>,
    /// The first leader of each term.
    leaders: BTreeMap<u64, MemberId>,
    /// For each vote key, the raw member number of the candidate for which the key's first vote was sent.
    votes: BTreeMap<VoteKey, u64>,
    /// Members whose disks lost acknowledged writes: each of their boots has one vote per term, and the votes
    /// of older boots don't count.
    pub(super) members_with_lost_writes: BTreeSet<MemberId>,
    /// The committed entries by index, as they were first applied.
    committed: BTreeMap<u64, AppliedEntry>,
    committed_ids: BTreeSet<ProposalId>,
    /// The proposals that were reported as committed, with the reported index.
    pub reported_committed: BTreeMap<ProposalId, u64>,
    reported_dropped: BTreeSet<ProposalId>,
    quarantined: BTreeSet<MemberId>,
    /// Number of proposals by their reported outcome.
    pub outcomes: OutcomeCounts,
    /// Number of alarms that members raised, by kind.
    pub alarm_counts: BTreeMap<&'static str, u64>,
}

impl Checker {
    pub(super) fn set_time(&mut self, now: Timestamp) {
        self.now = now;
    }

    /// Records a violation, unless there already is one.
    pub fn fail(&mut self, kind: ViolationKind) {
        let occurred_at = self.now;
        self.violation.get_or_insert(Violation { occurred_at, kind });
    }

    /// Checks a role change of a member: a new leader must be the only one of its term and have the newest
    /// committed entries.
    pub(super) fn check_role_change(&mut self, member: MemberId, change: &RoleChange, node: &Node) {
        match change.role {
            Role::Quarantined => {
                self.quarantined.insert(member);
            }
            Role::Leader => self.check_leader(member, change.term, node),
            _ => {}
        }
    }

    fn check_leader(&mut self, leader: MemberId, term: u64, node: &Node) {
        let first = *self.leaders.entry(term).or_insert(leader);
        if first != leader {
            self.fail(ViolationKind::TwoLeaders { first, second: leader, term });
        }
        let newest = self.committed.iter().rev().take(CHECKED_ENTRIES);
        // Entries that the leader has compacted were committed in its log.
        let lacks = |index: u64, entry: &AppliedEntry| match node.term_at(index) {
            Some(leader_term) => leader_term != entry.term,
            None => index > node.commit_index(),
        };
        let mut missing = newest.filter(|&(&index, entry)| lacks(index, entry));
        if let Some((&index, entry)) = missing.next() {
            let entry_term = entry.term;
            self.fail(ViolationKind::IncompleteLeader { leader, term, index, entry_term });
        }
    }

    /// Checks an entry that a member applied: every member must apply the same entry at an index.
    pub(super) fn check_applied_entry(&mut self, member: MemberId, entry: &CommittedEntry) {
        let applied = AppliedEntry { term: entry.term, digest: chain_entry(0, entry) };
        let first = *self.committed.entry(entry.index).or_insert(applied);
        if first != applied {
            self.fail(ViolationKind::DivergentEntry { member, index: entry.index });
        }
        self.committed_ids.insert(entry.id);
        if self.reported_dropped.contains(&entry.id) {
            self.fail(ViolationKind::DroppedButCommitted { id: entry.id });
        }
    }

    /// Checks a reported outcome of a proposal against the applied entries.
    pub(super) fn check_outcome(&mut self, outcome: &ProposalOutcome) {
        match *outcome {
            ProposalOutcome::Committed { id, index } => {
                self.reported_committed.insert(id, index);
                self.outcomes.committed += 1;
                if !self.committed_ids.contains(&id) {
                    self.fail(ViolationKind::CommittedButNotApplied { id, index });
                }
            }
            ProposalOutcome::Dropped { id } => {
                self.reported_dropped.insert(id);
                self.outcomes.dropped += 1;
                if self.committed_ids.contains(&id) {
                    self.fail(ViolationKind::DroppedButCommitted { id });
                }
            }
            ProposalOutcome::Unknown { .. } => self.outcomes.unknown += 1,
        }
    }

    /// Checks a frame that a host sends: a quarantined member must send no Raft messages, and a member has
    /// one vote per term, also across restarts.
    pub(super) fn check_sent_frame(&mut self, frame: &Frame) {
        let Some(Body::Raft(message)) = &frame.0.body else { return };
        let member = frame.from();
        if self.quarantined.contains(&member) {
            self.fail(ViolationKind::QuarantinedMemberActive { member });
        }
        let vote = match message.kind {
            VOTE_REQUEST => member.raw(),
            VOTE_RESPONSE if !message.reject => frame.0.to,
            _ => return,
        };
        let boot = if self.members_with_lost_writes.contains(&member) { frame.0.boot } else { 0 };
        let first = *self.votes.entry(VoteKey { member, term: message.term, boot }).or_insert(vote);
        if first != vote {
            self.fail(ViolationKind::DoubleVote { member, term: message.term });
        }
    }

    /// Counts an alarm of a member; a reported divergence is a violation.
    pub(super) fn check_alarm(&mut self, member: MemberId, alarm: &Alarm) {
        let kind = match alarm {
            Alarm::Quarantined(_) => "quarantined",
            Alarm::Diverged { .. } => "diverged",
            Alarm::DuplicateInstance { .. } => "duplicate instance",
            Alarm::LeaderPaused { .. } => "leader paused",
            Alarm::WeakRejoinQuorum => "weak rejoin quorum",
            Alarm::OperatorOverride => "operator override",
        };
        *self.alarm_counts.entry(kind).or_default() += 1;
        if let Alarm::Diverged { peer, index } = *alarm {
            self.fail(ViolationKind::DivergentState { member, peer, index });
        }
    }

    /// Whether any member has applied a proposal.
    pub fn is_committed(&self, id: ProposalId) -> bool {
        self.committed_ids.contains(&id)
    }

    /// Index of the last committed proposal; 0 when there is none.
    pub fn last_committed(&self) -> u64 {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }
}
