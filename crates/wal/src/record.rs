//! The layout of one record on disk.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | magic `SLR1` |
//! | 4 | length of the payload, little-endian |
//! | 8 | sequence number of the batch, little-endian |
//! | 4 | checksum of the previous record in this segment, little-endian; 0 for the first record |
//! | 4 | CRC-32 (IEEE, as in zlib) of length, sequence number, previous checksum (16 bytes) and payload |
//! | n | payload: [`WriteBatch`] in protobuf |

use crate::limits::MAX_RECORD_BYTES;
use prost::Message;

#[allow(missing_docs, reason = "generated: the documentation is in proto/wal.proto")]
mod wire {
    include!(concat!(env!("OUT_DIR"), "/sprucelink.wal.v1.rs"));
}

pub use wire::{Entry, Snapshot, WriteBatch};

/// First bytes of a record.
pub(crate) const MAGIC: [u8; 4] = *b"SLR1";
/// Length of a record's header, bytes.
pub(crate) const HEADER_BYTES: usize = 24;

/// Offset of the payload's length in the header, bytes.
const LENGTH_OFFSET: usize = 4;
/// Offset of the sequence number in the header, bytes.
const SEQUENCE_OFFSET: usize = 8;
/// Offset of the previous record's checksum in the header, bytes.
const PREVIOUS_CHECKSUM_OFFSET: usize = 16;
/// Offset of the record's own checksum in the header, bytes.
const CHECKSUM_OFFSET: usize = 20;

/// Value of the previous record's checksum in the first record of a segment.
pub(crate) const FIRST_PREVIOUS_CHECKSUM: u32 = 0;

/// An encoded record.
#[derive(Debug)]
pub(crate) struct EncodedRecord {
    pub bytes: Vec<u8>,
    pub checksum: u32,
}

/// A decoded record whose own checksum is valid.
#[derive(Debug)]
pub(crate) struct Record<'a> {
    pub sequence: u64,
    pub previous_checksum: u32,
    pub checksum: u32,
    pub payload: &'a [u8],
}

impl Record<'_> {
    /// Length of the record with its header, bytes.
    pub fn encoded_length(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// Encodes a batch as a record; `None` when the payload is longer than [`MAX_RECORD_BYTES`].
pub(crate) fn encode(batch: &WriteBatch, previous_checksum: u32) -> Option<EncodedRecord> {
    let payload_length = batch.encoded_len();
    if payload_length > MAX_RECORD_BYTES {
        return None;
    }
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload_length);
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&(payload_length as u32).to_le_bytes());
    bytes.extend_from_slice(&batch.sequence.to_le_bytes());
    bytes.extend_from_slice(&previous_checksum.to_le_bytes());
    bytes.extend_from_slice(&[0; HEADER_BYTES - CHECKSUM_OFFSET]);
    bytes.extend_from_slice(&batch.encode_to_vec());
    let checksum = compute_checksum(&bytes);
    bytes[CHECKSUM_OFFSET..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    Some(EncodedRecord { bytes, checksum })
}

/// Decodes the record at the front of `bytes`; `None` when there is no complete record with a valid checksum.
pub(crate) fn decode(bytes: &[u8]) -> Option<Record<'_>> {
    if bytes.len() < HEADER_BYTES || bytes[..MAGIC.len()] != MAGIC {
        return None;
    }
    let payload_length = read_u32(bytes, LENGTH_OFFSET) as usize;
    if payload_length > MAX_RECORD_BYTES || bytes.len() - HEADER_BYTES < payload_length {
        return None;
    }
    let record = &bytes[..HEADER_BYTES + payload_length];
    let checksum = read_u32(bytes, CHECKSUM_OFFSET);
    if compute_checksum(record) != checksum {
        return None;
    }
    Some(Record {
        sequence: read_u64(bytes, SEQUENCE_OFFSET),
        previous_checksum: read_u32(bytes, PREVIOUS_CHECKSUM_OFFSET),
        checksum,
        payload: &record[HEADER_BYTES..],
    })
}

fn compute_checksum(record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&record[LENGTH_OFFSET..CHECKSUM_OFFSET]);
    hasher.update(&record[HEADER_BYTES..]);
    hasher.finalize()
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let mut buffer = [0; size_of::<u32>()];
    buffer.copy_from_slice(&bytes[offset..offset + size_of::<u32>()]);
    u32::from_le_bytes(buffer)
}

fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    let mut buffer = [0; size_of::<u64>()];
    buffer.copy_from_slice(&bytes[offset..offset + size_of::<u64>()]);
    u64::from_le_bytes(buffer)
}
