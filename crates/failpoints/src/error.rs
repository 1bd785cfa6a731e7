//! Errors of reading and arming faults.

use crate::fault_file::FaultFileError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why faults could not be armed.
#[derive(Debug, Error)]
pub enum FailpointError {
    /// The build has no failpoints, and some were to be armed.
    #[error("this build has no failpoints: build with the feature `hits` of sprucelink-failpoints")]
    NotBuiltIn,
    /// The build injects no faults, and the folder holds a fault file.
    #[error("{}: this build takes no faults: build with the feature `hits` of sprucelink-failpoints", path.display())]
    FileRejected {
        /// The fault file.
        path: PathBuf,
    },
    /// The fault file could not be read.
    #[error("cannot read {}", path.display())]
    Read {
        /// The fault file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The fault file is malformed or out of range.
    #[error("{} is invalid", path.display())]
    Invalid {
        /// The fault file.
        path: PathBuf,
        /// The field and its range.
        source: FaultFileError,
    },
}
