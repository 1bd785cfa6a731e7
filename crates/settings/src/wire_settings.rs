//! The settings under their names on the wire. Fields bear the wire's names in snake case; what they mean to the decision
//! module stands in `policy_settings`.

use crate::value::{objects, or_default, present, section, Flag, Number, NumberList, Text};
use serde::Deserialize;

/// The settings that the program uses. Times are in seconds, shares and prices fractions of one, unless said otherwise.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireSettings {
    /// Classes of requests, in the order in which they are numbered.
    #[serde(deserialize_with = "objects")]
    pub profiles: Vec<WireClass>,
    /// Tenants, in the order in which they are numbered.
    #[serde(deserialize_with = "objects")]
    pub customers: Vec<WireTenant>,
    /// Priority weight of a request beyond its tenant's quota, as a factor; absent: 1.
    pub over_share_worth: Number,
    /// Managers in the fleet; absent or under 1: 1.
    pub siblings: Number,
    /// This manager's number among them, from 0.
    pub position: Number,
    /// `ask` where the endpoint list must be polled; anything else: it is pushed.
    pub discovery: Text,
    /// Number of this manager's own zone; a text that is no whole number counts as absent.
    pub az: Text,
    /// Names of zones, by number.
    #[serde(deserialize_with = "or_default")]
    pub zones: Vec<Text>,
    /// Names of machine kinds, by number.
    #[serde(deserialize_with = "or_default")]
    pub shapes: Vec<Text>,
    /// Load reports.
    #[serde(deserialize_with = "section")]
    pub load_report: WireLoadReport,
    /// Engines, and the classes on them.
    #[serde(rename = "specifics", deserialize_with = "section")]
    pub engines: WireEngines,
    /// Limits of the site.
    #[serde(deserialize_with = "section")]
    pub limits: WireLimits,
    /// Limits that the site's rules set.
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
    /// Priority weight of a request; absent: 1.
    pub value: Number,
    /// Fraction of the priority weight that a late response earns.
    pub late_worth: Number,
    /// Latency objective.
    pub aim: Number,
    /// The latency objective grows by this times the work over the threads.
    pub aim_stretch: Number,
    /// How long a client waits for the response.
    pub deadline: Number,
    /// `read_like` or `idempotency_key`; anything else counts as not idempotent.
    pub effect: Text,
    /// Scope of deduplication by idempotency key: `all`, `zone`; anything else: one cell.
    pub dedup_scope: Text,
    /// For how long duplicates are dropped.
    pub repeat_window: Number,
    /// Requests with the same key run one at a time.
    pub in_turn: Flag,
    /// Machine kinds, by number, that the class is restricted to; an empty list, too, restricts it.
    #[serde(deserialize_with = "present")]
    pub allowed_on: Option<NumberList>,
    /// Zones, by number, that the class is restricted to; an empty list, too, restricts it.
    #[serde(deserialize_with = "present")]
    pub runs_in: Option<NumberList>,
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
    #[serde(deserialize_with = "or_default")]
    pub loads: Vec<Flag>,
    /// Cores of each machine kind.
    pub size_cores: NumberList,
    /// Memory of each machine kind, in MB.
    pub ram_of_kind_mb: NumberList,
    /// Engines apply memory grants.
    pub takes_grants: Flag,
    /// What queries do when memory is short: `trim` or `swap`; anything else: they wait.
    pub memory_short: Text,
    /// Engines apply priorities.
    pub priorities: Flag,
    /// Interval of progress messages; 0: there are none.
    pub progress_pace: Number,
    /// Responses report a query's cost.
    pub tells_cost: Flag,
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
    pub conn_idle: Number,
}

/// Limits that the site's rules set.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct WireInvariants {
    /// Grace period after a drain notice, within which sends to the engine must stop.
    pub drain_grace: Number,
    /// A cold engine fails when it is sent more than this multiple of its capacity; absent: 1.
    pub fall_multiple: Number,
    /// For how long it must be overloaded until it fails.
    pub overload_for: Number,
    /// Fraction of its capacity that a cold engine has; absent: 1.
    pub start_capacity: Number,
    /// Time after its start at which an engine is warm.
    pub cold: Number,
    /// Pause of an idempotency key after an attempt that may still run.
    pub order_settle: Number,
    /// Window of the retry budget; absent: there is no budget.
    pub ratio_span: Number,
    /// Retries allowed in any case.
    pub free_resends: Number,
    /// Retries allowed for each admitted request.
    pub budget_share: Number,
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
