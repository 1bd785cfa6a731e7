//! Errors of a run.

use crate::history::HistoryError;
use crate::lists::TooManyEvents;
use crate::scenario::InvalidScenario;
use crate::template::TemplateError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a run could not be carried out.
#[derive(Debug, Error)]
pub enum RunError {
    /// The scenario breaks a rule.
    #[error(transparent)]
    Scenario(#[from] InvalidScenario),
    /// A file, a socket or a process failed.
    #[error("{what}: {source}")]
    Io {
        /// The file, socket or process that was being created, read or started.
        what: String,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// A manager could not be signalled.
    #[error(transparent)]
    Signal(#[from] nix::Error),
    /// A template of the scenario could not be filled.
    #[error(transparent)]
    Template(#[from] TemplateError),
    /// A file for a manager could not be encoded.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// A list service has reached its limit of events.
    #[error(transparent)]
    TooManyEvents(#[from] TooManyEvents),
    /// The history is incomplete or unreadable.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// The version that a manager requests has an invalid name.
    #[error("{}: invalid version name: expected 1 to 64 letters, digits, '.', '_' or '-'", path.display())]
    InvalidVersion {
        /// The file that holds the name.
        path: PathBuf,
    },
    /// Too many actions after failpoint faults are pending.
    #[error("too many pending actions: at most {max}")]
    TooManyPendingActions {
        /// Maximum number of pending actions.
        max: usize,
    },
    /// A step needs a manager that is down, but the manager is running.
    #[error("{step}: n{manager} is running; kill it in an earlier step")]
    ManagerRuns {
        /// The step's name.
        step: &'static str,
        /// The manager's index.
        manager: usize,
    },
    /// A folder is too large to be copied.
    #[error("{}: too large to copy: over {max_files} files or {max_bytes} bytes", path.display())]
    FolderTooLarge {
        /// The folder.
        path: PathBuf,
        /// Maximum number of files of a copy.
        max_files: usize,
        /// Maximum size of a copy, all files together, in bytes.
        max_bytes: u64,
    },
}

impl RunError {
    /// Wraps an I/O error with a name of what was being created, read or started.
    pub(super) fn io(what: &str) -> impl FnOnce(std::io::Error) -> RunError + '_ {
        move |source| RunError::Io { what: what.to_owned(), source }
    }

    /// Wraps an I/O error with the path of the file.
    pub(super) fn io_at(path: &Path) -> impl FnOnce(std::io::Error) -> RunError + '_ {
        move |source| RunError::Io { what: path.display().to_string(), source }
    }
}
