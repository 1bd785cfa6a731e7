//! The folder that the processes of an instance share: the interface, and its implementation on disk.

use crate::file_name::{StateFileName, MAX_LISTED_ENTRIES};
use std::fs;
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// A folder with files that are replaced atomically. File names have the format of [`StateFileName`]; after
/// an error every file is unchanged.
pub trait StateFolder {
    /// Reads at most `max_bytes + 1` bytes of a file: the additional byte shows that the file is longer.
    ///
    /// # Errors
    /// A name that is not a state file's, a file that is not regular, or an error of the file system.
    fn read(&self, name: &str, max_bytes: usize) -> io::Result<Vec<u8>>;
    /// Replaces or creates a file: a reader sees either the complete old bytes or the complete new ones.
    ///
    /// # Errors
    /// A name that is not a state file's, or an error of the file system.
    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Removes a file; a missing file is not an error.
    ///
    /// # Errors
    /// A name that is not a state file's, or an error of the file system.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Names of the state files in the folder, including temporary ones, in any order.
    ///
    /// # Errors
    /// An error of the file system.
    fn list(&self) -> io::Result<Vec<String>>;
}

/// A folder of the file system: on the platform it is `$TMPDIR`, which is in memory.
///
/// Files are written under a temporary name and renamed, so that a process killed at any point leaves the old
/// file or the new one. Files are not synced: they only have to survive the end of the process, which does
/// not lose data in the kernel's page cache. A machine crash loses the folder or, on a real disk, may leave a
/// truncated file, which the checksum detects.
#[derive(Clone, Debug)]
pub struct DiskFolder {
    path: PathBuf,
}

impl DiskFolder {
    /// Creates a handle on the folder at `path`, which need not exist yet.
    pub fn new(path: impl Into<PathBuf>) -> DiskFolder {
        DiskFolder { path: path.into() }
    }

    /// Creates a handle on `$TMPDIR`, or on `/tmp` if it is not set.
    pub fn tmpdir() -> DiskFolder {
        DiskFolder::new(std::env::temp_dir())
    }

    /// Path of the folder, as given.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Path of a state file. Rejects names that lead out of the folder or to other programs' files.
    fn path_of(&self, name: &str) -> io::Result<PathBuf> {
        match StateFileName::parse(name) {
            Some(_) => Ok(self.path.join(name)),
            None => Err(io::Error::new(io::ErrorKind::InvalidInput, "not the name of a state file")),
        }
    }
}

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
        // Rejects pipes and links under the name: opening a pipe would block until it has a writer.
        if !fs::symlink_metadata(&path)?.is_file() {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "not a regular file"));
        }
        let mut bytes = Vec::new();
        fs::File::open(&path)?.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let path = self.path_of(name)?;
        let temporary = self.path_of(&StateFileName::temporary(name))?;
        // Removes whatever an earlier write or another program left under the temporary name; a link is not
        // followed.
        remove_if_exists(&temporary)?;
        let result = write_and_rename(&temporary, &path, bytes);
        if result.is_err() {
            // Frees the temporary file's space, which matters on a full disk. If this fails too, a later scan
            // finds the file and removes it.
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
