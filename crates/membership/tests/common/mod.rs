//! A simulated network of members in virtual time: loss and delay by direction, partitions, crashes, stops and restarts,
//! all from one seed. Messages pass through the codec where `coded` is set.
#![allow(dead_code)]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_membership::{
    decode, encode, LocalMember, MembershipEvent, MembershipEventKind, Message, OutgoingMessage,
    ProtocolConfig, SwimNode,
};
use sprucelink_membership::{TimeDelta, Timestamp};
use sprucelink_stable_hash::stable_hash;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

pub const S: i64 = 1_000_000;

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7_000))
}

fn index(at: SocketAddr) -> usize {
    match at {
        SocketAddr::V4(a) => usize::from(a.ip().octets()[2]) * 250 + usize::from(a.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("addresses of the model are IPv4"),
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick(usize),
    Message(u64, usize),
}

pub struct Net {
    pub config: ProtocolConfig,
    pub nodes: Vec<Option<SwimNode>>,
    pub now: Timestamp,
    pub loss: f64,
    pub delay: [i64; 2],
    /// Fraction lost in one direction: from, to, fraction.
    pub one_way: Vec<(usize, usize, f64)>,
    /// A partition: which members are on its second side.
    pub partition: Option<Vec<bool>>,
    pub stopped: Vec<bool>,
    pub coded: bool,
    pub bytes: u64,
    pub messages: u64,
    /// A digest of all datagrams sent, in order.
    pub trace: u64,
    pub changes: Vec<(usize, MembershipEvent)>,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Due)>>,
    flying: BTreeMap<u64, Message>,
    waiting: Vec<Vec<Message>>,
    rng: ChaCha8Rng,
    count: u64,
    seed: u64,
}

impl Net {
    pub fn new(n: usize, config: ProtocolConfig, seed: u64) -> Net {
        let mut net = Net {
            config,
            nodes: (0..n).map(|_| None).collect(),
            now: Timestamp::ZERO,
            loss: 0.0,
            delay: [500, 2_000],
            one_way: Vec::new(),
            partition: None,
            stopped: vec![false; n],
            coded: false,
            bytes: 0,
            messages: 0,
            trace: 0,
            changes: Vec::new(),
            queue: BinaryHeap::new(),
            flying: BTreeMap::new(),
            waiting: (0..n).map(|_| Vec::new()).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            count: 0,
            seed,
        };
        (0..n).for_each(|i| net.start(i));
        net
    }

    /// Starts member `i`, or a new process under its name.
    pub fn start(&mut self, i: usize) {
        let generation = 1_000 + (self.now.as_micros() / 1_000) as u64;
        let (name, zone) = (format!("n{i}"), format!("hall-{}", if i.is_multiple_of(2) { "a" } else { "b" }));
        let me = LocalMember { name, generation, address: address(i), zone, region: "north".into() };
        let seeds = (0..3).map(address).collect();
        let seed = self.seed.wrapping_mul(31) ^ (i as u64) << 20 ^ generation;
        self.nodes[i] = Some(SwimNode::new(me, seeds, self.config, seed, self.now));
        self.stopped[i] = false;
        self.push(self.now, Due::Tick(i));
    }

    pub fn crash(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    fn push(&mut self, at: Timestamp, due: Due) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, due)));
    }

    fn passes(&mut self, from: usize, to: usize) -> bool {
        let partition = self.partition.as_ref().is_some_and(|p| p[from] != p[to]);
        let way = self.one_way.iter().find(|w| (w.0, w.1) == (from, to)).map_or(0.0, |w| w.2);
        let lost = partition || self.rng.gen_bool(self.loss) || way > 0.0 && self.rng.gen_bool(way);
        !lost
    }

    fn after(&mut self, i: usize) {
        let Some(node) = &mut self.nodes[i] else { return };
        self.changes.extend(node.take_events().into_iter().map(|c| (i, c)));
        for OutgoingMessage { to, message } in node.take_outbox() {
            let bytes = encode(&message).bytes;
            (self.bytes, self.messages) = (self.bytes + bytes.len() as u64, self.messages + 1);
            self.trace = stable_hash(&[&self.trace.to_be_bytes(), to.to_string().as_bytes(), &bytes]);
            let message = if self.coded { decode(&bytes).expect("its own") } else { message };
            let j = index(to);
            if self.passes(i, j) {
                let flight = self.rng.gen_range(self.delay[0]..=self.delay[1]);
                self.count += 1;
                let key = self.count;
                self.flying.insert(key, message);
                let at = Timestamp::from_micros(self.now.as_micros() + flight);
                self.push(at, Due::Message(key, j));
            }
        }
        if let Some(due) = self.nodes[i].as_ref().map(SwimNode::next_deadline) {
            let at = due.max(Timestamp::from_micros(self.now.as_micros() + 1_000));
            self.push(at, Due::Tick(i));
        }
    }

    /// Resumes member `i` after a stop: what arrived meanwhile is read first, as from a socket's buffer.
    pub fn resume(&mut self, i: usize) {
        self.stopped[i] = false;
        let waiting = std::mem::take(&mut self.waiting[i]);
        if let Some(node) = &mut self.nodes[i] {
            node.tick(self.now);
            waiting.into_iter().for_each(|m| node.receive(self.now, m));
        }
        self.after(i);
    }

    /// Time passes, up to `until`.
    pub fn run(&mut self, until: Timestamp) {
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, due))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            match due {
                Due::Tick(i) => {
                    let Some(node) = self.nodes[i].as_mut().filter(|_| !self.stopped[i]) else { continue };
                    // Ticks scheduled before something else happened come too early and are skipped.
                    if node.next_deadline() > self.now {
                        continue;
                    }
                    node.tick(self.now);
                    self.after(i);
                }
                Due::Message(key, i) => {
                    let Some(message) = self.flying.remove(&key) else { continue };
                    if self.stopped[i] {
                        // A socket's buffer is bounded, too.
                        if self.waiting[i].len() < 200 {
                            self.waiting[i].push(message);
                        }
                        continue;
                    }
                    if let Some(node) = &mut self.nodes[i] {
                        node.receive(self.now, message);
                        self.after(i);
                    }
                }
            }
        }
        self.now = until;
    }

    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|i| self.nodes[*i].is_some()).collect()
    }

    /// Whether the view of every running member is the set of running members.
    pub fn agree(&self) -> bool {
        let live = self.live();
        let views: Vec<(u64, usize)> = live
            .iter()
            .filter_map(|i| self.nodes[*i].as_ref())
            .map(|s| (s.digest(), s.live_count()))
            .collect();
        views.iter().all(|v| v.0 == views[0].0 && v.1 == live.len())
    }

    /// Runs until all agree, at most this many seconds; returns how long that took.
    pub fn converge(&mut self, max_s: i64) -> Option<f64> {
        let begun = self.now;
        for _ in 0..max_s * 10 {
            if self.agree() {
                return Some((self.now - begun).as_secs_f64());
            }
            self.run(self.now + TimeDelta::from_micros(S / 10));
        }
        None
    }

    /// When members reported an event on member `name`, from a time on.
    pub fn events_on(&self, name: &str, kind: MembershipEventKind, since: Timestamp) -> Vec<Timestamp> {
        let of = |c: &&(usize, MembershipEvent)| c.1.member == name && c.1.kind == kind && c.1.at >= since;
        self.changes.iter().filter(of).map(|c| c.1.at).collect()
    }

    /// The number of events of a kind from a time on.
    pub fn count(&self, kind: MembershipEventKind, since: Timestamp) -> usize {
        self.changes.iter().filter(|c| c.1.kind == kind && c.1.at >= since).count()
    }
}
