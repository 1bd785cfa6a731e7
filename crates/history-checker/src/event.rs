//! The events of a history. Each is one line with a JSON object: `at_us`, `kind`, and the fields of that
//! kind. The names in JSON differ from those of the variants and must not change, because stored histories
//! use them.

use crate::cursor::Cursor;
use serde::{Deserialize, Serialize};

/// An event and the time at which it was observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Time since the start of the run, in microseconds on the harness's monotonic clock.
    pub at_us: u64,
    /// The observed event.
    #[serde(flatten)]
    pub event: Event,
}

/// A manager or an engine, with the zone and pool by which disruption budgets count its outages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMember {
    /// Name of the member, unique in the run.
    pub name: String,
    /// Zone of the member; empty if it has none.
    #[serde(default)]
    pub zone: String,
    /// Pool of the member; empty if it has none.
    #[serde(default)]
    pub pool: String,
}

/// Cause of a process's exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The process exited by itself: intentionally with status 0 or [`EXIT_STATUS_NEXT_VERSION`], otherwise
    /// by its own fault.
    Own,
    /// The nemesis (the harness's fault injector) killed the process or requested its exit.
    Nemesis,
}

/// Exit status by which a process requests its supervisor to start the version named in the process's folder.
pub const EXIT_STATUS_NEXT_VERSION: i32 = 75;

/// An event observed from outside the processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Event {
    /// The first entry: identifies the run.
    #[serde(rename = "run")]
    RunStarted {
        /// Name of the scenario.
        scenario: String,
        /// Seed of the run's randomness.
        seed: u64,
        /// All managers of the run.
        managers: Vec<FleetMember>,
        /// Engines at the start of the run.
        engines: Vec<FleetMember>,
    },
    /// An engine was added during the run.
    #[serde(rename = "engine")]
    EngineAdded(FleetMember),
    /// A process was started.
    #[serde(rename = "start")]
    Started {
        /// Name of the process.
        process: String,
        /// Version of the program under which the process was started.
        version: String,
        /// Offset of the process's clock from the harness's, in milliseconds.
        clock_offset_ms: i64,
        /// Whether the process's folder was emptied before the start.
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
        /// Exit status; `None` if a signal ended the process.
        status: Option<i32>,
        /// Signal that ended the process; `None` if it exited.
        signal: Option<i32>,
        /// Cause of the exit.
        cause: ExitCause,
        /// Version under which the process requested to be started again; `None` if it requested none.
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
    /// The nemesis performed an action. This event alone does not affect any check.
    #[serde(rename = "act")]
    NemesisAction {
        /// The action as written in the scenario.
        act: String,
        /// Targets of the action.
        on: Vec<String>,
    },
    /// The nemesis began to prevent engines from serving: an unplanned outage of each.
    #[serde(rename = "struck")]
    FaultBegan {
        /// Names of the engines.
        on: Vec<String>,
    },
    /// The nemesis stopped preventing engines from serving.
    #[serde(rename = "lifted")]
    FaultEnded {
        /// Names of the engines.
        on: Vec<String>,
    },
    /// A connection to an engine was opened.
    #[serde(rename = "dial")]
    Connected {
        /// Name of the engine.
        engine: String,
        /// Number that identifies the connection among those of this engine.
        connection: u64,
    },
    /// A command reached an engine.
    Command {
        /// Name of the engine.
        engine: String,
        /// Number that identifies, among those of this engine, the connection that carried the command.
        connection: u64,
        /// First word of the command.
        word: String,
        /// Name of the manager that sent the command; `None` if the command does not name it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        manager: Option<String>,
    },
    /// A connection to an engine was closed.
    #[serde(rename = "hangup")]
    Disconnected {
        /// Name of the engine.
        engine: String,
        /// Number that identifies the connection among those of this engine.
        connection: u64,
    },
    /// A discovery service received a request for the endpoint list.
    ListCall {
        /// Group to which the service belongs.
        service: String,
        /// `Last-Event-ID` of the request, verbatim.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cursor: Option<String>,
        /// Kind of the answer: `serving`, `refusing` or `stalling`.
        answer: String,
    },
    /// A subscriber connected to a manager.
    #[serde(rename = "join")]
    SubscriberConnected {
        /// Name of the subscriber.
        subscriber: String,
        /// Name of the manager.
        manager: String,
        /// Cursor from which the subscriber resumed; `None` at its first connection.
        cursor: Option<Cursor>,
        /// Protocol version of the subscriber.
        version: String,
        /// Filter of the subscriber; empty if it reads all records.
        #[serde(default)]
        filter: String,
    },
    /// A subscriber read a record.
    Record {
        /// Name of the subscriber.
        subscriber: String,
        /// Name of the manager that sent the record.
        manager: String,
        /// Position of the record.
        cursor: Cursor,
        /// Position of the previous record that passes the subscriber's filter, according to the manager.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        prev: Option<Cursor>,
        /// Name of the record.
        #[serde(default)]
        name: String,
        /// Digest of the record's content without `prev`.
        digest: String,
        /// Data of the record, truncated at the recorder's limit.
        #[serde(default)]
        data: String,
        /// Id of the operation that the record carries out; `None` if it carries out none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        op: Option<String>,
        /// Reason why the subscriber could not decode the record by the rules of its version; `None` if it
        /// could.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        unreadable: Option<String>,
    },
    /// A subscriber received a snapshot, marked as such, instead of the records up to a position.
    Snapshot {
        /// Name of the subscriber.
        subscriber: String,
        /// Name of the manager that sent the snapshot.
        manager: String,
        /// Last position that the snapshot covers.
        cursor: Cursor,
        /// Digest of the snapshot's content.
        digest: String,
    },
    /// A subscriber's connection was closed or could not be opened.
    #[serde(rename = "left")]
    SubscriberDisconnected {
        /// Name of the subscriber.
        subscriber: String,
        /// Name of the manager.
        manager: String,
        /// Reason for the disconnection.
        why: String,
    },
    /// A manager's log, read from outside, contains a record at a position.
    #[serde(rename = "held")]
    JournalRecord {
        /// Name of the manager.
        manager: String,
        /// Position of the record.
        cursor: Cursor,
        /// Digest of the record's content, as in [`Event::Record`] for version "".
        digest: String,
        /// Id of the operation that the record carries out; `None` if it carries out none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        op: Option<String>,
    },
    /// An operation was acknowledged to its caller.
    #[serde(rename = "ack")]
    Acknowledged {
        /// Id of the operation.
        op: String,
        /// Position returned with the acknowledgement; `None` if none was returned.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cursor: Option<Cursor>,
    },
    /// A halt of a release was observed as committed.
    #[serde(rename = "halt")]
    Halted {
        /// Id of the halt; a second halt with the same id has no effect while the first is in force.
        id: String,
        /// Version whose release is halted; `None` halts all releases and all drains.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<String>,
    },
    /// A halt is no longer in force.
    #[serde(rename = "halt_over")]
    HaltLifted {
        /// Id of the halt.
        id: String,
    },
    /// A schema came into force that the given subscriber versions can read.
    #[serde(rename = "schema")]
    SchemaActivated {
        /// Publisher of the schema.
        publisher: String,
        /// Versions of subscribers that can read the schema.
        reads: Vec<String>,
    },
}
