//! Why captures, cases, rules and settings are rejected.

use crate::file_name::SUFFIX;
use std::error::Error;
use std::io;
use std::path::PathBuf;

/// An error of a caller, kept as the source of an error of this crate.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// A capture that cannot be read at all.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file or folder cannot be read.
    #[error("{path}", path = path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is longer than any capture.
    #[error("{path}: longer than any capture", path = path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
    },
    /// The folder holds no capture file.
    #[error("{path}: no file that ends in {SUFFIX}", path = path.display())]
    NoFiles {
        /// The folder.
        path: PathBuf,
    },
    /// The file's bytes hold no capture that this build reads.
    #[error("{path}", path = path.display())]
    Content {
        /// The file.
        path: PathBuf,
        /// Why.
        source: ParseError,
    },
}

/// Bytes that hold no capture, or one of a newer format.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// There are no bytes.
    #[error("is empty")]
    Empty,
    /// The bytes end before the first checkpoint.
    #[error("holds no whole segment: cut off in its first frames")]
    CutOff,
    /// A newer build wrote it.
    #[error("written in format {format}; this build reads up to {supported}")]
    NewerFormat {
        /// The format of the file.
        format: u32,
        /// The newest format that this build reads.
        supported: u32,
    },
    /// Nothing in it can be read as a capture.
    #[error("is no capture: at byte {offset}: {reason}")]
    NotACapture {
        /// The first place that cannot be read, in bytes.
        offset: usize,
        /// What is wrong there.
        reason: String,
    },
}

/// A segment that cannot be written as a file.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// A frame would be longer than [`crate::frame::MAX_BODY_BYTES`].
    #[error("a frame longer than any may be")]
    FrameTooLong,
    /// A frame cannot be compressed.
    #[error("a frame cannot be compressed")]
    Compression(#[source] io::Error),
    /// The segment holds digests in place of actions.
    #[error("answers are digests: replay them whole first")]
    DigestsOnly,
}

/// The policy's state in a checkpoint is not one that this build reads.
#[derive(Debug, thiserror::Error)]
#[error("the module's state cannot be read")]
pub struct StateError(#[source] pub(crate) rmp_serde::decode::Error);

/// A segment that cannot be replayed.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// Its checkpoint cannot be read.
    #[error(transparent)]
    State(#[from] StateError),
    /// The caller's change of the policy, before the replay, failed.
    #[error(transparent)]
    Change(BoxError),
}

/// A case that cannot be cut out of a capture.
#[derive(Debug, thiserror::Error)]
pub enum CutError {
    /// No segment covers the moment.
    #[error("no segment holds that moment")]
    MomentNotRecorded,
    /// The replay up to the moment gives other answers than were recorded.
    #[error("the module parts from the record before that moment, at record {record}: {got} instead of {expected}")]
    Diverged {
        /// The record's number in its segment, from 0.
        record: usize,
        /// The replayed actions.
        got: String,
        /// The recorded actions.
        expected: String,
    },
    /// The policy's state at the moment cannot be written.
    #[error("the module's state cannot be written")]
    State(#[source] rmp_serde::encode::Error),
    /// No event was recorded in the span.
    #[error("nothing was told around that moment")]
    NothingRecorded,
    /// The capture holds digests of answers, and the replay gives other ones.
    #[error("answers are digests here, and the replay gives others")]
    DigestsDiverged,
    /// A segment cannot be replayed.
    #[error(transparent)]
    Replay(#[from] ReplayError),
}

/// A case that cannot be checked.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// It has no rules.
    #[error("it names nothing that must hold")]
    NoRules,
    /// One of its rules cannot be read.
    #[error(transparent)]
    Rule(#[from] RuleError),
    /// Its checkpoint cannot be read.
    #[error(transparent)]
    State(#[from] StateError),
    /// It cannot be replayed.
    #[error(transparent)]
    Replay(#[from] ReplayError),
}

/// A rule that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("rule {text:?}")]
pub struct RuleError {
    /// The rule as given.
    pub text: String,
    /// What is wrong in it.
    pub source: json5::Error,
}

/// The recorder's settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is no JSON5, or a field is unknown, missing or of the wrong type.
    #[error(transparent)]
    Syntax(#[from] json5::Error),
    /// A field is out of its range.
    #[error("{field}: {value} is not from {min} to {max}")]
    OutOfRange {
        /// The field.
        field: &'static str,
        /// Its value.
        value: u64,
        /// The lowest value allowed.
        min: u64,
        /// The highest value allowed.
        max: u64,
    },
    /// The folder has no name.
    #[error("dir: names no folder")]
    NoDirectory,
    /// A segment may be larger than all files together.
    #[error("segment_mb: {segment_mb} is more than ring_mb, {ring_mb}")]
    SegmentExceedsRing {
        /// The size of a segment, in MB.
        segment_mb: u64,
        /// The size of all files together, in MB.
        ring_mb: u64,
    },
}

/// An outcome policy that does not exist.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is neither recorded nor matched")]
pub struct UnknownOutcomePolicy(pub String);
