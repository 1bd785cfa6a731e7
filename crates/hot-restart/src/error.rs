//! Errors of reading and writing state files.

use crate::format::{MAX_FILE_BYTES, MIN_FORMAT_VERSION};
use crate::state::Instance;
use sprucelink_cordon::RecordError;
use std::io;
use thiserror::Error;

/// Why the bytes of a state file are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StateFileError {
    /// Longer than [`MAX_FILE_BYTES`]: not a state file.
    #[error("{bytes} bytes, at most {MAX_FILE_BYTES} are read")]
    TooLarge {
        /// Its length, or a lower bound of it.
        bytes: usize,
    },
    /// Truncated, corrupted, or something else altogether.
    #[error("damaged: {0}")]
    Damaged(&'static str),
    /// Complete, and of a format that only newer builds read.
    #[error("format {format} of a newer build")]
    NewerFormat {
        /// Its format version.
        format: u32,
    },
    /// Complete, and of a format that is no longer read.
    #[error("format {format}, the oldest that is read is {MIN_FORMAT_VERSION}")]
    UnsupportedFormat {
        /// Its format version.
        format: u32,
    },
    /// Complete, with contents that no build of this format writes.
    #[error("invalid: {0}")]
    Invalid(#[source] InvalidState),
    /// Complete, and of another workload manager.
    #[error("of another manager: {} at {}", .0.name, .0.listen)]
    OtherInstance(Instance),
}

/// What no build of this format writes: the field and the rule.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidState {
    /// The body is no protocol buffers message.
    #[error("{0}")]
    Protobuf(#[source] prost::DecodeError),
    /// A field is longer than its bound.
    #[error("{field}: at most {max} {unit}")]
    TooLong {
        /// Its path.
        field: &'static str,
        /// The bound.
        max: usize,
        /// What the bound counts.
        unit: &'static str,
    },
    /// The writing process is not named.
    #[error("process: missing")]
    MissingProcess,
    /// No phase has this number.
    #[error("phase: not known")]
    UnknownPhase,
    /// A cordon record that no call could have produced.
    #[error("bans.{index}.{source}")]
    Cordon {
        /// Its position in the file.
        index: usize,
        /// The field and the rule.
        source: RecordError,
    },
    /// The two lists of a warming engine's buckets (start times and work) differ in length.
    #[error("cold: as many times as works")]
    UnevenBuckets,
    /// The file is a copy: its name belongs to another process.
    #[error("process: not the one that the file is named after")]
    OtherProcess,
}

/// Why the own state file was not written; the previous one is unchanged.
#[derive(Debug, Error)]
pub enum WriteError {
    /// The contents do not fit: more cordons than [`sprucelink_cordon::CordonLimits`] allows.
    #[error("{0}")]
    Encode(#[source] StateFileError),
    /// The folder failed.
    #[error("{0}")]
    Folder(#[source] io::Error),
}
