//! The folder that processes share, as a seam: the real one here, one with faults in `faulty`.

use crate::names::{FileName, LISTED_MOST};
use std::fs;
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// A folder with files that are replaced whole. Names are those of [`FileName`]; an error leaves every file as it was.
pub trait Folder {
    /// A file's bytes, the first `most` and one more of them: what is longer shows as longer.
    fn read(&self, name: &str, most: usize) -> io::Result<Vec<u8>>;
    /// Puts bytes in the place of a file, or makes it: whoever reads sees the old bytes or the new ones, whole.
    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Removes a file; one that is not there is no error.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Names of the files here that are handovers', temporary ones among them, in any order.
    fn list(&self) -> io::Result<Vec<String>>;
}

/// A folder of the file system: `$TMPDIR` on the platform, which is in memory.
///
/// Files are written under a temporary name and renamed, so that a process killed at any point leaves the old file or
/// the new one. Nothing is synced: what must be survived is the end of a process, after which the kernel still
/// has every byte; a machine that goes down takes the folder with it, or, on a real disk, may leave a file that is
/// cut, and the checksum refuses that.
#[derive(Clone, Debug)]
pub struct DiskFolder {
    path: PathBuf,
}

impl DiskFolder {
    /// That folder.
    pub fn new(path: impl Into<PathBuf>) -> DiskFolder {
        DiskFolder { path: path.into() }
    }

    /// `$TMPDIR`, or `/tmp` where that is not set.
    pub fn tmpdir() -> DiskFolder {
        DiskFolder::new(std::env::temp_dir())
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Guards against names that lead out of the folder or to others' files.
    fn at(&self, name: &str) -> io::Result<PathBuf> {
        match FileName::parse(name) {
            Some(_) => Ok(self.path.join(name)),
            None => Err(io::Error::new(io::ErrorKind::InvalidInput, "no handover's name")),
        }
    }
}

fn gone_is_fine(e: io::Error) -> io::Result<()> {
    match e.kind() {
        io::ErrorKind::NotFound => Ok(()),
        _ => Err(e),
    }
}

impl Folder for DiskFolder {
    fn read(&self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let path = self.at(name)?;
        // Guards against a pipe or a link laid under the name: opening a pipe would wait for its writer.
        if !fs::symlink_metadata(&path)?.is_file() {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "no regular file"));
        }
        let mut bytes = Vec::new();
        fs::File::open(&path)?.take(most as u64 + 1).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn replace(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let (path, temp) = (self.at(name)?, self.at(&FileName::temp_of(name))?);
        // What an earlier write left, and whatever another laid under the name: it is made anew, never followed.
        fs::remove_file(&temp).or_else(gone_is_fine)?;
        let written = fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(&temp);
        let written = written.and_then(|mut file| file.write_all(bytes));
        let written = written.and_then(|()| fs::rename(&temp, &path));
        if written.is_err() {
            // A full folder gets its room back; if that fails, too, the file is seen and removed in time.
            let _ = fs::remove_file(&temp);
        }
        written
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.at(name)?).or_else(gone_is_fine)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)?.take(LISTED_MOST) {
            let name = entry?.file_name();
            names.extend(name.to_str().filter(|n| FileName::parse(n).is_some()).map(str::to_owned));
        }
        Ok(names)
    }
}
