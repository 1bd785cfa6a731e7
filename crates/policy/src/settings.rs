//! The settings of a manager. Durations are in whole microseconds, work in thread-seconds, memory in MB, and
//! value in the unit of the service's score, which is that of [`ClassSettings::value`].

use serde::{Deserialize, Serialize};
use sprucelink_time::TimeDelta;

/// Idempotency of a request: whether a retry may take effect a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Idempotent: a retry does no harm.
    Safe,
    /// Has an idempotency key: retries are deduplicated within a group of engines for a limited time.
    Keyed,
    /// Not idempotent: must never run twice.
    Unsafe,
}

/// The engines among which retries of a keyed request are deduplicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupGroup {
    /// All engines.
    All,
    /// Engines of one zone.
    Zone,
    /// Engines of one cell.
    Cell,
}

/// Settings of one class of requests.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ClassSettings {
    /// Value of one request answered within its latency objective (the value of Konana et al.).
    #[serde(rename = "worth")]
    pub value: f64,
    /// Fraction of the value that a late answer still earns, 0 to 1.
    #[serde(rename = "late_worth")]
    pub late_value_fraction: f64,
    /// Latency objective, before the extension for the request's own work.
    #[serde(rename = "aim")]
    pub latency_objective: TimeDelta,
    /// The objective is extended by this factor times the request's work divided by its threads.
    #[serde(rename = "aim_stretch")]
    pub objective_per_work: f64,
    /// Maximum time that a client of the class waits for its answer, from the arrival of its request.
    pub deadline: TimeDelta,
    /// Whether a retry of a request may take effect a second time.
    pub effect: Effect,
    /// For keyed classes: engines among which retries are deduplicated.
    pub group: DedupGroup,
    /// For keyed classes: time within which engines deduplicate retries, counted from the send of the first
    /// attempt that may have run.
    pub repeat_window: TimeDelta,
    /// Whether requests with the same idempotency key run one at a time, in order of arrival.
    #[serde(rename = "in_turn")]
    pub ordered_by_key: bool,
    /// Threads that a query of the class runs on.
    pub threads: f64,
    /// Whether queries of the class load tables; such a query locks its table group on its engine while it
    /// runs.
    #[serde(rename = "load")]
    pub loads_tables: bool,
    /// Machine kinds that may run the class; all if absent.
    pub kinds: Option<Vec<u32>>,
    /// Zones that may run the class; all if absent.
    pub zones: Option<Vec<u32>>,
}

/// A tenant's quota.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct TenantSettings {
    /// Requests per second of the tenant, over all managers. Requests beyond the quota have a lower value.
    pub quota_per_s: f64,
}

/// What an engine does when more memory is granted than it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemoryShort {
    /// The query waits in the engine's queue.
    Waits,
    /// The query gets the memory that is left, and spills.
    Shrinks,
    /// The query runs; all queries slow down once the memory in use, by grant or by need, exceeds that of the
    /// engine.
    Pages,
}

/// How engines report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportVia {
    /// In every answer and load probe.
    Answers,
    /// In load probes only.
    Probes,
    /// Never.
    Silent,
}

/// The retry budget: limits the retries in a sliding window by the requests received in it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct RetryBudgetSettings {
    /// Length of the sliding window.
    #[serde(rename = "span")]
    pub window: TimeDelta,
    /// Retries allowed in a window regardless of the number of requests.
    #[serde(rename = "free")]
    pub free_retries: f64,
    /// Retries allowed for each request received in the window.
    #[serde(rename = "share")]
    pub retries_per_request: f64,
}

/// The fraction of its part of a slow-start budget that a manager uses, by the time since its own start.
/// Stored as a pair.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct RestartRamp {
    /// Fraction at the manager's start.
    pub initial_fraction: f64,
    /// Seconds in which the fraction rises by 1. The fraction is limited to 1.
    pub secs_to_rise_by_one: f64,
}

impl From<(f64, f64)> for RestartRamp {
    fn from((initial_fraction, secs_to_rise_by_one): (f64, f64)) -> RestartRamp {
        RestartRamp { initial_fraction, secs_to_rise_by_one }
    }
}

impl From<RestartRamp> for (f64, f64) {
    fn from(ramp: RestartRamp) -> (f64, f64) {
        (ramp.initial_fraction, ramp.secs_to_rise_by_one)
    }
}

/// All settings of a manager. Where a field has a `serde(rename)`, captures and `--set` use that name.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct Settings {
    /// Request classes, indexed by [`ClassId`](crate::ClassId).
    pub classes: Vec<ClassSettings>,
    /// Tenants with a quota, indexed by [`Arrival::tenant`](crate::Arrival::tenant). Other tenants have no
    /// quota.
    pub tenants: Vec<TenantSettings>,
    /// Factor on the value of a request beyond its tenant's quota.
    #[serde(rename = "over_share_worth")]
    pub over_quota_value_factor: f64,
    /// Managers that share the fleet's capacity, this one included; in a hot restart each process counts.
    pub gateways: u32,
    /// This manager's index among the managers that share the capacity. Kept for captures; no rule reads it.
    pub position: u32,
    /// Whether the endpoint list is sent only in answer to a poll.
    #[serde(rename = "must_ask")]
    pub must_poll_endpoints: bool,
    /// How engines report their load.
    pub report_via: ReportVia,
    /// Whether load reports have the number of queries in progress or the fraction of busy cores.
    pub reports_load: bool,
    /// Cores of an engine, by machine kind.
    pub kind_cores: Vec<f64>,
    /// Memory of an engine in MB, by machine kind.
    pub kind_memory_mb: Vec<f64>,
    /// Whether engines obey memory grants.
    pub grants: bool,
    /// What happens when grants exceed an engine's memory.
    pub memory_short: MemoryShort,
    /// Whether engines obey priority levels.
    pub priorities: bool,
    /// Time between progress notes; zero if engines send none.
    #[serde(rename = "progress_pace")]
    pub progress_interval: TimeDelta,
    /// Whether answers report the work and memory that a query used. Kept for captures; no rule reads it.
    #[serde(rename = "tells_cost")]
    pub reports_cost: bool,
    /// Whether attempts can be cancelled on engines.
    pub cancel: bool,
    /// Whether load probes may be sent.
    pub probes: bool,
    /// Whether managers may send each other messages. Kept for captures; no rule reads it.
    pub peers: bool,
    /// Whether rejections may carry a Retry-After. Kept for captures; no rule reads it: each response has
    /// one.
    pub retry_after: bool,
    /// Maximum Retry-After; unbounded if zero.
    pub max_retry_after: TimeDelta,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Time after a drain notice within which managers must stop sending attempts to the engine. No rule
    /// reads it: nothing is sent to a draining engine.
    pub drain_grace: TimeDelta,
    /// An engine in slow start fails when it is sent more than this multiple of its capacity in one window.
    #[serde(rename = "fall_multiple")]
    pub slow_start_multiple: f64,
    /// Length of the window of `slow_start_multiple`: an engine fails when it is overloaded for this long, so
    /// slow-start budgets are given per window.
    #[serde(rename = "fall_span")]
    pub slow_start_window: TimeDelta,
    /// Fraction of its capacity that an engine has at its start.
    #[serde(rename = "start_share")]
    pub initial_capacity_fraction: f64,
    /// Length of the slow start: time from the start of an engine until it has its full capacity.
    #[serde(rename = "cold_for")]
    pub slow_start_duration: TimeDelta,
    /// How a manager that just started raises its part of a starting engine's budget. `None`: during its
    /// first `slow_start_window` the manager uses half of its part, and then all of it.
    #[serde(rename = "cold_ramp")]
    pub restart_ramp: Option<RestartRamp>,
    /// Time for which requests with the same idempotency key are held back after an attempt that has ended
    /// for this manager but may still run on its engine.
    #[serde(rename = "order_settle")]
    pub key_settle_time: TimeDelta,
    /// The retry budget; `None` if the number of retries is not limited.
    #[serde(rename = "attempt_budget")]
    pub retry_budget: Option<RetryBudgetSettings>,
    /// Retries per window that this manager may send beyond its own retry budget, because other managers
    /// leave them unused; 0 unless the managers share their budgets.
    #[serde(rename = "spare")]
    pub spare_retries: f64,
    /// Price of one load probe, as a fraction of the value of one query.
    pub probe_price: f64,
    /// Number of this manager's zone; `None` if it is not configured.
    pub zone: Option<u32>,
    /// Weights of zones in the selection of engines, by zone number, where failover between zones is on; a
    /// zone that is not in the list has weight 1.
    pub zone_weights: Vec<f64>,
    /// Price of one attempt in another zone, as a fraction of the value of one query.
    pub cross_zone_price: f64,
    /// Price of one new connection, as a fraction of the value of one query.
    pub handshake_price: f64,
    /// Time after which an idle connection to an engine is closed.
    #[serde(rename = "idle")]
    pub idle_timeout: TimeDelta,
}

impl Settings {
    /// A zone's weight in the selection of engines; 1 unless configured otherwise.
    pub fn zone_weight(&self, zone: u32) -> f64 {
        self.zone_weights.get(zone as usize).copied().unwrap_or(1.0)
    }
}

impl Default for Settings {
    /// One manager without classes or tenants. Each request has one plain attempt, without level, memory
    /// grant, load probe or cancellation, and no rule has a limit.
    fn default() -> Settings {
        Settings {
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_value_factor: 1.0,
            gateways: 1,
            position: 0,
            must_poll_endpoints: false,
            report_via: ReportVia::Silent,
            reports_load: false,
            kind_cores: Vec::new(),
            kind_memory_mb: Vec::new(),
            grants: false,
            memory_short: MemoryShort::Waits,
            priorities: false,
            progress_interval: TimeDelta::ZERO,
            reports_cost: false,
            cancel: false,
            probes: false,
            peers: false,
            retry_after: false,
            max_retry_after: TimeDelta::ZERO,
            max_attempts: 1,
            drain_grace: TimeDelta::ZERO,
            slow_start_multiple: 1.0,
            slow_start_window: TimeDelta::ZERO,
            initial_capacity_fraction: 1.0,
            slow_start_duration: TimeDelta::ZERO,
            restart_ramp: None,
            spare_retries: 0.0,
            zone_weights: Vec::new(),
            key_settle_time: TimeDelta::ZERO,
            retry_budget: None,
            probe_price: 0.0,
            zone: None,
            cross_zone_price: 0.0,
            handshake_price: 0.0,
            idle_timeout: TimeDelta::ZERO,
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
