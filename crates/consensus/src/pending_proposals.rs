//! A member's own proposals until it is known what became of them.

use crate::ids::ProposalId;
use crate::limits::MAX_PROPOSALS_IN_HAND;
use sprucelink_time::Timestamp;
use std::collections::BTreeMap;

/// What became of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// It stands in the journal.
    Committed {
        /// Which.
        id: ProposalId,
        /// Where.
        index: u64,
    },
    /// It will never stand there: entries of a later term are committed, and it was offered to one term's leader only.
    Dropped {
        /// Which.
        id: ProposalId,
    },
    /// It may stand there yet. Offered again under the same name it counts once, however often it is committed.
    Unknown {
        /// Which.
        id: ProposalId,
        /// Why nothing better can be said.
        reason: UnknownReason,
    },
}

/// Why it is not known what became of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// Nothing was heard of it in time.
    TimedOut,
    /// The leader said that it did not take it (a copy of it may still be on the way).
    RejectedByLeader,
    /// A snapshot went past the place where it may stand.
    CoveredBySnapshot,
    /// This member no longer takes part.
    Quarantined,
}

#[derive(Debug)]
struct PendingProposal {
    term: u64,
    until: Timestamp,
}

/// The proposals in hand, at most [`MAX_PROPOSALS_IN_HAND`].
#[derive(Debug, Default)]
pub(crate) struct PendingProposals {
    pending: BTreeMap<ProposalId, PendingProposal>,
}

impl PendingProposals {
    pub fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PROPOSALS_IN_HAND
    }

    pub fn holds(&self, id: ProposalId) -> bool {
        self.pending.contains_key(&id)
    }

    pub fn put(&mut self, id: ProposalId, term: u64, until: Timestamp) {
        self.pending.insert(id, PendingProposal { term, until });
    }

    /// An entry is committed. Terms never go down along the log, so nothing offered to an earlier term's leader can
    /// come behind it.
    pub fn committed(
        &mut self,
        index: u64,
        term: u64,
        id: Option<ProposalId>,
        out: &mut Vec<ProposalOutcome>,
    ) {
        if let Some(id) = id.filter(|id| self.pending.remove(id).is_some()) {
            out.push(ProposalOutcome::Committed { id, index });
        }
        let lost = |pending: &PendingProposal| pending.term < term;
        self.drain(|_, pending| lost(pending), |id| ProposalOutcome::Dropped { id }, out);
    }

    pub fn refused(&mut self, id: ProposalId, out: &mut Vec<ProposalOutcome>) {
        if self.pending.remove(&id).is_some() {
            out.push(ProposalOutcome::Unknown { id, reason: UnknownReason::RejectedByLeader });
        }
    }

    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<ProposalOutcome>) {
        self.drain(
            |_, pending| pending.until <= now,
            |id| ProposalOutcome::Unknown { id, reason: UnknownReason::TimedOut },
            out,
        );
    }

    pub fn give_up(&mut self, reason: UnknownReason, out: &mut Vec<ProposalOutcome>) {
        self.drain(|_, _| true, |id| ProposalOutcome::Unknown { id, reason }, out);
    }

    fn drain(
        &mut self,
        which: impl Fn(&ProposalId, &PendingProposal) -> bool,
        outcome: impl Fn(ProposalId) -> ProposalOutcome,
        out: &mut Vec<ProposalOutcome>,
    ) {
        self.pending.retain(|id, pending| {
            let gone = which(id, pending);
            if gone {
                out.push(outcome(*id));
            }
            !gone
        });
    }
}
