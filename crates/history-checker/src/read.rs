//! Parsing of a history from its lines.

use crate::event::HistoryEntry;
use thiserror::Error;

/// Maximum number of entries in a history.
pub const MAX_ENTRIES: usize = 5_000_000;

/// Reason why a text is not a valid history.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The history has more than [`MAX_ENTRIES`] lines.
    #[error("the history is too long: expected at most {MAX_ENTRIES} lines")]
    TooLong,
    /// A line is not an event.
    #[error("line {line} is not an event")]
    Malformed {
        /// Number of the line, from 1.
        line: usize,
        /// Error of parsing the line.
        source: serde_json::Error,
    },
    /// The time of a line is before that of the previous line.
    #[error("line {line}: {at_us} us is before the time of the previous line, {previous_us} us")]
    OutOfOrder {
        /// Number of the line, from 1.
        line: usize,
        /// Time of the line, in microseconds of the run.
        at_us: u64,
        /// Time of the previous line, in microseconds of the run.
        previous_us: u64,
    },
}

/// Parses a history: one event per line, in the order of their times.
///
/// # Errors
/// The first line that is malformed or out of order, or the history is too long.
pub fn parse_history<'a>(
    lines: impl IntoIterator<Item = &'a str>,
) -> Result<Vec<HistoryEntry>, HistoryError> {
    let mut entries = Vec::new();
    let mut previous_us = 0;
    for (index, text) in lines.into_iter().enumerate() {
        if index >= MAX_ENTRIES {
            return Err(HistoryError::TooLong);
        }
        let line = index + 1;
        let entry: HistoryEntry =
            serde_json::from_str(text).map_err(|source| HistoryError::Malformed { line, source })?;
        let at_us = entry.at_us;
        if at_us < previous_us {
            return Err(HistoryError::OutOfOrder { line, at_us, previous_us });
        }
        previous_us = at_us;
        entries.push(entry);
    }
    Ok(entries)
}
