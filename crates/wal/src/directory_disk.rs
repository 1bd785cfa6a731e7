//! The log's disk as a directory of the file system.

use crate::disk::{Disk, DiskError};
use crate::limits::MAX_FILES;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// A [`Disk`] that is a directory of the file system. The file that was last written stays open.
#[derive(Debug)]
pub struct DirectoryDisk {
    path: PathBuf,
    open_file: Option<(String, File)>,
}

impl DirectoryDisk {
    /// Opens a directory and creates it if it does not exist.
    ///
    /// # Errors
    /// The directory cannot be created.
    pub fn open(path: &Path) -> Result<Self, DiskError> {
        fs::create_dir_all(path)?;
        Ok(DirectoryDisk { path: path.to_owned(), open_file: None })
    }

    fn writable_file(&mut self, name: &str) -> Result<&mut File, DiskError> {
        if self.open_file.as_ref().is_none_or(|(open_name, _)| open_name != name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.open_file = Some((name.to_owned(), file));
        }
        match &mut self.open_file {
            Some((_, file)) => Ok(file),
            None => Err(DiskError::Missing),
        }
    }
}

impl Disk for DirectoryDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)?.take(MAX_FILES + 1) {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Vec<u8>, DiskError> {
        Ok(fs::read(self.path.join(name))?)
    }

    fn create(&mut self, name: &str) -> Result<(), DiskError> {
        File::create(self.path.join(name))?;
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        Ok(self.writable_file(name)?.write_all(bytes)?)
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<(), DiskError> {
        Ok(self.writable_file(name)?.set_len(length)?)
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        Ok(self.writable_file(name)?.sync_data()?)
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.open_file = None;
        Ok(fs::rename(self.path.join(from), self.path.join(to))?)
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.open_file = None;
        Ok(fs::remove_file(self.path.join(name))?)
    }

    fn sync_directory(&mut self) -> Result<(), DiskError> {
        Ok(File::open(&self.path)?.sync_all()?)
    }
}
