//! A fault proxy on loopback: forwards TCP and UDP between groups of processes and injects faults.
//!
//! Rules apply to one direction between two *groups* (names such as `a`, `b`, `lists`, `engines`): a rule on
//! `a -> lists` doesn't change `lists -> a`, which allows one-way loss and half-open connections. [`Faults`]
//! holds the rules; [`tcp`](fn@tcp) opens a listener that forwards one group's connections to one target; a
//! [`UdpNet`] gives each member an address of its own, so that a receiver sees the sender's address in the
//! proxy.
//!
//! A single party, such as a manager, can have rules of its own and belong to a group. A rule for two parties
//! takes precedence over one for a party and a group, and that over one for two groups.
//!
//! Differences from a real network: the kernel accepts a TCP connection before the fault proxy can hold it
//! back, so in a partition a connection is established and then carries nothing, where a real one would not
//! be established. And in a one-way partition data keeps arriving in the other direction, where a real
//! connection would time out for lack of acknowledgements.

mod tcp;
#[cfg(test)]
mod tests;
mod udp;

pub use tcp::{tcp, tcp_to, Target, TcpPath};
pub use udp::UdpNet;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use sprucelink_settings::{check_range, InvalidField};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Longest chunk of TCP data that is forwarded at a time, and longest datagram, in bytes.
const CHUNK: usize = 16 * 1024;
/// Chunks per second into which a rate-limited route divides its data, so that it isn't sent in bursts.
const RATE_LIMITED_CHUNKS_PER_SECOND: f64 = 20.0;

/// Faults of the traffic in one direction between two groups. Data is forwarded, and delayed or corrupted, in
/// chunks of up to 16 KiB.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rule {
    /// Delay of each chunk or datagram, in milliseconds; 0 to 60,000.
    pub delay_ms: f64,
    /// Maximum additional delay, in milliseconds, drawn from a uniform distribution; 0 to 60,000.
    pub jitter_ms: f64,
    /// Fraction of datagrams that are dropped, 0 to 1; TCP data is never dropped.
    pub drop: f64,
    /// Fraction of chunks and datagrams in which one byte is corrupted; 0 to 1.
    pub garble: f64,
    /// Nothing is forwarded: TCP data waits until the rule is removed, datagrams are dropped.
    pub partition: bool,
    /// New TCP connections are closed at once.
    pub refuse: bool,
    /// New TCP connections are accepted and never forwarded. Open connections are not affected.
    pub blackhole: bool,
    /// Maximum rate of all connections and datagrams on the route together, in bytes per second; 0: no limit.
    /// At most 1e9.
    pub bytes_s: f64,
}

impl Default for Rule {
    fn default() -> Rule {
        Rule {
            delay_ms: 0.0,
            jitter_ms: 0.0,
            drop: 0.0,
            garble: 0.0,
            partition: false,
            refuse: false,
            blackhole: false,
            bytes_s: 0.0,
        }
    }
}

impl Rule {
    /// Checks that all numbers lie within their ranges.
    ///
    /// # Errors
    /// The first field that is out of range, and the allowed range.
    pub fn check(&self) -> Result<(), InvalidField> {
        check_range("delay_ms", self.delay_ms, 0.0, 60_000.0)?;
        check_range("jitter_ms", self.jitter_ms, 0.0, 60_000.0)?;
        check_range("drop", self.drop, 0.0, 1.0)?;
        check_range("garble", self.garble, 0.0, 1.0)?;
        check_range("bytes_s", self.bytes_s, 0.0, 1e9)
    }

    /// Whether the rule blocks all traffic, or all new connections.
    pub fn blocks_connections(&self) -> bool {
        self.partition || self.blackhole || self.refuse
    }

    /// Maximum number of bytes that are forwarded at a time.
    fn chunk_size(&self) -> usize {
        match self.bytes_s > 0.0 {
            true => ((self.bytes_s / RATE_LIMITED_CHUNKS_PER_SECOND) as usize).clamp(1, CHUNK),
            false => CHUNK,
        }
    }
}

/// One-time faults of open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionCut {
    /// Both directions of the connection are closed.
    Close,
    /// The direction of the cut is closed; the opposite direction stays open.
    HalfClose,
    /// The connection is reset (RST): data in flight is lost.
    Reset,
}

/// A source and a destination.
type Route = (String, String);

#[derive(Default)]
struct Table {
    rules: HashMap<Route, Rule>,
    /// The last cut on each route, with its sequence number over all routes.
    cuts: HashMap<Route, (u64, ConnectionCut)>,
    /// Sequence number of the last cut; 0 if there was none.
    last_cut: u64,
    /// The group that a party belongs to.
    groups: HashMap<String, String>,
    /// Time at which a route with a rate limit is free again.
    busy_until: HashMap<Route, Instant>,
}

impl Table {
    /// The routes whose rules apply between two parties, the most specific first.
    fn applicable_routes(&self, from: &str, to: &str) -> Vec<Route> {
        let group = |name: &str| self.groups.get(name).cloned();
        let from_group = group(from);
        let to_group = group(to);
        let mut all = vec![(from.to_owned(), to.to_owned())];
        all.extend(to_group.iter().map(|t| (from.to_owned(), t.clone())));
        all.extend(from_group.iter().map(|f| (f.clone(), to.to_owned())));
        all.extend(from_group.iter().zip(&to_group).map(|(f, t)| (f.clone(), t.clone())));
        all
    }
}

/// The rules, shared by all paths of a run.
#[derive(Clone)]
pub struct Faults {
    table: Arc<Mutex<Table>>,
    changed: Arc<watch::Sender<u64>>,
    rng: Arc<Mutex<ChaCha8Rng>>,
}

impl Faults {
    /// Creates a table without rules; `seed` determines the random drops, delays and corruptions.
    pub fn new(seed: u64) -> Faults {
        Faults {
            table: Arc::default(),
            changed: Arc::new(watch::channel(0).0),
            rng: Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))),
        }
    }

    fn table<T>(&self, f: impl FnOnce(&mut Table) -> T) -> T {
        f(&mut self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets the rule for the route `from` one party or group `to` another. It applies to open and new
    /// connections.
    pub fn set_rule(&self, from: &str, to: &str, rule: Rule) {
        self.table(|t| _ = t.rules.insert((from.to_owned(), to.to_owned()), rule));
        self.changed.send_modify(|n| *n += 1);
    }

    /// Removes the rule for the route `from` one party or group `to` another, so that less specific rules
    /// apply again.
    pub fn remove_rule(&self, from: &str, to: &str) {
        self.table(|t| _ = t.rules.remove(&(from.to_owned(), to.to_owned())));
        self.changed.send_modify(|n| *n += 1);
    }

    /// Starts or ends a partition in both directions between two groups; replaces their rules.
    pub fn set_partition(&self, a: &str, b: &str, partitioned: bool) {
        let rule = Rule { partition: partitioned, ..Rule::default() };
        self.set_rule(a, b, rule);
        self.set_rule(b, a, rule);
    }

    /// Sets the group of a party: the group's rules apply to the party, too.
    pub fn set_group(&self, party: &str, group: &str) {
        self.table(|t| _ = t.groups.insert(party.to_owned(), group.to_owned()));
    }

    /// Cuts every open TCP connection from one party or group to another.
    pub fn cut(&self, from: &str, to: &str, cut: ConnectionCut) {
        self.table(|t| {
            t.last_cut += 1;
            t.cuts.insert((from.to_owned(), to.to_owned()), (t.last_cut, cut));
        });
        self.changed.send_modify(|n| *n += 1);
    }

    /// Removes all rules.
    pub fn heal(&self) {
        self.table(|t| t.rules.clear());
        self.changed.send_modify(|n| *n += 1);
    }

    /// The rule in force from one party to another.
    pub fn rule(&self, from: &str, to: &str) -> Rule {
        self.table(|t| {
            // Fast path: there are no rules for most of a run, and this is called for every forwarded chunk.
            if t.rules.is_empty() {
                return Rule::default();
            }
            let found =
                t.applicable_routes(from, to).into_iter().find_map(|route| t.rules.get(&route).copied());
            found.unwrap_or_default()
        })
    }

    /// The last cut that applies from one party to another, with its sequence number; 0 if there was none.
    fn last_cut(&self, from: &str, to: &str) -> (u64, Option<ConnectionCut>) {
        self.table(|t| {
            if t.cuts.is_empty() {
                return (0, None);
            }
            let routes = t.applicable_routes(from, to).into_iter();
            let last = routes.filter_map(|route| t.cuts.get(&route)).max_by_key(|cut| cut.0);
            last.map_or((0, None), |(number, cut)| (*number, Some(*cut)))
        })
    }

    /// The last cut that applies from one party to another, unless it is the one numbered `known`.
    fn cut_since(&self, from: &str, to: &str, known: u64) -> Option<ConnectionCut> {
        let (number, cut) = self.last_cut(from, to);
        cut.filter(|_| number != known)
    }

    /// Time until `n` bytes that are sent now have been transmitted at the rule's rate, after those queued
    /// before them.
    fn transmission_delay(&self, from: &str, to: &str, rule: &Rule, n: usize) -> Duration {
        if rule.bytes_s <= 0.0 {
            return Duration::ZERO;
        }
        let now = Instant::now();
        self.table(|t| {
            let busy_until = t.busy_until.entry((from.to_owned(), to.to_owned())).or_insert(now);
            *busy_until = (*busy_until).max(now) + Duration::from_secs_f64(n as f64 / rule.bytes_s);
            *busy_until - now
        })
    }

    fn draw<T>(&self, f: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        f(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn delay(&self, rule: &Rule) -> Duration {
        let jitter = if rule.jitter_ms > 0.0 { self.draw(|r| r.gen_range(0.0..rule.jitter_ms)) } else { 0.0 };
        Duration::from_secs_f64((rule.delay_ms + jitter) / 1_000.0)
    }

    /// Corrupts one byte of a chunk, with the rule's probability.
    fn garble(&self, rule: &Rule, chunk: &mut [u8]) {
        if rule.garble > 0.0 && !chunk.is_empty() && self.draw(|r| r.gen_bool(rule.garble)) {
            let (position, mask) = self.draw(|r| (r.gen_range(0..chunk.len()), r.gen_range(1..=255u8)));
            chunk[position] ^= mask;
        }
    }
}
