//! The events of a history. Each is one JSON object on a line of its own: `at_us`, `kind`, and the fields of that kind.
//! The words of the JSON form are older than the names of the variants; stored histories are read by them.

use crate::cursor::Cursor;
use serde::{Deserialize, Serialize};

/// An event and when it was observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Microseconds since the start of the run, on the harness's one monotonic clock.
    pub at_us: u64,
    /// What was observed.
    #[serde(flatten)]
    pub event: Event,
}

/// A manager or an engine, with the zone and pool by which disruption budgets count it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMember {
    /// Its name.
    pub name: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its pool.
    #[serde(default)]
    pub pool: String,
}

/// Who caused a process to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The process itself: on purpose with status 0 or [`EXIT_STATUS_NEXT_VERSION`], else by a fault of its own.
    Own,
    /// The nemesis killed it or asked it to exit.
    Nemesis,
}

/// Exit status by which a process asks its supervisor to start the version that its folder names.
pub const EXIT_STATUS_NEXT_VERSION: i32 = 75;

/// Something observed from outside the processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Event {
    /// The first entry: identifies the run.
    #[serde(rename = "run")]
    RunStarted {
        /// Name of the scenario.
        scenario: String,
        /// Seed of the run.
        seed: u64,
        /// All managers.
        managers: Vec<FleetMember>,
        /// The engines at the start.
        engines: Vec<FleetMember>,
    },
    /// An engine was added later.
    #[serde(rename = "engine")]
    EngineAdded(FleetMember),
    /// A process was started.
    #[serde(rename = "start")]
    Started {
        /// Name of the process.
        process: String,
        /// The version it was started as.
        version: String,
        /// Offset of its clock from the harness's, in milliseconds.
        clock_offset_ms: i64,
        /// Whether its folder was emptied first.
        emptied: bool,
    },
    /// A process has begun to serve.
    #[serde(rename = "up")]
    Ready {
        /// Name of the process.
        process: String,
    },
    /// A process has exited.
    #[serde(rename = "exit")]
    Exited {
        /// Name of the process.
        process: String,
        /// Its exit status; `None` if a signal ended it.
        status: Option<i32>,
        /// The signal that ended it.
        signal: Option<i32>,
        /// Who caused the exit.
        cause: ExitCause,
        /// The version that it asked to be started as.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        next: Option<String>,
    },
    /// A process was suspended (SIGSTOP).
    #[serde(rename = "stop")]
    Suspended {
        /// Name of the process.
        process: String,
    },
    /// A process was resumed (SIGCONT).
    #[serde(rename = "cont")]
    Resumed {
        /// Name of the process.
        process: String,
    },
    /// A process reached an armed failpoint and blocks there.
    #[serde(rename = "point")]
    FailpointHit {
        /// Name of the process.
        process: String,
        /// Name of the failpoint.
        point: String,
    },
    /// The nemesis acted. This alone changes nothing in a check.
    #[serde(rename = "act")]
    NemesisAction {
        /// The action, as the scenario words it.
        act: String,
        /// Its targets.
        on: Vec<String>,
    },
    /// From now on the nemesis keeps these engines from serving: an unplanned outage.
    #[serde(rename = "struck")]
    FaultBegan {
        /// The engines.
        on: Vec<String>,
    },
    /// The nemesis no longer keeps these engines from serving.
    #[serde(rename = "lifted")]
    FaultEnded {
        /// The engines.
        on: Vec<String>,
    },
    /// A connection to an engine was opened.
    #[serde(rename = "dial")]
    Connected {
        /// The engine.
        engine: String,
        /// Number of the connection at this engine.
        connection: u64,
    },
    /// A command reached an engine.
    Command {
        /// The engine.
        engine: String,
        /// The connection that carried it.
        connection: u64,
        /// Its first word.
        word: String,
        /// The manager that sent it, where the command names one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        manager: Option<String>,
    },
    /// A connection to an engine was closed.
    #[serde(rename = "hangup")]
    Disconnected {
        /// The engine.
        engine: String,
        /// Number of the connection at this engine.
        connection: u64,
    },
    /// A discovery service received a request for the endpoint list.
    ListCall {
        /// The group whose service it is.
        service: String,
        /// The request's `Last-Event-ID`, verbatim.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cursor: Option<String>,
        /// `serving`, `refusing` or `stalling`.
        answer: String,
    },
    /// A subscriber connected to a manager.
    #[serde(rename = "join")]
    SubscriberConnected {
        /// The subscriber.
        subscriber: String,
        /// The manager.
        manager: String,
        /// The cursor it resumed from; `None` the very first time.
        cursor: Option<Cursor>,
        /// The protocol version it speaks.
        version: String,
        /// Its filter; empty if it reads all records.
        #[serde(default)]
        filter: String,
    },
    /// A subscriber read a record.
    Record {
        /// The subscriber.
        subscriber: String,
        /// The manager that sent it.
        manager: String,
        /// The record's position.
        cursor: Cursor,
        /// Position of the record before it that passes the subscriber's filter, as the manager claims.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        prev: Option<Cursor>,
        /// The record's name.
        #[serde(default)]
        name: String,
        /// Digest of its content without `prev`.
        digest: String,
        /// Its data, truncated at the recorder's bound.
        #[serde(default)]
        data: String,
        /// The operation it carries out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        op: Option<String>,
        /// Why the subscriber could not decode it by the rules of its version, if so.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        unreadable: Option<String>,
    },
    /// A subscriber received a snapshot, marked as such, in place of the records up to a position.
    Snapshot {
        /// The subscriber.
        subscriber: String,
        /// The manager that sent it.
        manager: String,
        /// The last position that the snapshot covers.
        cursor: Cursor,
        /// Digest of its content.
        digest: String,
    },
    /// A subscriber's connection was closed or could not be opened.
    #[serde(rename = "left")]
    SubscriberDisconnected {
        /// The subscriber.
        subscriber: String,
        /// The manager.
        manager: String,
        /// The reason.
        why: String,
    },
    /// A manager's log, read from outside, holds a record at a position.
    #[serde(rename = "held")]
    JournalRecord {
        /// The manager.
        manager: String,
        /// The position.
        cursor: Cursor,
        /// Digest of the content, as in [`Event::Record`] of version "".
        digest: String,
        /// The operation it carries out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        op: Option<String>,
    },
    /// An operation was acknowledged to its caller.
    #[serde(rename = "ack")]
    Acknowledged {
        /// The operation.
        op: String,
        /// The position returned with the acknowledgement.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cursor: Option<Cursor>,
    },
    /// A halt of a release was observed as committed.
    #[serde(rename = "halt")]
    Halted {
        /// Its id; a second halt with the same id while it is in force changes nothing.
        id: String,
        /// The version whose release is halted; `None`: all releases and all drains.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<String>,
    },
    /// A halt is no longer in force.
    #[serde(rename = "halt_over")]
    HaltLifted {
        /// Its id.
        id: String,
    },
    /// From now on a schema is in force that these subscriber versions can read.
    #[serde(rename = "schema")]
    SchemaActivated {
        /// The publisher.
        publisher: String,
        /// Versions of subscribers that can read it.
        reads: Vec<String>,
    },
}
