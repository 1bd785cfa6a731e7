//! One record's form on disk.
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | magic `SLR1` |
//! | 4 | payload's length, little-endian |
//! | 8 | sequence number of the write, little-endian |
//! | 4 | checksum of the record before it in this file, 0 for the first |
//! | 4 | CRC-32 (IEEE, as in zlib) over the 16 bytes of length, sequence and checksum before, then the payload |
//! | n | payload: [`Write`] in protobuf |

use crate::limits::MAX_RECORD_BYTES;
use prost::Message;

#[allow(missing_docs)]
mod wire {
    include!(concat!(env!("OUT_DIR"), "/sprucelink.ledger.v1.rs"));
}

pub use wire::{Base, Entry, Write};

/// First bytes of a record.
pub(crate) const MAGIC: [u8; 4] = *b"SLR1";
/// Length of a record's header, bytes.
pub(crate) const HEADER: usize = 24;

/// A record read from bytes.
#[derive(Debug)]
pub(crate) struct Record<'a> {
    pub seq: u64,
    pub before: u32,
    pub crc: u32,
    pub payload: &'a [u8],
}

/// Puts a write into its form on disk; `None` when it is longer than [`MAX_RECORD_BYTES`].
pub(crate) fn encode(write: &Write, before: u32) -> Option<(Vec<u8>, u32)> {
    let len = write.encoded_len();
    if len > MAX_RECORD_BYTES {
        return None;
    }
    let mut bytes = Vec::with_capacity(HEADER + len);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(len as u32).to_le_bytes());
    bytes.extend_from_slice(&write.seq.to_le_bytes());
    bytes.extend_from_slice(&before.to_le_bytes());
    bytes.extend_from_slice(&[0; 4]);
    bytes.extend_from_slice(&write.encode_to_vec());
    let crc = checksum(&bytes);
    bytes[20..24].copy_from_slice(&crc.to_le_bytes());
    Some((bytes, crc))
}

fn checksum(record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&record[4..20]);
    hasher.update(&record[HEADER..]);
    hasher.finalize()
}

fn word(bytes: &[u8], at: usize) -> u32 {
    let mut four = [0; 4];
    four.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(four)
}

/// Reads the record at the front of `bytes`; `None` when none stands there whole with a right checksum.
pub(crate) fn decode(bytes: &[u8]) -> Option<(Record<'_>, usize)> {
    if bytes.len() < HEADER || bytes[..4] != MAGIC {
        return None;
    }
    let len = word(bytes, 4) as usize;
    if len > MAX_RECORD_BYTES || bytes.len() - HEADER < len {
        return None;
    }
    let whole = &bytes[..HEADER + len];
    let crc = word(bytes, 20);
    if checksum(whole) != crc {
        return None;
    }
    let seq = u64::from(word(bytes, 8)) | u64::from(word(bytes, 12)) << 32;
    Some((Record { seq, before: word(bytes, 16), crc, payload: &whole[HEADER..] }, HEADER + len))
}
