//! Codec of the simulator's line protocol: decodes lines of tab-separated fields to events, and encodes
//! actions as lines.
//!
//! The wire's [`names`] are translated to standard terms and are not used outside this codec. Unknown
//! settings, load report values and engine states are skipped; a malformed line is an error that names the
//! field. [`parse`] reads lines by their [`fields`], [`print`](mod@print) writes actions.

mod error;
mod fields;
mod names;
mod parse;
mod print;

pub use error::{FieldError, WireError};
pub use parse::parse_line;
pub use print::{print_action, print_batch_end, print_panic};

use sprucelink_policy::{EndpointUpdate, EngineEntry, Event, LoadReport, Outcome, Settings, Timestamp};

/// An entry of an engine list, with the engine's name instead of its number.
#[derive(Clone, Debug)]
pub struct ListedEngine {
    /// The engine's name.
    pub name: String,
    /// The rest of the entry; its engine number is a placeholder.
    pub entry: EngineEntry,
}

/// One line of a batch.
#[derive(Clone, Debug)]
pub enum Line {
    /// A batch begins.
    BatchBegin {
        /// The simulated time.
        now: Timestamp,
        /// The batch's number, which the reply repeats.
        batch: String,
    },
    /// A batch ends.
    BatchEnd,
    /// An engine list begins.
    ListBegin {
        /// Number of the list.
        list: usize,
        /// How many entries follow.
        entries: usize,
    },
    /// An entry of the list that began last.
    ListEntry(ListedEngine),
    /// An instance starts.
    Start {
        /// The instance's name.
        instance: String,
        /// Seed of the instance's random numbers.
        seed: u64,
        /// The instance's settings.
        settings: Box<Settings>,
    },
    /// An instance ends.
    Stop {
        /// The instance's name.
        instance: String,
    },
    /// An instance receives an update of the endpoint list.
    EndpointsChanged {
        /// The instance's name.
        instance: String,
        /// Kind of the update.
        kind: EndpointUpdate,
        /// Number of the engine list; 0 if the update has failed.
        list: usize,
    },
    /// A load probe of an instance ended.
    ProbeCompleted {
        /// The instance's name.
        instance: String,
        /// The engine's name.
        engine: String,
        /// Outcome of the probe.
        outcome: Outcome,
        /// The engine's load report.
        report: LoadReport,
    },
    /// Any other event of an instance.
    Event {
        /// The instance's name.
        instance: String,
        /// The event.
        event: Event,
    },
}
