//! The history of a run: what processes did, seen from outside, one JSON line each, timed by the rig's one clock. The
//! file has a bound; what would go beyond it is not written and the run fails for it, since a judgement of half a
//! history is none.

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
        /// The file.
        path: PathBuf,
        /// What the system answered.
        source: std::io::Error,
    },
    /// A line of the file is no entry of a history.
    #[error("{}: {}", path.display(), error_chain(source))]
    Parse {
        /// The file.
        path: PathBuf,
        /// The line and what is wrong with it.
        source: sprucelink_history_checker::read::HistoryError,
    },
    /// Recording stopped before the run did.
    #[error("the history was cut: {0}")]
    Incomplete(#[source] RecordingStopped),
}

/// Why nothing more is recorded.
#[derive(Debug, Error)]
pub enum RecordingStopped {
    /// An entry could not be encoded.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// The file has reached its bound.
    #[error("it is full (history.most_mb)")]
    Full,
    /// The file could not be written.
    #[error("{0}")]
    Write(#[source] std::io::Error),
    /// The history was ended.
    #[error("it has ended")]
    Ended,
}

/// The file's name in a run's folder.
pub const NAME: &str = "history.jsonl";
/// Size of the write buffer, in bytes.
const BUFFER: usize = 1 << 20;
/// Bytes that the history keeps of a record's data, for its readers; the checker compares the digest.
pub const MAX_DATA_BYTES: usize = 1_024;

struct RecorderState {
    file: BufWriter<File>,
    start: Instant,
    remaining_bytes: u64,
    /// Why no more is written, if so.
    cut: Option<RecordingStopped>,
}

/// Where stand-ins note what they see; one that records nothing takes all and keeps none.
#[derive(Clone, Default)]
pub struct Recorder {
    inner: Option<Arc<Mutex<RecorderState>>>,
    engines: bool,
}

impl Recorder {
    /// A recorder into `dir`'s [`NAME`], of at most `most` bytes, with times from `start` on; `engines`: connections and
    /// commands at engines, too.
    ///
    /// # Errors
    /// Those of making the file.
    pub fn start(dir: &Path, start: Instant, most: u64, engines: bool) -> std::io::Result<Recorder> {
        let file = BufWriter::with_capacity(BUFFER, File::create(dir.join(NAME))?);
        let inner = RecorderState { file, start, remaining_bytes: most, cut: None };
        Ok(Recorder { inner: Some(Arc::new(Mutex::new(inner))), engines })
    }

    /// Whether anything is recorded.
    pub fn on(&self) -> bool {
        self.inner.is_some()
    }

    /// Records an event with the present time; times ascend with the lines.
    pub fn note(&self, event: Event) {
        let Some(inner) = &self.inner else { return };
        let mut i = inner.lock().unwrap_or_else(PoisonError::into_inner);
        if i.cut.is_some() {
            return;
        }
        // The cast holds for half a million years.
        let at_us = i.start.elapsed().as_micros() as u64;
        let line = serde_json::to_string(&HistoryEntry { at_us, event }).map_err(RecordingStopped::Encode);
        let written = line.and_then(|line| {
            let need = line.len() as u64 + 1;
            let remaining = i.remaining_bytes.checked_sub(need).ok_or(RecordingStopped::Full)?;
            i.remaining_bytes = remaining;
            i.file
                .write_all(line.as_bytes())
                .and_then(|()| i.file.write_all(b"\n"))
                .map_err(RecordingStopped::Write)
        });
        i.cut = written.err();
    }

    /// Notes what an engine sees, where that is recorded.
    pub fn note_engine(&self, event: impl FnOnce() -> Event) {
        if self.engines && self.on() {
            self.note(event());
        }
    }

    /// Ends the history: its lines are in the file, and what comes later is not written.
    ///
    /// # Errors
    /// Where it is not whole.
    pub fn end(&self) -> Result<(), HistoryError> {
        let Some(inner) = &self.inner else { return Ok(()) };
        let mut i = inner.lock().unwrap_or_else(PoisonError::into_inner);
        let flushed = i.file.flush().map_err(RecordingStopped::Write);
        match i.cut.replace(RecordingStopped::Ended) {
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

/// Reads a history's file.
///
/// # Errors
/// Its path, and the line and what is wrong with it.
pub fn read(path: &Path) -> Result<Vec<HistoryEntry>, HistoryError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| HistoryError::Read { path: path.to_owned(), source })?;
    parse_history(text.lines()).map_err(|source| HistoryError::Parse { path: path.to_owned(), source })
}

#[cfg(test)]
mod tests;
