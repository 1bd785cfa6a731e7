//! What the decision module keeps of engines, classes and requests. Nothing here decides or learns:
//! `crates/policy/tests/policy_size.rs` sees to it.

use crate::*;
use serde::{Deserialize, Serialize};
use sprucelink_rate_limits::{EventWindow, MovingAverage, RecentSet, SumWindow, TokenBucket};
use sprucelink_stable_hash::SplitMix64;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The decision module of one gateway.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    pub(crate) set: Settings,
    pub(crate) rng: SplitMix64,
    pub(crate) now: Timestamp,
    pub(crate) born: Timestamp,
    /// By level: work held in the line; own threads in flight there and above, smoothed.
    pub(crate) held: [f64; 4],
    pub(crate) above: [MovingAverage; 4],
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
    pub(crate) fleet: MovingAverage,
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
    pub(crate) tenants: Vec<TokenBucket>,
    pub(crate) taken: EventWindow,
    pub(crate) extra: EventWindow,
    /// Reasons are told, too; nothing hangs on it.
    #[serde(skip)]
    pub(crate) listened: bool,
}

#[derive(Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct LevelBook {
    pub(crate) price: f64,
    pub(crate) rate: MovingAverage,
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
    pub(crate) bias: MovingAverage,
    /// Calm answer latency times threads against the estimate.
    pub(crate) ratio: f64,
    /// The same as it is just now, in the mean, on engines alone.
    pub(crate) pace: MovingAverage,
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
    pub(crate) smooth_threads: MovingAverage,
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
    pub(crate) bad: MovingAverage,
    pub(crate) distrusted: bool,
    /// This gateway's draw for the cold budget, and when it draws again.
    pub(crate) lot: f64,
    pub(crate) next_lot: Timestamp,
    pub(crate) charges: SumWindow,
    pub(crate) warm: RecentSet,
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

impl Policy {
    /// A gateway that starts now and knows its settings only.
    pub fn new(set: Settings, seed: u64, now: Timestamp) -> Policy {
        Policy {
            classes: set.classes.iter().map(ClassBook::new).collect(),
            // Before outcomes tell, all classes are taken to run alike.
            thread_time: set.classes.iter().map(|c| c.threads * MIX_PRIOR).sum(),
            query_time: set.classes.len() as f64 * MIX_PRIOR,
            tenants: set.tenants.iter().map(|_| TokenBucket::default()).collect(),
            rng: SplitMix64::new(seed),
            now,
            born: now,
            next_tolls: now + INTERVAL,
            ask_again: set.must_ask.then_some(now),
            set,
            ..Policy::default()
        }
    }
}

impl ClassBook {
    fn new(class: &ClassSettings) -> ClassBook {
        ClassBook {
            mean: first_mean(class),
            bias: MovingAverage::new(1.0),
            ratio: 1.0,
            pace: MovingAverage::new(FIRST_PACE),
            grant: FIRST_GRANT,
            need_scatter: NEED_SCATTER,
            ..ClassBook::default()
        }
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
