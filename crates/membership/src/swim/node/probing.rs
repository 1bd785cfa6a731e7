//! The messages of failure detection: probes, indirect probes, final probes, and the answers to probes of
//! other members.

use super::SwimNode;
use crate::message::{Member, MemberState, MessageKind};
use crate::swim::duration::duration_from_ms;
use crate::swim::prober::{IndirectProbe, ProbeOutcome};
use crate::{TimeDelta, Timestamp};
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Fraction of the probe time-out after which an unanswered probe on another member's behalf is answered by a
/// nack, so that the nack arrives before the requester's period ends.
const NACK_TIMEOUT_FRACTION: f64 = 0.8;

impl SwimNode {
    /// Continues the current probe, and begins the next one when the period has ended.
    pub(super) fn run_probe(&mut self, now: Timestamp) {
        if let Some(indirect_probe) = self.prober.due_indirect_probe(now) {
            self.probe_indirectly(indirect_probe);
        }
        if !self.prober.is_period_over(now) {
            return;
        }
        if let Some(outcome) = self.prober.conclude() {
            self.apply_probe_outcome(now, outcome);
        }
        self.prober.schedule(now + self.scaled_by_health(self.config.period_ms));
        self.begin_probe(now);
    }

    fn begin_probe(&mut self, now: Timestamp) {
        let Some(target) = self.prober.next_target(&self.members, &mut self.rng) else { return };
        let Some(member) = self.members.get(&target).cloned() else { return };
        let helpers_due_at = now + self.scaled_by_health(self.config.timeout_ms);
        let sequence = self.prober.begin(&target, member.generation, helpers_due_at);
        let address = member.address;
        let mut updates = Vec::new();
        if self.members.is_suspected(&target) {
            // Lifeguard's buddy system: the probe of a suspect carries the suspicion ahead of other updates.
            updates.push(self.local.update_about(member));
        }
        self.send_with_updates(address, MessageKind::Ping { sequence, target }, updates);
    }

    fn apply_probe_outcome(&mut self, now: Timestamp, outcome: ProbeOutcome) {
        let (target, target_generation, health_penalty) = match outcome {
            ProbeOutcome::Answered => {
                self.local_health.improve();
                return;
            }
            ProbeOutcome::Unanswered { target, target_generation, health_penalty } => {
                (target, target_generation, health_penalty)
            }
        };
        // If helpers did not answer either, this member itself may be at fault.
        self.local_health.worsen(health_penalty);
        let Some(member) = self.members.get(&target) else { return };
        if member.generation != target_generation || !member.state.is_live() {
            return;
        }
        // For a member that is already suspected, this unanswered probe confirms the suspicion.
        if member.state == MemberState::Alive {
            self.counters.suspicions += 1;
        }
        let suspect = Member { state: MemberState::Suspect, ..member.clone() };
        self.apply_member_update(now, suspect, self.local.name().to_owned());
    }

    /// Requests other members to probe the target.
    fn probe_indirectly(&mut self, indirect_probe: IndirectProbe) {
        let IndirectProbe { target, sequence } = indirect_probe;
        let Some(member) = self.members.get(&target) else { return };
        let address = member.address;
        let mut helpers = self.members.helper_addresses(&target);
        helpers.shuffle(&mut self.rng);
        helpers.truncate(self.config.indirect_probes as usize);
        self.counters.unanswered_direct_probes += 1;
        self.prober.set_helper_count(helpers.len());
        for helper in helpers {
            self.send(helper, MessageKind::PingRequest { sequence, target: target.clone(), address });
        }
    }

    /// Sends suspicions that are about to expire to the suspects themselves.
    pub(super) fn send_final_probes(&mut self, now: Timestamp) {
        for suspect in self.members.take_final_probe_targets(now, &self.config) {
            let sequence = self.prober.next_sequence();
            let kind = MessageKind::Ping { sequence, target: suspect.name.clone() };
            let address = suspect.address;
            let accusation = self.local.update_about(suspect);
            self.send_with_updates(address, kind, vec![accusation]);
        }
    }

    /// Probes a target on behalf of the member that requested it.
    pub(super) fn start_ping_request(
        &mut self,
        now: Timestamp,
        requester: SocketAddr,
        requester_sequence: u32,
        target: String,
        target_address: SocketAddr,
    ) {
        let nack_at = now + self.scaled_by_health(self.config.timeout_ms * NACK_TIMEOUT_FRACTION);
        if let Some(sequence) = self.prober.add_ping_request(requester, requester_sequence, nack_at) {
            self.send(target_address, MessageKind::Ping { sequence, target });
        }
    }

    /// Sends a nack for each probe on another member's behalf that was not answered in time.
    pub(super) fn send_nacks(&mut self, now: Timestamp) {
        for request in self.prober.take_unanswered_ping_requests(now) {
            self.send(request.requester, MessageKind::Nack { sequence: request.requester_sequence });
        }
    }

    /// Processes the answer to this member's own probe, or to one on another member's behalf.
    pub(super) fn on_ack(&mut self, sequence: u32) {
        if let Some(request) = self.prober.on_ack(sequence) {
            self.send(request.requester, MessageKind::Ack { sequence: request.requester_sequence });
        }
    }

    /// Converts milliseconds to a duration, multiplied by 1 + the local health score.
    fn scaled_by_health(&self, ms: f64) -> TimeDelta {
        duration_from_ms(ms * self.local_health.multiplier())
    }
}
