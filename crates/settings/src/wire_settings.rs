//! The settings as the wire has them. A field bears its standard name; where the wire has another one, a serde rename
//! beside the field gives it. What the values mean to the decision module stands in `policy_settings`.

use crate::value::{objects, or_default, present, section, Flag, Number, NumberList, Text};
use serde::Deserialize;

/// The settings that the program uses. Times are in seconds, fractions and prices parts of one, unless said otherwise.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireSettings {
    /// Classes of requests, in the order in which they are numbered.
    #[serde(rename = "profiles", deserialize_with = "objects")]
    pub classes: Vec<WireClass>,
    /// Tenants, in the order in which they are numbered.
    #[serde(rename = "customers", deserialize_with = "objects")]
    pub tenants: Vec<WireTenant>,
    /// Factor on the value of a request beyond its tenant's quota; absent: 1.
    #[serde(rename = "overShareWorth")]
    pub over_quota_value_factor: Number,
    /// Managers in the fleet; absent or under 1: 1.
    #[serde(rename = "siblings")]
    pub managers: Number,
    /// This manager's number among them, from 0.
    pub position: Number,
    /// `ask` where the endpoint list must be polled; anything else: it is pushed.
    pub discovery: Text,
    /// Number of this manager's own zone; a text that is no whole number counts as absent.
    #[serde(rename = "az")]
    pub zone: Text,
    /// Names of zones, by number.
    #[serde(rename = "zones", deserialize_with = "or_default")]
    pub zone_names: Vec<Text>,
    /// Names of machine kinds, by number.
    #[serde(rename = "shapes", deserialize_with = "or_default")]
    pub kind_names: Vec<Text>,
    /// Load reports.
    #[serde(deserialize_with = "section")]
    pub load_report: WireLoadReport,
    /// Engines, and the classes on them.
    #[serde(rename = "specifics", deserialize_with = "section")]
    pub engines: WireEngines,
    /// Limits of the site.
    #[serde(deserialize_with = "section")]
    pub limits: WireLimits,
    /// What the site's rules demand of each manager.
    #[serde(deserialize_with = "section")]
    pub invariants: WireInvariants,
    /// Penalties.
    #[serde(deserialize_with = "section")]
    pub prices: WirePrices,
    /// How clients behave.
    #[serde(deserialize_with = "section")]
    pub clients: WireClients,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireClass {
    /// Its name.
    pub name: Text,
    /// Value of a request that is answered in time; absent: 1.
    pub value: Number,
    /// Fraction of the value that a late response earns.
    #[serde(rename = "lateWorth")]
    pub late_value_fraction: Number,
    /// Latency objective.
    #[serde(rename = "aim")]
    pub latency_objective: Number,
    /// The latency objective grows by this times the work over the threads.
    #[serde(rename = "aimStretch")]
    pub objective_per_work: Number,
    /// How long a client waits for the response.
    pub deadline: Number,
    /// `read_like` or `idempotency_key`; anything else counts as not idempotent.
    pub effect: Text,
    /// Scope of deduplication by idempotency key: `all`, `zone`; anything else: one cell.
    pub dedup_scope: Text,
    /// For how long duplicates are dropped.
    pub repeat_window: Number,
    /// Requests with the same key run one at a time.
    #[serde(rename = "inTurn")]
    pub ordered_by_key: Flag,
    /// Machine kinds, by number, that the class is restricted to; an empty list, too, restricts it.
    #[serde(rename = "allowedOn", deserialize_with = "present")]
    pub kinds: Option<NumberList>,
    /// Zones, by number, that the class is restricted to; an empty list, too, restricts it.
    #[serde(rename = "runsIn", deserialize_with = "present")]
    pub zones: Option<NumberList>,
}

/// A tenant.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireTenant {
    /// Its name.
    pub name: Text,
    /// Quota in requests a second; absent: none.
    pub quota_per_s: Number,
}

/// Load reports.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireLoadReport {
    /// `piggyback` or `pull`; anything else: there are none.
    pub via: Text,
    /// Names of the values.
    #[serde(deserialize_with = "or_default")]
    pub fields: Vec<Text>,
}

/// What is known of engines and of the classes on them (`specifics`).
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireEngines {
    /// Threads that a query of each class runs on; absent or under 1: 1.
    pub class_threads: NumberList,
    /// Whether each class holds its tables while it runs.
    #[serde(rename = "loads", deserialize_with = "or_default")]
    pub class_loads_tables: Vec<Flag>,
    /// Cores of each machine kind.
    #[serde(rename = "sizeCores")]
    pub kind_cores: NumberList,
    /// Memory of each machine kind, in MB.
    #[serde(rename = "ramOfKindMb")]
    pub kind_memory_mb: NumberList,
    /// Engines apply memory grants.
    #[serde(rename = "takesGrants")]
    pub applies_grants: Flag,
    /// What queries do when memory is short: `trim` or `swap`; anything else: they wait.
    pub memory_short: Text,
    /// Engines apply priorities.
    pub priorities: Flag,
    /// Interval of progress messages; 0: there are none.
    #[serde(rename = "progressPace")]
    pub progress_interval: Number,
    /// Responses report a query's cost.
    #[serde(rename = "tellsCost")]
    pub reports_cost: Flag,
}

/// Limits of the site (`limits` of the settings; the process's own are [`crate::ProcessLimits`]).
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireLimits {
    /// Attempts can be cancelled.
    pub cancel: Flag,
    /// Load probes are allowed.
    pub probes: Flag,
    /// Managers may send each other messages.
    pub peers: Flag,
    /// Rejections carry a Retry-After.
    pub retry_after: Flag,
    /// Longest Retry-After.
    pub max_retry_after: Number,
    /// Attempts allowed for one request; absent: 1.
    pub max_attempts: Number,
    /// Concurrent attempts on one connection.
    pub max_streams: Number,
    /// Connect timeout.
    pub connect_timeout: Number,
    /// Idle timeout of a connection.
    #[serde(rename = "connIdle")]
    pub idle_timeout: Number,
}

/// What the site's rules demand of each manager.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireInvariants {
    /// Grace period after a drain notice, within which sends to the engine must stop.
    pub drain_grace: Number,
    /// An engine in slow start fails when it is sent more than this multiple of its capacity; absent: 1.
    #[serde(rename = "fallMultiple")]
    pub slow_start_multiple: Number,
    /// For how long it must be overloaded until it fails.
    #[serde(rename = "overloadFor")]
    pub slow_start_window: Number,
    /// Fraction of its capacity that an engine starts with; absent: 1.
    #[serde(rename = "startCapacity")]
    pub initial_capacity_fraction: Number,
    /// Length of an engine's slow start.
    #[serde(rename = "cold")]
    pub slow_start_duration: Number,
    /// Pause of an idempotency key after an attempt that may still run.
    #[serde(rename = "orderSettle")]
    pub key_settle_time: Number,
    /// Window of the retry budget; absent: there is no budget.
    #[serde(rename = "ratioSpan")]
    pub retry_window: Number,
    /// Retries allowed in any case.
    #[serde(rename = "freeResends")]
    pub free_retries: Number,
    /// Retries allowed for each admitted request.
    #[serde(rename = "budgetShare")]
    pub retries_per_request: Number,
}

/// Penalties.
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

/// How clients behave.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireClients {
    /// Clients mark their retries.
    pub marks_retry: Flag,
}
