//! Checks whether a recorded run satisfies the invariants of the fleet's replicated log.
//!
//! The input is the behaviour of processes as observed from outside (starts, exits, connections, commands,
//! records at subscribers), not what the processes report about themselves. The crate performs no I/O.
//!
//! - [`event`]: the events of a history, one JSON object per line; [`read`] parses them;
//! - [`cursor`]: positions in the log, `EPOCH:INDEX`;
//! - [`config`]: the disruption budgets and time bounds that a run must satisfy;
//! - [`outages`]: the planned and unplanned outages of members;
//! - [`invariants`]: one module for each invariant, with a stable name.
//!
//! An invariant can only be checked for events that occurred in the run: [`CheckReport::examined`] counts the
//! cases to which each invariant was applied, so that a run that passes because nothing happened can be
//! distinguished from one that was really checked.

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
