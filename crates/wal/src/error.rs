//! What each failure of the log means for the member.

use crate::disk::DiskError;
use crate::limits::MAX_FILES;
use crate::recovery::Corruption;

/// Why the log could not be opened or written.
#[derive(Debug, Clone, thiserror::Error)]
pub enum WalError {
    /// The directory holds a file that is not the log's.
    #[error("not a directory of a write-ahead log: it holds {name}")]
    ForeignFile {
        /// The file.
        name: String,
    },
    /// The directory holds more than [`MAX_FILES`] files.
    #[error("not a directory of a write-ahead log: it holds over {MAX_FILES} files")]
    TooManyFiles,
    /// A record before the last one is damaged, so nothing in the directory can be trusted. The member stays out until it
    /// is removed and added again with an empty directory and a new incarnation.
    #[error("{segment} is corrupt at byte {offset}")]
    Corrupt {
        /// The segment's file.
        segment: String,
        /// Where the damaged record starts, bytes.
        offset: u64,
        /// What is wrong there.
        #[source]
        reason: Corruption,
    },
    /// Nothing of the batch is on disk. It may be written again; no message that rests on it may be sent.
    #[error("the write was rejected")]
    WriteRejected(#[source] DiskError),
    /// The segment is at [`crate::limits::MAX_SEGMENT_BYTES`], or the batch is over its bound: a batch with a snapshot is due.
    #[error("the log is full: a snapshot is due")]
    Full,
    /// It is unknown what is on disk. The process must stop and open the log again: a failed sync must not be
    /// repeated, because the system may have dropped the pages that it could not write.
    #[error("it is unknown what is on disk")]
    Failed(#[source] DiskError),
    /// The batch's sequence number is not the next one.
    #[error("batch {found} was written where batch {expected} is due")]
    OutOfOrder {
        /// The number that is due.
        expected: u64,
        /// The number of the batch.
        found: u64,
    },
}
