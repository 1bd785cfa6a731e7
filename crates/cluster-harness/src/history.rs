//! The history of a run: what processes did as seen from outside, one event per JSON line, timed by the
//! harness's clock. The file has a maximum size. An event beyond it is not written and the run fails, since
//! an incomplete history can't be checked.

use sprucelink_history_checker::event::{Event, HistoryEntry};
use sprucelink_history_checker::read::parse_history;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use thiserror::Error;

/// Why a history cannot be used.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// A line of the file is not a valid entry.
    #[error("{}: {}", path.display(), error_chain(source))]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// The line and what is wrong with it.
        source: sprucelink_history_checker::read::HistoryError,
    },
    /// Recording stopped before the run did.
    #[error("incomplete history: {0}")]
    Incomplete(#[source] RecordingStopped),
}

/// Why recording stopped.
#[derive(Debug, Error)]
pub enum RecordingStopped {
    /// An entry could not be encoded.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// The file has reached its maximum size.
    #[error("the file is full (history.most_mb)")]
    Full,
    /// The file could not be written.
    #[error("{0}")]
    Write(#[source] std::io::Error),
    /// The history was ended before the event.
    #[error("the history has ended")]
    Ended,
}

/// Name of the history's file in a run's folder.
pub const NAME: &str = "history.jsonl";
/// Size of the write buffer, in bytes.
const BUFFER_BYTES: usize = 1 << 20;
/// Maximum length of a record's data in the history, in bytes. The data is for human readers; the checker
/// compares the digest.
pub const MAX_DATA_BYTES: usize = 1_024;

struct RecorderState {
    file: BufWriter<File>,
    start: Instant,
    remaining_bytes: u64,
    /// Why recording stopped, if it has.
    stopped: Option<RecordingStopped>,
}

/// The recorder of a history, shared by the harness and its stand-ins. The default recorder discards all
/// events.
#[derive(Clone, Default)]
pub struct Recorder {
    inner: Option<Arc<Mutex<RecorderState>>>,
    engines: bool,
}

impl Recorder {
    /// Creates the file [`NAME`] in `dir`, of at most `max_bytes` bytes, with times since `start`. With
    /// `engines` it contains the connections and commands at engines, too.
    ///
    /// # Errors
    /// If the file can't be created.
    pub fn start(dir: &Path, start: Instant, max_bytes: u64, engines: bool) -> std::io::Result<Recorder> {
        let file = BufWriter::with_capacity(BUFFER_BYTES, File::create(dir.join(NAME))?);
        let inner = RecorderState { file, start, remaining_bytes: max_bytes, stopped: None };
        Ok(Recorder { inner: Some(Arc::new(Mutex::new(inner))), engines })
    }

    /// Whether events are recorded, rather than discarded.
    pub fn is_enabled(&self) -> bool {
        self.inner.is_some()
    }

    /// Records an event with the current time; the times of the lines ascend.
    pub fn record(&self, event: Event) {
        let Some(inner) = &self.inner else { return };
        let mut state = inner.lock().unwrap_or_else(PoisonError::into_inner);
        if state.stopped.is_some() {
            return;
        }
        // The cast doesn't truncate for half a million years.
        let at_us = state.start.elapsed().as_micros() as u64;
        let line = serde_json::to_string(&HistoryEntry { at_us, event }).map_err(RecordingStopped::Encode);
        let written = line.and_then(|line| {
            let needed = line.len() as u64 + 1;
            let remaining = state.remaining_bytes.checked_sub(needed).ok_or(RecordingStopped::Full)?;
            state.remaining_bytes = remaining;
            state
                .file
                .write_all(line.as_bytes())
                .and_then(|()| state.file.write_all(b"\n"))
                .map_err(RecordingStopped::Write)
        });
        state.stopped = written.err();
    }

    /// Records an event at an engine, if the history contains events at engines.
    pub fn record_engine(&self, event: impl FnOnce() -> Event) {
        if self.engines && self.is_enabled() {
            self.record(event());
        }
    }

    /// Ends the history: writes its lines to the file, and discards later events.
    ///
    /// # Errors
    /// If recording stopped before, or the file could not be written.
    pub fn end(&self) -> Result<(), HistoryError> {
        let Some(inner) = &self.inner else { return Ok(()) };
        let mut state = inner.lock().unwrap_or_else(PoisonError::into_inner);
        let flushed = state.file.flush().map_err(RecordingStopped::Write);
        match state.stopped.replace(RecordingStopped::Ended) {
            Some(reason) => Err(HistoryError::Incomplete(reason)),
            None => flushed.map_err(HistoryError::Incomplete),
        }
    }
}

/// An error and its sources in one line, separated by colons.
fn error_chain(error: &dyn std::error::Error) -> String {
    let sources = std::iter::successors(error.source(), |source| source.source());
    sources.fold(error.to_string(), |chain, source| format!("{chain}: {source}"))
}

/// Reads a history from its file.
///
/// # Errors
/// If the file can't be read, or one of its lines is not a valid entry.
pub fn read(path: &Path) -> Result<Vec<HistoryEntry>, HistoryError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| HistoryError::Read { path: path.to_owned(), source })?;
    parse_history(text.lines()).map_err(|source| HistoryError::Parse { path: path.to_owned(), source })
}

#[cfg(test)]
mod tests;
