//! Handling of the frames that a member receives.

use super::{Node, Phase};
use crate::alarm::{Alarm, QuarantineReason};
use crate::convert;
use crate::frame::Frame;
use crate::ids::{MemberId, ProposalId};
use crate::limits::{BUSY_BATCHES_IN_FLIGHT, MAX_COUNT};
use crate::message_check::{self, MessageCheck};
use crate::wire::envelope::Body;
use crate::wire::{Envelope, RaftMessage};
use raft::eraftpb::{Message, MessageType};
use sprucelink_time::Timestamp;

impl Node {
    /// Handles a frame received on the connection of `from`. The frame is dropped when it is not addressed to
    /// this member, not sent by `from`, or from an earlier boot of `from`.
    pub fn step(&mut self, now: Timestamp, from: MemberId, frame: Frame) {
        self.advance_clock(now);
        let envelope = frame.0;
        if envelope.from != from.raw() || envelope.to != self.id.raw() || from == self.id {
            return;
        }
        if let Some(Body::RejoinRequest(request)) = envelope.body {
            self.observe_envelope(from, &envelope);
            self.handle_rejoin_request(from, envelope.boot, request);
            return;
        }
        let is_current = self.peers.is_current(from, envelope.boot, envelope.nonce);
        if !is_current || envelope.boot > MAX_COUNT {
            return;
        }
        self.learn_boot(from, envelope.boot, envelope.nonce);
        self.observe_envelope(from, &envelope);
        if let Phase::Rejoining { quorum, .. } = &mut self.phase {
            quorum.record_sender(from);
        }
        self.handle_body(from, envelope);
    }

    fn handle_body(&mut self, from: MemberId, envelope: Envelope) {
        match envelope.body {
            Some(Body::Raft(message)) => self.handle_raft_message(from, message),
            Some(Body::RejoinResponse(response)) => self.handle_rejoin_response(from, response),
            Some(Body::ForwardedProposal(forwarded)) => self.handle_forwarded_proposal(from, forwarded),
            Some(Body::ProposalRejection(rejection)) => {
                let id = ProposalId { origin: rejection.origin, sequence: rejection.sequence };
                self.proposals.rejected(id);
            }
            Some(Body::RejoinRequest(_)) | None => {}
        }
    }

    fn handle_raft_message(&mut self, from: MemberId, message: RaftMessage) {
        if !self.is_established() {
            return;
        }
        let Some(message) = convert::message_from_wire(from, self.id, message) else { return };
        let raft = &self.raw_node.raft;
        match message_check::check(&raft.raft_log, raft.term, &self.floors, &message) {
            MessageCheck::Accept => self.pass_to_raft(message),
            MessageCheck::Drop => {}
            MessageCheck::EntryLost => self.quarantine(QuarantineReason::MissingLogEntry {
                leader: from,
                index: message.commit,
                last_index: self.last_position().index,
            }),
            MessageCheck::Diverged(index) => self.raise_alarm(Alarm::Diverged { peer: from, index }),
        }
    }

    fn pass_to_raft(&mut self, message: Message) {
        let is_deferred = match message.get_msg_type() {
            MessageType::MsgAppend => self.is_busy(),
            MessageType::MsgTimeoutNow => !self.may_campaign(),
            _ => false,
        };
        if is_deferred {
            return;
        }
        // The library returns an error for a message that it can't use, such as one from a former member.
        // Such a message needs no further handling.
        let _ = self.raw_node.step(message);
        if !self.floors.logs.is_empty() && self.has_reached_log_floors() {
            self.floors.logs.clear();
        }
    }

    /// Whether too many batches wait for the disk, or the log is full, so that no entries are accepted.
    fn is_busy(&self) -> bool {
        self.persistence.in_flight() >= BUSY_BATCHES_IN_FLIGHT || self.raw_node.store().is_full()
    }
}
