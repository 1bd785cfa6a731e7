//! The stored form of the module's state: the names under which captures hold it. This module neither
//! decides nor learns.
//!
//! The names of the state in old captures appear only here, as `serde(rename)`; each module of the state
//! converts its own fields. The order of the fields and their stored names must not change. Units are those
//! of the converted fields: work in thread-seconds, loads in threads or threads per core, ratios relative to
//! the estimate.

mod requests;

use crate::ids::RequestId;
use crate::settings::Settings;
use serde::{Deserialize, Serialize};
use sprucelink_rate_limits::{EventWindow, MovingAverage, RecentSet, SumWindow, TokenBucket};
use sprucelink_stable_hash::SplitMix64;
use sprucelink_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) use requests::StoredRequest;

/// The whole state. A field that an older capture lacks gets its default.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct StoredPolicy {
    #[serde(rename = "set")]
    pub(crate) settings: Settings,
    #[serde(rename = "rng")]
    pub(crate) random: SplitMix64,
    pub(crate) now: Timestamp,
    #[serde(rename = "born")]
    pub(crate) started_at: Timestamp,
    #[serde(rename = "held")]
    pub(crate) queued_work: [f64; 4],
    #[serde(rename = "above")]
    pub(crate) average_from_level: [MovingAverage; 4],
    #[serde(rename = "outcomes")]
    pub(crate) recent_waits: u32,
    #[serde(rename = "armed")]
    pub(crate) timer_armed: bool,
    #[serde(rename = "seq")]
    pub(crate) last_request_sequence: u64,
    #[serde(rename = "next_tolls")]
    pub(crate) next_pricing: Timestamp,
    #[serde(rename = "ask_again")]
    pub(crate) next_watch: Option<Timestamp>,
    pub(crate) engines: Vec<StoredEngine>,
    pub(crate) zones: BTreeMap<u32, StoredZone>,
    #[serde(rename = "own")]
    pub(crate) own_threads: f64,
    pub(crate) cores: f64,
    #[serde(rename = "fleet")]
    pub(crate) others_load: MovingAverage,
    #[serde(rename = "fleet_heard")]
    pub(crate) last_report: Timestamp,
    pub(crate) thread_time: f64,
    pub(crate) query_time: f64,
    #[serde(rename = "middle")]
    pub(crate) median_slowness: f64,
    pub(crate) classes: Vec<StoredClass>,
    pub(crate) requests: BTreeMap<RequestId, StoredRequest>,
    #[serde(rename = "line")]
    pub(crate) queue: BTreeMap<(usize, u64), RequestId>,
    pub(crate) keys: BTreeMap<String, StoredKeyQueue>,
    pub(crate) probe_credit: f64,
    pub(crate) tenants: Vec<TokenBucket>,
    #[serde(rename = "taken")]
    pub(crate) recent_requests: EventWindow,
    #[serde(rename = "extra")]
    pub(crate) recent_retries: EventWindow,
}

/// Learned costs, latencies, memory use and prices of a class.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct StoredClass {
    pub(crate) levels: [StoredLevel; 4],
    #[serde(rename = "mean")]
    pub(crate) mean_cost: f64,
    #[serde(rename = "samples")]
    pub(crate) cost_samples: u32,
    #[serde(rename = "bias")]
    pub(crate) work_ratio: MovingAverage,
    #[serde(rename = "ratio")]
    pub(crate) unloaded_ratio: f64,
    #[serde(rename = "pace")]
    pub(crate) latency_ratio: MovingAverage,
    #[serde(rename = "told")]
    pub(crate) memory_samples: u32,
    #[serde(rename = "need")]
    pub(crate) memory_log_ratio: f64,
    #[serde(rename = "need_scatter")]
    pub(crate) memory_variance: f64,
    pub(crate) grant: f64,
}

/// Pricing state of a class at one priority level.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct StoredLevel {
    pub(crate) price: f64,
    #[serde(rename = "rate")]
    pub(crate) admitted_rate: MovingAverage,
    pub(crate) wait: f64,
    pub(crate) admitted: u32,
    #[serde(rename = "fresh")]
    pub(crate) observed: bool,
}

/// Stored form of an engine's record.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct StoredEngine {
    pub(crate) listed: bool,
    pub(crate) gone: bool,
    pub(crate) zone: u32,
    pub(crate) kind: u32,
    pub(crate) cell: u32,
    pub(crate) cores: f64,
    #[serde(rename = "started")]
    pub(crate) started_at: Option<Timestamp>,
    pub(crate) threads: f64,
    #[serde(rename = "flying")]
    pub(crate) in_flight: u32,
    #[serde(rename = "others")]
    pub(crate) others_threads: f64,
    #[serde(rename = "heard")]
    pub(crate) reported_at: Option<Timestamp>,
    pub(crate) waiting: f64,
    #[serde(rename = "full")]
    pub(crate) saturated: bool,
    #[serde(rename = "smooth_threads")]
    pub(crate) average_threads: MovingAverage,
    #[serde(rename = "last_word")]
    pub(crate) last_response: Timestamp,
    #[serde(rename = "last_sent")]
    pub(crate) last_send: Option<Timestamp>,
    #[serde(rename = "next_trickle")]
    pub(crate) next_trial: Timestamp,
    #[serde(rename = "down_until")]
    pub(crate) backoff_until: Timestamp,
    #[serde(rename = "failures")]
    pub(crate) connect_failures: u32,
    #[serde(rename = "slow")]
    pub(crate) log_slowness: f64,
    #[serde(rename = "slow_samples")]
    pub(crate) slowness_samples: u32,
    #[serde(rename = "silent")]
    pub(crate) unresponsive: bool,
    pub(crate) overdue: u32,
    #[serde(rename = "bad")]
    pub(crate) failure_rate: MovingAverage,
    #[serde(rename = "distrusted")]
    pub(crate) ejected: bool,
    #[serde(rename = "lot")]
    pub(crate) sender_number: f64,
    #[serde(rename = "next_lot")]
    pub(crate) next_sender_draw: Timestamp,
    #[serde(rename = "charges")]
    pub(crate) recent_charges: SumWindow,
    #[serde(rename = "warm")]
    pub(crate) recent_table_groups: RecentSet,
}

/// Stored form of a zone's reachability.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct StoredZone {
    #[serde(rename = "heard")]
    pub(crate) last_response: Timestamp,
    #[serde(rename = "mute")]
    pub(crate) silent_engines: BTreeSet<u32>,
    #[serde(rename = "cut")]
    pub(crate) unreachable: bool,
    #[serde(rename = "next_trickle")]
    pub(crate) next_trial: Timestamp,
}

/// Stored form of the open requests with the same idempotency key.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct StoredKeyQueue {
    #[serde(rename = "turns")]
    pub(crate) open: VecDeque<RequestId>,
    #[serde(rename = "rests_until")]
    pub(crate) blocked_until: Timestamp,
}
