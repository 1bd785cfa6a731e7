//! Reads a history from its lines.

use crate::event::HistoryEntry;
use thiserror::Error;

/// Most entries of a history that is checked.
pub const MAX_ENTRIES: usize = 5_000_000;

/// Why a text is not a history.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// It is too long.
    #[error("a history of over {MAX_ENTRIES} lines is not checked")]
    TooLong,
    /// A line is not an event.
    #[error("line {line} is not an event")]
    Malformed {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A line is earlier than the one above it.
    #[error("line {line}: {at_us} us is before the line above, {previous_us} us")]
    OutOfOrder {
        /// Number of the line, from 1.
        line: usize,
        /// Its time, in microseconds of the run.
        at_us: u64,
        /// The time of the line above.
        previous_us: u64,
    },
}

/// Parses a history: one event a line, in the order of their times.
///
/// # Errors
/// The first line that is malformed or out of order, or that the history is too long.
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
