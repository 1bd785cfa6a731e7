//! Failure detection: one member is probed in each period, directly and then through others (SWIM 3.1).

use super::member_table::MemberEntry;
use super::node::SwimNode;
use super::suspicion::duration_from_ms;
use crate::message::{MemberState, MessageKind, Update};
use crate::{TimeDelta, Timestamp};
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Most probes on others' behalf that are under way.
pub(super) const MAX_PING_REQUESTS: usize = 256;
/// A probe on another's behalf is answered by a nack after this fraction of the time-out.
const NACK_TIMEOUT_FRACTION: f64 = 0.8;

/// The probe under way.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    target: String,
    target_generation: u64,
    sequence: u32,
    /// When others are asked to probe.
    indirect_at: Timestamp,
    ends_at: Timestamp,
    /// Members that were asked to probe.
    helpers: u32,
    nacks: u32,
    is_acked: bool,
}

impl Probe {
    fn awaits_helpers(&self) -> bool {
        !self.is_acked && self.helpers == 0
    }

    /// When others are to be asked, if they are.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        self.awaits_helpers().then_some(self.indirect_at)
    }

    /// Helpers that did not even answer with a nack. At least one sign of trouble where nobody was asked.
    fn silent_helpers(&self) -> u32 {
        if self.helpers == 0 {
            1
        } else {
            self.helpers.saturating_sub(self.nacks)
        }
    }
}

/// A probe on another member's behalf.
#[derive(Clone, Debug)]
pub(super) struct PingRequest {
    origin: SocketAddr,
    /// The origin's sequence number.
    origin_sequence: u32,
    nack_at: Timestamp,
}

impl PingRequest {
    pub(super) fn nack_at(&self) -> Timestamp {
        self.nack_at
    }
}

impl SwimNode {
    /// Goes on with the probe under way, and begins the next one when its period has ended.
    pub(super) fn run_probe(&mut self, now: Timestamp) {
        if let Some(probe) = &self.probe {
            if probe.awaits_helpers() && now >= probe.indirect_at && now < probe.ends_at {
                self.probe_indirectly();
            }
        }
        if now < self.next_probe_at {
            return;
        }
        self.conclude_probe(now);
        self.next_probe_at = now + self.scaled_by_health(self.config.period_ms);
        self.begin_probe(now);
    }

    fn begin_probe(&mut self, now: Timestamp) {
        let Some(target) = self.next_probe_target() else { return };
        let Some(entry) = self.members.get(&target) else { return };
        let member = entry.member.clone();
        let is_suspect = entry.suspicion.is_some();
        let sequence = self.next_sequence();
        self.probe = Some(Probe {
            target: target.clone(),
            target_generation: member.generation,
            sequence,
            indirect_at: now + self.scaled_by_health(self.config.timeout_ms),
            ends_at: self.next_probe_at,
            helpers: 0,
            nacks: 0,
            is_acked: false,
        });
        let address = member.address;
        let mut updates = Vec::new();
        if is_suspect {
            // Lifeguard's buddy system: a suspect learns of it first, and with its probe.
            updates.push(Update::Member { member, reported_by: self.local.name.clone() });
        }
        self.send_with_updates(address, MessageKind::Ping { sequence, target }, updates);
    }

    /// Draws conclusions from the probe whose period has ended.
    fn conclude_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.take() else { return };
        if probe.is_acked {
            self.local_health.improve();
            return;
        }
        // Where helpers are silent, too, the fault may be on this side.
        self.local_health.worsen(probe.silent_helpers().min(1 + probe.helpers));
        let Some(entry) = self.members.get(&probe.target) else { return };
        if entry.member.generation != probe.target_generation {
            return;
        }
        let member = entry.member.clone();
        let reported_by = self.local.name.clone();
        match member.state {
            MemberState::Alive => {
                self.counters.suspicions += 1;
                self.begin_suspicion(now, member, reported_by);
            }
            // It has not answered this member either: that confirms another's suspicion.
            MemberState::Suspect => self.apply_member_update(now, member, reported_by),
            MemberState::Dead | MemberState::Left => {}
        }
    }

    /// Asks other members to probe the target.
    fn probe_indirectly(&mut self) {
        let Some(probe) = &self.probe else { return };
        let target = probe.target.clone();
        let sequence = probe.sequence;
        let Some(entry) = self.members.get(&target) else { return };
        let target_address = entry.member.address;
        let can_help =
            |entry: &&MemberEntry| entry.member.state == MemberState::Alive && entry.member.name != target;
        let mut helpers: Vec<SocketAddr> =
            self.members.values().filter(can_help).map(|entry| entry.member.address).collect();
        helpers.shuffle(&mut self.rng);
        helpers.truncate(self.config.indirect_probes as usize);
        self.counters.indirect_probes += 1;
        if let Some(probe) = &mut self.probe {
            probe.helpers = helpers.len() as u32;
            if helpers.is_empty() {
                // Nobody to ask: not tried again before the period ends.
                probe.indirect_at = probe.ends_at;
            }
        }
        for helper in helpers {
            let kind = MessageKind::PingRequest { sequence, target: target.clone(), address: target_address };
            self.send(helper, kind);
        }
    }

    /// Another member asks to probe a target on its behalf.
    pub(super) fn start_ping_request(
        &mut self,
        now: Timestamp,
        origin: SocketAddr,
        origin_sequence: u32,
        target: String,
        target_address: SocketAddr,
    ) {
        if self.ping_requests.len() >= MAX_PING_REQUESTS {
            return;
        }
        let sequence = self.next_sequence();
        let nack_at = now + self.scaled_by_health(self.config.timeout_ms * NACK_TIMEOUT_FRACTION);
        self.ping_requests.insert(sequence, PingRequest { origin, origin_sequence, nack_at });
        self.send(target_address, MessageKind::Ping { sequence, target });
    }

    /// Answers probes on others' behalf that got no answer in time.
    pub(super) fn send_nacks(&mut self, now: Timestamp) {
        let is_late = |request: &PingRequest| request.nack_at <= now;
        let late: Vec<u32> =
            self.ping_requests.iter().filter(|(_, request)| is_late(request)).map(|(key, _)| *key).collect();
        for sequence in late {
            if let Some(request) = self.ping_requests.remove(&sequence) {
                self.send(request.origin, MessageKind::Nack { sequence: request.origin_sequence });
            }
        }
    }

    /// A probe was answered: this member's own, or one on another's behalf.
    pub(super) fn on_ack(&mut self, sequence: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.is_acked = true;
        }
        if let Some(request) = self.ping_requests.remove(&sequence) {
            self.send(request.origin, MessageKind::Ack { sequence: request.origin_sequence });
        }
    }

    /// A helper got no answer either.
    pub(super) fn on_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.nacks += 1;
        }
    }

    /// The next member to probe: all once, in an order drawn anew for each round (SWIM 4.3).
    fn next_probe_target(&mut self) -> Option<String> {
        const ROUNDS: usize = 2;
        for _ in 0..ROUNDS {
            while let Some(name) = self.probe_order.pop() {
                if self.members.get(&name).is_some_and(MemberEntry::is_live) {
                    return Some(name);
                }
            }
            self.probe_order = self.live_members().map(|member| member.name.clone()).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }

    /// A span that grows while this member is in trouble itself.
    fn scaled_by_health(&self, ms: f64) -> TimeDelta {
        duration_from_ms(ms * self.local_health.multiplier())
    }
}
