//! What a faulty disk does with a store's writes. It decides and writes nothing: the store hands each write over and
//! carries out what comes back, in order. With no fault all comes back as it was.

use crate::file::{Disk, Refusal};
use std::collections::VecDeque;

/// Bytes held back at most; beyond it the oldest writes reach the file.
pub const MOST_HELD_BYTES: usize = 16 << 20;

/// Bytes for a place in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The place.
    pub at: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// A write that the disk refuses: the store must carry out `first` and then give the error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// What reaches the file all the same.
    pub first: Vec<Write>,
    /// What the disk says.
    pub says: Refusal,
}

impl Refused {
    /// The error as a file gives it.
    pub fn error(&self) -> std::io::Error {
        match self.says {
            Refusal::Enospc => {
                std::io::Error::new(std::io::ErrorKind::StorageFull, "no space left on device (fault file)")
            }
            Refusal::Eio => std::io::Error::other("input/output error (fault file)"),
        }
    }
}

/// A disk with faults, under one file.
#[derive(Clone, Debug, Default)]
pub struct DiskSeam {
    fault: Disk,
    taken: u64,
    held: VecDeque<Write>,
    held_bytes: usize,
}

impl DiskSeam {
    /// A disk as the fault file has it, at the store's opening.
    pub fn new(fault: Disk) -> DiskSeam {
        DiskSeam { fault, ..DiskSeam::default() }
    }

    /// A write: what reaches the file now.
    ///
    /// # Errors
    /// Where the disk is full or fails: the part of it that still reaches the file.
    pub fn write(&mut self, at: u64, bytes: &[u8]) -> Result<Vec<Write>, Refused> {
        let room = self.fault.full_after.map_or(u64::MAX, |most| most.saturating_sub(self.taken));
        if bytes.len() as u64 > room {
            self.taken += room;
            let mut first = self.drain();
            // The cast holds: room is less than a length.
            first.push(Write { at, bytes: bytes[..room as usize].to_vec() });
            first.retain(|w| !w.bytes.is_empty());
            return Err(Refused { first, says: self.fault.refusal });
        }
        self.taken += bytes.len() as u64;
        let whole = Write { at, bytes: bytes.to_vec() };
        let mut out = Vec::new();
        if self.fault.hold_back > 0 {
            self.hold(whole);
            while self.held.len() > self.fault.hold_back as usize || self.held_bytes > MOST_HELD_BYTES {
                out.extend(self.oldest());
            }
        } else if self.fault.torn > 0 {
            out = self.drain();
            let keep = bytes.len().saturating_sub(usize::try_from(self.fault.torn).unwrap_or(usize::MAX));
            let (now, later) = bytes.split_at(keep);
            self.hold(Write { at: at + keep as u64, bytes: later.to_vec() });
            out.push(Write { at, bytes: now.to_vec() });
            out.retain(|w| !w.bytes.is_empty());
        } else {
            out.push(whole);
        }
        Ok(out)
    }

    /// What a read of the file from `at` must still get, for the store sees its own writes: held bytes are laid over `read`.
    pub fn overlay(&self, at: u64, read: &mut [u8]) {
        for w in &self.held {
            let (from, to) = (w.at.max(at), (w.at + w.bytes.len() as u64).min(at + read.len() as u64));
            if from < to {
                let span = |base: u64| (from - base) as usize..(to - base) as usize;
                read[span(at)].copy_from_slice(&w.bytes[span(w.at)]);
            }
        }
    }

    /// The file's length as the store must see it, `len` being what has reached it.
    pub fn length(&self, len: u64) -> u64 {
        self.held.iter().map(|w| w.at + w.bytes.len() as u64).fold(len, u64::max)
    }

    /// What is still held back, in order: an orderly end writes it, a crash loses it.
    pub fn drain(&mut self) -> Vec<Write> {
        self.held_bytes = 0;
        self.held.drain(..).collect()
    }

    fn hold(&mut self, w: Write) {
        self.held_bytes += w.bytes.len();
        self.held.push_back(w);
    }

    fn oldest(&mut self) -> Option<Write> {
        let w = self.held.pop_front()?;
        self.held_bytes -= w.bytes.len();
        Some(w)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn apply(file: &mut Vec<u8>, writes: Vec<Write>) {
        for w in writes {
            let (from, to) = (w.at as usize, w.at as usize + w.bytes.len());
            file.resize(file.len().max(to), 0);
            file[from..to].copy_from_slice(&w.bytes);
        }
    }

    /// Three appends; what the file holds after a crash, and what the store read before it.
    fn three(fault: Disk) -> (Vec<u8>, Vec<u8>) {
        let (mut seam, mut file) = (DiskSeam::new(fault), Vec::new());
        for (at, bytes) in [(0, b"abc"), (3, b"def"), (6, b"ghi")] {
            let out = seam.write(at, bytes).expect("taken");
            apply(&mut file, out);
        }
        let mut read = file.clone();
        read.resize(seam.length(file.len() as u64) as usize, 0);
        seam.overlay(0, &mut read);
        (file, read)
    }

    #[test]
    fn a_crash_loses_what_is_held_back_and_tears_the_last_write() {
        let whole = b"abcdefghi".to_vec();
        assert_eq!(three(Disk::default()), (whole.clone(), whole.clone()));
        assert_eq!(three(Disk { hold_back: 2, ..Disk::default() }), (b"abc".to_vec(), whole.clone()));
        assert_eq!(three(Disk { torn: 2, ..Disk::default() }), (b"abcdefg".to_vec(), whole.clone()));
        assert_eq!(three(Disk { torn: 9, ..Disk::default() }), (b"abcdef".to_vec(), whole));
    }

    #[test]
    fn a_full_disk_takes_what_fits_and_then_nothing() {
        let mut seam = DiskSeam::new(Disk { full_after: Some(4), hold_back: 1, ..Disk::default() });
        assert_eq!(seam.write(0, b"abc"), Ok(vec![]), "held back");
        let refused = seam.write(3, b"def").unwrap_err();
        let mut file = Vec::new();
        assert_eq!(refused.error().kind(), std::io::ErrorKind::StorageFull);
        apply(&mut file, refused.first);
        assert_eq!(file, b"abcd");
        assert_eq!(seam.write(4, b"x").unwrap_err().first, []);
        assert!(seam.write(4, b"").is_ok(), "nothing needs no room");
    }
}
