//! Events: what a gateway reports to the decision module. Instants are whole microseconds on the caller's clock.

use crate::ids::*;
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
pub enum ListKind {
    /// Only what changed.
    Changes,
    /// The whole list.
    Whole,
    /// The list as last cached, possibly out of date.
    Remembered,
    /// A request for the list failed; the old one stays.
    Failed,
}

/// A load report. What an engine does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Queries in progress.
    pub in_hand: Option<f64>,
    /// Queries waiting for memory.
    pub waiting: Option<f64>,
    /// Fraction of the cores in use, 0 to 1.
    pub busy: Option<f64>,
    /// Fraction of the memory granted, 0 to 1.
    pub memory: Option<f64>,
    /// Fraction of the disks in use, 0 to 1.
    pub disks: Option<f64>,
}

/// How an attempt or a load probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Delivered,
    /// The engine responded with an error; the attempt may have executed.
    Error,
    /// Rejected by the engine at its limit; never executed.
    Shed,
    /// No response in time; it may have executed or still execute.
    Expired,
    /// No connection; never executed.
    DialFailed,
    /// The connection broke; it may have executed.
    Dropped,
    /// Cancelled; it may have executed.
    Revoked,
    /// Never sent.
    Unused,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Shed | Outcome::DialFailed | Outcome::Unused)
    }
}

/// Resources that a query used, as reported in its answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bill {
    /// Work in thread-seconds.
    pub work: f64,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// A note on a running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Note {
    /// Fraction done, roughly, 0 to 1.
    Progress(f64),
    /// It spills to disk for want of so many MB.
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
    List {
        /// What kind of update.
        kind: ListKind,
        /// Its entries.
        entries: Vec<EngineEntry>,
    },
    /// A client's request came in.
    Arrived(Arrival),
    /// A streamed answer began: it has reached the client, so that nothing is retried from here on.
    Started {
        /// The request.
        id: RequestId,
    },
    /// A note on a running attempt.
    Noted {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The note.
        note: Note,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: TimeDelta,
        /// The client has its response.
        complete: bool,
        /// The resources it used, where reported.
        bill: Option<Bill>,
        /// The engine's load report.
        report: Report,
    },
    /// The client cancelled or disconnected.
    GivenUp {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
    /// A load probe ended.
    Probed {
        /// The engine.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Its load report.
        report: Report,
    },
    /// Another gateway's message.
    Heard {
        /// Its number.
        from: u32,
        /// The message.
        message: Vec<u8>,
    },
    /// The fleet as gossip has it: how many gateways share budgets, and the retries that the others leave over.
    Fleet {
        /// Gateways, this one included.
        gateways: u32,
        /// Retries left over by others.
        spare: f64,
    },
    /// Zone failover: the zones' weights in the draw, by number.
    Zones(Vec<f64>),
}
