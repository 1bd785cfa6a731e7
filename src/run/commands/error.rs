//! Errors of the sub-commands, and the exit status for each.

use crate::run::error::BoxError;
use crate::run::serve::ServeError;
use crate::run::startup_files::StartupFileError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A startup file cannot be used.
    #[error(transparent)]
    StartupFile(#[from] StartupFileError),
    /// The server could not start, or had to stop while serving.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// A capture cannot be used as requested.
    #[error(transparent)]
    Capture(#[from] CaptureError),
    /// A manager's membership did not answer.
    #[error("{address}")]
    FleetMembers {
        /// UDP address of the membership that was queried.
        address: SocketAddr,
        /// Reason why no answer arrived.
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

/// Reason why a capture cannot be used as requested.
#[derive(Debug, thiserror::Error)]
pub enum CaptureError {
    /// The capture library rejected the capture or the question; its message names file and reason.
    #[error(transparent)]
    Library(#[from] BoxError),
    /// No file of the capture contains a complete segment.
    #[error("the capture has no usable segment")]
    NoSegment,
    /// The requested time span lies outside the capture.
    #[error("no segment overlaps the requested time span")]
    SpanOutsideCapture,
    /// The capture holds nothing about the request, engine or instant.
    #[error("the capture holds nothing about the requested subject")]
    NothingFound,
    /// A file with test cases is damaged.
    #[error("{file}: damaged at byte {offset}: {reason}", file = file.display())]
    Damaged {
        /// Path of the file.
        file: PathBuf,
        /// Offset in bytes at which the file cannot be read.
        offset: usize,
        /// Reason why the file cannot be read from the offset on.
        reason: String,
    },
    /// A file or folder cannot be written, or the case in the file cannot be checked.
    #[error("{path}", path = path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Reason why the write or the check failed.
        source: BoxError,
    },
}
