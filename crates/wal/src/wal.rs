//! The log itself: opening it and writing to it.

use crate::disk::{Disk, DiskError};
use crate::error::WalError;
use crate::limits::MAX_SEGMENT_BYTES;
use crate::record::{self, Entry, Snapshot, WriteBatch, FIRST_PREVIOUS_CHECKSUM};
use crate::recovery::{self, CorruptRecord, TornTail};
use crate::segment::{self, Listing, Segment, TEMPORARY_NAME};

/// What an opened log holds.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Recovered {
    /// Sequence number of the last intact batch; 0 for a new directory.
    pub sequence: u64,
    /// The state in the last intact batch.
    pub state: Vec<u8>,
    /// The last snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries behind the snapshot, without gaps.
    pub entries: Vec<Entry>,
    /// What was truncated from the end, if anything was.
    pub torn_tail: Option<TornTail>,
}

/// Where the next record goes.
#[derive(Debug, Default)]
struct Tail {
    /// The segment's name; `None` before the first batch.
    segment: Option<String>,
    /// Length of the segment, bytes.
    length: u64,
    /// Sequence number of the last batch.
    sequence: u64,
    /// Checksum of the last record.
    checksum: u32,
}

/// An open write-ahead log. Batches are written in the order of their sequence numbers, each synced before the call returns.
#[derive(Debug)]
pub struct Wal<D> {
    disk: D,
    tail: Tail,
    failure: Option<DiskError>,
}

impl<D: Disk> Wal<D> {
    /// Opens the directory, recovers what it holds, and removes what a crash between two segments left behind.
    ///
    /// # Errors
    /// [`WalError::ForeignFile`], [`WalError::TooManyFiles`], [`WalError::Corrupt`] or [`WalError::Failed`]; each keeps the
    /// member out.
    pub fn open(disk: D) -> Result<(Self, Recovered), WalError> {
        let names = disk.list().map_err(WalError::Failed)?;
        let listing = Listing::parse(names)?;
        let mut wal = Wal { disk, tail: Tail::default(), failure: None };
        let recovered = match listing.newest {
            Some(segment) => wal.recover(segment)?,
            None => Recovered::default(),
        };
        // The rename of the newest segment is on disk, so older segments hold nothing that is not in it.
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
            sequence: content.sequence,
            checksum: content.checksum,
        };
        Ok(Recovered {
            sequence: content.sequence,
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

    /// Writes one batch and syncs it. Only after `Ok` may a message be sent that rests on it.
    ///
    /// # Errors
    /// [`WalError::WriteRejected`] and [`WalError::Full`]: nothing was written, the same number may be written again.
    /// [`WalError::OutOfOrder`]: a fault of the caller. [`WalError::Failed`]: from then on always.
    pub fn write(&mut self, batch: &WriteBatch) -> Result<(), WalError> {
        if let Some(error) = &self.failure {
            return Err(WalError::Failed(error.clone()));
        }
        let expected = self.tail.sequence + 1;
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
            // Part of the record may be in the file. Unless it is truncated, nothing may be written behind it.
            return Err(match self.disk.truncate(&segment, self.tail.length) {
                Ok(()) => WalError::WriteRejected(error),
                Err(_) => self.fail(error),
            });
        }
        if let Err(error) = self.disk.sync(&segment) {
            return Err(self.fail(error));
        }
        self.tail =
            Tail { segment: Some(segment), length, sequence: batch.sequence, checksum: record.checksum };
        Ok(())
    }

    fn start_segment(&mut self, batch: &WriteBatch) -> Result<(), WalError> {
        let record = record::encode(batch, FIRST_PREVIOUS_CHECKSUM).ok_or(WalError::Full)?;
        let name = segment::name(batch.sequence);
        if let Err(error) = self.write_temporary(&record.bytes) {
            // The old segment is unchanged. A temporary file that can't be removed now is removed when the log is opened.
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
            sequence: batch.sequence,
            checksum: record.checksum,
        };
        if let Some(old_segment) = old_segment {
            // Only to free space: a segment that is left behind is removed when the log is opened.
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

    /// Sequence number of the last batch on disk.
    pub fn last_sequence(&self) -> u64 {
        self.tail.sequence
    }

    /// Returns the disk.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// The disk, for a simulator that sets its faults.
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }
}
