//! A folder in memory that fails as it is told to, for tests of what stands on [`Folder`].

use crate::folder::Folder;
use crate::names::FileName;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::rc::Rc;

/// What goes wrong with the next write or read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The writer dies after so many bytes: a temporary file is left, the file itself is as it was.
    TornWrite(usize),
    /// The file itself ends after so many bytes, and the writer hears nothing of it: what a machine that went down leaves
    /// on a file system without an atomic rename.
    TornFile(usize),
    /// The folder is full.
    NoSpace,
    /// The temporary file was written, and the rename refused.
    RenameRefused,
    /// A read gives these bytes.
    ForeignBytes(Vec<u8>),
    /// A read fails.
    Unreadable,
}

impl Fault {
    fn of_a_read(&self) -> bool {
        matches!(self, Fault::ForeignBytes(_) | Fault::Unreadable)
    }
}

/// Clones are handles on the same files, each with faults of its own: two processes, two handles.
#[derive(Clone, Debug, Default)]
pub struct FaultyFolder {
    files: Rc<RefCell<BTreeMap<String, Vec<u8>>>>,
    faults: Rc<RefCell<VecDeque<Fault>>>,
}

impl FaultyFolder {
    /// An empty folder.
    pub fn new() -> FaultyFolder {
        FaultyFolder::default()
    }

    /// A handle on the same files with no faults yet.
    pub fn handle(&self) -> FaultyFolder {
        FaultyFolder { files: Rc::clone(&self.files), faults: Rc::default() }
    }

    /// The next write or read through this handle (whichever the fault is of) goes so wrong; faults wait in line.
    pub fn fail_next(&self, fault: Fault) {
        self.faults.borrow_mut().push_back(fault);
    }

    /// Faults that have not struck yet.
    pub fn pending(&self) -> usize {
        self.faults.borrow().len()
    }

    /// Lays bytes under a name, whatever they are.
    pub fn lay(&self, name: &str, bytes: &[u8]) {
        self.files.borrow_mut().insert(name.to_owned(), bytes.to_owned());
    }

    /// A file's bytes.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        self.files.borrow().get(name).cloned()
    }

    /// The names of all files.
    pub fn names(&self) -> Vec<String> {
        self.files.borrow().keys().cloned().collect()
    }

    fn fault(&self, of_a_read: bool) -> Option<Fault> {
        let mut faults = self.faults.borrow_mut();
        let at = faults.iter().position(|f| f.of_a_read() == of_a_read)?;
        faults.remove(at)
    }
}

impl Folder for FaultyFolder {
    fn read(&self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let bytes = match self.fault(true) {
            Some(Fault::Unreadable) => return Err(io::ErrorKind::PermissionDenied.into()),
            Some(Fault::ForeignBytes(bytes)) => bytes,
            _ => self.bytes(name).ok_or(io::ErrorKind::NotFound)?,
        };
        Ok(bytes.into_iter().take(most + 1).collect())
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temp = FileName::temp_of(name);
        let first = |n: usize| bytes[..n.min(bytes.len())].to_vec();
        let mut files = self.files.borrow_mut();
        match self.fault(false) {
            Some(Fault::TornWrite(n)) => {
                files.insert(temp, first(n));
                Err(io::ErrorKind::Interrupted.into())
            }
            Some(Fault::RenameRefused) => {
                files.insert(temp, first(usize::MAX));
                Err(io::ErrorKind::PermissionDenied.into())
            }
            Some(Fault::NoSpace) => Err(io::ErrorKind::StorageFull.into()),
            Some(Fault::TornFile(n)) => {
                files.insert(name.to_owned(), first(n));
                Ok(())
            }
            _ => {
                files.remove(&temp);
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
        Ok(names.filter(|name| FileName::parse(name).is_some()).collect())
    }
}
