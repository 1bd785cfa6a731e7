//! Failure detection: one member is probed in each period, directly and then through others (SWIM 3.1).

use super::member_table::MemberTable;
use crate::Timestamp;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of probes on others' behalf that are in flight; further requests are ignored.
const MAX_PING_REQUESTS: usize = 256;
/// How often the order of probes is drawn in search of one target: the second draw covers members that died since the
/// first.
const MAX_DRAWS: usize = 2;

/// The probe under way.
#[derive(Clone, Debug)]
struct Probe {
    target: String,
    target_generation: u64,
    sequence: u32,
    /// When other members are requested to probe.
    indirect_at: Timestamp,
    ends_at: Timestamp,
    /// Members that were requested to probe.
    helpers: u32,
    nacks: u32,
    is_acked: bool,
}

impl Probe {
    fn awaits_helpers(&self) -> bool {
        !self.is_acked && self.helpers == 0
    }

    /// Helpers that did not even answer with a nack; 1 where there were no helpers.
    fn silent_helpers(&self) -> u32 {
        if self.helpers == 0 {
            1
        } else {
            self.helpers.saturating_sub(self.nacks)
        }
    }
}

/// How a probe ended.
#[derive(Clone, Debug)]
pub(super) enum ProbeOutcome {
    /// The target answered.
    Answered,
    /// It did not.
    Unanswered {
        /// The target's name.
        target: String,
        /// The generation of the process that was probed.
        target_generation: u64,
        /// What the missing answers add to the local health score (Lifeguard).
        health_penalty: u32,
    },
}

/// What an indirect probe is to ask of helpers.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    /// The member to probe.
    pub(super) target: String,
    /// The sequence number of the probe.
    pub(super) sequence: u32,
}

/// A probe on another member's behalf.
#[derive(Clone, Debug)]
pub(super) struct PingRequest {
    /// Who requested it.
    pub(super) origin: SocketAddr,
    /// The origin's sequence number.
    pub(super) origin_sequence: u32,
    nack_at: Timestamp,
}

/// The member's own probe, one in each period, and its probes on others' behalf.
#[derive(Clone, Debug)]
pub(super) struct Prober {
    /// Members still to be probed in this round, the next one last.
    probe_order: Vec<String>,
    probe: Option<Probe>,
    /// Probes on others' behalf, by sequence number.
    ping_requests: BTreeMap<u32, PingRequest>,
    last_sequence: u32,
    next_probe_at: Timestamp,
}

impl Prober {
    pub(super) fn new(first_probe_at: Timestamp) -> Prober {
        Prober {
            probe_order: Vec::new(),
            probe: None,
            ping_requests: BTreeMap::new(),
            last_sequence: 0,
            next_probe_at: first_probe_at,
        }
    }

    /// When something is due next: a probe, an indirect probe, or a nack.
    pub(super) fn next_deadline(&self) -> Timestamp {
        let awaiting = self.probe.as_ref().filter(|probe| probe.awaits_helpers());
        let indirect_probe = awaiting.map(|probe| probe.indirect_at);
        let nack = self.ping_requests.values().map(|request| request.nack_at).min();
        [indirect_probe, nack].into_iter().flatten().fold(self.next_probe_at, Timestamp::min)
    }

    pub(super) fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Whether the period of the probe under way has ended.
    pub(super) fn is_period_over(&self, now: Timestamp) -> bool {
        now >= self.next_probe_at
    }

    /// Sets when the next probe begins.
    pub(super) fn schedule(&mut self, next_probe_at: Timestamp) {
        self.next_probe_at = next_probe_at;
    }

    /// Drops the probe under way and all probes on others' behalf, without a conclusion.
    pub(super) fn abandon_probes(&mut self) {
        self.probe = None;
        self.ping_requests.clear();
    }

    /// The indirect probe that is due: the target has not answered in time, and nobody was requested to help yet.
    pub(super) fn due_indirect_probe(&self, now: Timestamp) -> Option<IndirectProbe> {
        let is_due =
            |probe: &&Probe| probe.awaits_helpers() && now >= probe.indirect_at && now < probe.ends_at;
        let probe = self.probe.as_ref().filter(is_due)?;
        Some(IndirectProbe { target: probe.target.clone(), sequence: probe.sequence })
    }

    /// Notes how many helpers are requested to probe.
    pub(super) fn note_helpers(&mut self, helpers: usize) {
        let Some(probe) = &mut self.probe else { return };
        probe.helpers = helpers as u32;
        if helpers == 0 {
            // There is no helper: the request is not repeated before the period ends.
            probe.indirect_at = probe.ends_at;
        }
    }

    /// Ends the probe under way.
    pub(super) fn conclude(&mut self) -> Option<ProbeOutcome> {
        let probe = self.probe.take()?;
        if probe.is_acked {
            return Some(ProbeOutcome::Answered);
        }
        Some(ProbeOutcome::Unanswered {
            health_penalty: probe.silent_helpers().min(1 + probe.helpers),
            target: probe.target,
            target_generation: probe.target_generation,
        })
    }

    /// The next member to probe: each live one once a round, in an order drawn for each round (SWIM 4.3).
    pub(super) fn next_target(&mut self, members: &MemberTable, rng: &mut ChaCha8Rng) -> Option<String> {
        for _ in 0..MAX_DRAWS {
            while let Some(name) = self.probe_order.pop() {
                if members.is_live(&name) {
                    return Some(name);
                }
            }
            self.probe_order = members.live().map(|member| member.name.clone()).collect();
            self.probe_order.shuffle(rng);
        }
        None
    }

    /// Begins a probe that lasts until the next one; returns its sequence number.
    pub(super) fn begin(&mut self, target: &str, target_generation: u64, indirect_at: Timestamp) -> u32 {
        let sequence = self.next_sequence();
        self.probe = Some(Probe {
            target: target.to_owned(),
            target_generation,
            sequence,
            indirect_at,
            ends_at: self.next_probe_at,
            helpers: 0,
            nacks: 0,
            is_acked: false,
        });
        sequence
    }

    /// Notes a probe on another member's behalf; returns its sequence number, or `None` at the limit.
    pub(super) fn add_ping_request(
        &mut self,
        origin: SocketAddr,
        origin_sequence: u32,
        nack_at: Timestamp,
    ) -> Option<u32> {
        if self.ping_requests.len() >= MAX_PING_REQUESTS {
            return None;
        }
        let sequence = self.next_sequence();
        self.ping_requests.insert(sequence, PingRequest { origin, origin_sequence, nack_at });
        Some(sequence)
    }

    /// Takes the probes on others' behalf that were not answered in time.
    pub(super) fn take_unanswered_ping_requests(&mut self, now: Timestamp) -> Vec<PingRequest> {
        let mut unanswered = Vec::new();
        self.ping_requests.retain(|_, request| {
            let is_waiting = request.nack_at > now;
            if !is_waiting {
                unanswered.push(request.clone());
            }
            is_waiting
        });
        unanswered
    }

    /// A probe was answered: this member's own, or one on another's behalf, which is returned.
    pub(super) fn on_ack(&mut self, sequence: u32) -> Option<PingRequest> {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.is_acked = true;
        }
        self.ping_requests.remove(&sequence)
    }

    /// A helper got no answer from the target either.
    pub(super) fn on_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.nacks += 1;
        }
    }
}
