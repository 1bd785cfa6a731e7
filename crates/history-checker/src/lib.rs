//! Checks whether a recorded run kept the invariants of the fleet's replicated log.
//!
//! The input is what processes *did* as seen from outside (starts, exits, connections, commands, records at subscribers),
//! not what they claim. The crate performs no I/O.
//!
//! - [`event`]: the events of a history, one JSON line each; [`read`] parses them;
//! - [`cursor`]: positions in the log, `EPOCH:INDEX`;
//! - [`config`]: disruption budgets and time bounds that a run is checked against;
//! - [`outages`]: which members were unavailable when, planned or not;
//! - [`invariants`]: one module for each invariant, with a stable name.
//!
//! A history cannot show what did not happen in it: [`CheckReport::examined`] counts what each invariant was applied to,
//! so that a run that passes because nothing happened is distinguishable from one that passes.

pub mod config;
pub mod cursor;
pub mod event;
pub mod invariants;
pub mod outages;
pub mod read;
mod report;

use config::CheckConfig;
use event::HistoryEntry;
pub use report::{CheckReport, InvariantReport, Violation, MAX_VIOLATIONS};

/// Checks a history against all invariants. Entries must be in the order of their times, as
/// [`read::parse_history`] returns them.
pub fn check(history: &[HistoryEntry], config: &CheckConfig) -> CheckReport {
    let reports = invariants::ALL.iter().map(|(name, check)| (*name, check(history, config)));
    CheckReport { invariants: reports.collect() }
}
