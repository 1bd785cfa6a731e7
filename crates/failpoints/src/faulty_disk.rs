//! A state machine that delays, tears or fails the writes of a store as a faulty disk would. It performs no
//! I/O: the store passes each write in and performs the returned writes in order. Without a fault every write
//! is returned unchanged.

use crate::fault_file::{DiskErrorKind, DiskFaults};
use std::collections::VecDeque;
use std::io;

/// Maximum total size of delayed writes, in bytes; beyond this size the oldest writes reach the file.
pub const MAX_DELAYED_BYTES: usize = 16 << 20;

/// Bytes to be written at an offset of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Offset from the beginning of the file.
    pub offset: u64,
    /// Bytes to be written.
    pub bytes: Vec<u8>,
}

impl Write {
    /// Offset of the first byte after the write.
    fn end(&self) -> u64 {
        self.offset + self.bytes.len() as u64
    }
}

/// A failed write: the store must perform the writes in `partial` and then return the error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedWrite {
    /// Writes that reach the file before the error.
    pub partial: Vec<Write>,
    /// Kind of the error that the store must return.
    pub kind: DiskErrorKind,
}

impl FailedWrite {
    /// Converts to the error that a file would return.
    pub fn to_io_error(&self) -> io::Error {
        match self.kind {
            DiskErrorKind::Enospc => {
                io::Error::new(io::ErrorKind::StorageFull, "no space left on device (fault file)")
            }
            DiskErrorKind::Eio => io::Error::other("input/output error (fault file)"),
        }
    }
}

/// A faulty disk that holds one file.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk {
    faults: DiskFaults,
    accepted_bytes: u64,
    delayed: VecDeque<Write>,
    delayed_bytes: usize,
}

impl FaultyDisk {
    /// Creates a disk with the given faults when the store is opened.
    pub fn new(faults: DiskFaults) -> FaultyDisk {
        FaultyDisk { faults, ..FaultyDisk::default() }
    }

    /// Accepts a write and returns the writes that reach the file now.
    ///
    /// # Errors
    /// The disk is full or fails; the error contains the writes that still reach the file.
    pub fn write(&mut self, offset: u64, bytes: &[u8]) -> Result<Vec<Write>, FailedWrite> {
        let capacity = self.remaining_capacity();
        if bytes.len() as u64 > capacity {
            return Err(self.fail_write(offset, bytes, capacity));
        }
        self.accepted_bytes += bytes.len() as u64;
        if self.faults.delayed_writes > 0 {
            return Ok(self.delay_write(offset, bytes));
        }
        if self.faults.torn_bytes > 0 {
            return Ok(self.tear(offset, bytes));
        }
        Ok(vec![Write { offset, bytes: bytes.to_vec() }])
    }

    /// Applies delayed writes to `contents`, which were read from the file at `offset`, so that a store reads
    /// its own writes.
    pub fn overlay(&self, offset: u64, contents: &mut [u8]) {
        let contents_end = offset + contents.len() as u64;
        for write in &self.delayed {
            let start = write.offset.max(offset);
            let end = write.end().min(contents_end);
            if start < end {
                let range_from = |base: u64| (start - base) as usize..(end - base) as usize;
                contents[range_from(offset)].copy_from_slice(&write.bytes[range_from(write.offset)]);
            }
        }
    }

    /// Length of the file including delayed writes, as the store must see it; `file_length` is the length on
    /// disk.
    pub fn visible_length(&self, file_length: u64) -> u64 {
        self.delayed.iter().map(Write::end).fold(file_length, u64::max)
    }

    /// Removes and returns the delayed writes in order. A clean shutdown performs them; a crash loses them.
    pub fn drain(&mut self) -> Vec<Write> {
        self.delayed_bytes = 0;
        self.delayed.drain(..).collect()
    }

    fn remaining_capacity(&self) -> u64 {
        match self.faults.full_after {
            Some(capacity) => capacity.saturating_sub(self.accepted_bytes),
            None => u64::MAX,
        }
    }

    /// Releases all delayed writes, and the part of this write that fits.
    fn fail_write(&mut self, offset: u64, bytes: &[u8], capacity: u64) -> FailedWrite {
        self.accepted_bytes += capacity;
        let mut partial = self.drain();
        // The cast is lossless: the capacity is less than the length of a slice.
        partial.push(Write { offset, bytes: bytes[..capacity as usize].to_vec() });
        partial.retain(|write| !write.bytes.is_empty());
        FailedWrite { partial, kind: self.faults.write_error }
    }

    /// Delays this write and releases the writes that are no longer among the latest `delayed_writes`.
    fn delay_write(&mut self, offset: u64, bytes: &[u8]) -> Vec<Write> {
        self.push_delayed(Write { offset, bytes: bytes.to_vec() });
        let mut released = Vec::new();
        while self.delayed.len() > self.faults.delayed_writes as usize
            || self.delayed_bytes > MAX_DELAYED_BYTES
        {
            released.extend(self.pop_oldest());
        }
        released
    }

    /// Delays the end of this write, and releases the end of the previous write and the beginning of this
    /// one.
    fn tear(&mut self, offset: u64, bytes: &[u8]) -> Vec<Write> {
        let mut released = self.drain();
        let torn = usize::try_from(self.faults.torn_bytes).unwrap_or(usize::MAX);
        let beginning_length = bytes.len().saturating_sub(torn);
        let (beginning, end) = bytes.split_at(beginning_length);
        self.push_delayed(Write { offset: offset + beginning_length as u64, bytes: end.to_vec() });
        released.push(Write { offset, bytes: beginning.to_vec() });
        released.retain(|write| !write.bytes.is_empty());
        released
    }

    fn push_delayed(&mut self, write: Write) {
        self.delayed_bytes += write.bytes.len();
        self.delayed.push_back(write);
    }

    fn pop_oldest(&mut self) -> Option<Write> {
        let write = self.delayed.pop_front()?;
        self.delayed_bytes -= write.bytes.len();
        Some(write)
    }
}
