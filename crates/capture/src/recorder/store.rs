//! Where the files of a ring are kept.

use sprucelink_policy::Timestamp;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// How the ring's files end.
pub const SUFFIX: &str = ".slc";

/// Where a ring's files are kept: a seam, so that tests can make every call fail.
pub trait Store: Send {
    /// Files of the ring, oldest first: name, bytes, Unix microseconds of the last write.
    fn list(&mut self) -> io::Result<Vec<(String, u64, Timestamp)>>;
    /// Begins a file; what is appended goes to it from now on.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to the file begun last.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Cuts the file begun last back to a length.
    fn cut(&mut self, len: u64) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Files in a folder.
pub struct Folder {
    dir: PathBuf,
    file: Option<std::fs::File>,
}

impl Folder {
    /// A folder, which is made if it does not exist when the first file is begun.
    pub fn new(dir: &Path) -> Folder {
        Folder { dir: dir.to_owned(), file: None }
    }
}

fn unix(t: std::time::SystemTime) -> Timestamp {
    Timestamp::from_micros(t.duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_micros() as i64)
}

impl Store for Folder {
    fn list(&mut self) -> io::Result<Vec<(String, u64, Timestamp)>> {
        let mut all = Vec::new();
        for entry in std::fs::read_dir(&self.dir)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            let meta = entry.metadata()?;
            if name.ends_with(SUFFIX) && meta.is_file() {
                all.push((name, meta.len(), unix(meta.modified()?)));
            }
        }
        // Names begin with the time, at full width.
        all.sort();
        Ok(all)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        std::fs::create_dir_all(&self.dir)?;
        self.file = Some(std::fs::File::create_new(self.dir.join(name))?);
        Ok(())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.as_mut().map_or_else(|| Err(io::ErrorKind::NotFound.into()), |f| f.write_all(bytes))
    }
    fn cut(&mut self, len: u64) -> io::Result<()> {
        self.file.as_mut().map_or(Ok(()), |f| f.set_len(len))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.dir.join(name))
    }
}
