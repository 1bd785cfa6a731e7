//! The seam between the store and the files: every file operation that the ledger needs, and no more.

use std::fmt;

/// Why a file operation did not happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiskError {
    /// No room, or the write was refused; part of it may be in the file.
    NoSpace,
    /// No such file.
    Missing,
    /// Any other failure, in the operating system's words.
    Io(String),
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiskError::NoSpace => write!(f, "no space left"),
            DiskError::Missing => write!(f, "no such file"),
            DiskError::Io(text) => write!(f, "{text}"),
        }
    }
}

impl std::error::Error for DiskError {}

/// The file operations of one folder. Names are plain file names of the ledger's own making.
///
/// Contract as on a POSIX file system: bytes appended last through a crash only after [`Disk::sync`] of the file,
/// a file's name (created, renamed, removed) only after [`Disk::sync_folder`].
pub trait Disk {
    /// Names of all files, in any order.
    fn list(&self) -> Result<Vec<String>, DiskError>;
    /// All bytes of a file.
    fn read(&self, name: &str) -> Result<Vec<u8>, DiskError>;
    /// Makes an empty file; one of that name is emptied.
    fn create(&mut self, name: &str) -> Result<(), DiskError>;
    /// Adds bytes at the end. After an error part of them may be there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError>;
    /// Cuts the file to `len` bytes.
    fn truncate(&mut self, name: &str, len: u64) -> Result<(), DiskError>;
    /// Makes what was appended and cut last through a crash. After an error nothing is known of what lasts.
    fn sync(&mut self, name: &str) -> Result<(), DiskError>;
    /// Renames, replacing a file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> Result<(), DiskError>;
    /// Makes created, renamed and removed names last through a crash.
    fn sync_folder(&mut self) -> Result<(), DiskError>;
}
