//! A net of members in virtual time: loss and delay by way, partitions, crashes, stops and restarts, all from one
//! seed. Messages go through the codec where `coded` says so.
#![allow(dead_code)]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_membership::codec::{self, Message};
use sprucelink_membership::swim::{Change, Me, Swim, What};
use sprucelink_membership::terms::Protocol;
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
    pub terms: Protocol,
    pub nodes: Vec<Option<Swim>>,
    pub now: Timestamp,
    pub loss: f64,
    pub delay: [i64; 2],
    /// Share lost on one way: from, to, share.
    pub one_way: Vec<(usize, usize, f64)>,
    /// Parted groups: who is in the second.
    pub parted: Option<Vec<bool>>,
    pub stopped: Vec<bool>,
    pub coded: bool,
    pub bytes: u64,
    pub messages: u64,
    /// A digest of all datagrams sent, in order.
    pub trace: u64,
    pub changes: Vec<(usize, Change)>,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Due)>>,
    flying: BTreeMap<u64, Message>,
    waiting: Vec<Vec<Message>>,
    rng: ChaCha8Rng,
    count: u64,
    seed: u64,
}

impl Net {
    pub fn new(n: usize, terms: Protocol, seed: u64) -> Net {
        let mut net = Net {
            terms,
            nodes: (0..n).map(|_| None).collect(),
            now: Timestamp::ZERO,
            loss: 0.0,
            delay: [500, 2_000],
            one_way: Vec::new(),
            parted: None,
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
        let life = 1_000 + (self.now.as_micros() / 1_000) as u64;
        let (name, zone) = (format!("n{i}"), format!("hall-{}", if i.is_multiple_of(2) { "a" } else { "b" }));
        let me = Me { name, life, address: address(i), zone, region: "north".into() };
        let seeds = (0..3).map(address).collect();
        let seed = self.seed.wrapping_mul(31) ^ (i as u64) << 20 ^ life;
        self.nodes[i] = Some(Swim::new(me, seeds, self.terms, seed, self.now));
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
        let parted = self.parted.as_ref().is_some_and(|p| p[from] != p[to]);
        let way = self.one_way.iter().find(|w| (w.0, w.1) == (from, to)).map_or(0.0, |w| w.2);
        let lost = parted || self.rng.gen_bool(self.loss) || way > 0.0 && self.rng.gen_bool(way);
        !lost
    }

    fn after(&mut self, i: usize) {
        let Some(node) = &mut self.nodes[i] else { return };
        self.changes.extend(node.changes().into_iter().map(|c| (i, c)));
        for (to, message) in node.outbox() {
            let (bytes, _) = codec::write(&message);
            (self.bytes, self.messages) = (self.bytes + bytes.len() as u64, self.messages + 1);
            self.trace = stable_hash(&[&self.trace.to_be_bytes(), to.to_string().as_bytes(), &bytes]);
            let message = if self.coded { codec::read(&bytes).expect("its own") } else { message };
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
        if let Some(due) = self.nodes[i].as_ref().map(Swim::due) {
            let at = due.max(Timestamp::from_micros(self.now.as_micros() + 1_000));
            self.push(at, Due::Tick(i));
        }
    }

    /// Lets `i` go on after a stop: what came meanwhile is read first, as from a socket's buffer.
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
                    // Ticks asked for before something else happened come too soon: they are passed over.
                    if node.due() > self.now {
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

    /// Whether all that live hold one view: those that live.
    pub fn agree(&self) -> bool {
        let live = self.live();
        let views: Vec<(u64, usize)> =
            live.iter().filter_map(|i| self.nodes[*i].as_ref()).map(|s| (s.digest(), s.size())).collect();
        views.iter().all(|v| v.0 == views[0].0 && v.1 == live.len())
    }

    /// Runs until all agree, at most so many seconds: how long that took.
    pub fn settle(&mut self, most: i64) -> Option<f64> {
        let begun = self.now;
        for _ in 0..most * 10 {
            if self.agree() {
                return Some((self.now - begun).as_secs_f64());
            }
            self.run(self.now + TimeDelta::from_micros(S / 10));
        }
        None
    }

    /// How many told that something happened to member `name` after a time.
    pub fn told(&self, name: &str, what: What, since: Timestamp) -> Vec<Timestamp> {
        let of = |c: &&(usize, Change)| c.1.name == name && c.1.what == what && c.1.at >= since;
        self.changes.iter().filter(of).map(|c| c.1.at).collect()
    }

    /// Deaths and suspicions told of members that were alive at the time: by `what`.
    pub fn count(&self, what: What, since: Timestamp) -> usize {
        self.changes.iter().filter(|c| c.1.what == what && c.1.at >= since).count()
    }
}
