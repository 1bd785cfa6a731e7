//! Errors of the log, and what each means for the member.

use crate::disk::DiskError;
use crate::limits::MAX_FILES;
use crate::recovery::Corruption;

/// Why the log could not be opened or written.
#[derive(Debug, Clone, thiserror::Error)]
pub enum WalError {
    /// The directory contains a file that doesn't belong to the log.
    #[error("not a directory of a write-ahead log: it contains {name}")]
    ForeignFile {
        /// Name of the file.
        name: String,
    },
    /// The directory contains more than [`MAX_FILES`] files.
    #[error("not a directory of a write-ahead log: it contains more than {MAX_FILES} files")]
    TooManyFiles,
    /// A record before the last one is damaged, so nothing in the directory can be trusted. The member can't
    /// take part until it is removed and added again with an empty directory and a new incarnation.
    #[error("{segment} is corrupt at byte {offset}")]
    Corrupt {
        /// File name of the segment.
        segment: String,
        /// Offset at which the damaged record starts, bytes.
        offset: u64,
        /// Kind of the damage.
        #[source]
        reason: Corruption,
    },
    /// No part of the batch is in the log. The batch may be written again; no message that depends on it may
    /// be sent.
    #[error("the write was rejected")]
    WriteRejected(#[source] DiskError),
    /// The segment would exceed [`crate::limits::MAX_SEGMENT_BYTES`], or the batch is longer than
    /// [`crate::limits::MAX_RECORD_BYTES`]. The next batch has to contain a snapshot.
    #[error("the log is full: a snapshot is due")]
    Full,
    /// It is unknown what is on disk. The process must stop and open the log again: a failed sync must not be
    /// repeated, because the system may have dropped the pages that it could not write.
    #[error("it is unknown what is on disk")]
    Failed(#[source] DiskError),
    /// The batch's sequence number is not the next one.
    #[error("unexpected batch {found}: the next batch is {expected}")]
    OutOfOrder {
        /// Sequence number of the next batch.
        expected: u64,
        /// Sequence number of the rejected batch.
        found: u64,
    },
}
