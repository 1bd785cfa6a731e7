//! The simulator's wire: lines of tab-separated fields to events, and actions to lines.
//!
//! Here the wire's [`names`] become standard terms, and go no deeper. Unknown settings, load report values and engine
//! states are skipped; a malformed line is an error that names the field. [`parse`] reads lines by their [`fields`],
//! [`print`](mod@print) writes actions.

mod error;
mod fields;
mod names;
mod parse;
mod print;

pub use error::{FieldError, WireError};
pub use parse::parse_line;
pub use print::{print_action, print_batch_end, print_panic};

use sprucelink_policy::{EndpointUpdate, EngineEntry, Event, LoadReport, Outcome, Settings, Timestamp};

/// An entry of an engine list, its engine still by name.
#[derive(Clone, Debug)]
pub struct ListedEngine {
    /// The engine's name.
    pub name: String,
    /// The rest of the entry; its engine number is not set yet.
    pub entry: EngineEntry,
}

/// One line of a batch.
#[derive(Clone, Debug)]
pub enum Line {
    /// A batch begins.
    Clock {
        /// The simulated time.
        now: Timestamp,
        /// The batch's number, as the reply repeats it.
        batch: String,
    },
    /// A batch ends.
    Commit,
    /// An engine list begins.
    ListBegin {
        /// Its number.
        list: usize,
        /// How many entries follow.
        entries: usize,
    },
    /// An entry of the list that began last.
    ListEntry(ListedEngine),
    /// An instance starts.
    Start {
        /// Its name.
        instance: String,
        /// Its seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance ends.
    Stop {
        /// Its name.
        instance: String,
    },
    /// An instance is given an endpoint list.
    Members {
        /// The instance.
        instance: String,
        /// How the list came.
        kind: EndpointUpdate,
        /// The list's number.
        list: usize,
    },
    /// A load probe of an instance ended.
    Probed {
        /// The instance.
        instance: String,
        /// The engine's name.
        engine: String,
        /// How the probe ended.
        outcome: Outcome,
        /// What the engine reported.
        report: LoadReport,
    },
    /// Any other event of an instance.
    Event {
        /// The instance.
        instance: String,
        /// The event.
        event: Event,
    },
}
