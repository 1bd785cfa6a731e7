//! A fault proxy on loopback: TCP and UDP between groups of processes, with faults on command.
//!
//! Every path goes from a *group* to a *group* (names such as `a`, `b`, `lists`, `engines`), one way each: a
//! rule on `a -> lists` leaves `lists -> a` as it is, so that one-way loss and half-open connections can be
//! made. [`Faults`] holds the rules; [`tcp`](fn@tcp) opens a listener that leads one group to one target; a [`UdpNet`]
//! gives each member an address of its own, so that what arrives shows the sender's.
//!
//! A party may be named itself and have a group as its *home*: a rule for the very two comes before one for a party
//! and a group, and that before one for two groups.
//!
//! What loopback cannot show: the kernel accepts a TCP connection before the fault proxy can hold it back, so in a
//! partition a connection comes up and then says nothing; a real one would not come up. And with one way parted
//! what goes the other way arrives for good, where in a real network it would end for want of acknowledgements.

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

/// Bytes carried at a time, each way; a datagram is no longer.
const CHUNK: usize = 16 * 1024;
/// Pieces a second into which a rate-limited route divides its data, so that it does not go in bursts.
const SLOW_PIECES_PER_SECOND: f64 = 20.0;

/// What happens to what goes one way between two groups.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rule {
    /// Each piece is held for so long, in milliseconds; 0 to 60,000.
    pub delay_ms: f64,
    /// And for up to so much longer, drawn evenly.
    pub jitter_ms: f64,
    /// Share of datagrams that are dropped; TCP has no loss of its own here.
    pub drop: f64,
    /// Share of pieces in which one byte is changed.
    pub garble: f64,
    /// Nothing passes; what comes waits (TCP) or is dropped (UDP) until the rule is lifted.
    pub partition: bool,
    /// New TCP connections are closed at once.
    pub refuse: bool,
    /// New TCP connections are accepted and never forwarded. Open connections go on.
    pub blackhole: bool,
    /// Bytes a second that pass, all connections and datagrams between the two together; 0: no bound. At most 1e9.
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
    /// What is wrong with the figures, if anything.
    ///
    /// # Errors
    /// The field and its range.
    pub fn check(&self) -> Result<(), InvalidField> {
        check_range("delay_ms", self.delay_ms, 0.0, 60_000.0)?;
        check_range("jitter_ms", self.jitter_ms, 0.0, 60_000.0)?;
        check_range("drop", self.drop, 0.0, 1.0)?;
        check_range("garble", self.garble, 0.0, 1.0)?;
        check_range("bytes_s", self.bytes_s, 0.0, 1e9)
    }

    /// Whether it keeps a party from being served: nothing passes, or nothing new.
    pub fn silences(&self) -> bool {
        self.partition || self.blackhole || self.refuse
    }

    /// Bytes that are carried at a time under it.
    fn piece(&self) -> usize {
        match self.bytes_s > 0.0 {
            true => ((self.bytes_s / SLOW_PIECES_PER_SECOND) as usize).clamp(1, CHUNK),
            false => CHUNK,
        }
    }
}

/// One-off faults of connections that are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionCut {
    /// Both ways end.
    Close,
    /// This way ends, the other stays open.
    HalfClose,
    /// Both ways end by a reset (RST): what was on its way is lost.
    Reset,
}

type Pair = (String, String);

#[derive(Default)]
struct Table {
    rules: HashMap<Pair, Rule>,
    /// The last cut of each pair, by its number among all.
    cuts: HashMap<Pair, (u64, ConnectionCut)>,
    cuts_made: u64,
    /// The group that a party belongs to.
    homes: HashMap<String, String>,
    /// When the route between a pair is free again, where a rule limits its rate.
    taken: HashMap<Pair, Instant>,
}

impl Table {
    /// The pairs under which a rule for two parties may stand, the nearest first.
    fn pairs(&self, from: &str, to: &str) -> Vec<Pair> {
        let home = |name: &str| self.homes.get(name).cloned();
        let from_home = home(from);
        let to_home = home(to);
        let mut all = vec![(from.to_owned(), to.to_owned())];
        all.extend(to_home.iter().map(|t| (from.to_owned(), t.clone())));
        all.extend(from_home.iter().map(|f| (f.clone(), to.to_owned())));
        all.extend(from_home.iter().zip(&to_home).map(|(f, t)| (f.clone(), t.clone())));
        all
    }
}

/// The rules, shared by all paths of a rig.
#[derive(Clone)]
pub struct Faults {
    table: Arc<Mutex<Table>>,
    changed: Arc<watch::Sender<u64>>,
    rng: Arc<Mutex<ChaCha8Rng>>,
}

impl Faults {
    /// No fault yet; `seed` for what is drawn.
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

    /// From now on what goes from one group to another goes by `rule`.
    pub fn set(&self, from: &str, to: &str, rule: Rule) {
        self.table(|t| _ = t.rules.insert((from.to_owned(), to.to_owned()), rule));
        self.changed.send_modify(|n| *n += 1);
    }

    /// From now on there is no rule of its own from one group to another.
    pub fn lift(&self, from: &str, to: &str) {
        self.table(|t| _ = t.rules.remove(&(from.to_owned(), to.to_owned())));
        self.changed.send_modify(|n| *n += 1);
    }

    /// Nothing passes between two groups any more, or all does again.
    pub fn part(&self, a: &str, b: &str, parted: bool) {
        let rule = Rule { partition: parted, ..Rule::default() };
        self.set(a, b, rule);
        self.set(b, a, rule);
    }

    /// A party belongs to a group: rules for the group are for it, too.
    pub fn home(&self, party: &str, group: &str) {
        self.table(|t| _ = t.homes.insert(party.to_owned(), group.to_owned()));
    }

    /// Every TCP connection that is open from one group to another is cut.
    pub fn cut(&self, from: &str, to: &str, how: ConnectionCut) {
        self.table(|t| {
            t.cuts_made += 1;
            t.cuts.insert((from.to_owned(), to.to_owned()), (t.cuts_made, how));
        });
        self.changed.send_modify(|n| *n += 1);
    }

    /// All rules are lifted.
    pub fn heal(&self) {
        self.table(|t| t.rules.clear());
        self.changed.send_modify(|n| *n += 1);
    }

    /// The rule in force.
    pub fn rule(&self, from: &str, to: &str) -> Rule {
        self.table(|t| {
            // Most of a run has none, and every piece that is carried asks.
            if t.rules.is_empty() {
                return Rule::default();
            }
            let found = t.pairs(from, to).into_iter().find_map(|p| t.rules.get(&p).copied());
            found.unwrap_or_default()
        })
    }

    /// The last cut that is for two parties: its number, 0 for none, and how.
    fn cuts(&self, from: &str, to: &str) -> (u64, Option<ConnectionCut>) {
        self.table(|t| {
            if t.cuts.is_empty() {
                return (0, None);
            }
            let last = t.pairs(from, to).into_iter().filter_map(|p| t.cuts.get(&p)).max_by_key(|c| c.0);
            last.map_or((0, None), |(n, how)| (*n, Some(*how)))
        })
    }

    /// The last cut that is for two parties, unless it is the one numbered `known`.
    fn cut_since(&self, from: &str, to: &str, known: u64) -> Option<ConnectionCut> {
        let (number, cut) = self.cuts(from, to);
        cut.filter(|_| number != known)
    }

    /// How long `n` bytes that are sent now take at the rule's rate, behind the bytes before them.
    fn transmission_delay(&self, from: &str, to: &str, rule: &Rule, n: usize) -> Duration {
        if rule.bytes_s <= 0.0 {
            return Duration::ZERO;
        }
        let now = Instant::now();
        self.table(|t| {
            let free = t.taken.entry((from.to_owned(), to.to_owned())).or_insert(now);
            *free = (*free).max(now) + Duration::from_secs_f64(n as f64 / rule.bytes_s);
            *free - now
        })
    }

    fn draw<T>(&self, f: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        f(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn delay(&self, rule: &Rule) -> Duration {
        let jitter = if rule.jitter_ms > 0.0 { self.draw(|r| r.gen_range(0.0..rule.jitter_ms)) } else { 0.0 };
        Duration::from_secs_f64((rule.delay_ms + jitter) / 1_000.0)
    }

    fn garble(&self, rule: &Rule, piece: &mut [u8]) {
        if rule.garble > 0.0 && !piece.is_empty() && self.draw(|r| r.gen_bool(rule.garble)) {
            let (at, flip) = self.draw(|r| (r.gen_range(0..piece.len()), r.gen_range(1..=255u8)));
            piece[at] ^= flip;
        }
    }
}
