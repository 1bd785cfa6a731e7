//! The settings as they are on the wire. Each field has its standard name; a serde rename gives the name on
//! the wire where it differs. `policy_settings` converts the values to the policy's settings.

use crate::value::{objects, or_default, present, section, Flag, Number, NumberList, Text};
use serde::Deserialize;

/// The settings that the program uses. Times are in seconds, and fractions are from 0 to 1, unless stated
/// otherwise. An absent number is 0 unless stated otherwise.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireSettings {
    /// Request classes, in the order of their indices.
    #[serde(rename = "profiles", deserialize_with = "objects")]
    pub classes: Vec<WireClass>,
    /// Tenants, in the order of their indices.
    #[serde(rename = "customers", deserialize_with = "objects")]
    pub tenants: Vec<WireTenant>,
    /// Factor on the value of a request above its tenant's quota; absent: 1.
    #[serde(rename = "overShareWorth")]
    pub over_quota_value_factor: Number,
    /// Number of managers in the fleet; absent or below 1: 1.
    #[serde(rename = "siblings")]
    pub managers: Number,
    /// This manager's index in the fleet, from 0.
    pub position: Number,
    /// `ask` if the endpoint list must be polled; with any other value the list is pushed.
    pub discovery: Text,
    /// Index of this manager's own zone; a text that is not a whole number counts as absent.
    #[serde(rename = "az")]
    pub zone: Text,
    /// Names of zones, by zone index.
    #[serde(rename = "zones", deserialize_with = "or_default")]
    pub zone_names: Vec<Text>,
    /// Names of machine kinds, by kind index.
    #[serde(rename = "shapes", deserialize_with = "or_default")]
    pub kind_names: Vec<Text>,
    /// How engines report their load, and which values they report.
    #[serde(deserialize_with = "section")]
    pub load_report: WireLoadReport,
    /// Properties of engines, and of the queries that run on them.
    #[serde(rename = "specifics", deserialize_with = "section")]
    pub engines: WireEngines,
    /// What the platform allows, and its limits on attempts and connections.
    #[serde(deserialize_with = "section")]
    pub limits: WireLimits,
    /// Rules of the site that each manager must obey.
    #[serde(deserialize_with = "section")]
    pub invariants: WireInvariants,
    /// Penalties for probes, cross-zone attempts and new connections.
    #[serde(deserialize_with = "section")]
    pub prices: WirePrices,
    /// What clients are known to do.
    #[serde(deserialize_with = "section")]
    pub clients: WireClients,
}

/// Settings of a request class.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireClass {
    /// Name of the class, which clients send with a request.
    pub name: Text,
    /// Value of a request whose response is in time; absent: 1.
    pub value: Number,
    /// Fraction of the value that a late response earns.
    #[serde(rename = "lateWorth")]
    pub late_value_fraction: Number,
    /// Latency objective, without the part that depends on the work.
    #[serde(rename = "aim")]
    pub latency_objective: Number,
    /// The latency objective is extended by this factor times the request's work divided by its threads.
    #[serde(rename = "aimStretch")]
    pub objective_per_work: Number,
    /// How long a client waits for a response if its request sets no time-out.
    pub deadline: Number,
    /// `read_like` (idempotent) or `idempotency_key` (idempotent by key); any other value: not idempotent.
    pub effect: Text,
    /// Scope of deduplication by idempotency key: `all` or `zone`; any other value: one cell.
    pub dedup_scope: Text,
    /// Time within which retries with an idempotency key are deduplicated.
    pub repeat_window: Number,
    /// Whether requests with the same idempotency key run one at a time.
    #[serde(rename = "inTurn")]
    pub ordered_by_key: Flag,
    /// Indices of the machine kinds that the class is restricted to; an empty list is a restriction, too.
    #[serde(rename = "allowedOn", deserialize_with = "present")]
    pub kinds: Option<NumberList>,
    /// Indices of the zones that the class is restricted to; an empty list is a restriction, too.
    #[serde(rename = "runsIn", deserialize_with = "present")]
    pub zones: Option<NumberList>,
}

/// Settings of a tenant.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireTenant {
    /// Name of the tenant, which clients send with a request.
    pub name: Text,
    /// Quota in requests per second; absent: unlimited.
    pub quota_per_s: Number,
}

/// How engines report their load, and which values they report.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireLoadReport {
    /// `piggyback` (engines report with each answer) or `pull` (with load probes only); any other value:
    /// engines do not report.
    pub via: Text,
    /// Names of the values in a load report, such as `rif` and `busy`.
    #[serde(deserialize_with = "or_default")]
    pub fields: Vec<Text>,
}

/// Properties of engines, and the resources that queries of each class take on them (`specifics`).
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireEngines {
    /// Threads that a query of each class runs on, by class index; absent or below 1: 1.
    pub class_threads: NumberList,
    /// Whether a query of each class holds its tables while it runs, by class index.
    #[serde(rename = "loads", deserialize_with = "or_default")]
    pub class_loads_tables: Vec<Flag>,
    /// Cores of each machine kind, by kind index.
    #[serde(rename = "sizeCores")]
    pub kind_cores: NumberList,
    /// Memory of each machine kind in MB, by kind index.
    #[serde(rename = "ramOfKindMb")]
    pub kind_memory_mb: NumberList,
    /// Whether engines apply the memory grants that managers send with queries.
    #[serde(rename = "takesGrants")]
    pub applies_grants: Flag,
    /// What queries do when memory is short: `trim` (they run with less memory) or `swap` (the engine pages
    /// memory out); any other value: they wait.
    pub memory_short: Text,
    /// Whether engines apply the priority levels that managers send with queries.
    pub priorities: Flag,
    /// Interval between the progress notes on a query; 0: there are no progress notes.
    #[serde(rename = "progressPace")]
    pub progress_interval: Number,
    /// Whether responses report the cost of a query.
    #[serde(rename = "tellsCost")]
    pub reports_cost: Flag,
}

/// What the platform allows, and its limits on attempts and connections (`limits` in the settings; limits on
/// the process are [`crate::ProcessLimits`]).
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireLimits {
    /// Whether managers can cancel attempts at engines.
    pub cancel: Flag,
    /// Whether managers may send load probes to engines.
    pub probes: Flag,
    /// Whether managers may send each other messages.
    pub peers: Flag,
    /// Whether rejections carry a Retry-After.
    pub retry_after: Flag,
    /// Longest Retry-After that a rejection may carry; absent or 0: unlimited.
    pub max_retry_after: Number,
    /// Maximum number of attempts per request, including the first; absent: 1.
    pub max_attempts: Number,
    /// Maximum number of concurrent attempts on one connection to an engine; absent: the program's default.
    pub max_streams: Number,
    /// Maximum time for opening a connection to an engine; absent: the program's default.
    pub connect_timeout: Number,
    /// Time after which an idle connection to an engine is closed; absent: the program's default.
    #[serde(rename = "connIdle")]
    pub idle_timeout: Number,
}

/// Rules of the site that each manager must obey.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireInvariants {
    /// Time after a drain notice within which attempts on the draining engine must end.
    pub drain_grace: Number,
    /// An engine in slow start fails if its load exceeds this multiple of its capacity; absent: 1.
    #[serde(rename = "fallMultiple")]
    pub slow_start_multiple: Number,
    /// How long an engine in slow start must be overloaded before it fails.
    #[serde(rename = "overloadFor")]
    pub slow_start_window: Number,
    /// Fraction of its full capacity with which an engine begins its slow start; absent: 1.
    #[serde(rename = "startCapacity")]
    pub initial_capacity_fraction: Number,
    /// Time from the start of an engine for which the engine is in slow start.
    #[serde(rename = "cold")]
    pub slow_start_duration: Number,
    /// Pause between an attempt that may still run and the next attempt with the same idempotency key.
    #[serde(rename = "orderSettle")]
    pub key_settle_time: Number,
    /// Length of the window of the retry budget; absent: retries are not limited by a budget.
    #[serde(rename = "ratioSpan")]
    pub retry_window: Number,
    /// Number of retries per window that are allowed whatever the number of requests is.
    #[serde(rename = "freeResends")]
    pub free_retries: Number,
    /// Number of retries that are allowed in addition per admitted request.
    #[serde(rename = "budgetShare")]
    pub retries_per_request: Number,
}

/// Penalties for probes, cross-zone attempts and new connections.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WirePrices {
    /// Penalty of a load probe, relative to one first attempt.
    pub probe: Number,
    /// Penalty of an attempt in another zone, relative to one first attempt.
    pub cross_zone: Number,
    /// Penalty of a new connection, relative to one first attempt.
    pub handshake: Number,
}

/// What clients are known to do.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireClients {
    /// Whether clients mark their retries, in the field `resent` of a request.
    pub marks_retry: Flag,
}
