//! The decision module's state: records of engines, zones, classes and requests. Nothing here decides or learns;
//! `crates/policy/tests/policy_size.rs` checks that.
//!
//! Captures hold this state by field name, so that a renamed field keeps its first name in `serde(rename)`. Work is in
//! thread-seconds, loads are in threads or threads a core, ratios are against the estimate.

use crate::*;
use serde::{Deserialize, Serialize};
use sprucelink_rate_limits::{EventWindow, RecentSet, SumWindow, TokenBucket};
use sprucelink_stable_hash::SplitMix64;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The decision module of one gateway.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    #[serde(rename = "set")]
    pub(crate) settings: Settings,
    #[serde(rename = "rng")]
    pub(crate) random: SplitMix64,
    pub(crate) now: Timestamp,
    /// When this module was created.
    #[serde(rename = "born")]
    pub(crate) started_at: Timestamp,
    /// Queued work by level, thread-seconds.
    #[serde(rename = "held")]
    pub(crate) queued_work: [f64; 4],
    /// Own threads in flight at each level and above, averaged.
    #[serde(rename = "above")]
    pub(crate) threads_above: [MovingAverage; 4],
    /// Waits learned since prices were set.
    #[serde(rename = "outcomes")]
    pub(crate) recent_outcomes: u32,
    #[serde(rename = "armed")]
    pub(crate) timer_armed: bool,
    #[serde(rename = "seq")]
    pub(crate) last_sequence: u64,
    #[serde(rename = "next_tolls")]
    pub(crate) next_pricing: Timestamp,
    /// When the engine list is to be asked for.
    #[serde(rename = "ask_again")]
    pub(crate) next_watch: Option<Timestamp>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) zones: BTreeMap<u32, ZoneState>,
    /// Own threads in flight.
    #[serde(rename = "own")]
    pub(crate) own_threads: f64,
    /// Cores of all ready engines.
    pub(crate) cores: f64,
    /// Threads a core of other gateways, the average of recent reports.
    #[serde(rename = "fleet")]
    pub(crate) others_load: MovingAverage,
    /// When the last of these reports came.
    #[serde(rename = "fleet_heard")]
    pub(crate) last_report: Timestamp,
    /// Threads that ran, each times how long, seconds.
    pub(crate) thread_time: f64,
    /// Queries that ran, each times how long, seconds: load reports count queries of whatever threads.
    pub(crate) query_time: f64,
    /// Natural logarithm of the median engine's slowness; `f64::MAX` if too few are known.
    #[serde(rename = "middle")]
    pub(crate) median_slowness: f64,
    pub(crate) classes: Vec<ClassState>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests admitted and not yet sent.
    #[serde(rename = "line")]
    pub(crate) queue: BTreeMap<QueuePosition, RequestId>,
    pub(crate) keys: BTreeMap<String, KeyQueue>,
    /// Load probes that the requests so far have earned.
    pub(crate) probe_credit: f64,
    pub(crate) tenants: Vec<TokenBucket>,
    /// Requests of the retry budget's window.
    #[serde(rename = "taken")]
    pub(crate) recent_requests: EventWindow,
    /// Retries of the same window.
    #[serde(rename = "extra")]
    pub(crate) recent_retries: EventWindow,
    /// Reasons are given out, too; no decision depends on it.
    #[serde(skip)]
    pub(crate) explains: bool,
}

/// A class at one priority level.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct LevelState {
    /// The paper's price: the toll of a request of mean cost.
    pub(crate) price: f64,
    /// Requests admitted a second.
    #[serde(rename = "rate")]
    pub(crate) arrival_rate: MovingAverage,
    /// Expected wait beyond the unloaded latency, seconds.
    pub(crate) wait: f64,
    /// Requests admitted since prices were set.
    pub(crate) admitted: u32,
    /// A wait was learned since prices were set.
    #[serde(rename = "fresh")]
    pub(crate) observed: bool,
}

/// What is learned of a request class.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct ClassState {
    pub(crate) levels: [LevelState; 4],
    /// Mean cost as estimated, thread-seconds.
    #[serde(rename = "mean")]
    pub(crate) mean_cost: f64,
    #[serde(rename = "samples")]
    pub(crate) cost_samples: u32,
    /// Work reported in answers, over the estimate.
    #[serde(rename = "bias")]
    pub(crate) work_ratio: MovingAverage,
    /// Latency times threads over the estimate: the lower quartile, as on an engine without load.
    #[serde(rename = "ratio")]
    pub(crate) unloaded_ratio: f64,
    /// The same at present, in the mean.
    #[serde(rename = "pace")]
    pub(crate) latency_ratio: MovingAverage,
    /// Answers that reported the memory used.
    #[serde(rename = "told")]
    pub(crate) memory_samples: u32,
    /// Mean natural logarithm of the memory used over the estimate.
    #[serde(rename = "need")]
    pub(crate) memory_log_ratio: f64,
    /// Variance of that logarithm.
    #[serde(rename = "need_scatter")]
    pub(crate) memory_variance: f64,
    /// Memory granted over the estimate, learned from notes of spills.
    pub(crate) grant: f64,
}

/// What is known of an engine.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Engine {
    /// The endpoint list has it as ready.
    pub(crate) listed: bool,
    /// The endpoint list has it as gone.
    #[serde(rename = "gone")]
    pub(crate) withdrawn: bool,
    pub(crate) zone: u32,
    pub(crate) kind: u32,
    pub(crate) cell: u32,
    pub(crate) cores: f64,
    #[serde(rename = "started")]
    pub(crate) started_at: Option<Timestamp>,
    /// Own threads in flight.
    pub(crate) threads: f64,
    /// Own attempts in flight.
    #[serde(rename = "flying")]
    pub(crate) in_flight: u32,
    /// Threads of other gateways by the last load report.
    #[serde(rename = "others")]
    pub(crate) others_threads: f64,
    /// When that report came.
    #[serde(rename = "heard")]
    pub(crate) reported_at: Option<Timestamp>,
    /// Queries that wait for memory by the last load report.
    pub(crate) waiting: f64,
    /// The last report had only busy cores, nearly all of them.
    #[serde(rename = "full")]
    pub(crate) saturated: bool,
    /// Own threads, averaged: load reports lag behind.
    #[serde(rename = "smooth_threads")]
    pub(crate) average_threads: MovingAverage,
    #[serde(rename = "last_word")]
    pub(crate) last_response: Timestamp,
    /// When it was last sent something.
    #[serde(rename = "last_sent")]
    pub(crate) last_send: Option<Timestamp>,
    #[serde(rename = "next_trickle")]
    pub(crate) next_trial: Timestamp,
    /// Nothing is sent before.
    #[serde(rename = "down_until")]
    pub(crate) backoff_until: Timestamp,
    #[serde(rename = "failures")]
    pub(crate) connect_failures: u32,
    /// Mean natural logarithm of latencies over the expected ones.
    #[serde(rename = "slow")]
    pub(crate) log_slowness: f64,
    #[serde(rename = "slow_samples")]
    pub(crate) slowness_samples: u32,
    /// Takes requests and answers none.
    #[serde(rename = "silent")]
    pub(crate) unresponsive: bool,
    /// Own attempts there that are overdue.
    pub(crate) overdue: u32,
    /// Fraction of recent attempts that failed.
    #[serde(rename = "bad")]
    pub(crate) failure_rate: MovingAverage,
    /// Gets a trial now and then only.
    #[serde(rename = "distrusted")]
    pub(crate) ejected: bool,
    /// This gateway's number in the slow-start lottery, 0 to 1.
    #[serde(rename = "lot")]
    pub(crate) lottery: f64,
    #[serde(rename = "next_lot")]
    pub(crate) next_lottery: Timestamp,
    /// Work charged to the slow-start budget.
    #[serde(rename = "charges")]
    pub(crate) recent_charges: SumWindow,
    /// Table groups that it read last.
    #[serde(rename = "warm")]
    pub(crate) recent_tables: RecentSet,
}

/// What is known of a zone.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct ZoneState {
    /// When an engine there last responded.
    #[serde(rename = "heard")]
    pub(crate) last_response: Timestamp,
    /// Engines that have been silent on what was sent to them since.
    #[serde(rename = "mute")]
    pub(crate) silent_engines: BTreeSet<u32>,
    /// All of it is taken to be unreachable.
    #[serde(rename = "cut")]
    pub(crate) unreachable: bool,
    /// When one of its engines may get a trial.
    #[serde(rename = "next_trickle")]
    pub(crate) next_trial: Timestamp,
}

/// An attempt in flight.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub(crate) engine: EngineId,
    pub(crate) number: u32,
    #[serde(rename = "sent")]
    pub(crate) sent_at: Timestamp,
    /// When it was sent or last noted.
    #[serde(rename = "heard")]
    pub(crate) last_progress: Timestamp,
    /// Expected latency, seconds.
    pub(crate) expected: f64,
    pub(crate) cancelled: bool,
    /// Next multiple of the expected latency at which being overdue counts as an outcome.
    #[serde(rename = "overdue")]
    pub(crate) next_overdue: f64,
}

/// A request without a final response, or with an attempt still in flight.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Request {
    pub(crate) class: usize,
    #[serde(rename = "seq")]
    pub(crate) sequence: u64,
    pub(crate) arrived: Timestamp,
    pub(crate) deadline: Timestamp,
    /// Value of an answer in time (the paper's term).
    #[serde(rename = "worth")]
    pub(crate) value: f64,
    /// Estimated work, thread-seconds.
    pub(crate) cost: f64,
    #[serde(rename = "memory")]
    pub(crate) memory_mb: Option<f64>,
    #[serde(rename = "tables")]
    pub(crate) table_group: u64,
    pub(crate) key: Option<String>,
    pub(crate) level: usize,
    pub(crate) attempts: u32,
    /// Attempts that ended with an engine's error.
    pub(crate) errors: u32,
    /// The first attempt that may have run: when, and where.
    pub(crate) may_have_run: Option<(Timestamp, EngineId)>,
    #[serde(rename = "out")]
    pub(crate) in_flight: Option<Attempt>,
    #[serde(rename = "last")]
    pub(crate) last_engine: Option<EngineId>,
    /// Until when it waits for the load probes sent for it.
    #[serde(rename = "probes_due")]
    pub(crate) probes_until: Timestamp,
    /// The engines that it chooses among; all if empty.
    #[serde(rename = "few")]
    pub(crate) candidates: Vec<usize>,
    #[serde(rename = "drawn")]
    pub(crate) sampled_at: Timestamp,
    pub(crate) answered: bool,
}

/// The requests with one idempotency key, which run one at a time.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct KeyQueue {
    #[serde(rename = "turns")]
    pub(crate) waiting: VecDeque<RequestId>,
    #[serde(rename = "rests_until")]
    pub(crate) blocked_until: Timestamp,
}

impl Policy {
    /// A gateway that starts now and knows its settings only.
    pub fn new(settings: Settings, seed: u64, now: Timestamp) -> Policy {
        Policy {
            classes: settings.classes.iter().map(ClassState::new).collect(),
            // Before outcomes tell, all classes are taken to run alike.
            thread_time: settings.classes.iter().map(|c| c.threads * PRIOR_RUN_SECS).sum(),
            query_time: settings.classes.len() as f64 * PRIOR_RUN_SECS,
            tenants: settings.tenants.iter().map(|_| TokenBucket::default()).collect(),
            random: SplitMix64::new(seed),
            now,
            started_at: now,
            next_pricing: now + PRICING_INTERVAL,
            next_watch: settings.must_poll_endpoints.then_some(now),
            settings,
            ..Policy::default()
        }
    }
}

/// What a request would pay at the level that is cheapest for it.
#[derive(Clone, Copy, Default)]
pub(crate) struct LevelQuote {
    pub(crate) level: usize,
    /// Expected seconds to its answer (the paper's tau).
    pub(crate) tau: f64,
    /// What it pays for the delay of others, in value (the paper's toll).
    pub(crate) toll: f64,
    /// Its own delay cost and the toll, in value.
    pub(crate) total: f64,
}

/// A request's position in the queue: a number that falls with its level, then its sequence number.
pub(crate) type QueuePosition = (usize, u64);

/// Shorthands for reading.
impl Policy {
    pub(crate) fn class(&self, class: usize) -> &ClassSettings {
        &self.settings.classes[class]
    }

    /// Gateways in this tier.
    pub(crate) fn gateways(&self) -> f64 {
        f64::from(self.settings.gateways)
    }

    pub(crate) fn secs_since(&self, time: Timestamp) -> f64 {
        (self.now - time).as_secs_f64()
    }

    /// The window of the retry budget and `tail`; zero without such a budget.
    pub(crate) fn budget_span(&self, tail: TimeDelta) -> TimeDelta {
        self.settings.retry_budget.map_or(TimeDelta::ZERO, |budget| budget.window + tail)
    }
}

impl ClassState {
    fn new(class: &ClassSettings) -> ClassState {
        ClassState {
            mean_cost: initial_mean_cost(class),
            work_ratio: MovingAverage::new(1.0),
            unloaded_ratio: 1.0,
            latency_ratio: MovingAverage::new(INITIAL_LATENCY_RATIO),
            grant: INITIAL_GRANT,
            memory_variance: INITIAL_MEMORY_VARIANCE,
            ..ClassState::default()
        }
    }
}

impl Attempt {
    pub(crate) fn new(engine: EngineId, number: u32, now: Timestamp, expected: f64, overdue: f64) -> Attempt {
        Attempt {
            engine,
            number,
            sent_at: now,
            last_progress: now,
            expected,
            cancelled: false,
            next_overdue: overdue,
        }
    }
}

impl Request {
    pub(crate) fn new(a: &Arrival, seq: u64, now: Timestamp, cost: f64) -> Request {
        Request {
            class: a.class.0,
            sequence: seq,
            arrived: now,
            deadline: now + a.time_left,
            value: 0.0,
            cost,
            memory_mb: a.memory_mb,
            table_group: a.tables,
            key: None,
            level: 0,
            attempts: 0,
            errors: 0,
            may_have_run: None,
            in_flight: None,
            last_engine: None,
            probes_until: now,
            candidates: Vec::new(),
            sampled_at: Timestamp::ZERO,
            answered: false,
        }
    }
}
