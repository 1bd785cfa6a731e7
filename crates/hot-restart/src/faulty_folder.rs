//! A folder in memory with injected faults, for tests of code that uses a [`StateFolder`].

use crate::file_name::StateFileName;
use crate::folder::StateFolder;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;

/// A fault of one write or read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FolderFault {
    /// The writer dies after this many bytes: a temporary file remains, and the file itself is unchanged.
    TornWrite(usize),
    /// The file itself is truncated to this many bytes, and the writer gets no error, as after a machine
    /// crash on a file system without an atomic rename.
    TornFile(usize),
    /// The file system is full.
    NoSpace,
    /// The temporary file is written, and the rename is denied.
    RenameDenied,
    /// A read returns these bytes instead of the file's.
    ForeignBytes(Vec<u8>),
    /// A read fails.
    Unreadable,
}

impl FolderFault {
    fn affects_reads(&self) -> bool {
        matches!(self, FolderFault::ForeignBytes(_) | FolderFault::Unreadable)
    }
}

/// An in-memory folder. Each handle on the same files has its own faults, so that each simulated process uses
/// its own handle.
#[derive(Clone, Debug, Default)]
pub struct FaultyFolder {
    files: Rc<RefCell<BTreeMap<String, Vec<u8>>>>,
    faults: Rc<RefCell<VecDeque<FolderFault>>>,
}

impl FaultyFolder {
    /// Creates an empty folder.
    pub fn new() -> FaultyFolder {
        FaultyFolder::default()
    }

    /// Creates another handle on the same files, without faults.
    pub fn handle(&self) -> FaultyFolder {
        FaultyFolder { files: Rc::clone(&self.files), faults: Rc::default() }
    }

    /// Injects a fault into the next write or read through this handle, depending on the fault's kind.
    /// Several faults are queued.
    pub fn fail_next(&self, fault: FolderFault) {
        self.faults.borrow_mut().push_back(fault);
    }

    /// Number of injected faults that have not occurred yet.
    pub fn pending_faults(&self) -> usize {
        self.faults.borrow().len()
    }

    /// Creates or replaces a file with any name and bytes.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        self.files.borrow_mut().insert(name.to_owned(), bytes.to_owned());
    }

    /// Bytes of a file; `None` if it does not exist.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        self.files.borrow().get(name).cloned()
    }

    /// Names of all files, including those that are not state files.
    pub fn names(&self) -> Vec<String> {
        self.files.borrow().keys().cloned().collect()
    }

    fn take_fault(&self, is_read: bool) -> Option<FolderFault> {
        let mut faults = self.faults.borrow_mut();
        let index = faults.iter().position(|fault| fault.affects_reads() == is_read)?;
        faults.remove(index)
    }
}

impl StateFolder for FaultyFolder {
    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>> {
        let bytes = match self.take_fault(true) {
            Some(FolderFault::Unreadable) => return Err(io::ErrorKind::PermissionDenied.into()),
            Some(FolderFault::ForeignBytes(bytes)) => bytes,
            _ => self.bytes(name).ok_or(io::ErrorKind::NotFound)?,
        };
        Ok(bytes.into_iter().take(max_bytes + 1).collect())
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = StateFileName::temporary(name);
        let prefix = |length: usize| bytes[..length.min(bytes.len())].to_vec();
        let mut files = self.files.borrow_mut();
        match self.take_fault(false) {
            Some(FolderFault::TornWrite(length)) => {
                files.insert(temporary, prefix(length));
                Err(io::ErrorKind::Interrupted.into())
            }
            Some(FolderFault::RenameDenied) => {
                files.insert(temporary, bytes.to_owned());
                Err(io::ErrorKind::PermissionDenied.into())
            }
            Some(FolderFault::NoSpace) => Err(io::ErrorKind::StorageFull.into()),
            Some(FolderFault::TornFile(length)) => {
                files.insert(name.to_owned(), prefix(length));
                Ok(())
            }
            _ => {
                files.remove(&temporary);
                files.insert(name.to_owned(), bytes.to_owned());
                Ok(())
            }
        }
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.files.borrow_mut().remove(name);
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let names = self.names().into_iter();
        Ok(names.filter(|name| StateFileName::parse(name).is_some()).collect())
    }
}
