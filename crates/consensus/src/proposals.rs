//! A member's own proposals until it is known what became of them.

use crate::ids::ProposalId;
use crate::limits::MAX_PROPOSALS_IN_HAND;
use sprucelink_time::Timestamp;
use std::collections::BTreeMap;

/// What became of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It stands in the journal.
    Committed {
        /// Which.
        id: ProposalId,
        /// Where.
        index: u64,
    },
    /// It will never stand there: entries of a later term are committed, and it was offered to one term's leader only.
    Lost {
        /// Which.
        id: ProposalId,
    },
    /// It may stand there yet. Offered again under the same name it counts once, however often it is committed.
    Unknown {
        /// Which.
        id: ProposalId,
        /// Why nothing better can be said.
        why: Unknown,
    },
}

/// Why it is not known what became of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unknown {
    /// Nothing was heard of it in time.
    TimedOut,
    /// The leader said that it did not take it (a copy of it may still be on the way).
    Refused,
    /// A snapshot went past the place where it may stand.
    Skipped,
    /// This member no longer takes part.
    Out,
}

#[derive(Debug)]
struct Pending {
    term: u64,
    until: Timestamp,
}

/// The proposals in hand, at most [`MAX_PROPOSALS_IN_HAND`].
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    pending: BTreeMap<ProposalId, Pending>,
}

impl Proposals {
    pub fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PROPOSALS_IN_HAND
    }

    pub fn holds(&self, id: ProposalId) -> bool {
        self.pending.contains_key(&id)
    }

    pub fn put(&mut self, id: ProposalId, term: u64, until: Timestamp) {
        self.pending.insert(id, Pending { term, until });
    }

    /// An entry is committed. Terms never go down along the log, so nothing offered to an earlier term's leader can
    /// come behind it.
    pub fn committed(&mut self, index: u64, term: u64, id: Option<ProposalId>, out: &mut Vec<Outcome>) {
        if let Some(id) = id.filter(|id| self.pending.remove(id).is_some()) {
            out.push(Outcome::Committed { id, index });
        }
        let lost = |pending: &Pending| pending.term < term;
        self.drain(|_, pending| lost(pending), |id| Outcome::Lost { id }, out);
    }

    pub fn refused(&mut self, id: ProposalId, out: &mut Vec<Outcome>) {
        if self.pending.remove(&id).is_some() {
            out.push(Outcome::Unknown { id, why: Unknown::Refused });
        }
    }

    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<Outcome>) {
        self.drain(
            |_, pending| pending.until <= now,
            |id| Outcome::Unknown { id, why: Unknown::TimedOut },
            out,
        );
    }

    pub fn give_up(&mut self, why: Unknown, out: &mut Vec<Outcome>) {
        self.drain(|_, _| true, |id| Outcome::Unknown { id, why }, out);
    }

    fn drain(
        &mut self,
        which: impl Fn(&ProposalId, &Pending) -> bool,
        outcome: impl Fn(ProposalId) -> Outcome,
        out: &mut Vec<Outcome>,
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
