//! Events: the inputs that a manager reports to the decision module. Timestamps are on the clock
//! of the caller of [`Policy::handle`](crate::Policy::handle).

use crate::ids::{ClassId, EngineId, RequestId};
use serde::{Deserialize, Serialize};
use sprucelink_time::{TimeDelta, Timestamp};

/// An engine's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineState {
    /// The engine accepts requests.
    Ready,
    /// The engine finishes its requests and accepts no others.
    Draining,
    /// The engine was withdrawn; its number may be given to another engine.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// The engine that the entry describes.
    pub engine: EngineId,
    /// Number of the zone that the engine runs in.
    pub zone: u32,
    /// Machine kind: index in [`Settings::kind_cores`](crate::Settings::kind_cores).
    pub kind: u32,
    /// Number of its cell, the group of [`DedupGroup::Cell`](crate::DedupGroup::Cell).
    pub cell: u32,
    /// Whether the engine accepts requests.
    pub state: EngineState,
    /// Start time of the engine's process; `None` if the process did not start recently.
    pub since: Option<Timestamp>,
}

/// What an update of the endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointUpdate {
    /// Only the entries that changed.
    Changes,
    /// The complete list: engines that it omits are not ready.
    #[serde(rename = "Whole")]
    Complete,
    /// The complete list as last cached, possibly out of date.
    Remembered,
    /// A request for the list failed: the last list stays valid, and the request is retried later.
    Failed,
}

/// A load report of an engine. Figures that the engine does not report are absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of queries in progress on the engine.
    #[serde(rename = "in_hand")]
    pub queries_in_flight: Option<f64>,
    /// Number of queries on the engine that wait for memory.
    #[serde(rename = "waiting")]
    pub queries_waiting_for_memory: Option<f64>,
    /// Fraction of the engine's cores in use, 0 to 1.
    #[serde(rename = "busy")]
    pub busy_core_fraction: Option<f64>,
    /// Fraction of the engine's memory that is granted to queries, 0 to 1.
    #[serde(rename = "memory")]
    pub granted_memory_fraction: Option<f64>,
    /// Fraction of the engine's disks in use, 0 to 1.
    #[serde(rename = "disks")]
    pub busy_disk_fraction: Option<f64>,
}

/// Outcome of an attempt or a load probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The engine answered the request or the probe.
    #[serde(rename = "Delivered")]
    Succeeded,
    /// The engine responded with an error; the attempt may have executed.
    #[serde(rename = "Error")]
    EngineError,
    /// The engine rejected the attempt because it was at its limit; the attempt never executed.
    #[serde(rename = "Shed")]
    RejectedByEngine,
    /// The client's deadline passed without a response; the attempt may have executed or may still execute.
    /// Attempts have no timeout of their own: a stuck attempt is cancelled, and a retry may follow.
    #[serde(rename = "Expired")]
    TimedOut,
    /// No connection could be opened; the attempt never executed.
    #[serde(rename = "DialFailed")]
    ConnectFailed,
    /// The connection broke; the attempt may have executed.
    #[serde(rename = "Dropped")]
    ConnectionLost,
    /// The manager cancelled the attempt, which may have executed.
    #[serde(rename = "Revoked")]
    Cancelled,
    /// The attempt was never sent.
    #[serde(rename = "Unused")]
    NeverSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::RejectedByEngine | Outcome::ConnectFailed | Outcome::NeverSent)
    }
}

/// Resources that a query used, as reported in its answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueryCost {
    /// Work of the query in thread-seconds.
    pub work: f64,
    /// Memory that the query used, in MB.
    pub memory_mb: f64,
}

/// A progress note of an engine on a running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProgressNote {
    /// Approximate fraction of the query that is done, 0 to 1.
    Progress(f64),
    /// The query spills to disk because it lacks this much memory, in MB.
    Spills(f64),
    /// The query waits for memory.
    WaitsForMemory,
    /// The query waits for a load of its tables to end.
    WaitsForLoad,
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Id chosen by the caller, unique while the manager runs.
    pub id: RequestId,
    /// Class of the request: index in [`Settings::classes`](crate::Settings::classes).
    pub class: ClassId,
    /// Tenant of the client: index in [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: usize,
    /// Number of the group of tables that the request reads or writes.
    pub tables: u64,
    /// Time from now until the client stops waiting.
    pub time_left: TimeDelta,
    /// Estimated work in thread-seconds; `None` without an estimate.
    pub cost: Option<f64>,
    /// Estimated memory in MB; `None` without an estimate.
    pub memory_mb: Option<f64>,
    /// Idempotency key, for classes whose requests are ordered by key.
    pub key: Option<String>,
}

/// An event that the decision module responds to with actions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An update of the endpoint list.
    #[serde(rename = "List")]
    EndpointsChanged {
        /// What `entries` holds: the complete list, the list as last cached, only changes, or nothing because
        /// a request for the list failed.
        kind: EndpointUpdate,
        /// Entries of the engines that the update covers.
        entries: Vec<EngineEntry>,
    },
    /// A client's request arrived.
    #[serde(rename = "Arrived")]
    RequestArrived(Arrival),
    /// A streamed answer began: part of it has reached the client, so that the request is no longer retried.
    #[serde(rename = "Started")]
    ResponseStarted {
        /// Id of the request, as in its [`Arrival`].
        id: RequestId,
    },
    /// An engine sent a progress note on a running attempt.
    #[serde(rename = "Noted")]
    ProgressReported {
        /// Id of the request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
        /// Progress of the query, or the reason why it waits or spills.
        note: ProgressNote,
    },
    /// An attempt ended.
    #[serde(rename = "Ended")]
    AttemptEnded {
        /// Id of the request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
        /// Whether the engine answered the request, and otherwise why the attempt ended.
        outcome: Outcome,
        /// Time since the attempt was sent.
        latency: TimeDelta,
        /// Whether the request is over: its client has the response or has disconnected.
        complete: bool,
        /// Resources that the query used; `None` if the engine reported none.
        #[serde(rename = "bill")]
        query_cost: Option<QueryCost>,
        /// Load report that came with the answer; empty if there was none.
        report: LoadReport,
    },
    /// The client cancelled its request or disconnected.
    #[serde(rename = "GivenUp")]
    RequestAbandoned {
        /// Id of the request, as in its [`Arrival`].
        id: RequestId,
    },
    /// A timer is due.
    Timer {
        /// Token given in [`Action::StartTimer`](crate::Action::StartTimer).
        token: u64,
    },
    /// A load probe ended.
    #[serde(rename = "Probed")]
    ProbeCompleted {
        /// The engine that was probed.
        engine: EngineId,
        /// Whether the engine answered the probe, and otherwise why the probe failed.
        outcome: Outcome,
        /// Load report in the answer; empty if there was no answer.
        report: LoadReport,
    },
    /// A message from another manager was received.
    #[serde(rename = "Heard")]
    PeerMessageReceived {
        /// Number of the sending manager.
        from: u32,
        /// Message in the format of its sender; the module ignores it.
        message: Vec<u8>,
    },
    /// The fleet changed, by gossip: the number of managers that share budgets, and the retries that the
    /// other managers leave unused.
    #[serde(rename = "Fleet")]
    FleetChanged {
        /// Managers that share the capacity, this one included; in a hot restart each process counts.
        gateways: u32,
        /// Retries per window of the retry budget that the other managers leave to this one.
        #[serde(rename = "spare")]
        spare_retries: f64,
    },
    /// Zone failover changed the weights of the zones in engine selection. Indexed by zone number.
    #[serde(rename = "Zones")]
    ZoneWeightsChanged(Vec<f64>),
}
