//! Events: what a manager reports to the decision module. Instants are on the caller's clock.

use crate::ids::{ClassId, EngineId, RequestId};
use serde::{Deserialize, Serialize};
use sprucelink_time::{TimeDelta, Timestamp};

/// An engine's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no others.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineEntry {
    /// Which engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EngineState,
    /// When its process started, if that was recently.
    pub since: Option<Timestamp>,
}

/// What kind of update of the endpoint list came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointUpdate {
    /// Only what changed.
    Changes,
    /// The complete list.
    #[serde(rename = "Whole")]
    Complete,
    /// The list as last cached, possibly out of date.
    Remembered,
    /// A request for the list failed; the old one stays.
    Failed,
}

/// A load report. What an engine does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Queries in progress.
    #[serde(rename = "in_hand")]
    pub queries_in_flight: Option<f64>,
    /// Queries waiting for memory.
    #[serde(rename = "waiting")]
    pub queries_waiting_for_memory: Option<f64>,
    /// Fraction of the cores in use, 0 to 1.
    #[serde(rename = "busy")]
    pub busy_core_fraction: Option<f64>,
    /// Fraction of the memory granted, 0 to 1.
    #[serde(rename = "memory")]
    pub granted_memory_fraction: Option<f64>,
    /// Fraction of the disks in use, 0 to 1.
    #[serde(rename = "disks")]
    pub busy_disk_fraction: Option<f64>,
}

/// How an attempt or a load probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    #[serde(rename = "Delivered")]
    Succeeded,
    /// The engine responded with an error; the attempt may have executed.
    #[serde(rename = "Error")]
    EngineError,
    /// Rejected by the engine at its limit; never executed.
    #[serde(rename = "Shed")]
    RejectedByEngine,
    /// The client's deadline passed without a response; it may have executed or still execute. Attempts have
    /// no time-out of their own: one that is stuck is cancelled, and a retry may follow.
    #[serde(rename = "Expired")]
    TimedOut,
    /// No connection; never executed.
    #[serde(rename = "DialFailed")]
    ConnectFailed,
    /// The connection broke; it may have executed.
    #[serde(rename = "Dropped")]
    ConnectionLost,
    /// Cancelled; it may have executed.
    #[serde(rename = "Revoked")]
    Cancelled,
    /// Never sent.
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
    /// Work in thread-seconds.
    pub work: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// A note on a running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProgressNote {
    /// Fraction done, roughly, 0 to 1.
    Progress(f64),
    /// It spills to disk because it lacks this much memory, MB.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load on its tables to end.
    WaitsForLoad,
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: usize,
    /// The group of tables it reads or writes.
    pub tables: u64,
    /// How long its client will wait from now.
    pub time_left: TimeDelta,
    /// Estimated work in thread-seconds.
    pub cost: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// Its idempotency key, for classes that keep order.
    pub key: Option<String>,
}

/// An event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An update of the endpoint list.
    #[serde(rename = "List")]
    EndpointsChanged {
        /// What kind of update.
        kind: EndpointUpdate,
        /// Its entries.
        entries: Vec<EngineEntry>,
    },
    /// A client's request came in.
    #[serde(rename = "Arrived")]
    RequestArrived(Arrival),
    /// A streamed answer began: it has reached the client, so that nothing is retried from here on.
    #[serde(rename = "Started")]
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// A note on a running attempt.
    #[serde(rename = "Noted")]
    ProgressReported {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The note.
        note: ProgressNote,
    },
    /// An attempt ended.
    #[serde(rename = "Ended")]
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: TimeDelta,
        /// The request is over: its client has the response, or has gone.
        complete: bool,
        /// The resources it used, where reported.
        #[serde(rename = "bill")]
        query_cost: Option<QueryCost>,
        /// The engine's load report.
        report: LoadReport,
    },
    /// The client cancelled or disconnected.
    #[serde(rename = "GivenUp")]
    RequestAbandoned {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
    /// A load probe ended.
    #[serde(rename = "Probed")]
    ProbeCompleted {
        /// The engine.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Its load report.
        report: LoadReport,
    },
    /// Another manager's message.
    #[serde(rename = "Heard")]
    PeerMessageReceived {
        /// Its number.
        from: u32,
        /// The message.
        message: Vec<u8>,
    },
    /// The fleet as gossip has it: how many managers share budgets, and the retries that the others leave
    /// over.
    #[serde(rename = "Fleet")]
    FleetChanged {
        /// Managers that share the capacity, this one included; in a hot restart each process counts.
        gateways: u32,
        /// Retries left over by others.
        #[serde(rename = "spare")]
        spare_retries: f64,
    },
    /// Zone failover: the zones' weights in the draw, by number.
    #[serde(rename = "Zones")]
    ZoneWeightsChanged(Vec<f64>),
}
