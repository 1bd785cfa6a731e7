//! Codec of the simulator's line protocol: decodes lines of tab-separated fields to events, and encodes
//! actions as lines. Most lines concern an instance: one simulated manager, which is a policy with its own
//! settings.
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
    /// The engine's name on the wire.
    pub name: String,
    /// The rest of the entry; its engine number is a placeholder.
    pub entry: EngineEntry,
}

/// One line of a batch.
#[derive(Clone, Debug)]
pub enum Line {
    /// A batch begins.
    BatchBegin {
        /// The simulated time at which the events of the batch occur.
        now: Timestamp,
        /// The batch's number, which the reply repeats.
        batch: String,
    },
    /// A batch ends.
    BatchEnd,
    /// An engine list begins.
    ListBegin {
        /// Number of the list, by which later lines refer to it.
        list: usize,
        /// Number of entries that follow.
        entries: usize,
    },
    /// An entry of the list that began last.
    ListEntry(ListedEngine),
    /// An instance starts.
    Start {
        /// Name of the new instance.
        instance: String,
        /// Seed of the instance's random numbers.
        seed: u64,
        /// Settings of the instance's policy.
        settings: Box<Settings>,
    },
    /// An instance ends.
    Stop {
        /// Name of the instance that ends.
        instance: String,
    },
    /// An instance receives an update of the endpoint list.
    EndpointsChanged {
        /// Name of the instance that receives the update.
        instance: String,
        /// Whether the update is a complete list, the last cached list, a list of changes, or a failure.
        kind: EndpointUpdate,
        /// Number of the engine list that holds the entries; 0 if the update has failed.
        list: usize,
    },
    /// A load probe that an instance sent has ended.
    ProbeCompleted {
        /// Name of the instance that sent the probe.
        instance: String,
        /// Name of the engine that was probed.
        engine: String,
        /// How the probe ended: the engine answered it, or the reason why there is no answer.
        outcome: Outcome,
        /// The engine's load report; empty if the line has none.
        report: LoadReport,
    },
    /// An event of an instance that needs no translation of engine names.
    Event {
        /// Name of the instance.
        instance: String,
        /// The event, as the policy takes it.
        event: Event,
    },
}
