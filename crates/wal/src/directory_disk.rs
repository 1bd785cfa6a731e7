//! A real folder as the ledger's disk.

use crate::disk::{Disk, DiskError};
use crate::limits::MAX_FILES;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The folder, and the one file that is being appended to, kept open.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl Folder {
    /// Takes the folder, making it if it is not there.
    pub fn open(path: &Path) -> Result<Self, DiskError> {
        fs::create_dir_all(path).map_err(told)?;
        Ok(Folder { path: path.to_owned(), open: None })
    }

    fn handle(&mut self, name: &str) -> Result<&mut File, DiskError> {
        if self.open.as_ref().is_none_or(|(held, _)| held != name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name)).map_err(told)?;
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(DiskError::Missing),
        }
    }
}

fn told(error: io::Error) -> DiskError {
    match error.kind() {
        io::ErrorKind::NotFound => DiskError::Missing,
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
            DiskError::NoSpace
        }
        _ => DiskError::Io(error.to_string()),
    }
}

impl Disk for Folder {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path).map_err(told)?.take(MAX_FILES + 1) {
            names.push(entry.map_err(told)?.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Vec<u8>, DiskError> {
        fs::read(self.path.join(name)).map_err(told)
    }

    fn create(&mut self, name: &str) -> Result<(), DiskError> {
        File::create(self.path.join(name)).map_err(told)?;
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.handle(name)?.write_all(bytes).map_err(told)
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<(), DiskError> {
        self.handle(name)?.set_len(len).map_err(told)
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        self.handle(name)?.sync_data().map_err(told)
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.open = None;
        fs::rename(self.path.join(from), self.path.join(to)).map_err(told)
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.open = None;
        fs::remove_file(self.path.join(name)).map_err(told)
    }

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        File::open(&self.path).and_then(|folder| folder.sync_all()).map_err(told)
    }
}
