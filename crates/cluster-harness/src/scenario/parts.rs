//! The sections of a scenario: engines, load, membership, supervision, history, subscribers.

use super::actions::ManagerSelector;
use serde::Deserialize;
use sprucelink_membership::{ProtocolConfig, SharingConfig};
use std::collections::BTreeMap;

/// A zone that a run is about: what the table says of it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Watch {
    /// The zone.
    pub zone: String,
    /// When it is lost, in seconds.
    pub from: f64,
    /// When it comes back.
    pub to: f64,
}

/// The engines at the start.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Engines {
    /// How many.
    pub count: usize,
    /// How many of them are in slow start when the run begins.
    pub cold: usize,
    /// How many of them, the last ones, are on the endpoint list but do not run.
    pub missing: usize,
    /// How many of them, the first ones, are slower by a factor of ten.
    pub slow: usize,
    /// Cores of each.
    pub cores: f64,
    /// Work of a light query on one core, in milliseconds.
    pub light_ms: f64,
    /// Work of a load, in milliseconds.
    pub heavy_ms: f64,
}

impl Default for Engines {
    fn default() -> Engines {
        Engines { count: 8, cold: 0, missing: 0, slow: 0, cores: 8.0, light_ms: 20.0, heavy_ms: 200.0 }
    }
}

/// What clients ask.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests a second of the whole fleet, spread evenly over the managers; 0 to 5,000.
    pub rate: f64,
    /// Share of them that are loads.
    pub heavy: f64,
    /// How long clients wait, in milliseconds; 100 to 20,000.
    pub timeout_ms: f64,
    /// While a manager is down, each request of its clients goes to another at random; else it is not sent.
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
    /// The protocol's figures.
    pub protocol: ProtocolConfig,
    /// What is shared.
    pub share: SharingConfig,
}

/// A TCP port that every manager opens, and through which others reach it by the fault proxy.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Port {
    /// Its name, in templates.
    pub name: String,
    /// What its log says before the address, such as `council on `.
    pub said: String,
}

/// What the rig does with a process that has ended by itself.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Supervise {
    /// Crashed processes are restarted, too; else only those that request another version (status 75).
    pub crashed: bool,
    /// Delay of a restart, in milliseconds; 0 to 60,000.
    pub back_ms: f64,
    /// Restarts of one manager in a run; after them it stays down. 0 to 1,000.
    #[serde(rename = "most")]
    pub max_restarts: usize,
}

impl Default for Supervise {
    fn default() -> Supervise {
        Supervise { crashed: false, back_ms: 100.0, max_restarts: 100 }
    }
}

/// What the history holds, beside what processes did.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct History {
    /// Every connection and command at the engines.
    pub engines: bool,
    /// Its maximum length in MB (1 to 1,024); a run that would write more fails.
    #[serde(rename = "most_mb")]
    pub max_mb: u64,
}

impl Default for History {
    fn default() -> History {
        History { engines: true, max_mb: 256 }
    }
}

/// Stand-in subscribers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Subscribers {
    /// How many; 0 to 300.
    pub count: usize,
    /// They come one after the other over this time, in milliseconds, from `at` seconds on.
    pub over_ms: f64,
    /// When the first comes, in seconds.
    pub at: f64,
    /// The managers' port, by its name among the scenario's.
    pub port: String,
    /// The path asked for, with `{version}`, `{filter}` and `{subscriber}`.
    pub path: String,
    /// Protocol versions, over the subscribers in turn.
    pub versions: Vec<String>,
    /// Filters, over the subscribers in turn; empty: none.
    pub filters: Vec<String>,
    /// The managers they go to; absent: all.
    pub to: Option<ManagerSelector>,
    /// Mean time after which a subscriber moves to another manager, in seconds; 0: never.
    pub hop_s: f64,
    /// Time until they reconnect, in milliseconds, until the stream sets it (`retry`); each time 0.5 to 1.5 times that.
    pub retry_ms: f64,
    /// Silence after which they take a connection as dead, in milliseconds.
    pub silent_ms: f64,
    /// Where a record's data, a JSON object, holds the position before it.
    pub prev_at: String,
    /// And the operation that it carries out.
    pub op_at: String,
    /// What a version must find in records, as JSON pointers by version and record name: else it cannot read them.
    pub needs: BTreeMap<String, BTreeMap<String, Vec<String>>>,
    /// Record names that mean something to the checker.
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
            prev_at: "/prev".into(),
            op_at: "/op".into(),
            needs: BTreeMap::new(),
            marks: Marks::default(),
        }
    }
}

/// Records that mean something to the checker; absent ones are not looked for.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Marks {
    /// Only records where all these pointers hold these values count; null: nothing is there.
    pub only: BTreeMap<String, serde_json::Value>,
    /// A release's beginning.
    pub release: Option<ReleaseMark>,
    /// A halt.
    pub halt: Option<HaltMark>,
    /// A halt's end.
    pub halt_over: Option<OverMark>,
    /// A schema.
    pub schema: Option<SchemaMark>,
}

/// How a record tells that a release begins.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseMark {
    /// The record's name.
    pub record: String,
    /// Where it tells the release's id, as a JSON pointer to a text or a number.
    pub id: String,
    /// Where it tells the version that is released.
    pub version: String,
}

/// How a record tells a halt.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HaltMark {
    /// The record's name.
    pub record: String,
    /// Where it tells its id.
    pub id: String,
    /// Where it tells the version whose release is halted.
    #[serde(default)]
    pub version: Option<String>,
    /// Or where it tells the release; with neither it is a halt of all.
    #[serde(default)]
    pub release: Option<String>,
}

/// How a record tells a halt's end.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverMark {
    /// The record's name.
    pub record: String,
    /// Where it tells the halt's id.
    pub id: String,
}

/// How a record tells a schema.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchemaMark {
    /// The record's name.
    pub record: String,
    /// Where it tells the publisher.
    pub publisher: String,
    /// Where it tells the list of subscribers' versions that can read it.
    pub reads: String,
}
