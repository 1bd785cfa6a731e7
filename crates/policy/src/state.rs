//! What the decision module keeps of engines, classes and requests. Nothing here decides, but for what counts sends,
//! tokens and seeded numbers: `crates/policy/tests/policy_size.rs` lists it, and lets it neither grow nor change.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The decision module of one gateway.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    pub(crate) set: Settings,
    pub(crate) rng: Seeded,
    pub(crate) now: Timestamp,
    pub(crate) born: Timestamp,
    /// By level: work held in the line; own threads in flight there and above, smoothed.
    pub(crate) held: [f64; 4],
    pub(crate) above: [f64; 4],
    pub(crate) outcomes: u32,
    pub(crate) armed: bool,
    pub(crate) seq: u64,
    pub(crate) next_tolls: Timestamp,
    pub(crate) ask_again: Option<Timestamp>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) zones: BTreeMap<u32, ZoneBook>,
    /// Own threads in flight; told cores of the engines that take work.
    pub(crate) own: f64,
    pub(crate) cores: f64,
    /// Threads a core of other gateways, by reports of late, and when the last came.
    pub(crate) fleet: f64,
    pub(crate) fleet_heard: Timestamp,
    /// Threads and queries that ran, each times how long: a report counts queries, of whatever threads.
    pub(crate) thread_time: f64,
    pub(crate) query_time: f64,
    /// Logarithm of the middle engine's slowness.
    pub(crate) middle: f64,
    pub(crate) classes: Vec<ClassBook>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Admitted, not sent: by level from the top, then in turn.
    pub(crate) line: BTreeMap<(usize, u64), RequestId>,
    pub(crate) keys: BTreeMap<String, KeyLine>,
    /// Probes that arrivals so far allow.
    pub(crate) probe_credit: f64,
    pub(crate) tenants: Vec<Bucket>,
    pub(crate) taken: Window,
    pub(crate) extra: Window,
    /// Reasons are told, too; nothing hangs on it.
    #[serde(skip)]
    pub(crate) listened: bool,
}

#[derive(Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct LevelBook {
    pub(crate) price: f64,
    pub(crate) rate: f64,
    pub(crate) wait: f64,
    pub(crate) admitted: u32,
    pub(crate) fresh: bool,
}

#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct ClassBook {
    pub(crate) levels: [LevelBook; 4],
    /// Mean cost as estimated, thread-seconds.
    pub(crate) mean: f64,
    pub(crate) samples: u32,
    /// Work told in answers against the estimate.
    pub(crate) bias: f64,
    /// Calm answer latency times threads against the estimate.
    pub(crate) ratio: f64,
    /// The same as it is just now, in the mean, on engines alone.
    pub(crate) pace: f64,
    /// Logarithm of told memory over the estimate: answers, mean and square deviation.
    pub(crate) told: u32,
    pub(crate) need: f64,
    pub(crate) need_scatter: f64,
    /// Memory granted against the estimate, by notes of spills.
    pub(crate) grant: f64,
}

#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Engine {
    pub(crate) listed: bool,
    /// The list has said that it is gone.
    pub(crate) gone: bool,
    pub(crate) zone: u32,
    pub(crate) kind: u32,
    pub(crate) cell: u32,
    pub(crate) cores: f64,
    pub(crate) started: Option<Timestamp>,
    /// Own threads and attempts in flight.
    pub(crate) threads: f64,
    pub(crate) flying: u32,
    /// Threads that others had there by the last report, and when it came.
    pub(crate) others: f64,
    pub(crate) heard: Option<Timestamp>,
    pub(crate) waiting: f64,
    /// The last report told of busy cores only, nearly all of them.
    pub(crate) full: bool,
    /// Own threads of late, to set against reports that lag.
    pub(crate) smooth_threads: f64,
    pub(crate) last_word: Timestamp,
    /// When it was last sent something.
    pub(crate) last_sent: Option<Timestamp>,
    pub(crate) next_trickle: Timestamp,
    pub(crate) down_until: Timestamp,
    pub(crate) failures: u32,
    pub(crate) slow: f64,
    pub(crate) slow_samples: u32,
    pub(crate) silent: bool,
    /// Own attempts there that are overdue.
    pub(crate) overdue: u32,
    /// Share of late attempts that ended badly.
    pub(crate) bad: f64,
    pub(crate) distrusted: bool,
    /// This gateway's draw for the cold budget, and when it draws again.
    pub(crate) lot: f64,
    pub(crate) next_lot: Timestamp,
    pub(crate) charges: VecDeque<(Timestamp, f64)>,
    pub(crate) warm: VecDeque<u64>,
}

/// What is heard of a zone's engines as one.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct ZoneBook {
    /// When an engine there last said anything.
    pub(crate) heard: Timestamp,
    /// Engines that kept silent on what was sent there since.
    pub(crate) mute: BTreeSet<u32>,
    /// All of it is taken to be cut off.
    pub(crate) cut: bool,
    /// The next query of its trickle.
    pub(crate) next_trickle: Timestamp,
}

#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub(crate) engine: EngineId,
    pub(crate) number: u32,
    pub(crate) sent: Timestamp,
    /// When something was last heard of it.
    pub(crate) heard: Timestamp,
    pub(crate) expected: f64,
    pub(crate) cancelled: bool,
    /// Next multiple of the expected latency at which being overdue counts as an outcome.
    pub(crate) overdue: f64,
}

#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) seq: u64,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    pub(crate) worth: f64,
    pub(crate) cost: f64,
    pub(crate) memory: Option<f64>,
    pub(crate) tables: u64,
    pub(crate) key: Option<String>,
    pub(crate) level: usize,
    pub(crate) attempts: u32,
    /// Attempts that ended with an engine's error.
    pub(crate) errors: u32,
    /// The first attempt that may have run: when, and where.
    pub(crate) may_have_run: Option<(Timestamp, EngineId)>,
    pub(crate) out: Option<Attempt>,
    pub(crate) last: Option<EngineId>,
    /// Until when it waits for probes it asked for.
    pub(crate) probes_due: Timestamp,
    /// The engines it chooses among, all if empty, and when they were drawn.
    pub(crate) few: Vec<usize>,
    pub(crate) drawn: Timestamp,
    pub(crate) answered: bool,
}

#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct KeyLine {
    pub(crate) turns: VecDeque<RequestId>,
    pub(crate) rests_until: Timestamp,
}

impl Engine {
    /// Books a send.
    pub(crate) fn took(&mut self, now: Timestamp, threads: f64, charge: f64, tables: u64) {
        if self.flying == 0 {
            self.last_word = now;
        }
        self.last_sent = Some(now);
        self.threads += threads;
        self.flying += 1;
        self.charges.push_back((now, charge));
        self.warm.retain(|t| *t != tables);
        self.warm.push_back(tables);
    }
    /// Forgets charges older than `span` and all but the last `groups` groups.
    pub(crate) fn forget(&mut self, now: Timestamp, span: TimeDelta, groups: usize) {
        while self.charges.front().is_some_and(|c| now - c.0 > span) {
            self.charges.pop_front();
        }
        while self.warm.len() > groups {
            self.warm.pop_front();
        }
    }
    /// Work charged in the last `span`.
    pub(crate) fn spent(&self, now: Timestamp, span: TimeDelta) -> f64 {
        self.charges.iter().rev().take_while(|c| now - c.0 <= span).map(|c| c.1).sum()
    }
}

impl Attempt {
    pub(crate) fn new(engine: EngineId, number: u32, now: Timestamp, expected: f64, overdue: f64) -> Attempt {
        Attempt { engine, number, sent: now, heard: now, expected, cancelled: false, overdue }
    }
}

impl Request {
    pub(crate) fn new(a: &Arrival, seq: u64, now: Timestamp, cost: f64) -> Request {
        Request {
            class: a.class.0,
            seq,
            arrived: now,
            deadline: now + a.time_left,
            worth: 0.0,
            cost,
            memory: a.memory_mb,
            tables: a.tables,
            key: None,
            level: 0,
            attempts: 0,
            errors: 0,
            may_have_run: None,
            out: None,
            last: None,
            probes_due: now,
            few: Vec::new(),
            drawn: Timestamp::ZERO,
            answered: false,
        }
    }
}

/// A seeded generator (splitmix64); the same seed gives the same numbers everywhere.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Seeded(pub(crate) u64);

impl Seeded {
    /// A number from 0 up to, not including, 1.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

/// A bucket of tokens.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Bucket {
    level: f64,
    at: Timestamp,
}

impl Bucket {
    /// Takes one out, if one is in; it fills at `rate` a second up to `depth`.
    pub(crate) fn take(&mut self, now: Timestamp, rate: f64, depth: f64) -> bool {
        self.level = (self.level + (now - self.at).as_secs_f64() * rate).min(depth);
        self.at = now;
        let within = self.level >= 1.0;
        if within {
            self.level -= 1.0;
        }
        within
    }
}

/// Times of what happened of late, kept for one window.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Window(VecDeque<Timestamp>);

impl Window {
    /// Adds one at `now` and forgets what is older than `span`.
    pub(crate) fn add(&mut self, now: Timestamp, span: TimeDelta) {
        self.0.push_back(now);
        while self.0.front().is_some_and(|t| now - *t > span) {
            self.0.pop_front();
        }
    }
    /// How many lie after `from`.
    pub(crate) fn after(&self, from: Timestamp) -> usize {
        self.0.iter().rev().take_while(|t| **t > from).count()
    }
}
