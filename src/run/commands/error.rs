//! Why a sub-command failed, and the exit status that says so.

use crate::run::error::BoxError;
use crate::run::serve::ServeError;
use crate::run::startup_files::StartupFileError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A command that could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file of the start cannot be used.
    #[error(transparent)]
    StartupFile(#[from] StartupFileError),
    /// The server did not start, or could not go on.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// A capture cannot be used as asked.
    #[error(transparent)]
    Capture(#[from] CaptureError),
    /// A manager's membership did not answer.
    #[error("{address}")]
    FleetMembers {
        /// Where it was asked.
        address: SocketAddr,
        /// Why there is no answer.
        source: io::Error,
    },
}

impl CommandError {
    /// The exit status: 2 for files that cannot be used, 1 for a failure while running.
    pub fn exit_status(&self) -> u8 {
        match self {
            CommandError::StartupFile(_) | CommandError::Capture(_) => 2,
            CommandError::Serve(_) | CommandError::FleetMembers { .. } => 1,
        }
    }
}

/// A capture that cannot be used as asked.
#[derive(Debug, thiserror::Error)]
pub enum CaptureError {
    /// The capture library rejected the capture or the question; its message names file and reason.
    #[error(transparent)]
    Library(#[from] BoxError),
    /// No file of the capture holds a complete segment.
    #[error("no segment can be used")]
    NoSegment,
    /// The span asked for lies outside the capture.
    #[error("no segment lies in that span")]
    SpanOutsideCapture,
    /// The capture holds nothing of the request, engine or moment.
    #[error("the capture tells nothing of that")]
    NothingFound,
    /// A case is damaged.
    #[error("{file}: damaged at byte {offset}: {reason}", file = file.display())]
    Damaged {
        /// The file.
        file: PathBuf,
        /// Where it cannot be read, in bytes.
        offset: usize,
        /// What is wrong there.
        reason: String,
    },
    /// A file or folder cannot be written, or a case cannot be checked.
    #[error("{path}", path = path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: BoxError,
    },
}
