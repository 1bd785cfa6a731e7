//! Why a run could not be carried out.

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
        /// What was being made, read or started.
        what: String,
        /// What the system answered.
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
    /// A list service has no room for a further event.
    #[error(transparent)]
    TooManyEvents(#[from] TooManyEvents),
    /// The history is incomplete or unreadable.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// The version that a manager asks for has no valid name.
    #[error("{}: no version's name", path.display())]
    InvalidVersion {
        /// The file that names it.
        path: PathBuf,
    },
    /// Too many actions wait for their time.
    #[error("at most {max} acts wait for their time")]
    TooManyPendingActions {
        /// The bound on them.
        max: usize,
    },
    /// A step needs a manager that is down, and it runs.
    #[error("{step}: n{manager} runs; kill it in a step before")]
    ManagerRuns {
        /// The step's name.
        step: &'static str,
        /// The manager's number.
        manager: usize,
    },
    /// A folder is too large to be copied.
    #[error("{}: over {max_files} files or {max_bytes} bytes", path.display())]
    FolderTooLarge {
        /// The folder.
        path: PathBuf,
        /// Files of a copy, at most.
        max_files: usize,
        /// Bytes of a copy, at most.
        max_bytes: u64,
    },
}

impl RunError {
    /// Names what was being made, read or started when the system answered with an error.
    pub(super) fn io(what: &str) -> impl FnOnce(std::io::Error) -> RunError + '_ {
        move |source| RunError::Io { what: what.to_owned(), source }
    }

    /// As [`RunError::io`], with the path of the file.
    pub(super) fn io_at(path: &Path) -> impl FnOnce(std::io::Error) -> RunError + '_ {
        move |source| RunError::Io { what: path.display().to_string(), source }
    }
}
