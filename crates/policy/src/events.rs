//! What a gateway tells the module. Times are whole microseconds on the caller's clock.

use crate::ids::*;
use serde::{Deserialize, Serialize};
use sprucelink_time::{TimeDelta, Timestamp};

/// What the engine list says of one engine's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineState {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One entry of the engine list.
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
    /// When it last started, if that was lately.
    pub since: Option<Timestamp>,
}

/// What kind of list came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListKind {
    /// Only what changed.
    Changes,
    /// The whole list.
    Whole,
    /// The list as last held, possibly out of date.
    Remembered,
    /// A call to the list failed; the old one stays.
    Failed,
}

/// A load report. What an engine does not tell is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Queries in hand.
    pub in_hand: Option<f64>,
    /// Queries waiting for memory.
    pub waiting: Option<f64>,
    /// Share of the cores in use.
    pub busy: Option<f64>,
    /// Share of the memory granted.
    pub memory: Option<f64>,
    /// Share of the disks in use.
    pub disks: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Delivered,
    /// The engine answered with an error; it may have run.
    Error,
    /// Turned away unseen; never ran.
    Shed,
    /// No reply in time; it may have run or still run.
    Expired,
    /// No connection; never ran.
    DialFailed,
    /// The connection broke; it may have run.
    Dropped,
    /// Cancelled; it may have run.
    Revoked,
    /// Never sent.
    Unused,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Shed | Outcome::DialFailed | Outcome::Unused)
    }
}

/// What an answer told of the query's needs.
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
    /// Share done, roughly.
    Progress(f64),
    /// It spills to disk for want of so many MB.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load to end.
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
    /// How long its client still waits.
    pub time_left: TimeDelta,
    /// Estimated work in thread-seconds.
    pub cost: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// Its key, for classes that keep order.
    pub key: Option<String>,
}

/// What a gateway tells the module.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// News of the engine list.
    List {
        /// What kind of list.
        kind: ListKind,
        /// Its entries.
        entries: Vec<EngineEntry>,
    },
    /// A client's request came in.
    Arrived(Arrival),
    /// A streamed answer began: the attempt is the client's from here on.
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
        /// The request is finished.
        complete: bool,
        /// What it needed, where told.
        bill: Option<Bill>,
        /// The engine's load report.
        report: Report,
    },
    /// The client gave up.
    GivenUp {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    Timer {
        /// The token it was set with.
        token: u64,
    },
    /// A probe ended.
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
    /// News of the fleet, where gateways keep a view of it: among how many it parts what it shares, and what
    /// the others leave of their further attempts.
    Fleet {
        /// Gateways, this one included.
        gateways: u32,
        /// Further attempts.
        spare: f64,
    },
    /// News of failover between zones: their weights in the draw, by number.
    Zones(Vec<f64>),
}
