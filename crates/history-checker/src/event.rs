//! The events of a history. One JSON object a line: `at_us`, `kind`, and the fields of that kind.

use crate::cursor::Cursor;
use serde::{Deserialize, Serialize};

/// An event and when it was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Microseconds since the run's start by the rig's one monotonic clock.
    pub at_us: u64,
    /// What was seen.
    #[serde(flatten)]
    pub event: Event,
}

/// A manager or an engine, and where it belongs: budgets count by these.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Party {
    /// Its name.
    pub name: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its pool.
    #[serde(default)]
    pub pool: String,
}

/// Who brought a process's end about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The process ended by itself: with status 0 or [`NEXT_VERSION`] as it meant to, else by a fault of its own.
    Own,
    /// The nemesis ended it, or asked it to end.
    Nemesis,
}

/// The exit status with which a process asks its supervisor to start the version that its folder names.
pub const NEXT_VERSION: i32 = 75;

/// Something seen from outside.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Event {
    /// The run's first line: what it is.
    Run {
        /// The scenario's name.
        scenario: String,
        /// Its seed.
        seed: u64,
        /// All managers.
        managers: Vec<Party>,
        /// The engines at the start.
        engines: Vec<Party>,
    },
    /// An engine came later.
    Engine(Party),
    /// A process was started.
    Start {
        /// Its name.
        process: String,
        /// The version it was started as.
        version: String,
        /// Its clock's offset from the rig's, in milliseconds.
        clock_offset_ms: i64,
        /// Its folder was emptied first.
        emptied: bool,
    },
    /// A process serves.
    Up {
        /// Its name.
        process: String,
    },
    /// A process has ended.
    Exit {
        /// Its name.
        process: String,
        /// Its exit status; none if a signal ended it.
        status: Option<i32>,
        /// The signal that ended it.
        signal: Option<i32>,
        /// Who brought it about.
        cause: Cause,
        /// The version that it asked for.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        next: Option<String>,
    },
    /// A process was stopped (SIGSTOP).
    Stop {
        /// Its name.
        process: String,
    },
    /// A process goes on (SIGCONT).
    Cont {
        /// Its name.
        process: String,
    },
    /// A process came to a named point and waits there.
    Point {
        /// Its name.
        process: String,
        /// The point's.
        point: String,
    },
    /// The nemesis acted; of itself it changes nothing in a judgement.
    Act {
        /// What it did, as the scenario words it.
        act: String,
        /// On whom.
        on: Vec<String>,
    },
    /// From now on the nemesis keeps these engines from serving: an outage that nobody permitted.
    Struck {
        /// Engines.
        on: Vec<String>,
    },
    /// The nemesis no longer keeps these engines from serving.
    Lifted {
        /// Engines.
        on: Vec<String>,
    },
    /// A connection reached an engine.
    Dial {
        /// The engine.
        engine: String,
        /// The connection's number at this engine.
        connection: u64,
    },
    /// A command reached an engine.
    Command {
        /// The engine.
        engine: String,
        /// On which connection.
        connection: u64,
        /// Its word.
        word: String,
        /// Of which manager, where the command tells.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        manager: Option<String>,
    },
    /// A connection to an engine ended.
    Hangup {
        /// The engine.
        engine: String,
        /// The connection.
        connection: u64,
    },
    /// A call came to a list service.
    ListCall {
        /// The group whose service it is.
        service: String,
        /// The call's `Last-Event-ID`, as it stood there.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cursor: Option<String>,
        /// `serving`, `refusing` or `stalling`.
        answer: String,
    },
    /// A subscriber came to a manager.
    Join {
        /// The subscriber.
        subscriber: String,
        /// The manager.
        manager: String,
        /// The cursor it gave; none at its very first.
        cursor: Option<Cursor>,
        /// The protocol version it speaks.
        version: String,
        /// Its filter; empty: none.
        #[serde(default)]
        filter: String,
    },
    /// A subscriber read a record.
    Record {
        /// The subscriber.
        subscriber: String,
        /// From which manager.
        manager: String,
        /// The record's position.
        cursor: Cursor,
        /// The record before it that passes the subscriber's filter, as the manager says.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        prev: Option<Cursor>,
        /// The record's name.
        #[serde(default)]
        name: String,
        /// What stands for its content, `prev` left out.
        digest: String,
        /// Its data, cut at the recorder's bound.
        #[serde(default)]
        data: String,
        /// The operation it carries out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        op: Option<String>,
        /// Why the subscriber could not read it by its version's rules, if so.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        unreadable: Option<String>,
    },
    /// A subscriber was given a snapshot, marked as such, in place of the records up to a position.
    Snapshot {
        /// The subscriber.
        subscriber: String,
        /// From which manager.
        manager: String,
        /// The position up to which it stands.
        cursor: Cursor,
        /// What stands for its content.
        digest: String,
    },
    /// A subscriber's connection ended, or did not come up.
    Left {
        /// The subscriber.
        subscriber: String,
        /// The manager.
        manager: String,
        /// Why.
        why: String,
    },
    /// A manager holds a record at a position, as its journal read from outside shows.
    Held {
        /// The manager.
        manager: String,
        /// The position.
        cursor: Cursor,
        /// What stands for the content, as in [`Event::Record`] of version "".
        digest: String,
        /// The operation it carries out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        op: Option<String>,
    },
    /// An operation was acknowledged to whoever asked for it.
    Ack {
        /// The operation.
        op: String,
        /// The position told with it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cursor: Option<Cursor>,
    },
    /// A halt was seen committed.
    Halt {
        /// Its id; while a halt of this id is on, a second one changes nothing.
        id: String,
        /// The version whose release is halted; none: all of them, and all drains.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        version: Option<String>,
    },
    /// A halt is over.
    HaltOver {
        /// Its id.
        id: String,
    },
    /// From now on a schema is in force that these subscriber versions can read.
    Schema {
        /// The publisher.
        publisher: String,
        /// Versions of subscribers that can read it.
        reads: Vec<String>,
    },
}
