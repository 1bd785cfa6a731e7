//! A disk in memory whose faults come from a seed: for simulators and tests.
//!
//! What it models: bytes and names that no sync has covered may be lost at a crash, in part or whole; a sync that
//! lies answers well and covers nothing; an append can be refused with part of it written; a bit can turn. Slow
//! syncs are the simulator's matter: it holds back the word that a write is on disk.

use crate::disk::{Disk, DiskError};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

#[derive(Debug, Clone, Default)]
struct File {
    now: Vec<u8>,
    lasting: Vec<u8>,
}

/// Which faults are on. All off is an honest disk whose unsynced bytes are lost whole at a crash.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Syncs answer well and make nothing last, until this is off again and a sync comes.
    pub lying: bool,
    /// Appends are refused, with part of the bytes written.
    pub full: bool,
    /// Syncs fail.
    pub failing_sync: bool,
    /// At a crash some of what no sync covered is there after all, the last append torn in the middle.
    pub torn: bool,
}

/// The disk. A crash is [`FaultDisk::crash`]; what a restarted process finds is the disk after it.
#[derive(Debug, Clone)]
pub struct FaultDisk {
    files: BTreeMap<u64, File>,
    names: BTreeMap<String, u64>,
    lasting: BTreeMap<String, u64>,
    next: u64,
    rng: ChaCha8Rng,
    /// Faults from here on.
    pub faults: Faults,
    /// Syncs that lied so far.
    pub lies: u64,
    /// Syncs of files that were asked for.
    pub syncs: u64,
}

impl FaultDisk {
    /// An empty, honest disk.
    pub fn new(seed: u64) -> Self {
        FaultDisk {
            files: BTreeMap::new(),
            names: BTreeMap::new(),
            lasting: BTreeMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: Faults::default(),
            lies: 0,
            syncs: 0,
        }
    }

    /// The process or machine goes down: what no honest sync covered is lost, or torn.
    pub fn crash(&mut self) {
        let torn = self.faults.torn;
        if torn && !self.faults.lying && self.rng.gen_bool(0.5) {
            // Names may have reached the disk before anybody asked for it.
            self.lasting.clone_from(&self.names);
        }
        self.names.clone_from(&self.lasting);
        for file in self.files.values_mut() {
            let mut after = file.lasting.clone();
            if torn && file.now.len() > after.len() && file.now.starts_with(&after) {
                let kept = self.rng.gen_range(after.len()..file.now.len());
                after.extend_from_slice(&file.now[after.len()..kept]);
                if kept > file.lasting.len() && self.rng.gen_bool(0.3) {
                    // A sector of the torn tail that never got its bytes.
                    let from = self.rng.gen_range(file.lasting.len()..kept);
                    after[from..].iter_mut().take(512).for_each(|byte| *byte = 0);
                }
            }
            file.now.clone_from(&after);
            file.lasting = after;
        }
        let held: Vec<u64> = self.names.values().copied().collect();
        self.files.retain(|id, _| held.contains(id));
    }

    /// Turns one bit of a file at a place chosen by the seed, below `limit` bytes. False when there is none.
    pub fn turn_bit(&mut self, name: &str, limit: u64) -> bool {
        let Some(file) = self.names.get(name).and_then(|id| self.files.get_mut(id)) else { return false };
        let limit = file.lasting.len().min(usize::try_from(limit).unwrap_or(usize::MAX));
        if limit == 0 {
            return false;
        }
        let (at, bit) = (self.rng.gen_range(0..limit), self.rng.gen_range(0..8));
        file.lasting[at] ^= 1 << bit;
        file.now.clone_from(&file.lasting);
        true
    }

    /// The name of the newest generation, if there is one.
    pub fn newest(&self) -> Option<String> {
        self.names.keys().rfind(|name| name.starts_with("gen-")).cloned()
    }

    fn file(&mut self, name: &str) -> Result<&mut File, DiskError> {
        self.names.get(name).and_then(|id| self.files.get_mut(id)).ok_or(DiskError::Missing)
    }
}

impl Disk for FaultDisk {
    fn list(&self) -> Result<Vec<String>, DiskError> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>, DiskError> {
        let file = self.names.get(name).and_then(|id| self.files.get(id)).ok_or(DiskError::Missing)?;
        Ok(file.now.clone())
    }

    fn create(&mut self, name: &str) -> Result<(), DiskError> {
        self.next += 1;
        self.files.insert(self.next, File::default());
        self.names.insert(name.to_owned(), self.next);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let part = if self.faults.full { self.rng.gen_range(0..=bytes.len() / 2) } else { bytes.len() };
        let full = self.faults.full;
        self.file(name)?.now.extend_from_slice(&bytes[..part]);
        if full {
            return Err(DiskError::NoSpace);
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<(), DiskError> {
        self.file(name)?.now.truncate(usize::try_from(len).unwrap_or(usize::MAX));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        self.syncs += 1;
        if self.faults.failing_sync {
            return Err(DiskError::Io("input/output error".to_owned()));
        }
        if self.faults.lying {
            self.lies += 1;
            return Ok(());
        }
        let file = self.file(name)?;
        file.lasting.clone_from(&file.now);
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

    fn sync_folder(&mut self) -> Result<(), DiskError> {
        if self.faults.failing_sync {
            return Err(DiskError::Io("input/output error".to_owned()));
        }
        if self.faults.lying {
            self.lies += 1;
            return Ok(());
        }
        self.lasting.clone_from(&self.names);
        let held: Vec<u64> = self.names.values().copied().collect();
        self.files.retain(|id, _| held.contains(id));
        Ok(())
    }
}
