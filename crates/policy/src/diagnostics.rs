//! What operators and captures are shown of the module: views of its state, and the log line of an ejection.
//!
//! Nothing here decides.

use crate::actions::Action;
use crate::engine_health::EngineHealth;
use crate::ids::{EngineId, RequestId};
use crate::pricing::LEVELS;
use serde::Serialize;
use sprucelink_time::Timestamp;

/// An engine as the module sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EngineView {
    /// Its number.
    pub engine: u32,
    /// The endpoint list has it as ready.
    pub listed: bool,
    /// The endpoint list has it as gone.
    #[serde(rename = "gone")]
    pub withdrawn: bool,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cores.
    pub cores: f64,
    /// Own threads in flight there.
    pub threads: f64,
    /// Own attempts in flight there.
    #[serde(rename = "flying")]
    pub attempts_in_flight: u32,
    /// Threads that others had there by the last report.
    #[serde(rename = "others")]
    pub others_threads: f64,
    /// Queries waiting for memory there by the last report.
    #[serde(rename = "waiting")]
    pub queries_waiting_for_memory: f64,
    /// The last report had only busy cores, and nearly all of them were.
    #[serde(rename = "full")]
    pub saturated: bool,
    /// Seconds since the last load report.
    pub report_age: Option<f64>,
    /// How much that report still counts, 0 to 1.
    #[serde(rename = "trust_in_report")]
    pub report_weight: f64,
    /// Threads of other managers that an engine of its size has in the mean.
    #[serde(rename = "usual")]
    pub mean_others_threads: f64,
    /// Estimated threads in all.
    #[serde(rename = "load")]
    pub estimated_threads: f64,
    /// The same for each core that it has by now.
    pub utilisation: f64,
    /// Fraction of its capacity that it has by now.
    #[serde(rename = "warmth")]
    pub capacity_fraction: f64,
    /// How many times slower it is than the median.
    pub slowness: f64,
    /// Fraction of recent attempts that failed.
    #[serde(rename = "failing")]
    pub failure_rate: f64,
    /// It takes requests and answers none.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// Own attempts there that are overdue.
    pub overdue: u32,
    /// It gets a trial now and then only.
    #[serde(rename = "distrusted")]
    pub ejected: bool,
    /// Remaining backoff, seconds.
    #[serde(rename = "rests")]
    pub backoff_secs: f64,
    /// Work charged to its slow-start budget, and the budget; thread-seconds.
    #[serde(rename = "cold")]
    pub slow_start_charged_and_budget: (f64, f64),
}

/// An open request as the module sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OpenRequest {
    /// Which.
    pub id: RequestId,
    /// When its client stops waiting.
    pub deadline: Timestamp,
    /// Attempts so far.
    pub attempts: u32,
    /// The attempt in flight, and its engine.
    #[serde(rename = "out")]
    pub in_flight: Option<(u32, EngineId)>,
    /// Its level.
    pub level: u8,
    /// It has its final response.
    pub answered: bool,
}

/// The module's totals.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Overview {
    /// Own threads in flight.
    #[serde(rename = "own")]
    pub own_threads: f64,
    /// This manager's share of the ready engines' cores.
    #[serde(rename = "share")]
    pub core_share: f64,
    /// Threads a core of other managers, as reported.
    #[serde(rename = "fleet")]
    pub others_load: f64,
    /// Queued work, thread-seconds, by level.
    #[serde(rename = "held")]
    pub queued_work: [f64; LEVELS],
    /// Prices by class, then level, of a query of mean cost.
    pub prices: Vec<[f64; LEVELS]>,
    /// Waits by class, then level, seconds.
    pub waits: Vec<[f64; LEVELS]>,
    /// Mean cost by class, thread-seconds.
    #[serde(rename = "means")]
    pub mean_costs: Vec<f64>,
    /// Requests open.
    #[serde(rename = "open")]
    pub open_requests: usize,
    /// Requests queued.
    #[serde(rename = "waiting")]
    pub queued_requests: usize,
}

/// Logs that an engine was ejected or readmitted, with the figures behind it.
///
/// Captures hold the log lines of their day word for word, and a replay compares them: the text must not
/// change.
pub(crate) fn log_ejection_change(
    engine: EngineId,
    health: &EngineHealth,
    slowness: f64,
    out: &mut Vec<Action>,
) {
    let state = if health.is_ejected() { "distrusted" } else { "trusted" };
    let silent = health.is_unresponsive();
    let overdue = health.overdue_attempts();
    let failing = health.failure_rate();
    let why = format!("silent {silent}, {overdue} overdue, slowness {slowness:.1}, failing {failing:.2}");
    out.push(Action::Log(format!("engine {} {state}: {why}", engine.0)));
}
