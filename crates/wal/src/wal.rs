//! The store itself: open, write, and what each failure means for the member.

use crate::disk::{Disk, DiskError};
use crate::limits::{MAX_FILES, MAX_GENERATION_BYTES};
use crate::record::{self, Base, Entry, Write};
use crate::scan::{self, Cut};
use std::fmt;

/// Name of a generation while it is written aside.
const ASIDE: &str = "aside";
/// Front of a generation's name; sixteen hexadecimal digits of its first write's number follow.
const FRONT: &str = "gen-";

/// Why the store could not do its work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerError {
    /// The folder holds what the ledger did not put there, or too many files.
    Foreign(String),
    /// A record before the last is damaged: nothing that the folder says can be trusted, and the member stays out
    /// until it is removed from the council and added anew with an empty folder and a new incarnation.
    Damaged {
        /// The generation's file.
        file: String,
        /// Where in it, bytes.
        at: u64,
        /// What is wrong there.
        reason: String,
    },
    /// Nothing of the write is on disk; it may be tried again, and nothing may be said on the strength of it.
    Refused(DiskError),
    /// The generation is at [`MAX_GENERATION_BYTES`], or the write over its bound: a write with a snapshot is due.
    Full,
    /// It is not known what is on disk. The process must stop and open the ledger anew: a sync that failed once
    /// must not be tried again, for the system may have dropped the pages that it could not write.
    Broken(DiskError),
    /// The write's number is not the next one.
    OutOfOrder {
        /// The number that was due.
        due: u64,
        /// The number that came.
        came: u64,
    },
}

impl fmt::Display for LedgerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LedgerError::Foreign(name) => write!(f, "not a ledger's folder: {name}"),
            LedgerError::Damaged { file, at, reason } => {
                write!(f, "{file} is damaged at byte {at}: {reason}")
            }
            LedgerError::Refused(error) => write!(f, "write refused: {error}"),
            LedgerError::Full => write!(f, "the ledger is full: a snapshot is due"),
            LedgerError::Broken(error) => write!(f, "what is on disk is unknown: {error}"),
            LedgerError::OutOfOrder { due, came } => write!(f, "write {came} came where {due} was due"),
        }
    }
}

impl std::error::Error for LedgerError {}

/// What an opened ledger gives back.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Restored {
    /// Number of the last good write; 0 for a new folder.
    pub seq: u64,
    /// The state of the last good write.
    pub state: Vec<u8>,
    /// The last snapshot.
    pub base: Option<Base>,
    /// The entries behind the snapshot, without gaps.
    pub entries: Vec<Entry>,
    /// What was cut off the end, if anything was.
    pub cut: Option<Cut>,
}

/// An open store. Writes come in order of their numbers, each synced before it counts.
#[derive(Debug)]
pub struct Ledger<D> {
    disk: D,
    file: Option<String>,
    len: u64,
    seq: u64,
    crc: u32,
    broken: Option<DiskError>,
}

impl<D: Disk> Ledger<D> {
    /// Opens the folder, brings back what it says, and clears away what a crash left between two generations.
    ///
    /// # Errors
    /// [`LedgerError::Foreign`], [`LedgerError::Damaged`] or [`LedgerError::Broken`]; each keeps the member out.
    pub fn open(disk: D) -> Result<(Self, Restored), LedgerError> {
        let names = disk.list().map_err(LedgerError::Broken)?;
        if names.len() > MAX_FILES {
            return Err(LedgerError::Foreign(format!("over {MAX_FILES} files")));
        }
        let mut generations = Vec::new();
        let mut aside = false;
        for name in names {
            match name.strip_prefix(FRONT).map(|digits| (digits.len(), u64::from_str_radix(digits, 16))) {
                Some((16, Ok(first))) => generations.push((first, name)),
                _ if name == ASIDE => aside = true,
                _ => return Err(LedgerError::Foreign(name)),
            }
        }
        generations.sort();
        let mut ledger = Ledger { disk, file: None, len: 0, seq: 0, crc: 0, broken: None };
        let mut restored = Restored::default();
        if let Some((first, name)) = generations.pop() {
            restored = ledger.take(first, name)?;
        }
        // Older generations are remains of a switch whose rename is on disk: all they say is in the newest.
        let remains: Vec<String> =
            generations.into_iter().map(|(_, name)| name).chain(aside.then(|| ASIDE.to_owned())).collect();
        for name in &remains {
            ledger.disk.remove(name).map_err(LedgerError::Broken)?;
        }
        if !remains.is_empty() {
            ledger.disk.sync_folder().map_err(LedgerError::Broken)?;
        }
        Ok((ledger, restored))
    }

    fn take(&mut self, first: u64, name: String) -> Result<Restored, LedgerError> {
        let bytes = self.disk.read(&name).map_err(LedgerError::Broken)?;
        let damaged = |at, reason| LedgerError::Damaged { file: name.clone(), at, reason };
        let scan = scan::scan(&bytes, Some(first)).map_err(|(at, reason)| damaged(at, reason))?;
        if scan.len == 0 {
            // A generation gets its name only when its first record is synced, so it can't have been torn.
            return Err(damaged(0, "the first record is not whole".to_owned()));
        }
        if scan.cut.is_some() {
            self.disk.truncate(&name, scan.len).map_err(LedgerError::Broken)?;
            self.disk.sync(&name).map_err(LedgerError::Broken)?;
        }
        (self.file, self.len, self.seq, self.crc) = (Some(name), scan.len, scan.seq, scan.crc);
        Ok(Restored {
            seq: scan.seq,
            state: scan.state,
            base: scan.base,
            entries: scan.entries,
            cut: scan.cut,
        })
    }

    /// Puts one write on disk and syncs it. Only after `Ok` may anything go out that rests on it.
    ///
    /// # Errors
    /// [`LedgerError::Refused`] and [`LedgerError::Full`]: nothing was written, the same number may come again.
    /// [`LedgerError::OutOfOrder`]: a fault of the caller. [`LedgerError::Broken`]: from here on always.
    pub fn write(&mut self, write: &Write) -> Result<(), LedgerError> {
        if let Some(error) = &self.broken {
            return Err(LedgerError::Broken(error.clone()));
        }
        if write.seq != self.seq + 1 {
            return Err(LedgerError::OutOfOrder { due: self.seq + 1, came: write.seq });
        }
        match &self.file {
            Some(name) if write.base.is_none() => self.append(name.clone(), write),
            _ => self.begin_generation(write),
        }
    }

    fn append(&mut self, name: String, write: &Write) -> Result<(), LedgerError> {
        let (bytes, crc) = record::encode(write, self.crc).ok_or(LedgerError::Full)?;
        if self.len + bytes.len() as u64 > MAX_GENERATION_BYTES {
            return Err(LedgerError::Full);
        }
        if let Err(error) = self.disk.append(&name, &bytes) {
            // Part of the record may be there; it is taken back, or else nothing more may be written behind it.
            let back = self.disk.truncate(&name, self.len);
            return Err(match back {
                Ok(()) => LedgerError::Refused(error),
                Err(_) => self.broke(error),
            });
        }
        if let Err(error) = self.disk.sync(&name) {
            return Err(self.broke(error));
        }
        (self.len, self.seq, self.crc) = (self.len + bytes.len() as u64, write.seq, crc);
        Ok(())
    }

    fn begin_generation(&mut self, write: &Write) -> Result<(), LedgerError> {
        let (bytes, crc) = record::encode(write, 0).ok_or(LedgerError::Full)?;
        let name = format!("{FRONT}{:016x}", write.seq);
        let written = self.disk.create(ASIDE).and_then(|()| self.disk.append(ASIDE, &bytes));
        if let Err(error) = written {
            // The old generation stands as it was; what is aside is cleared away, now or at the next start.
            let _ = self.disk.remove(ASIDE);
            return Err(LedgerError::Refused(error));
        }
        let switched = self
            .disk
            .sync(ASIDE)
            .and_then(|()| self.disk.rename(ASIDE, &name))
            .and_then(|()| self.disk.sync_folder());
        if let Err(error) = switched {
            return Err(self.broke(error));
        }
        let old = self.file.replace(name);
        (self.len, self.seq, self.crc) = (bytes.len() as u64, write.seq, crc);
        if let Some(old) = old {
            // Not needed for anything but room: left behind, it goes at the next start.
            let _ = self.disk.remove(&old);
        }
        Ok(())
    }

    fn broke(&mut self, error: DiskError) -> LedgerError {
        self.broken = Some(error.clone());
        LedgerError::Broken(error)
    }

    /// Bytes of the generation.
    pub fn bytes(&self) -> u64 {
        self.len
    }

    /// Number of the last write on disk.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Gives the disk back.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// The disk, for a simulator that sets its faults.
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }
}
