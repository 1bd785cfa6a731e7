//! Proposals of this member's own driver, and proposals that other members forward to the leader.

use super::{Node, Phase, ProposeError};
use crate::ids::{MemberId, ProposalId};
use crate::limits::MAX_PROPOSAL_BYTES;
use crate::wire::envelope::Body;
use crate::wire::{ForwardedProposal, Proposal, ProposalRejection};
use prost::Message as _;
use raft::StateRole;

/// Reason in a [`ProposalRejection`], for the receiver's log only: this member doesn't lead in the requested
/// term.
const REJECTED_NOT_LEADER: u32 = 1;
/// Reason in a [`ProposalRejection`], for the receiver's log only: the leader can't append more entries now.
const REJECTED_TOO_MANY: u32 = 2;

impl Node {
    /// Proposes an entry. A leader appends it; another member forwards it to the leader that it knows of. The
    /// outcome is reported as a [`crate::ProposalOutcome`]. A proposal that is proposed again under the same
    /// id is applied only once ([`crate::ProposalDedup`]).
    ///
    /// # Errors
    /// The proposal was neither appended nor forwarded.
    pub fn propose(&mut self, bytes: Vec<u8>, id: ProposalId) -> Result<(), ProposeError> {
        self.check_proposal(&bytes, id)?;
        let proposal = Proposal { origin: id.origin, sequence: id.sequence, data: bytes };
        let term = self.raw_node.raft.term;
        if self.raw_node.raft.state == StateRole::Leader {
            self.append_proposal(&proposal)?;
        } else {
            let leader = self.leader().ok_or(ProposeError::NotLeader { leader: None })?;
            self.send(leader, Body::ForwardedProposal(ForwardedProposal { term, proposal: Some(proposal) }));
        }
        self.proposals.insert(id, term, self.now + self.timing.proposal_timeout);
        Ok(())
    }

    fn check_proposal(&self, bytes: &[u8], id: ProposalId) -> Result<(), ProposeError> {
        if bytes.len() > MAX_PROPOSAL_BYTES {
            return Err(ProposeError::TooLarge);
        }
        match self.phase {
            Phase::Quarantined(_) => return Err(ProposeError::Quarantined),
            Phase::Rejoining { .. } => return Err(ProposeError::NotLeader { leader: None }),
            Phase::Established => {}
        }
        if self.proposals.contains(id) {
            return Err(ProposeError::AlreadyPending);
        }
        if self.proposals.is_full() {
            return Err(ProposeError::TooManyPending);
        }
        Ok(())
    }

    fn append_proposal(&mut self, proposal: &Proposal) -> Result<(), ProposeError> {
        if self.raw_node.store().is_full() {
            return Err(ProposeError::TooManyPending);
        }
        let data = proposal.encode_to_vec();
        self.raw_node.propose(Vec::new(), data).map_err(|_| ProposeError::TooManyPending)
    }

    /// Handles a proposal that another member forwarded. The proposal may be appended only in the term for
    /// which it was forwarded, so that the proposer knows, once an entry of a later term is committed, that
    /// the proposal will never be appended.
    pub(super) fn handle_forwarded_proposal(&mut self, from: MemberId, forwarded: ForwardedProposal) {
        let Some(proposal) = forwarded.proposal else { return };
        let reason = if !self.is_leading() || forwarded.term != self.raw_node.raft.term {
            REJECTED_NOT_LEADER
        } else if self.append_proposal(&proposal).is_err() {
            REJECTED_TOO_MANY
        } else {
            return;
        };
        let rejection = ProposalRejection { origin: proposal.origin, sequence: proposal.sequence, reason };
        self.send(from, Body::ProposalRejection(rejection));
    }
}
