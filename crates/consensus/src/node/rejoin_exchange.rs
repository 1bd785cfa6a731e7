//! Requests and responses of the rejoin protocol ([`crate::rejoin`]), and the transitions that end it.

use super::{Node, Phase};
use crate::alarm::{Alarm, QuarantineReason};
use crate::ids::{LogPosition, MemberId};
use crate::limits::MAX_COUNT;
use crate::membership::{Membership, VersionedMembership};
use crate::peer_table::{is_ahead_of, BootStatus};
use crate::pending_proposals::UnknownReason;
use crate::rejoin::{LogFloor, RejoinOutcome, RejoinResponse};
use crate::wire;
use crate::wire::envelope::Body;

impl Node {
    /// Responds to a member that has restarted.
    pub(super) fn handle_rejoin_request(&mut self, from: MemberId, boot: u64, request: wire::RejoinRequest) {
        if request.term > MAX_COUNT || boot > MAX_COUNT {
            return;
        }
        let Some(status) = self.peers.record_rejoin_request(from, boot, request.nonce) else { return };
        if status == BootStatus::New {
            self.handle_peer_restart(from);
        }
        let membership = self.membership_for_response();
        let is_voter = membership.membership.voters.contains(&from);
        if self.is_leading() && request.term > self.raw_node.raft.term && is_voter {
            // The sender can't follow a leader of a lower term, and its own term is on its disk.
            self.raw_node.raft.become_follower(request.term, 0);
        }
        let response = self.rejoin_response(from, boot, request.nonce, status, &membership);
        self.send_after_persist(from, Body::RejoinResponse(response));
    }

    fn membership_for_response(&self) -> VersionedMembership {
        if self.is_established() {
            return self.current_membership().clone();
        }
        self.raw_node.store().membership_on_disk().unwrap_or_else(|| self.contacts.clone())
    }

    fn rejoin_response(
        &self,
        to: MemberId,
        boot: u64,
        nonce: u64,
        status: BootStatus,
        membership: &VersionedMembership,
    ) -> wire::RejoinResponse {
        let (accepted, known_boot) = match status {
            BootStatus::New | BootStatus::Known => (true, boot),
            BootStatus::Stale { known } => (false, known),
        };
        let last = self.last_position();
        wire::RejoinResponse {
            nonce,
            known_boot,
            accepted,
            observed_ack: Some(self.peers.observed_ack(to)),
            term: self.raw_node.raft.term.max(self.floors.last_term_without_vote),
            last_term: last.term,
            last_index: last.index,
            established: self.is_established(),
            quarantined: matches!(self.phase, Phase::Quarantined(_)),
            membership: Some(membership.membership.to_wire()),
            membership_index: membership.index,
            floors: self.floors.logs.iter().map(floor_to_wire).collect(),
        }
    }

    /// Handles a response to this member's own request.
    pub(super) fn handle_rejoin_response(&mut self, from: MemberId, response: wire::RejoinResponse) {
        let Phase::Rejoining { quorum, .. } = &mut self.phase else { return };
        if response.nonce != self.nonce || !has_valid_numbers(&response) {
            return;
        }
        let observed = response.observed_ack.unwrap_or_default();
        let recovered = self.persistence.recovered;
        if !response.quarantined && is_ahead_of(&observed, &recovered) {
            let reason = QuarantineReason::LostAcknowledgedWrites { observed_by: from, observed, recovered };
            self.quarantine(reason);
            return;
        }
        if !response.accepted && response.known_boot >= self.boot {
            self.raise_boot_above(response.known_boot);
            return;
        }
        if !response.accepted || response.known_boot != self.boot {
            return;
        }
        let Some(response) = response_from_wire(&response) else { return };
        quorum.add_response(from, response);
        self.finish_rejoin();
    }

    /// Ends the rejoining when enough members have responded.
    pub(super) fn finish_rejoin(&mut self) {
        let Phase::Rejoining { quorum, .. } = &self.phase else { return };
        let Some(outcome) = quorum.outcome(self.now) else { return };
        self.establish(outcome);
    }

    /// Makes this member take part in the protocol from now on, under the floors of the outcome.
    pub(super) fn establish(&mut self, outcome: RejoinOutcome) {
        if outcome.is_weak {
            self.raise_alarm(Alarm::WeakRejoinQuorum);
        }
        let term = self.raw_node.raft.term;
        self.floors = outcome.floors;
        self.floors.last_term_without_vote = self.floors.last_term_without_vote.max(term);
        if self.floors.last_term_without_vote > term {
            self.raw_node.raft.become_follower(self.floors.last_term_without_vote, 0);
        }
        self.phase = Phase::Established;
        self.persistence.is_state_due = true;
        self.last_tick = self.now;
    }

    /// Excludes this member permanently under this incarnation.
    pub(super) fn quarantine(&mut self, reason: QuarantineReason) {
        self.step_down();
        self.raise_alarm(Alarm::Quarantined(reason.clone()));
        self.phase = Phase::Quarantined(reason);
        self.persistence.is_state_due = true;
        self.proposals.abandon_all(UnknownReason::Quarantined);
    }
}

fn has_valid_numbers(response: &wire::RejoinResponse) -> bool {
    let numbers = [response.term, response.last_term, response.last_index, response.known_boot];
    numbers.iter().all(|&number| number <= MAX_COUNT)
}

/// `None` when the membership is missing or invalid.
fn response_from_wire(response: &wire::RejoinResponse) -> Option<RejoinResponse> {
    let membership = Membership::from_wire(response.membership.as_ref()?, &[])?;
    Some(RejoinResponse {
        term: response.term,
        last_position: LogPosition::new(response.last_term, response.last_index),
        floors: response.floors.iter().map(floor_from_wire).collect(),
        is_established: response.established,
        is_quarantined: response.quarantined,
        membership: VersionedMembership { index: response.membership_index, membership },
    })
}

fn floor_to_wire(floor: &LogFloor) -> wire::LogFloor {
    wire::LogFloor {
        member: floor.member.raw(),
        term: floor.last_position.term,
        index: floor.last_position.index,
    }
}

fn floor_from_wire(floor: &wire::LogFloor) -> LogFloor {
    LogFloor {
        member: MemberId::from_raw(floor.member),
        last_position: LogPosition::new(floor.term, floor.index),
    }
}
