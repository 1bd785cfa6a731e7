//! The write-ahead log: opening and writing.

use crate::disk::{Disk, DiskError};
use crate::error::WalError;
use crate::limits::MAX_SEGMENT_BYTES;
use crate::record::{self, Entry, Snapshot, WriteBatch, FIRST_PREVIOUS_CHECKSUM};
use crate::recovery::{self, CorruptRecord, TornTail};
use crate::segment::{self, Listing, Segment, TEMPORARY_NAME};

/// Content of an opened log.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Recovered {
    /// Sequence number of the last intact batch; 0 for a new directory.
    pub last_sequence: u64,
    /// The state in the last intact batch.
    pub state: Vec<u8>,
    /// The last snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
    /// The torn tail that was truncated, if there was one.
    pub torn_tail: Option<TornTail>,
}

/// The end of the log, where the next record is appended.
#[derive(Debug, Default)]
struct Tail {
    /// Name of the current segment; `None` before the first batch.
    segment: Option<String>,
    /// Length of the current segment, bytes.
    length: u64,
    /// Sequence number of the last batch; 0 before the first batch.
    last_sequence: u64,
    /// Checksum of the last record.
    checksum: u32,
}

/// An open write-ahead log. Batches are written in the order of their sequence numbers, each synced before
/// the call returns.
#[derive(Debug)]
pub struct Wal<D> {
    disk: D,
    tail: Tail,
    /// The error after which every write fails.
    failure: Option<DiskError>,
}

impl<D: Disk> Wal<D> {
    /// Opens the directory, recovers its content, and removes files that a crash during a change of segments
    /// left behind.
    ///
    /// # Errors
    /// [`WalError::ForeignFile`], [`WalError::TooManyFiles`], [`WalError::Corrupt`] or [`WalError::Failed`];
    /// after each of them the log can't be used.
    pub fn open(disk: D) -> Result<(Self, Recovered), WalError> {
        let names = disk.list().map_err(WalError::Failed)?;
        let listing = Listing::parse(names)?;
        let mut wal = Wal { disk, tail: Tail::default(), failure: None };
        let recovered = match listing.newest {
            Some(segment) => wal.recover(segment)?,
            None => Recovered::default(),
        };
        // The rename of the newest segment is on disk, and the segment contains everything needed from older
        // ones.
        wal.remove_all(&listing.leftovers).map_err(WalError::Failed)?;
        Ok((wal, recovered))
    }

    fn recover(&mut self, segment: Segment) -> Result<Recovered, WalError> {
        let name = segment.name;
        let bytes = self.disk.read(&name).map_err(WalError::Failed)?;
        let content = match recovery::read_segment(&bytes, segment.first_sequence) {
            Ok(content) => content,
            Err(CorruptRecord { offset, reason }) => {
                return Err(WalError::Corrupt { segment: name, offset, reason });
            }
        };
        if content.torn_tail.is_some() {
            self.disk.truncate(&name, content.length).map_err(WalError::Failed)?;
            self.disk.sync(&name).map_err(WalError::Failed)?;
        }
        self.tail = Tail {
            segment: Some(name),
            length: content.length,
            last_sequence: content.last_sequence,
            checksum: content.checksum,
        };
        Ok(Recovered {
            last_sequence: content.last_sequence,
            state: content.state,
            snapshot: content.snapshot,
            entries: content.entries,
            torn_tail: content.torn_tail,
        })
    }

    fn remove_all(&mut self, names: &[String]) -> Result<(), DiskError> {
        if names.is_empty() {
            return Ok(());
        }
        for name in names {
            self.disk.remove(name)?;
        }
        self.disk.sync_directory()
    }

    /// Writes one batch and syncs it. A message that depends on the batch may be sent only after `Ok`.
    ///
    /// # Errors
    /// [`WalError::WriteRejected`] and [`WalError::Full`]: nothing was written; a batch with the same
    /// sequence number may be written again. [`WalError::OutOfOrder`]: the caller passed a wrong sequence
    /// number. [`WalError::Failed`]: every later call fails too.
    pub fn write(&mut self, batch: &WriteBatch) -> Result<(), WalError> {
        if let Some(error) = &self.failure {
            return Err(WalError::Failed(error.clone()));
        }
        let expected = self.tail.last_sequence + 1;
        if batch.sequence != expected {
            return Err(WalError::OutOfOrder { expected, found: batch.sequence });
        }
        match &self.tail.segment {
            Some(segment) if batch.snapshot.is_none() => self.append_record(segment.clone(), batch),
            _ => self.start_segment(batch),
        }
    }

    fn append_record(&mut self, segment: String, batch: &WriteBatch) -> Result<(), WalError> {
        let record = record::encode(batch, self.tail.checksum).ok_or(WalError::Full)?;
        let length = self.tail.length + record.bytes.len() as u64;
        if length > MAX_SEGMENT_BYTES {
            return Err(WalError::Full);
        }
        if let Err(error) = self.disk.append(&segment, &record.bytes) {
            // Part of the record may be in the file. Unless it is truncated, nothing may be written after it.
            return Err(match self.disk.truncate(&segment, self.tail.length) {
                Ok(()) => WalError::WriteRejected(error),
                Err(_) => self.fail(error),
            });
        }
        if let Err(error) = self.disk.sync(&segment) {
            return Err(self.fail(error));
        }
        self.tail =
            Tail { segment: Some(segment), length, last_sequence: batch.sequence, checksum: record.checksum };
        Ok(())
    }

    fn start_segment(&mut self, batch: &WriteBatch) -> Result<(), WalError> {
        let record = record::encode(batch, FIRST_PREVIOUS_CHECKSUM).ok_or(WalError::Full)?;
        let name = segment::name(batch.sequence);
        if let Err(error) = self.write_temporary(&record.bytes) {
            // The old segment is unchanged. A temporary file that can't be removed now is removed when the
            // log is next opened.
            let _ = self.disk.remove(TEMPORARY_NAME);
            return Err(WalError::WriteRejected(error));
        }
        if let Err(error) = self.publish_temporary(&name) {
            return Err(self.fail(error));
        }
        let old_segment = self.tail.segment.take();
        self.tail = Tail {
            segment: Some(name),
            length: record.bytes.len() as u64,
            last_sequence: batch.sequence,
            checksum: record.checksum,
        };
        if let Some(old_segment) = old_segment {
            // This only frees space: a segment that remains is removed when the log is next opened.
            let _ = self.disk.remove(&old_segment);
        }
        Ok(())
    }

    fn write_temporary(&mut self, bytes: &[u8]) -> Result<(), DiskError> {
        self.disk.create(TEMPORARY_NAME)?;
        self.disk.append(TEMPORARY_NAME, bytes)
    }

    fn publish_temporary(&mut self, name: &str) -> Result<(), DiskError> {
        self.disk.sync(TEMPORARY_NAME)?;
        self.disk.rename(TEMPORARY_NAME, name)?;
        self.disk.sync_directory()
    }

    fn fail(&mut self, error: DiskError) -> WalError {
        self.failure = Some(error.clone());
        WalError::Failed(error)
    }

    /// Length of the current segment, bytes.
    pub fn segment_bytes(&self) -> u64 {
        self.tail.length
    }

    /// Sequence number of the last batch on disk; 0 before the first batch.
    pub fn last_sequence(&self) -> u64 {
        self.tail.last_sequence
    }

    /// Closes the log and returns its disk.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// The disk, for a simulator that sets its faults.
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }
}
