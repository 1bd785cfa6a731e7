//! The sections of a scenario: engines, load, membership, supervision, history, subscribers.

use super::actions::ManagerSelector;
use serde::Deserialize;
use sprucelink_membership::{ProtocolConfig, SharingConfig};
use std::collections::BTreeMap;

/// The watched zone: the report has figures on its loss.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Watch {
    /// Name of the zone, one of [`ZONES`](super::ZONES).
    pub zone: String,
    /// Time at which the steps make the zone fail, in seconds after the start of the run.
    pub from: f64,
    /// Time at which the steps bring the zone back, in seconds after the start of the run.
    pub to: f64,
}

/// The engines at the start.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Engines {
    /// Number of engines when the run begins; steps can add more.
    pub count: usize,
    /// Number of engines, the first ones, that are in slow start when the run begins.
    pub cold: usize,
    /// Number of engines, the last ones, that are on the endpoint list but do not run.
    pub missing: usize,
    /// Number of engines, the first ones, that are slower by a factor of ten.
    pub slow: usize,
    /// Number of cores of each engine.
    pub cores: f64,
    /// Work of a light query on one core, in milliseconds.
    pub light_ms: f64,
    /// Work of a load on one core, in milliseconds.
    pub heavy_ms: f64,
}

impl Default for Engines {
    fn default() -> Engines {
        Engines { count: 8, cold: 0, missing: 0, slow: 0, cores: 8.0, light_ms: 20.0, heavy_ms: 200.0 }
    }
}

/// Rate and kind of the clients' requests.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests per second to the whole fleet, spread evenly over the managers; 0 to 5,000.
    pub rate: f64,
    /// Fraction of the requests that are loads; 0 to 1.
    pub heavy: f64,
    /// Timeout of a request, in milliseconds; 100 to 20,000.
    pub timeout_ms: f64,
    /// Whether the clients of a manager that is down send each request to another manager at random; else
    /// they send none.
    pub follow: bool,
}

impl Default for Load {
    fn default() -> Load {
        Load { rate: 100.0, heavy: 0.05, timeout_ms: 4_000.0, follow: false }
    }
}

/// The view of the fleet that managers keep among themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// Settings of the membership protocol.
    pub protocol: ProtocolConfig,
    /// Budgets that the fleet shares: retry budgets and slow-start parts.
    pub share: SharingConfig,
}

/// A TCP port that every manager opens, and at which others reach it through the fault proxy.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Port {
    /// Name of the port in templates.
    pub name: String,
    /// Text before the port's address in the manager's log, such as `council on `.
    #[serde(rename = "said")]
    pub log_prefix: String,
}

/// Restarts of processes that have exited by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Supervise {
    /// Whether crashed processes are restarted, too; else only processes that request another version (exit
    /// status 75) are.
    pub crashed: bool,
    /// Delay of a restart, in milliseconds; 0 to 60,000.
    #[serde(rename = "back_ms")]
    pub restart_delay_ms: f64,
    /// Maximum number of restarts of one manager in a run, after which the manager stays down; 0 to 1,000.
    #[serde(rename = "most")]
    pub max_restarts: usize,
}

impl Default for Supervise {
    fn default() -> Supervise {
        Supervise { crashed: false, restart_delay_ms: 100.0, max_restarts: 100 }
    }
}

/// Content and size of the history, which always contains the events of processes.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct History {
    /// Whether the history contains every connection and command at the engines, too.
    pub engines: bool,
    /// Maximum size of the file, in MB of 2^20 bytes; 1 to 1,024. A run that would write more fails.
    #[serde(rename = "most_mb")]
    pub max_mb: u64,
}

impl Default for History {
    fn default() -> History {
        History { engines: true, max_mb: 256 }
    }
}

/// Stand-in subscribers of the managers' journal: their number, connections and reading of records.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Subscribers {
    /// Number of subscribers; 0 to 300.
    pub count: usize,
    /// Time over which the subscribers start one after the other, in milliseconds.
    pub over_ms: f64,
    /// Time at which the first subscriber starts, in seconds after the start of the run.
    pub at: f64,
    /// Name of the managers' port, one of the scenario's `ports`.
    pub port: String,
    /// The requested path, with the placeholders `{version}`, `{filter}` and `{subscriber}`.
    pub path: String,
    /// Protocol versions, assigned to the subscribers in turn.
    pub versions: Vec<String>,
    /// Filters, assigned to the subscribers in turn; an empty one means no filter.
    pub filters: Vec<String>,
    /// The managers to which subscribers connect; absent: all.
    pub to: Option<ManagerSelector>,
    /// Mean time after which a subscriber moves to another manager, in seconds; 0: never.
    pub hop_s: f64,
    /// Time until a subscriber reconnects, in milliseconds; the stream can change it (`retry`). Each delay is
    /// drawn from 0.5 to 1.5 times this value.
    pub retry_ms: f64,
    /// Time without data after which a subscriber considers its connection dead, in milliseconds.
    pub silent_ms: f64,
    /// JSON pointer to the position before a record, in the record's data.
    #[serde(rename = "prev_at")]
    pub previous_pointer: String,
    /// JSON pointer to the name of the operation that a record carries out, in the record's data.
    #[serde(rename = "op_at")]
    pub operation_pointer: String,
    /// JSON pointers to the fields that a version needs to read a record, by version and record name.
    pub needs: BTreeMap<String, BTreeMap<String, Vec<String>>>,
    /// Records that have a meaning for the checker.
    pub marks: Marks,
}

impl Default for Subscribers {
    fn default() -> Subscribers {
        Subscribers {
            count: 0,
            over_ms: 0.0,
            at: 1.0,
            port: "fanout".into(),
            path: "/v1/journal?version={version}&{filter}".into(),
            versions: vec!["1".into()],
            filters: vec![String::new()],
            to: None,
            hop_s: 0.0,
            retry_ms: 1_000.0,
            silent_ms: 10_000.0,
            previous_pointer: "/prev".into(),
            operation_pointer: "/op".into(),
            needs: BTreeMap::new(),
            marks: Marks::default(),
        }
    }
}

/// Records that have a meaning for the checker. Kinds of records that are absent here are not searched for.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Marks {
    /// Values that a record must have at JSON pointers to be considered; null: the value must be null or
    /// absent.
    pub only: BTreeMap<String, serde_json::Value>,
    /// Records of the start of a release.
    pub release: Option<ReleaseMark>,
    /// Records of a halt.
    pub halt: Option<HaltMark>,
    /// Records of the end of a halt.
    pub halt_over: Option<HaltOverMark>,
    /// Records of a schema's activation.
    pub schema: Option<SchemaMark>,
}

/// Name and fields of the record of the start of a release.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseMark {
    /// The record's name.
    pub record: String,
    /// JSON pointer to the release's id, a string or a number.
    pub id: String,
    /// JSON pointer to the version that is released.
    pub version: String,
}

/// Name and fields of the record of a halt.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HaltMark {
    /// The record's name.
    pub record: String,
    /// JSON pointer to the halt's id.
    pub id: String,
    /// JSON pointer to the version whose release is halted.
    #[serde(default)]
    pub version: Option<String>,
    /// JSON pointer to the id of the halted release, used if `version` is absent. With neither, all releases
    /// are halted.
    #[serde(default)]
    pub release: Option<String>,
}

/// Name and fields of the record of the end of a halt.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HaltOverMark {
    /// The record's name.
    pub record: String,
    /// JSON pointer to the halt's id.
    pub id: String,
}

/// Name and fields of the record of a schema's activation.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchemaMark {
    /// The record's name.
    pub record: String,
    /// JSON pointer to the publisher's name.
    pub publisher: String,
    /// JSON pointer to the list of subscribers' versions that can read the schema.
    pub reads: String,
}
