//! Diagnostics for operators and captures: the types of the views of the module's state, and the log line of
//! an ejection. No decision depends on them.

use crate::actions::Action;
use crate::engine_health::EngineHealth;
use crate::ids::{EngineId, RequestId};
use crate::pricing::LEVELS;
use serde::Serialize;
use sprucelink_time::Timestamp;

/// The state of one engine, as this manager's decision module has it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EngineView {
    /// Number of the engine, as in [`EngineId`].
    pub engine: u32,
    /// Whether the endpoint list has the engine as ready.
    pub listed: bool,
    /// Whether the endpoint list has the engine as gone.
    pub gone: bool,
    /// Number of its zone, by the endpoint list.
    pub zone: u32,
    /// Machine kind: index in [`Settings::kind_cores`](crate::Settings::kind_cores).
    pub kind: u32,
    /// Cores of its machine kind; at least 1.
    pub cores: f64,
    /// Threads of this manager's attempts in flight on the engine.
    pub threads: f64,
    /// Number of this manager's attempts in flight on the engine.
    #[serde(rename = "flying")]
    pub attempts_in_flight: u32,
    /// Threads of other managers on the engine according to the last report.
    #[serde(rename = "others")]
    pub others_threads: f64,
    /// Queries that waited for memory on the engine according to the last report.
    #[serde(rename = "waiting")]
    pub queries_waiting_for_memory: f64,
    /// Whether the last report had no number of queries, only the fraction of busy cores, and nearly all
    /// cores were busy.
    #[serde(rename = "full")]
    pub saturated: bool,
    /// Seconds since the last load report; `None` if there was none.
    pub report_age: Option<f64>,
    /// Weight of the last load report, which falls from 1 towards 0 with its age.
    #[serde(rename = "trust_in_report")]
    pub report_weight: f64,
    /// Threads that the other managers are expected to have in flight on the engine, without regard to its
    /// last report: the fleet's mean per core times the engine's cores, its capacity fraction, and the
    /// fraction of managers that may send to it.
    #[serde(rename = "usual")]
    pub mean_others_threads: f64,
    /// Estimated threads of all managers on the engine.
    #[serde(rename = "load")]
    pub estimated_threads: f64,
    /// Estimated threads per core, counting only the cores that the slow start gives the engine so far.
    pub utilisation: f64,
    /// Fraction of its capacity that the slow start gives the engine so far; 1 after the slow start.
    #[serde(rename = "warmth")]
    pub capacity_fraction: f64,
    /// How many times slower the engine is than the median engine; 1 if either slowness is not known.
    pub slowness: f64,
    /// Fraction of recent attempts that failed.
    #[serde(rename = "failing")]
    pub failure_rate: f64,
    /// Whether the engine accepts requests but answers none.
    #[serde(rename = "silent")]
    pub unresponsive: bool,
    /// Attempts of this manager on the engine that are overdue, as of the last tick.
    pub overdue: u32,
    /// Whether the engine gets only a trial at intervals, unless no eligible engine is healthy.
    #[serde(rename = "distrusted")]
    pub ejected: bool,
    /// Remaining backoff, seconds.
    #[serde(rename = "rests")]
    pub backoff_secs: f64,
    /// Work charged to its slow-start budget in the last window, and the budget; thread-seconds.
    #[serde(rename = "cold")]
    pub slow_start_charged_and_budget: (f64, f64),
}

/// The state of an open request, as this manager's decision module has it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OpenRequest {
    /// Id of the request, as in its [`Arrival`](crate::Arrival).
    pub id: RequestId,
    /// Time at which the client stops waiting.
    pub deadline: Timestamp,
    /// Number of attempts sent so far.
    pub attempts: u32,
    /// Number and engine of the attempt in flight; `None` if there is none.
    #[serde(rename = "out")]
    pub in_flight: Option<(u32, EngineId)>,
    /// Current priority level, 0 (lowest) to 3.
    pub level: u8,
    /// Whether the final response was given or has begun.
    pub answered: bool,
}

/// Totals over all engines, classes and requests of this manager.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Overview {
    /// Threads of this manager's attempts in flight.
    #[serde(rename = "own")]
    pub own_threads: f64,
    /// Cores of this manager's equal share of the ready engines; at least 1.
    #[serde(rename = "share")]
    pub core_share: f64,
    /// Threads per core of other managers, averaged over recent load reports.
    #[serde(rename = "fleet")]
    pub others_load: f64,
    /// Queued work by level, thread-seconds.
    #[serde(rename = "held")]
    pub queued_work: [f64; LEVELS],
    /// Prices of a query of mean cost, by class, then level, in value.
    pub prices: Vec<[f64; LEVELS]>,
    /// Expected waits beyond the unloaded latency, by class, then level, in seconds.
    pub waits: Vec<[f64; LEVELS]>,
    /// Mean cost of a query, by class, thread-seconds.
    #[serde(rename = "means")]
    pub mean_costs: Vec<f64>,
    /// Number of requests without a final response or with an attempt in flight.
    #[serde(rename = "open")]
    pub open_requests: usize,
    /// Number of requests in the queue.
    #[serde(rename = "waiting")]
    pub queued_requests: usize,
}

/// Logs that an engine was ejected or readmitted, with the figures behind the decision.
///
/// Captures hold the log lines word for word, and a replay compares them: the text must not change.
pub(crate) fn log_ejection_change(
    engine: EngineId,
    health: &EngineHealth,
    slowness: f64,
    out: &mut Vec<Action>,
) {
    let state = if health.is_ejected() { "distrusted" } else { "trusted" };
    let is_unresponsive = health.is_unresponsive();
    let overdue_attempts = health.overdue_attempts();
    let figures = format!(
        "silent {is_unresponsive}, {overdue_attempts} overdue, slowness {slowness:.1}, failing {:.2}",
        health.failure_rate()
    );
    out.push(Action::Log(format!("engine {} {state}: {figures}", engine.0)));
}
