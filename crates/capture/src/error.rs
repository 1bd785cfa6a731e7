//! Errors of this crate: for captures, cases, rules and settings that cannot be used.

use crate::file_name::SUFFIX;
use std::error::Error;
use std::io;
use std::path::PathBuf;

/// An error from a caller's callback, kept as the source of an error of this crate.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// A capture that cannot be read at all.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file or folder cannot be read.
    #[error("{path}", path = path.display())]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// The file is larger than the reader accepts.
    #[error("{path}: too large for a capture file", path = path.display())]
    TooLong {
        /// Path of the file.
        path: PathBuf,
    },
    /// The folder contains no capture file.
    #[error("{path}: no file that ends in {SUFFIX}", path = path.display())]
    NoFiles {
        /// Path of the folder.
        path: PathBuf,
    },
    /// The content of the file is not a capture that this build can read.
    #[error("{path}", path = path.display())]
    Content {
        /// Path of the file.
        path: PathBuf,
        /// What is wrong with the content.
        source: ParseError,
    },
}

/// Bytes that are not a capture, or a capture in a newer format.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// There are no bytes.
    #[error("is empty")]
    Empty,
    /// The bytes end before the first checkpoint.
    #[error("holds no complete segment: cut off in its first frames")]
    CutOff,
    /// The capture was written by a newer build.
    #[error("written in format {format}; this build reads up to {supported}")]
    NewerFormat {
        /// Format version of the file.
        format: u32,
        /// Newest format version that this build reads.
        supported: u32,
    },
    /// No part of the bytes can be read as a capture.
    #[error("is not a capture: at byte {offset}: {reason}")]
    NotACapture {
        /// Offset of the first unreadable part, in bytes.
        offset: usize,
        /// What is wrong at that offset.
        reason: String,
    },
}

/// A segment that cannot be written as a file.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// A frame would be longer than [`crate::frame::MAX_BODY_BYTES`].
    #[error("a frame exceeds the maximum length")]
    FrameTooLong,
    /// A frame cannot be compressed.
    #[error("a frame cannot be compressed")]
    Compression(#[source] io::Error),
    /// The segment holds digests in place of actions.
    #[error("the segment holds digests of answers: replay it to get the complete answers first")]
    DigestsOnly,
}

/// A state of the policy, in a checkpoint, that this build cannot read.
#[derive(Debug, thiserror::Error)]
#[error("the module's state cannot be read")]
pub struct StateError(#[source] pub(crate) rmp_serde::decode::Error);

/// A segment that cannot be replayed.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// The checkpoint of the segment cannot be read.
    #[error(transparent)]
    State(#[from] StateError),
    /// The caller's change of the policy, before the replay, failed.
    #[error(transparent)]
    Change(BoxError),
}

/// A case that cannot be cut out of a capture.
#[derive(Debug, thiserror::Error)]
pub enum CutError {
    /// No segment covers the moment that the case is to show.
    #[error("no segment holds that moment")]
    MomentNotRecorded,
    /// The replay of the records before the start of the case gives different answers from the recorded ones.
    #[error(
        "the replay diverges from the recording before that moment, at record {record}: got {got}, \
         expected {expected}"
    )]
    Diverged {
        /// Index of the record in its segment, from 0.
        record: usize,
        /// The replayed actions.
        got: String,
        /// The recorded actions.
        expected: String,
    },
    /// The policy's state at the start of the case cannot be serialised.
    #[error("the module's state cannot be written")]
    State(#[source] rmp_serde::encode::Error),
    /// No event was recorded in the span of the case.
    #[error("no event was recorded around that moment")]
    NothingRecorded,
    /// The capture holds digests of answers, and the replay's answers do not match them.
    #[error("the capture holds digests of answers, and the replay's answers do not match them")]
    DigestsDiverged,
    /// A segment cannot be replayed.
    #[error(transparent)]
    Replay(#[from] ReplayError),
}

/// A case that cannot be checked.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// The case has no rules.
    #[error("the case has no rules")]
    NoRules,
    /// A rule of the case cannot be parsed.
    #[error(transparent)]
    Rule(#[from] RuleError),
    /// The checkpoint of the case cannot be read.
    #[error(transparent)]
    State(#[from] StateError),
    /// The case cannot be replayed.
    #[error(transparent)]
    Replay(#[from] ReplayError),
}

/// A rule that cannot be parsed.
#[derive(Debug, thiserror::Error)]
#[error("rule {text:?}")]
pub struct RuleError {
    /// The rule as given.
    pub text: String,
    /// Error of the JSON5 parser.
    pub source: json5::Error,
}

/// Settings of the recorder that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not valid JSON5, or a field is unknown, missing or of the wrong type.
    #[error(transparent)]
    Syntax(#[from] json5::Error),
    /// A field is out of its range.
    #[error("{field}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: u64,
        /// Lowest allowed value.
        min: u64,
        /// Highest allowed value.
        max: u64,
    },
    /// The path of the recorder's folder (`dir`) is empty.
    #[error("dir: the path is empty")]
    NoDirectory,
    /// The configured size of a segment exceeds that of all files together.
    #[error("segment_mb: {segment_mb} is more than ring_mb, {ring_mb}")]
    SegmentExceedsRing {
        /// Size of a segment, in MB.
        segment_mb: u64,
        /// Size of all files together, in MB.
        ring_mb: u64,
    },
}

/// A text that is not the name of an outcome policy.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is neither recorded nor matched")]
pub struct UnknownOutcomePolicy(pub String);
