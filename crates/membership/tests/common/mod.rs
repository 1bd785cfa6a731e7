//! A simulated network of members in virtual time, with datagram loss (also in one direction), delays,
//! partitions, crashes, stops and restarts. All randomness comes from one seed.
#![allow(dead_code)]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_membership::{
    decode, encode, LocalMember, MembershipEvent, MembershipEventKind, Message, OutgoingMessage,
    ProtocolConfig, SwimNode, TimeDelta, Timestamp,
};
use sprucelink_stable_hash::stable_hash;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Number of members in one simulated subnet.
const MEMBERS_PER_SUBNET: usize = 250;
/// Maximum number of messages in the socket buffer of a stopped member; further ones are lost.
const SOCKET_BUFFER_MESSAGES: usize = 200;
/// Minimum time between two ticks of a member.
const MIN_TICK_INTERVAL: TimeDelta = TimeDelta::from_millis(1);
/// Interval at which the simulation checks whether views have converged.
const CONVERGENCE_CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// Number of seeds of each member.
const SEED_COUNT: usize = 3;
/// Delay of a datagram without faults, in microseconds.
pub const DEFAULT_DELAY_MICROS: RangeInclusive<i64> = 500..=2_000;

pub fn address(index: usize) -> SocketAddr {
    let subnet = (index / MEMBERS_PER_SUBNET) as u8;
    let host = (index % MEMBERS_PER_SUBNET) as u8;
    SocketAddr::from(([10, 0, subnet, host], 7_000))
}

fn member_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, subnet, host] = v4.ip().octets();
            usize::from(subnet) * MEMBERS_PER_SUBNET + usize::from(host)
        }
        SocketAddr::V6(_) => unreachable!("simulated addresses are IPv4"),
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    /// A tick of a member.
    Tick(usize),
    /// The arrival of a message, by its key, at a member.
    Arrival(u64, usize),
}

/// Loss of datagrams from one member to another.
pub struct DirectedLoss {
    pub from: usize,
    pub to: usize,
    pub fraction: f64,
}

/// A membership event and the index of the member that reported it.
pub struct ObservedEvent {
    pub observer: usize,
    pub event: MembershipEvent,
}

pub struct SimulatedNetwork {
    pub config: ProtocolConfig,
    /// The members, `None` while their process does not run.
    pub nodes: Vec<Option<SwimNode>>,
    pub now: Timestamp,
    /// Fraction of datagrams lost.
    pub loss: f64,
    pub delay_micros: RangeInclusive<i64>,
    pub directed_loss: Option<DirectedLoss>,
    /// A partition: for each member, whether it is on the second side.
    pub partition: Option<Vec<bool>>,
    /// For each member, whether it is stopped, as by SIGSTOP.
    pub is_stopped: Vec<bool>,
    /// Whether messages are encoded and decoded on the way.
    pub uses_codec: bool,
    pub bytes: u64,
    pub messages: u64,
    /// Digest of all datagrams sent, in order.
    pub datagram_digest: u64,
    pub events: Vec<ObservedEvent>,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Scheduled)>>,
    in_flight: BTreeMap<u64, Message>,
    /// Messages that arrived at stopped members, by member.
    socket_buffers: Vec<Vec<Message>>,
    rng: ChaCha8Rng,
    last_key: u64,
    seed: u64,
}

impl SimulatedNetwork {
    /// Creates a network whose members all start at time 0.
    pub fn new(members: usize, config: ProtocolConfig, seed: u64) -> SimulatedNetwork {
        let mut network = SimulatedNetwork {
            config,
            nodes: (0..members).map(|_| None).collect(),
            now: Timestamp::ZERO,
            loss: 0.0,
            delay_micros: DEFAULT_DELAY_MICROS,
            directed_loss: None,
            partition: None,
            is_stopped: vec![false; members],
            uses_codec: false,
            bytes: 0,
            messages: 0,
            datagram_digest: 0,
            events: Vec::new(),
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            socket_buffers: (0..members).map(|_| Vec::new()).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_key: 0,
            seed,
        };
        (0..members).for_each(|index| network.start(index));
        network
    }

    /// Starts a member, or a new process under its name.
    pub fn start(&mut self, index: usize) {
        let generation = 1_000 + self.now.as_millis() as u64;
        let zone = if index.is_multiple_of(2) { "hall-a" } else { "hall-b" };
        let local = LocalMember {
            name: format!("n{index}"),
            generation,
            address: address(index),
            zone: zone.into(),
            region: "north".into(),
        };
        let seeds = (0..SEED_COUNT).map(address).collect();
        let rng_seed = self.seed.wrapping_mul(31) ^ (index as u64) << 20 ^ generation;
        self.nodes[index] = Some(SwimNode::new(local, seeds, self.config, rng_seed, self.now));
        self.is_stopped[index] = false;
        self.schedule(self.now, Scheduled::Tick(index));
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    fn next_key(&mut self) -> u64 {
        self.last_key += 1;
        self.last_key
    }

    fn schedule(&mut self, at: Timestamp, scheduled: Scheduled) {
        let key = self.next_key();
        self.queue.push(Reverse((at, key, scheduled)));
    }

    /// Whether a datagram is delivered; draws random loss.
    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        if self.partition.as_ref().is_some_and(|is_second_side| is_second_side[from] != is_second_side[to]) {
            return false;
        }
        if self.rng.gen_bool(self.loss) {
            return false;
        }
        match &self.directed_loss {
            Some(loss) if loss.from == from && loss.to == to => !self.rng.gen_bool(loss.fraction),
            _ => true,
        }
    }

    /// Collects a member's events, sends its messages, and schedules its next tick.
    fn collect_output(&mut self, index: usize) {
        let Some(node) = &mut self.nodes[index] else { return };
        let events = node.take_events();
        let outbox = node.take_outbox();
        let deadline = node.next_deadline();
        self.events.extend(events.into_iter().map(|event| ObservedEvent { observer: index, event }));
        for outgoing in outbox {
            self.send(index, outgoing);
        }
        let at = deadline.max(self.now + MIN_TICK_INTERVAL);
        self.schedule(at, Scheduled::Tick(index));
    }

    fn send(&mut self, from: usize, outgoing: OutgoingMessage) {
        let OutgoingMessage { to, message } = outgoing;
        let bytes = encode(&message).bytes;
        self.bytes += bytes.len() as u64;
        self.messages += 1;
        let previous = self.datagram_digest.to_be_bytes();
        self.datagram_digest = stable_hash(&[&previous, to.to_string().as_bytes(), &bytes]);
        let message =
            if self.uses_codec { decode(&bytes).expect("encoded by this version") } else { message };
        let receiver = member_index(to);
        if self.is_delivered(from, receiver) {
            let delay = TimeDelta::from_micros(self.rng.gen_range(self.delay_micros.clone()));
            let key = self.next_key();
            self.in_flight.insert(key, message);
            self.schedule(self.now + delay, Scheduled::Arrival(key, receiver));
        }
    }

    /// Resumes a member after a stop: it ticks, then receives the messages in its socket buffer.
    pub fn resume(&mut self, index: usize) {
        self.is_stopped[index] = false;
        let buffered = std::mem::take(&mut self.socket_buffers[index]);
        if let Some(node) = &mut self.nodes[index] {
            node.tick(self.now);
            for message in buffered {
                node.receive(self.now, message);
            }
        }
        self.collect_output(index);
    }

    /// Advances time to `until` and processes all events due by then.
    pub fn run(&mut self, until: Timestamp) {
        while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at <= until) {
            let Some(Reverse((at, _, scheduled))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            match scheduled {
                Scheduled::Tick(index) => self.tick(index),
                Scheduled::Arrival(key, index) => self.deliver(key, index),
            }
        }
        self.now = until;
    }

    /// Advances time by a number of seconds.
    pub fn run_for(&mut self, seconds: i64) {
        self.run(self.now + TimeDelta::from_secs(seconds));
    }

    fn tick(&mut self, index: usize) {
        let Some(node) = self.nodes[index].as_mut().filter(|_| !self.is_stopped[index]) else { return };
        // Skips a tick whose deadline moved to a later time after it was scheduled.
        if node.next_deadline() > self.now {
            return;
        }
        node.tick(self.now);
        self.collect_output(index);
    }

    fn deliver(&mut self, key: u64, index: usize) {
        let Some(message) = self.in_flight.remove(&key) else { return };
        if self.is_stopped[index] {
            let buffer = &mut self.socket_buffers[index];
            if buffer.len() < SOCKET_BUFFER_MESSAGES {
                buffer.push(message);
            }
            return;
        }
        if let Some(node) = &mut self.nodes[index] {
            node.receive(self.now, message);
            self.collect_output(index);
        }
    }

    /// Whether the view of every running member is the set of running members.
    pub fn views_agree(&self) -> bool {
        let running: Vec<&SwimNode> = self.nodes.iter().flatten().collect();
        let Some(first) = running.first() else { return true };
        let digest = first.digest();
        running.iter().all(|node| node.digest() == digest && node.live_count() == running.len())
    }

    /// Runs until all views agree, for at most `max_seconds`; returns the elapsed time in seconds, or `None`
    /// if they do not agree by then.
    pub fn converge(&mut self, max_seconds: i64) -> Option<f64> {
        let started_at = self.now;
        let end = started_at + TimeDelta::from_secs(max_seconds);
        while self.now < end {
            if self.views_agree() {
                return Some((self.now - started_at).as_secs_f64());
            }
            self.run(self.now + CONVERGENCE_CHECK_INTERVAL);
        }
        None
    }

    /// Times at which members reported an event about the member `name`, from `since` on.
    pub fn events_on(&self, name: &str, kind: MembershipEventKind, since: Timestamp) -> Vec<Timestamp> {
        let events = self.events.iter().map(|observed| &observed.event);
        let matching =
            events.filter(|event| event.member == name && event.kind == kind && event.occurred_at >= since);
        matching.map(|event| event.occurred_at).collect()
    }

    /// Number of events of a kind from `since` on.
    pub fn event_count(&self, kind: MembershipEventKind, since: Timestamp) -> usize {
        let events = self.events.iter().map(|observed| &observed.event);
        events.filter(|event| event.kind == kind && event.occurred_at >= since).count()
    }
}
