//! The state machine of one member: its reactions to received messages and to the passage of time.

use super::anti_entropy::AntiEntropy;
use super::duration::duration_from_ms;
use super::event::{EventLog, MembershipCounters, MembershipEvent};
use super::gossip_queue::GossipQueue;
use super::local_health::LocalHealth;
use super::local_member::{LocalMember, LocalState};
use super::member_table::MemberTable;
use super::prober::Prober;
use crate::config::ProtocolConfig;
use crate::gossip_payload::{GossipPayload, PayloadTable};
use crate::message::{Member, MemberState, Message, MessageKind};
use crate::{TimeDelta, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_stable_hash::stable_hash;
use std::net::SocketAddr;

mod probing;
mod sending;
mod updates;
mod view_exchange;

/// Time between two ticks above which a member concludes that its process was stopped, in protocol periods.
const STOP_DETECTION_PERIODS: f64 = 3.0;
/// Increase of the local health score after a stop.
const STOP_HEALTH_PENALTY: u32 = 2;
/// Number of gossip rounds that a leaving member sends at once.
const LEAVE_GOSSIP_ROUNDS: usize = 3;

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Message to encode and send.
    pub message: Message,
}

/// One member of the protocol.
#[derive(Clone, Debug)]
pub struct SwimNode {
    config: ProtocolConfig,
    rng: ChaCha8Rng,
    local: LocalState,
    local_health: LocalHealth,
    members: MemberTable,
    payloads: PayloadTable,
    own_payload: GossipPayload,
    prober: Prober,
    gossip_queue: GossipQueue,
    next_gossip_at: Timestamp,
    anti_entropy: AntiEntropy,
    last_tick: Timestamp,
    outbox: Vec<OutgoingMessage>,
    events: EventLog,
    counters: MembershipCounters,
}

/// A random delay, uniform between 0 and `max_ms`.
fn random_delay(rng: &mut ChaCha8Rng, max_ms: f64) -> TimeDelta {
    TimeDelta::from_secs_f64(max_ms / 1e3 * rng.gen::<f64>())
}

impl SwimNode {
    /// Creates a member that starts now and knows only its seeds, which it contacts at the first tick. The
    /// same `rng_seed` and sequence of calls always produce the same sequence of messages.
    pub fn new(
        local: LocalMember,
        seeds: Vec<SocketAddr>,
        config: ProtocolConfig,
        rng_seed: u64,
        now: Timestamp,
    ) -> SwimNode {
        let seeds = seeds.into_iter().filter(|seed| *seed != local.address).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(rng_seed);
        // Random delays, so that members that start together do not probe and gossip at the same times.
        let first_probe_at = now + random_delay(&mut rng, config.period_ms);
        let first_gossip_at = now + random_delay(&mut rng, config.gossip_interval_ms);
        let mut node = SwimNode {
            config,
            rng,
            local: LocalState::new(local),
            local_health: LocalHealth::new(config.max_local_health),
            members: MemberTable::default(),
            payloads: PayloadTable::default(),
            own_payload: GossipPayload::default(),
            prober: Prober::new(first_probe_at),
            gossip_queue: GossipQueue::default(),
            next_gossip_at: first_gossip_at,
            anti_entropy: AntiEntropy::new(seeds, now),
            last_tick: now,
            outbox: Vec::new(),
            events: EventLog::default(),
            counters: MembershipCounters::default(),
        };
        node.disseminate_own_state(MemberState::Alive);
        node
    }

    /// Other members that are alive or suspected.
    pub fn live_members(&self) -> impl Iterator<Item = &Member> {
        self.members.live()
    }

    /// All other members of the view, including dead ones.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.all()
    }

    /// Number of live members in the view, this one included.
    pub fn live_count(&self) -> usize {
        self.members.fleet_size()
    }

    /// Digest of the live members, this one included: members with equal digests have equal views.
    pub fn digest(&self) -> u64 {
        let member_digest =
            |name: &str, generation: u64| stable_hash(&[name.as_bytes(), &generation.to_be_bytes()]);
        let own = member_digest(self.local.name(), self.local.generation());
        let others = self.live_members().map(|member| member_digest(&member.name, member.generation));
        others.fold(own, u64::wrapping_add)
    }

    /// This member's own description and state.
    pub fn own_member(&self) -> Member {
        self.local.member()
    }

    /// Payloads of the other members.
    pub fn payloads(&self) -> &PayloadTable {
        &self.payloads
    }

    /// Local health score: 0 is healthy; periods and time-outs are multiplied by 1 + the score.
    pub fn local_health(&self) -> u32 {
        self.local_health.score()
    }

    /// Counters since this member was created.
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

    /// Latest time at which [`SwimNode::tick`] must be called next.
    pub fn next_deadline(&self) -> Timestamp {
        let periodic = self.prober.next_deadline().min(self.next_gossip_at).min(self.anti_entropy.next_at());
        let suspicion = self.members.next_suspicion_deadline(&self.config);
        suspicion.map_or(periodic, |deadline| deadline.min(periodic))
    }

    /// Replaces this member's payload and disseminates it as the next version.
    pub fn set_payload(&mut self, mut payload: GossipPayload) {
        payload.truncate();
        payload.version = self.own_payload.version.wrapping_add(1);
        self.own_payload = payload.clone();
        let name = self.local.name().to_owned();
        self.gossip_queue.enqueue_payload(name, self.local.generation(), payload);
    }

    /// Leaves the fleet: other members are notified at once, and this member stops probing.
    pub fn leave(&mut self) {
        self.local.leave();
        self.disseminate_own_state(MemberState::Left);
        let fanout = (self.config.gossip_fanout as usize).max(1) * LEAVE_GOSSIP_ROUNDS;
        self.gossip(fanout);
    }

    /// Advances time to `now`: sends due messages and expires suspicions.
    pub fn tick(&mut self, now: Timestamp) {
        let elapsed = now - self.last_tick;
        self.last_tick = now;
        if elapsed.as_secs_f64() > STOP_DETECTION_PERIODS * self.config.period_ms / 1e3 {
            self.recover_from_stop(now, elapsed);
        }
        if self.local.is_inactive() {
            self.tick_inactive(now);
            return;
        }
        self.send_nacks(now);
        self.run_probe(now);
        self.send_final_probes(now);
        self.expire_suspicions(now);
        self.run_gossip(now);
        self.run_anti_entropy(now);
    }

    /// Processes a received message.
    pub fn receive(&mut self, now: Timestamp, message: Message) {
        self.counters.received += 1;
        let sender = message.sender;
        if sender.name == self.local.name() {
            // The message is one of its own that came back, or another process has its name.
            self.check_superseded(now, sender.generation);
            return;
        }
        let is_view = matches!(message.kind, MessageKind::View { .. });
        let is_accused = self.apply_updates(now, message.updates, is_view);
        match message.kind {
            MessageKind::Ping { sequence, target } => {
                // A probe for a different member that had this address before is not answered.
                if target == self.local.name() {
                    self.answer(sender.address, MessageKind::Ack { sequence }, is_accused);
                }
            }
            MessageKind::Ack { sequence } => self.on_ack(sequence),
            MessageKind::PingRequest { sequence, target, address } => {
                self.start_ping_request(now, sender.address, sequence, target, address);
            }
            MessageKind::Nack { sequence } => self.prober.on_nack(sequence),
            MessageKind::Digest { digest, is_reply, .. } => {
                self.on_digest(now, sender.address, digest, is_reply);
            }
            MessageKind::Query { offset } => self.answer_query(sender.address, offset),
            MessageKind::Gossip if is_accused => self.answer(sender.address, MessageKind::Gossip, true),
            MessageKind::Gossip | MessageKind::View { .. } => {}
        }
    }

    /// Tick of a member that has left or was superseded: it only sends queued gossip.
    fn tick_inactive(&mut self, now: Timestamp) {
        let next_period = now + duration_from_ms(self.config.period_ms);
        self.prober.schedule(next_period);
        self.anti_entropy.schedule(next_period);
        self.next_gossip_at = self.next_gossip_at.max(now);
        self.run_gossip(now);
    }

    fn run_gossip(&mut self, now: Timestamp) {
        if now >= self.next_gossip_at {
            self.next_gossip_at = now + duration_from_ms(self.config.gossip_interval_ms);
            self.gossip(self.config.gossip_fanout as usize);
        }
    }

    fn run_anti_entropy(&mut self, now: Timestamp) {
        if self.anti_entropy.is_due(now) {
            let interval_ms = self.config.anti_entropy_interval_ms * self.rng.gen_range(0.8..1.2);
            self.anti_entropy.schedule(now + duration_from_ms(interval_ms));
            self.compare_views();
            self.members.remove_long_dead(now, &self.config);
        }
    }

    /// Recovers after this process was stopped: no conclusions are drawn from answers that are missing since.
    fn recover_from_stop(&mut self, now: Timestamp, elapsed: TimeDelta) {
        self.counters.stops += 1;
        self.prober.abandon_probes();
        self.local_health.worsen(STOP_HEALTH_PENALTY);
        self.members.extend_suspicions(elapsed);
        self.prober.schedule(now + duration_from_ms(self.config.period_ms));
        self.anti_entropy.schedule(now);
    }
}
