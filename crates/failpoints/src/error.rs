//! Errors of reading and arming faults.

use crate::fault_file::FaultFileError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Reason why faults could not be armed.
#[derive(Debug, Error)]
pub enum FailpointError {
    /// The build has no failpoints, but the caller requested to arm some.
    #[error("this build has no failpoints: build with the feature `hits` of sprucelink-failpoints")]
    NotBuiltIn,
    /// The build does not support faults, but the folder contains a fault file.
    #[error("{}: this build takes no faults: build with the feature `hits` of sprucelink-failpoints", path.display())]
    FileRejected {
        /// Path of the fault file.
        path: PathBuf,
    },
    /// The fault file could not be read.
    #[error("cannot read {}", path.display())]
    Read {
        /// Path of the fault file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The fault file is malformed or out of range.
    #[error("{} is invalid", path.display())]
    Invalid {
        /// Path of the fault file.
        path: PathBuf,
        /// The invalid field and its range.
        source: FaultFileError,
    },
}
