//! Bounds of the write-ahead log.

/// Longest payload of one record, bytes: the largest snapshot of the consensus crate (4 MiB), the entries
/// after it and the state, with headroom. A longer batch is rejected, and a longer length read from disk
/// counts as damage.
pub const MAX_RECORD_BYTES: usize = 32 << 20;

/// Longest segment file, bytes. A batch without a snapshot that would make the segment longer is rejected
/// with [`crate::WalError::Full`]; the consensus crate takes snapshots long before.
pub const MAX_SEGMENT_BYTES: u64 = 64 << 20;

/// Maximum number of files in the directory. With more, the directory is not the log's own and opening it
/// fails.
pub const MAX_FILES: usize = 64;
