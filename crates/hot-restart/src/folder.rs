//! The folder that the processes of an instance share: the interface, and its implementation on disk.

use crate::file_name::{StateFileName, MAX_LISTED_ENTRIES};
use std::fs;
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// A folder with files that are replaced atomically. Names are those of [`StateFileName`]; an error leaves every file as
/// it was.
pub trait StateFolder {
    /// The first `max_bytes` bytes of a file and one more of them, so that a longer file shows as longer.
    ///
    /// # Errors
    /// A name that is no state file's, no regular file, or an error of the file system.
    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>>;
    /// Replaces or creates a file: a reader sees the old bytes or the new ones, complete.
    ///
    /// # Errors
    /// A name that is no state file's, or an error of the file system.
    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Removes a file; one that does not exist is no error.
    ///
    /// # Errors
    /// A name that is no state file's, or an error of the file system.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Names of the state files in the folder, temporary ones among them, in any order.
    ///
    /// # Errors
    /// An error of the file system.
    fn list(&self) -> io::Result<Vec<String>>;
}

/// A folder of the file system: `$TMPDIR` on the platform, which is in memory.
///
/// Files are written under a temporary name and renamed, so that a process killed at any point leaves the old file or
/// the new one. Nothing is synced: the files only have to survive the end of a process, after which the kernel still has
/// every byte; a machine crash loses the folder, or, on a real disk, may leave a truncated file, which the checksum
/// rejects.
#[derive(Clone, Debug)]
pub struct DiskFolder {
    path: PathBuf,
}

impl DiskFolder {
    /// The folder at a path, which need not exist yet.
    pub fn new(path: impl Into<PathBuf>) -> DiskFolder {
        DiskFolder { path: path.into() }
    }

    /// `$TMPDIR`, or `/tmp` where that is not set.
    pub fn tmpdir() -> DiskFolder {
        DiskFolder::new(std::env::temp_dir())
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Guards against names that lead out of the folder or to other programs' files.
    fn path_of(&self, name: &str) -> io::Result<PathBuf> {
        match StateFileName::parse(name) {
            Some(_) => Ok(self.path.join(name)),
            None => Err(io::Error::new(io::ErrorKind::InvalidInput, "no handover's name")),
        }
    }
}

/// Removes a file; one that does not exist is no error.
fn remove_if_exists(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

fn write_and_rename(temporary: &Path, path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(temporary)?;
    file.write_all(bytes)?;
    fs::rename(temporary, path)
}

impl StateFolder for DiskFolder {
    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>> {
        let path = self.path_of(name)?;
        // Guards against a pipe or a link under the name: opening a pipe would wait for its writer.
        if !fs::symlink_metadata(&path)?.is_file() {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "no regular file"));
        }
        let mut bytes = Vec::new();
        fs::File::open(&path)?.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let path = self.path_of(name)?;
        let temporary = self.path_of(&StateFileName::temporary(name))?;
        // What an earlier write left, or somebody else put under the name, is removed and never followed.
        remove_if_exists(&temporary)?;
        let result = write_and_rename(&temporary, &path, bytes);
        if result.is_err() {
            // Gives a full folder its space back; if that fails, too, the file is seen and removed in time.
            let _ = fs::remove_file(&temporary);
        }
        result
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        remove_if_exists(&self.path_of(name)?)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)?.take(MAX_LISTED_ENTRIES) {
            let file_name = entry?.file_name();
            let Some(name) = file_name.to_str() else { continue };
            if StateFileName::parse(name).is_some() {
                names.push(name.to_owned());
            }
        }
        Ok(names)
    }
}
