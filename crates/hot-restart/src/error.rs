//! Errors of reading and writing state files.

use crate::format::{MAX_FILE_BYTES, MIN_FORMAT_VERSION};
use crate::state::Instance;
use sprucelink_cordon::RecordError;
use std::io;
use thiserror::Error;

/// Why the bytes of a state file are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StateFileError {
    /// The file is longer than [`MAX_FILE_BYTES`], or its contents would be.
    #[error("{bytes} bytes: at most {MAX_FILE_BYTES} are supported")]
    TooLarge {
        /// Length of the file in bytes, or a lower bound of the length.
        bytes: usize,
    },
    /// The file is truncated or corrupted, or not a state file at all.
    #[error("damaged: {0}")]
    Damaged(&'static str),
    /// The file is complete, but only newer builds support its format.
    #[error("format {format} is only supported by newer builds")]
    NewerFormat {
        /// Format version of the file.
        format: u32,
    },
    /// The file is complete, but its format is no longer supported.
    #[error("format {format} is no longer supported; the oldest supported format is {MIN_FORMAT_VERSION}")]
    UnsupportedFormat {
        /// Format version of the file.
        format: u32,
    },
    /// The file is complete, but has contents that no build of this format writes.
    #[error("invalid: {0}")]
    Invalid(#[source] InvalidState),
    /// The file is complete, but was written by a process of another instance: its name or listen address
    /// differs.
    #[error("written by another manager: {} at {}", .0.name, .0.listen)]
    OtherInstance(Instance),
}

/// The field and the rule that the contents of a file violate; no build of this format writes such a file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidState {
    /// The body is not a valid protocol buffers message.
    #[error("{0}")]
    Protobuf(#[source] prost::DecodeError),
    /// A field is longer than its bound.
    #[error("{field}: at most {max} {unit}")]
    TooLong {
        /// Path of the field in the file format.
        field: &'static str,
        /// Maximum length, in `unit`.
        max: usize,
        /// Unit of the maximum length.
        unit: &'static str,
    },
    /// The field that identifies the writing process is missing.
    #[error("process: missing")]
    MissingProcess,
    /// The number of the phase is not that of any known phase.
    #[error("phase: unknown phase number")]
    UnknownPhase,
    /// A cordon record is invalid: no call that cordons or uncordons, by an operator or the fleet, could have
    /// produced it.
    #[error("bans.{index}.{source}")]
    Cordon {
        /// Index of the record in the file.
        index: usize,
        /// The invalid field of the record and the rule that the field violates.
        source: RecordError,
    },
    /// The two lists of a warming engine's buckets (start times and work) differ in length.
    #[error("cold: the numbers of start times and work values differ")]
    BucketCountsDiffer,
    /// The lists of the request ids (ids, statement hashes and ages) differ in length.
    #[error("request_ids: the numbers of ids, statement hashes and ages differ")]
    RequestIdCountsDiffer,
    /// The file's name belongs to a different process, so the file is a copy.
    #[error("process: differs from the process in the file name")]
    OtherProcess,
}

/// Why a process could not write its own state file; the previous file is unchanged.
#[derive(Debug, Error)]
pub enum WriteError {
    /// The contents do not fit into a file: there are more cordons than [`sprucelink_cordon::CordonLimits`]
    /// allows.
    #[error("{0}")]
    Encode(#[source] StateFileError),
    /// The file could not be replaced in the folder.
    #[error("{0}")]
    Folder(#[source] io::Error),
}
