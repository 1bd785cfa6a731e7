//! A member's own proposals, retained until their outcome is known.

use crate::ids::ProposalId;
use crate::limits::MAX_PENDING_PROPOSALS;
use sprucelink_time::Timestamp;
use std::collections::BTreeMap;

/// The outcome of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The proposal is committed.
    Committed {
        /// Id of the proposal.
        id: ProposalId,
        /// Index of the proposal's entry in the log.
        index: u64,
    },
    /// The proposal will never be in the log: it was sent to the leader of one term only, and an entry of a
    /// later term is committed.
    Dropped {
        /// Id of the proposal.
        id: ProposalId,
    },
    /// The proposal may still be committed. A proposal that is proposed again under the same id is applied
    /// only once, however often it is committed.
    Unknown {
        /// Id of the proposal.
        id: ProposalId,
        /// Why the outcome is not known.
        reason: UnknownReason,
    },
}

/// Why the outcome of a proposal is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// The proposal was not committed within the proposal timeout.
    TimedOut,
    /// The leader rejected the proposal (a duplicate message may still reach a leader).
    RejectedByLeader,
    /// A snapshot covers the part of the log where the proposal may be.
    CoveredBySnapshot,
    /// This member is quarantined.
    Quarantined,
}

#[derive(Debug)]
struct PendingProposal {
    /// Term of the leader that the proposal was sent to.
    term: u64,
    /// Time at which the outcome is reported as unknown.
    deadline: Timestamp,
}

/// The proposals whose outcome is pending, at most [`MAX_PENDING_PROPOSALS`], and the outcomes not yet taken.
#[derive(Debug, Default)]
pub(crate) struct PendingProposals {
    pending: BTreeMap<ProposalId, PendingProposal>,
    outcomes: Vec<ProposalOutcome>,
}

impl PendingProposals {
    pub fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_PROPOSALS
    }

    pub fn contains(&self, id: ProposalId) -> bool {
        self.pending.contains_key(&id)
    }

    pub fn insert(&mut self, id: ProposalId, term: u64, deadline: Timestamp) {
        self.pending.insert(id, PendingProposal { term, deadline });
    }

    /// Takes the outcomes since the last call.
    pub fn take_outcomes(&mut self) -> Vec<ProposalOutcome> {
        std::mem::take(&mut self.outcomes)
    }

    /// Handles a committed entry. Terms never decrease along the log, so no proposal that was sent to the
    /// leader of an earlier term can be committed after it.
    pub fn entry_committed(&mut self, index: u64, term: u64, id: Option<ProposalId>) {
        if let Some(id) = id.filter(|id| self.pending.remove(id).is_some()) {
            self.outcomes.push(ProposalOutcome::Committed { id, index });
        }
        self.resolve(|pending| pending.term < term, |id| ProposalOutcome::Dropped { id });
    }

    /// Resolves a proposal that the leader rejected.
    pub fn rejected(&mut self, id: ProposalId) {
        if self.pending.remove(&id).is_some() {
            self.outcomes.push(ProposalOutcome::Unknown { id, reason: UnknownReason::RejectedByLeader });
        }
    }

    /// Resolves the proposals whose deadline has passed.
    pub fn tick(&mut self, now: Timestamp) {
        let reason = UnknownReason::TimedOut;
        self.resolve(|pending| pending.deadline <= now, |id| ProposalOutcome::Unknown { id, reason });
    }

    /// Resolves all proposals as unknown.
    pub fn abandon_all(&mut self, reason: UnknownReason) {
        self.resolve(|_| true, |id| ProposalOutcome::Unknown { id, reason });
    }

    fn resolve(
        &mut self,
        is_resolved: impl Fn(&PendingProposal) -> bool,
        outcome: impl Fn(ProposalId) -> ProposalOutcome,
    ) {
        let outcomes = &mut self.outcomes;
        self.pending.retain(|id, pending| {
            let resolved = is_resolved(pending);
            if resolved {
                outcomes.push(outcome(*id));
            }
            !resolved
        });
    }
}
