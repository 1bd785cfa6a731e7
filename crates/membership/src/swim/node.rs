//! The state machine of one member: what it does when a message arrives and when time passes.

use super::anti_entropy::ViewRateLimiter;
use super::event::{EventLog, MembershipCounters, MembershipEvent, MembershipEventKind};
use super::gossip_queue::GossipQueue;
use super::local_health::LocalHealth;
use super::member_table::MemberEntry;
use super::probing::{PingRequest, Probe};
use super::suspicion::duration_from_ms;
use crate::config::ProtocolConfig;
use crate::gossip_payload::{GossipPayload, PayloadTable};
use crate::message::{Member, MemberState, Message, MessageKind, Update};
use crate::{TimeDelta, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_stable_hash::stable_hash;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time between two ticks from which a member concludes that it was stopped, in protocol periods.
const STOPPED_PERIODS: f64 = 3.0;
/// What a stop adds to the local health score.
const STOP_HEALTH_PENALTY: u32 = 2;
/// Rounds of gossip that a leaving member sends at once.
const LEAVE_ROUNDS: usize = 3;

/// This member.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// Its name.
    pub name: String,
    /// The generation of this process: when it started, in Unix milliseconds.
    pub generation: u64,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Where to.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// One member of the protocol.
#[derive(Clone, Debug)]
pub struct SwimNode {
    pub(super) local: LocalMember,
    pub(super) incarnation: u32,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) config: ProtocolConfig,
    pub(super) rng: ChaCha8Rng,
    /// The other members, by name.
    pub(super) members: BTreeMap<String, MemberEntry>,
    pub(super) payloads: PayloadTable,
    own_payload: GossipPayload,
    pub(super) gossip_queue: GossipQueue,
    /// Members still to be probed in this round.
    pub(super) probe_order: Vec<String>,
    pub(super) probe: Option<Probe>,
    /// Probes on others' behalf, by sequence number.
    pub(super) ping_requests: BTreeMap<u32, PingRequest>,
    last_sequence: u32,
    pub(super) local_health: LocalHealth,
    pub(super) last_tick: Timestamp,
    pub(super) next_probe_at: Timestamp,
    next_gossip_at: Timestamp,
    next_anti_entropy_at: Timestamp,
    /// Whether the next comparison of views goes to a seed or a dead member.
    pub(super) compares_outside: bool,
    pub(super) view_limiter: ViewRateLimiter,
    pub(super) has_left: bool,
    pub(super) is_superseded: bool,
    pub(super) outbox: Vec<OutgoingMessage>,
    events: EventLog,
    pub(super) counters: MembershipCounters,
}

impl SwimNode {
    /// A member that starts now and knows its seeds only; it contacts them at the first tick. One seed of the random
    /// numbers and one sequence of calls give one sequence of messages.
    pub fn new(
        local: LocalMember,
        seeds: Vec<SocketAddr>,
        config: ProtocolConfig,
        rng_seed: u64,
        now: Timestamp,
    ) -> SwimNode {
        let seeds = seeds.into_iter().filter(|seed| *seed != local.address).collect();
        let mut node = SwimNode {
            local,
            incarnation: 0,
            seeds,
            config,
            rng: ChaCha8Rng::seed_from_u64(rng_seed),
            members: BTreeMap::new(),
            payloads: PayloadTable::default(),
            own_payload: GossipPayload::default(),
            gossip_queue: GossipQueue::default(),
            probe_order: Vec::new(),
            probe: None,
            ping_requests: BTreeMap::new(),
            last_sequence: 0,
            local_health: LocalHealth::new(config.max_local_health),
            last_tick: now,
            next_probe_at: now,
            next_gossip_at: now,
            next_anti_entropy_at: now,
            compares_outside: true,
            view_limiter: ViewRateLimiter::new(now),
            has_left: false,
            is_superseded: false,
            outbox: Vec::new(),
            events: EventLog::default(),
            counters: MembershipCounters::default(),
        };
        // Members that start together do not probe in step.
        node.next_probe_at = now + node.random_delay(config.period_ms);
        node.next_gossip_at = now + node.random_delay(config.gossip_interval_ms);
        let alive = node.own_member_as(MemberState::Alive);
        node.enqueue_member(alive, node.local.name.clone());
        node
    }

    /// Members that are alive or suspected, except this one.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|entry| entry.is_live()).map(|entry| &entry.member)
    }

    /// All members of the view, the dead too, except this one.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// The number of live members, this one included: the size of the fleet as it sees it.
    pub fn live_count(&self) -> usize {
        self.live_members().count() + 1
    }

    /// A digest of the live members, this one included: equal digests are equal views.
    pub fn digest(&self) -> u64 {
        let digest_of =
            |name: &str, generation: u64| stable_hash(&[name.as_bytes(), &generation.to_be_bytes()]);
        let own = digest_of(&self.local.name, self.local.generation);
        let others = self.live_members().map(|member| digest_of(&member.name, member.generation));
        others.fold(own, u64::wrapping_add)
    }

    /// This member as it describes itself.
    pub fn own_member(&self) -> Member {
        self.own_member_as(if self.has_left { MemberState::Left } else { MemberState::Alive })
    }

    /// The other members' payloads.
    pub fn payloads(&self) -> &PayloadTable {
        &self.payloads
    }

    /// The local health score: 0 is healthy; periods and time-outs are multiplied by 1 + the score.
    pub fn local_health(&self) -> u32 {
        self.local_health.score()
    }

    /// Counters so far.
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Takes the events since the last call, oldest first.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        self.events.drain()
    }

    /// Takes the messages to send since the last call.
    pub fn take_outbox(&mut self) -> Vec<OutgoingMessage> {
        std::mem::take(&mut self.outbox)
    }

    /// When [`SwimNode::tick`] is to be called next at the latest.
    pub fn next_deadline(&self) -> Timestamp {
        let indirect_probe = self.probe.as_ref().and_then(Probe::next_deadline);
        let nack = self.ping_requests.values().map(PingRequest::nack_at).min();
        let periodic = self.next_probe_at.min(self.next_gossip_at).min(self.next_anti_entropy_at);
        let others = [indirect_probe, nack, self.next_suspicion_deadline()];
        others.into_iter().flatten().fold(periodic, Timestamp::min)
    }

    /// Replaces this member's payload: its next version is disseminated.
    pub fn set_payload(&mut self, mut payload: GossipPayload) {
        payload.truncate();
        payload.version = self.own_payload.version.wrapping_add(1);
        self.own_payload = payload.clone();
        self.gossip_queue.enqueue_payload(self.local.name.clone(), self.local.generation, payload);
    }

    /// This member leaves in order: others are notified at once, and nothing is probed any more.
    pub fn leave(&mut self) {
        self.has_left = true;
        let left = self.own_member_as(MemberState::Left);
        self.enqueue_member(left, self.local.name.clone());
        let fanout = (self.config.gossip_fanout as usize).max(1) * LEAVE_ROUNDS;
        self.gossip(fanout);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Timestamp) {
        let elapsed = now - self.last_tick;
        self.last_tick = now;
        if elapsed.as_secs_f64() > STOPPED_PERIODS * self.config.period_ms / 1e3 {
            self.recover_from_stop(now, elapsed);
        }
        if self.has_left || self.is_superseded {
            self.next_probe_at = now + duration_from_ms(self.config.period_ms);
            self.next_anti_entropy_at = self.next_probe_at;
            self.next_gossip_at = self.next_gossip_at.max(now);
            self.run_gossip(now);
            return;
        }
        self.send_nacks(now);
        self.run_probe(now);
        self.send_final_probes(now);
        self.expire_suspicions(now);
        self.run_gossip(now);
        self.run_anti_entropy(now);
    }

    /// A message arrived.
    pub fn receive(&mut self, now: Timestamp, message: Message) {
        self.counters.received += 1;
        let sender = message.sender;
        if sender.name == self.local.name {
            // Its own messages come back, or another process has its name.
            self.check_superseded(now, sender.generation);
            return;
        }
        let is_view = matches!(message.kind, MessageKind::View { .. });
        let is_accused = self.apply_updates(now, message.updates, is_view);
        match message.kind {
            MessageKind::Ping { sequence, target } => {
                // Another member had the address before: the one that is probed is not here.
                if target == self.local.name {
                    self.answer(sender.address, MessageKind::Ack { sequence }, is_accused);
                }
            }
            MessageKind::Ack { sequence } => self.on_ack(sequence),
            MessageKind::PingRequest { sequence, target, address } => {
                self.start_ping_request(now, sender.address, sequence, target, address);
            }
            MessageKind::Nack { sequence } => self.on_nack(sequence),
            MessageKind::Digest { digest, is_reply, .. } => {
                self.on_digest(now, sender.address, digest, is_reply);
            }
            MessageKind::Query { offset } => self.answer_query(sender.address, offset),
            MessageKind::Gossip if is_accused => self.answer(sender.address, MessageKind::Gossip, true),
            MessageKind::Gossip | MessageKind::View { .. } => {}
        }
    }

    /// Applies a message's updates; returns whether one of them accuses this member of not being alive.
    fn apply_updates(&mut self, now: Timestamp, updates: Vec<Update>, is_view: bool) -> bool {
        let mut is_accused = false;
        for update in updates {
            match update {
                Update::Member { mut member, reported_by } => {
                    is_accused |= self.is_accusation(&member);
                    if is_view && member.state == MemberState::Dead {
                        member.state = MemberState::Suspect;
                    }
                    self.apply_member_update(now, member, reported_by);
                }
                Update::Payload { member, generation, payload } => {
                    self.apply_payload_update(member, generation, payload);
                }
            }
        }
        is_accused
    }

    /// Answers a message. Whoever accuses this member gets the refutation with the answer, whatever else is queued.
    fn answer(&mut self, to: SocketAddr, kind: MessageKind, is_accused: bool) {
        let mut updates = Vec::new();
        if is_accused {
            let member = self.own_member();
            updates.push(Update::Member { member, reported_by: self.local.name.clone() });
        }
        self.send_with_updates(to, kind, updates);
    }

    fn run_gossip(&mut self, now: Timestamp) {
        if now >= self.next_gossip_at {
            self.next_gossip_at = now + duration_from_ms(self.config.gossip_interval_ms);
            self.gossip(self.config.gossip_fanout as usize);
        }
    }

    fn run_anti_entropy(&mut self, now: Timestamp) {
        if now >= self.next_anti_entropy_at {
            let interval_ms = self.config.anti_entropy_interval_ms * self.rng.gen_range(0.8..1.2);
            self.next_anti_entropy_at = now + duration_from_ms(interval_ms);
            self.compare_views();
            self.forget_dead_members(now);
        }
    }

    /// This process was stopped: nothing is concluded from the silence in between.
    fn recover_from_stop(&mut self, now: Timestamp, elapsed: TimeDelta) {
        self.counters.stops += 1;
        self.probe = None;
        self.ping_requests.clear();
        self.local_health.worsen(STOP_HEALTH_PENALTY);
        for suspicion in self.members.values_mut().filter_map(|entry| entry.suspicion.as_mut()) {
            suspicion.extend(elapsed);
        }
        self.next_probe_at = now + duration_from_ms(self.config.period_ms);
        self.next_anti_entropy_at = now;
    }

    pub(super) fn own_member_as(&self, state: MemberState) -> Member {
        let local = self.local.clone();
        Member {
            name: local.name,
            generation: local.generation,
            incarnation: self.incarnation,
            state,
            address: local.address,
            zone: local.zone,
            region: local.region,
        }
    }

    pub(super) fn own_update_as(&self, state: MemberState) -> Update {
        Update::Member { member: self.own_member_as(state), reported_by: self.local.name.clone() }
    }

    pub(super) fn record_event(
        &mut self,
        at: Timestamp,
        member: String,
        kind: MembershipEventKind,
        reported_by: String,
    ) {
        self.events.push(MembershipEvent { at, member, kind, reported_by });
    }

    pub(super) fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// A random part of a span.
    fn random_delay(&mut self, max_ms: f64) -> TimeDelta {
        TimeDelta::from_secs_f64(max_ms / 1e3 * self.rng.gen::<f64>())
    }
}
