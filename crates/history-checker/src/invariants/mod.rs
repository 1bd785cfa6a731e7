//! The invariants, one module each. An invariant is applied to a complete history and reports its violations.

pub mod acknowledged;
pub mod agreement;
pub mod budget;
pub mod halt;
pub mod order;
pub mod schema;
mod subscribers;
pub mod uncommitted;

use crate::config::CheckConfig;
use crate::event::HistoryEntry;
use crate::InvariantReport;

/// The function that checks one invariant.
pub type CheckFn = fn(&[HistoryEntry], &CheckConfig) -> InvariantReport;

/// All invariants, by their stable names.
pub const ALL: [(&str, CheckFn); 7] = [
    (agreement::NAME, agreement::check),
    (budget::NAME, budget::check),
    (halt::NAME, halt::check),
    (schema::NAME, schema::check),
    (order::NAME, order::check),
    (uncommitted::NAME, uncommitted::check),
    (acknowledged::NAME, acknowledged::check),
];

/// Names of all invariants, in the order of [`ALL`].
pub const NAMES: [&str; 7] = [
    agreement::NAME,
    budget::NAME,
    halt::NAME,
    schema::NAME,
    order::NAME,
    uncommitted::NAME,
    acknowledged::NAME,
];
