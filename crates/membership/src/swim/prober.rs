//! Failure detection: one member is probed in each period, directly and then through other members (SWIM
//! 3.1).

use super::member_table::MemberTable;
use crate::Timestamp;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of probes in flight on behalf of other members; further requests are ignored.
const MAX_PING_REQUESTS: usize = 256;
/// Maximum number of times that the probe order is shuffled to find a target: all members left in the
/// previous order may have died since that order was shuffled.
const MAX_SHUFFLES: usize = 2;

/// A probe of one member, from its ping to the end of the protocol period.
#[derive(Clone, Debug)]
struct Probe {
    target: String,
    target_generation: u64,
    sequence: u32,
    /// Time at which other members (helpers) are requested to probe the target.
    helpers_due_at: Timestamp,
    ends_at: Timestamp,
    /// Number of members that were requested to probe the target.
    helper_count: u32,
    nacks: u32,
    is_acked: bool,
}

impl Probe {
    fn needs_helpers(&self) -> bool {
        !self.is_acked && self.helper_count == 0
    }

    /// Number of helpers that sent no nack; 1 without helpers, so that an unanswered probe without helpers
    /// also raises the local health score (Lifeguard).
    fn silent_helper_count(&self) -> u32 {
        if self.helper_count == 0 {
            1
        } else {
            self.helper_count.saturating_sub(self.nacks)
        }
    }
}

/// Outcome of a probe.
#[derive(Clone, Debug)]
pub(super) enum ProbeOutcome {
    /// The target answered.
    Answered,
    /// The target did not answer.
    Unanswered {
        /// Name of the target.
        target: String,
        /// Generation of the probed process.
        target_generation: u64,
        /// Increase of the local health score because of the missing answers (Lifeguard).
        health_penalty: u32,
    },
}

/// An indirect probe to request from helpers.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    /// Name of the member to probe.
    pub(super) target: String,
    /// Sequence number of the probe.
    pub(super) sequence: u32,
}

/// A probe on another member's behalf.
#[derive(Clone, Debug)]
pub(super) struct PingRequest {
    /// Address of the member that requested the probe.
    pub(super) requester: SocketAddr,
    /// Sequence number of the ping request, which the answer repeats.
    pub(super) requester_sequence: u32,
    /// Time at which a nack is sent unless the target has answered.
    nack_at: Timestamp,
}

/// This member's own probe, one in each period, and its probes on behalf of other members.
#[derive(Clone, Debug)]
pub(super) struct Prober {
    /// Members still to be probed in this round, the next one last.
    probe_order: Vec<String>,
    probe: Option<Probe>,
    /// Probes on behalf of other members, by the sequence number of this member's probe.
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

    /// Time at which the next probe, indirect probe or nack is due.
    pub(super) fn next_deadline(&self) -> Timestamp {
        let unassisted = self.probe.as_ref().filter(|probe| probe.needs_helpers());
        let indirect_probe = unassisted.map(|probe| probe.helpers_due_at);
        let nack = self.ping_requests.values().map(|request| request.nack_at).min();
        [indirect_probe, nack].into_iter().flatten().fold(self.next_probe_at, Timestamp::min)
    }

    pub(super) fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Whether the period of the current probe has ended.
    pub(super) fn is_period_over(&self, now: Timestamp) -> bool {
        now >= self.next_probe_at
    }

    /// Sets the time at which the next probe begins.
    pub(super) fn schedule(&mut self, next_probe_at: Timestamp) {
        self.next_probe_at = next_probe_at;
    }

    /// Drops the current probe and all probes on behalf of other members, without an outcome.
    pub(super) fn abandon_probes(&mut self) {
        self.probe = None;
        self.ping_requests.clear();
    }

    /// The indirect probe that is due: the target has not answered in time, and no helper has been requested
    /// yet.
    pub(super) fn due_indirect_probe(&self, now: Timestamp) -> Option<IndirectProbe> {
        let is_due =
            |probe: &&Probe| probe.needs_helpers() && now >= probe.helpers_due_at && now < probe.ends_at;
        let probe = self.probe.as_ref().filter(is_due)?;
        Some(IndirectProbe { target: probe.target.clone(), sequence: probe.sequence })
    }

    /// Sets the number of helpers that were requested to probe the target.
    pub(super) fn set_helper_count(&mut self, helper_count: usize) {
        let Some(probe) = &mut self.probe else { return };
        probe.helper_count = helper_count as u32;
        if helper_count == 0 {
            // Without a helper, the indirect probe is not attempted again before the period ends.
            probe.helpers_due_at = probe.ends_at;
        }
    }

    /// Ends the current probe and returns its outcome; `None` if there is no probe.
    pub(super) fn conclude(&mut self) -> Option<ProbeOutcome> {
        let probe = self.probe.take()?;
        if probe.is_acked {
            return Some(ProbeOutcome::Answered);
        }
        Some(ProbeOutcome::Unanswered {
            health_penalty: probe.silent_helper_count().min(1 + probe.helper_count),
            target: probe.target,
            target_generation: probe.target_generation,
        })
    }

    /// The next member to probe: each live member once per round, in an order that is shuffled for each round
    /// (SWIM 4.3).
    pub(super) fn next_target(&mut self, members: &MemberTable, rng: &mut ChaCha8Rng) -> Option<String> {
        for _ in 0..MAX_SHUFFLES {
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

    /// Begins a probe that lasts until the next scheduled one; returns its sequence number.
    pub(super) fn begin(&mut self, target: &str, target_generation: u64, helpers_due_at: Timestamp) -> u32 {
        let sequence = self.next_sequence();
        self.probe = Some(Probe {
            target: target.to_owned(),
            target_generation,
            sequence,
            helpers_due_at,
            ends_at: self.next_probe_at,
            helper_count: 0,
            nacks: 0,
            is_acked: false,
        });
        sequence
    }

    /// Adds a probe on another member's behalf; returns its sequence number, or `None` at the limit.
    pub(super) fn add_ping_request(
        &mut self,
        requester: SocketAddr,
        requester_sequence: u32,
        nack_at: Timestamp,
    ) -> Option<u32> {
        if self.ping_requests.len() >= MAX_PING_REQUESTS {
            return None;
        }
        let sequence = self.next_sequence();
        self.ping_requests.insert(sequence, PingRequest { requester, requester_sequence, nack_at });
        Some(sequence)
    }

    /// Removes and returns the probes on behalf of other members that were not answered in time.
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

    /// Processes the answer to a probe. Returns the request if the probe was on another member's behalf.
    pub(super) fn on_ack(&mut self, sequence: u32) -> Option<PingRequest> {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.is_acked = true;
        }
        self.ping_requests.remove(&sequence)
    }

    /// Counts the nack of a helper that also got no answer from the target.
    pub(super) fn on_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.nacks += 1;
        }
    }
}
