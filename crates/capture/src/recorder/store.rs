//! Storage of the recorder's files: a trait, and its implementation by a directory.

use crate::file_name::SUFFIX;
use crate::ring::RingFile;
use sprucelink_policy::Timestamp;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Stores the files of a ring. This is a trait so that tests can make every call fail.
pub trait SegmentStore: Send {
    /// The files of the ring, oldest first.
    fn list(&mut self) -> io::Result<Vec<RingFile>>;
    /// Creates a file. Later calls of [`append`](SegmentStore::append) and
    /// [`truncate`](SegmentStore::truncate) apply to it.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to the file that was created last.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Truncates the file that was created last to a length in bytes.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A directory of capture files.
pub struct DirectoryStore {
    dir: PathBuf,
    /// The file that was created last.
    file: Option<std::fs::File>,
}

impl DirectoryStore {
    /// A store in `dir`, which is created with the first file if it does not exist.
    pub fn new(dir: &Path) -> DirectoryStore {
        DirectoryStore { dir: dir.to_owned(), file: None }
    }
}

fn to_timestamp(time: std::time::SystemTime) -> Timestamp {
    Timestamp::from_micros(time.duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_micros() as i64)
}

impl SegmentStore for DirectoryStore {
    fn list(&mut self) -> io::Result<Vec<RingFile>> {
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&self.dir)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            let metadata = entry.metadata()?;
            if name.ends_with(SUFFIX) && metadata.is_file() {
                let modified_at = to_timestamp(metadata.modified()?);
                files.push(RingFile { name, bytes: metadata.len(), modified_at });
            }
        }
        // Names begin with the time in a fixed width, so they sort by time.
        files.sort();
        Ok(files)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        std::fs::create_dir_all(&self.dir)?;
        self.file = Some(std::fs::File::create_new(self.dir.join(name))?);
        Ok(())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(file) = &mut self.file else { return Err(io::ErrorKind::NotFound.into()) };
        file.write_all(bytes)
    }
    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.as_mut().map_or(Ok(()), |file| file.set_len(length))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.dir.join(name))
    }
}
