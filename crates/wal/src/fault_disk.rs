//! An in-memory disk whose faults are drawn from a seed, for simulators and tests.
//!
//! It models these faults: bytes and names that no sync has covered can be lost at a crash, partly or
//! completely; a lying sync succeeds and makes nothing durable; an append can fail after part of the bytes is
//! written; a bit can flip. Slow syncs are modelled by the simulator, which delays the report that a batch is
//! on disk.

use crate::disk::{Disk, DiskError};
use crate::segment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io;

/// Size of a disk sector, bytes: one sector of a torn tail may be zero.
const SECTOR_BYTES: usize = 512;

/// Identifies a file across renames.
type FileId = u64;

#[derive(Debug, Clone, Default)]
struct File {
    /// Content that a read returns.
    content: Vec<u8>,
    /// Content that survives a crash.
    synced: Vec<u8>,
}

/// The active faults. Without faults the disk is correct and loses all unsynced bytes at a crash.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Syncs succeed and make nothing durable. The data becomes durable at the next sync after this fault is
    /// unset.
    pub lying_sync: bool,
    /// Appends fail after part of the bytes is written.
    pub disk_full: bool,
    /// Syncs fail.
    pub failing_sync: bool,
    /// Part of the unsynced bytes survives a crash; the last append may be torn.
    pub torn_writes: bool,
}

/// An in-memory [`Disk`] with faults. After [`FaultDisk::crash`] it has the content that a restarted process
/// finds.
#[derive(Debug, Clone)]
pub struct FaultDisk {
    files: BTreeMap<FileId, File>,
    /// The file of each name, as a read sees it.
    names: BTreeMap<String, FileId>,
    /// The file of each name, as it survives a crash.
    synced_names: BTreeMap<String, FileId>,
    last_file_id: FileId,
    rng: ChaCha8Rng,
    /// The faults that are active now.
    pub faults: Faults,
    /// Number of syncs that succeeded without making anything durable.
    pub lied_syncs: u64,
    /// Number of file syncs that were called.
    pub file_syncs: u64,
}

impl FaultDisk {
    /// An empty disk without faults.
    pub fn new(seed: u64) -> Self {
        FaultDisk {
            files: BTreeMap::new(),
            names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            last_file_id: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: Faults::default(),
            lied_syncs: 0,
            file_syncs: 0,
        }
    }

    /// Crashes the process or the machine: data that no successful, non-lying sync covered is lost or torn.
    pub fn crash(&mut self) {
        let torn_writes = self.faults.torn_writes;
        if torn_writes && !self.faults.lying_sync && self.rng.gen_bool(0.5) {
            // Names may have reached the disk before any sync was called.
            self.synced_names.clone_from(&self.names);
        }
        self.names.clone_from(&self.synced_names);
        for file in self.files.values_mut() {
            let mut survived = file.synced.clone();
            if torn_writes {
                extend_with_torn_tail(&mut survived, &file.content, &mut self.rng);
            }
            file.content.clone_from(&survived);
            file.synced = survived;
        }
        self.drop_unnamed_files();
    }

    /// Flips one bit of the first `limit` bytes of a file, at a position drawn from the seed. Returns false
    /// when the range is empty or the file does not exist.
    pub fn flip_bit(&mut self, name: &str, limit: u64) -> bool {
        let Some(file) = self.names.get(name).and_then(|id| self.files.get_mut(id)) else { return false };
        let limit = file.synced.len().min(usize::try_from(limit).unwrap_or(usize::MAX));
        if limit == 0 {
            return false;
        }
        let offset = self.rng.gen_range(0..limit);
        let bit = self.rng.gen_range(0..8);
        file.synced[offset] ^= 1 << bit;
        file.content.clone_from(&file.synced);
        true
    }

    /// The name of the newest segment, if there is one.
    pub fn newest_segment(&self) -> Option<String> {
        self.names.keys().rfind(|name| name.starts_with(segment::PREFIX)).cloned()
    }

    fn file_mut(&mut self, name: &str) -> Result<&mut File, DiskError> {
        self.names.get(name).and_then(|id| self.files.get_mut(id)).ok_or(DiskError::Missing)
    }

    fn drop_unnamed_files(&mut self) {
        let named: Vec<FileId> = self.names.values().copied().collect();
        self.files.retain(|id, _| named.contains(id));
    }

    /// Whether a sync makes data durable; false for a lying sync.
    fn begin_sync(&mut self) -> Result<bool, DiskError> {
        if self.faults.failing_sync {
            return Err(io::Error::other("injected sync failure").into());
        }
        if self.faults.lying_sync {
            self.lied_syncs += 1;
            return Ok(false);
        }
        Ok(true)
    }
}

/// Appends part of the unsynced bytes of `content` to `survived`, the bytes that survive a crash; up to a
/// sector of the appended bytes may be zero.
fn extend_with_torn_tail(survived: &mut Vec<u8>, content: &[u8], rng: &mut ChaCha8Rng) {
    let synced_length = survived.len();
    if content.len() <= synced_length || !content.starts_with(survived) {
        return;
    }
    let torn_length = rng.gen_range(synced_length..content.len());
    survived.extend_from_slice(&content[synced_length..torn_length]);
    if torn_length > synced_length && rng.gen_bool(0.3) {
        let hole_start = rng.gen_range(synced_length..torn_length);
        survived[hole_start..].iter_mut().take(SECTOR_BYTES).for_each(|byte| *byte = 0);
    }
}

impl Disk for FaultDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>, DiskError> {
        let file = self.names.get(name).and_then(|id| self.files.get(id)).ok_or(DiskError::Missing)?;
        Ok(file.content.clone())
    }

    fn create(&mut self, name: &str) -> Result<(), DiskError> {
        self.last_file_id += 1;
        self.files.insert(self.last_file_id, File::default());
        self.names.insert(name.to_owned(), self.last_file_id);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let disk_full = self.faults.disk_full;
        let written = if disk_full { self.rng.gen_range(0..=bytes.len() / 2) } else { bytes.len() };
        self.file_mut(name)?.content.extend_from_slice(&bytes[..written]);
        if disk_full {
            return Err(DiskError::NoSpace);
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<(), DiskError> {
        self.file_mut(name)?.content.truncate(usize::try_from(length).unwrap_or(usize::MAX));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        self.file_syncs += 1;
        if self.begin_sync()? {
            let file = self.file_mut(name)?;
            file.synced.clone_from(&file.content);
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        let id = self.names.remove(from).ok_or(DiskError::Missing)?;
        self.names.insert(to.to_owned(), id);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.names.remove(name).map(|_| ()).ok_or(DiskError::Missing)
    }

    fn sync_directory(&mut self) -> Result<(), DiskError> {
        if self.begin_sync()? {
            self.synced_names.clone_from(&self.names);
            self.drop_unnamed_files();
        }
        Ok(())
    }
}
