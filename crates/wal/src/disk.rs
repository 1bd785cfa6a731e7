//! The file operations that the log needs. Tests and simulators inject faults at this interface.

use std::io;
use std::sync::Arc;

/// Why a file operation failed.
#[derive(Debug, Clone, thiserror::Error)]
pub enum DiskError {
    /// There is no space left, a quota is used up, or the file is too large. After an append, part of the
    /// bytes may be in the file.
    #[error("no space left")]
    NoSpace,
    /// The file does not exist.
    #[error("no such file")]
    Missing,
    /// Any other error of the file operation.
    #[error("input or output failed")]
    Io(#[source] Arc<io::Error>),
}

impl From<io::Error> for DiskError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::NotFound => DiskError::Missing,
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
                DiskError::NoSpace
            }
            _ => DiskError::Io(Arc::new(error)),
        }
    }
}

/// The file operations of one directory. Names are plain file names chosen by the log.
///
/// The contract is that of a POSIX file system: appended bytes survive a crash only after [`Disk::sync`] of
/// the file, a file's name (created, renamed, removed) only after [`Disk::sync_directory`].
pub trait Disk {
    /// The names of all files, in any order.
    fn list(&self) -> Result<Vec<String>, DiskError>;
    /// All bytes of a file.
    fn read(&self, name: &str) -> Result<Vec<u8>, DiskError>;
    /// Creates an empty file; an existing file of that name is truncated.
    fn create(&mut self, name: &str) -> Result<(), DiskError>;
    /// Appends bytes. After an error part of them may be in the file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;
    /// Truncates a file to `length` bytes.
    fn truncate(&mut self, name: &str, length: u64) -> Result<(), DiskError>;
    /// Makes appended and truncated bytes survive a crash. After an error it is unknown what survives.
    fn sync(&mut self, name: &str) -> Result<(), DiskError>;
    /// Renames a file; an existing file of the new name is replaced.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> Result<(), DiskError>;
    /// Makes created, renamed and removed names survive a crash.
    fn sync_directory(&mut self) -> Result<(), DiskError>;
}
