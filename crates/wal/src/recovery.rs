//! Reads a segment: its intact records, and whether the bytes after them are a torn tail or damage.

use crate::record::{self, Entry, Record, Snapshot, WriteBatch, HEADER_BYTES, MAGIC};
use prost::Message;

/// Kind of damage of a record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// The record is damaged and a later one is intact, so it was not torn by a crash.
    #[error("the record is damaged, but the later batch {later} is intact")]
    DamagedBeforeTail {
        /// Sequence number of the intact record.
        later: u64,
    },
    /// The first record of the segment is incomplete.
    #[error("the first record of the segment is incomplete")]
    FirstRecordIncomplete,
    /// The record's sequence number is not the next one.
    #[error("unexpected batch {found}: expected batch {expected}")]
    UnexpectedSequence {
        /// Expected sequence number.
        expected: u64,
        /// Sequence number in the record.
        found: u64,
    },
    /// The record does not contain the checksum of the previous record.
    #[error("the record does not contain the checksum of the previous record")]
    BrokenChain,
    /// The payload is not a batch.
    #[error("the payload cannot be decoded")]
    Payload(#[source] prost::DecodeError),
    /// Header and payload have different sequence numbers.
    #[error("the header is of batch {header}, the payload of batch {payload}")]
    SequenceMismatch {
        /// Sequence number in the header.
        header: u64,
        /// Sequence number in the payload.
        payload: u64,
    },
    /// An entry is neither within the log nor directly after its end.
    #[error("unexpected entry {index}: expected {lowest} to {highest}")]
    EntryOutOfRange {
        /// The entry's index.
        index: u64,
        /// The lowest index allowed.
        lowest: u64,
        /// The highest index allowed.
        highest: u64,
    },
}

/// A damaged record and its offset.
#[derive(Debug)]
pub(crate) struct CorruptRecord {
    /// Offset in the segment at which the record starts, bytes.
    pub offset: u64,
    pub reason: Corruption,
}

/// The end of a segment that was truncated: the partial record of a batch whose write was interrupted by a
/// crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TornTail {
    /// Sequence number of the lost batch.
    pub sequence: u64,
    /// Offset at which the intact records end, bytes.
    pub offset: u64,
    /// Number of truncated bytes.
    pub bytes: u64,
}

/// Content of the intact records of a segment.
#[derive(Debug, Default)]
pub(crate) struct SegmentContent {
    /// Sequence number of the last record.
    pub last_sequence: u64,
    /// Checksum of the last record.
    pub checksum: u32,
    /// Length of the intact records, bytes.
    pub length: u64,
    /// The caller's state in the last record.
    pub state: Vec<u8>,
    /// The last snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
    /// The bytes after the intact records, if there are any.
    pub torn_tail: Option<TornTail>,
}

impl SegmentContent {
    /// Checks a record against the previous ones and applies its batch.
    fn add_record(&mut self, record: &Record<'_>, expected_sequence: u64) -> Result<(), Corruption> {
        if record.sequence != expected_sequence {
            return Err(Corruption::UnexpectedSequence {
                expected: expected_sequence,
                found: record.sequence,
            });
        }
        if record.previous_checksum != self.checksum {
            return Err(Corruption::BrokenChain);
        }
        let batch = WriteBatch::decode(record.payload).map_err(Corruption::Payload)?;
        if batch.sequence != record.sequence {
            return Err(Corruption::SequenceMismatch { header: record.sequence, payload: batch.sequence });
        }
        self.apply(batch)?;
        self.last_sequence = record.sequence;
        self.checksum = record.checksum;
        self.length += record.encoded_length() as u64;
        Ok(())
    }

    fn apply(&mut self, batch: WriteBatch) -> Result<(), Corruption> {
        if let Some(snapshot) = batch.snapshot {
            self.snapshot = Some(snapshot);
            self.entries.clear();
        }
        for entry in batch.entries {
            self.add_entry(entry)?;
        }
        self.state = batch.state;
        Ok(())
    }

    fn add_entry(&mut self, entry: Entry) -> Result<(), Corruption> {
        let first = self.entries.first().map(|entry| entry.index);
        let highest = match (first, &self.snapshot) {
            (Some(first), _) => first + self.entries.len() as u64,
            (None, Some(snapshot)) => snapshot.index + 1,
            (None, None) => 1,
        };
        let lowest = first.unwrap_or(highest);
        if entry.index < lowest || entry.index > highest {
            return Err(Corruption::EntryOutOfRange { index: entry.index, lowest, highest });
        }
        self.entries.truncate((entry.index - lowest) as usize);
        self.entries.push(entry);
        Ok(())
    }
}

/// Reads a segment whose first record is that of batch `first_sequence`.
///
/// # Errors
/// The first damaged record.
pub(crate) fn read_segment(bytes: &[u8], first_sequence: u64) -> Result<SegmentContent, CorruptRecord> {
    let mut content = SegmentContent::default();
    let mut offset = 0;
    while offset < bytes.len() {
        let rest = &bytes[offset..];
        let Some(record) = record::decode(rest) else {
            // A record is synced before the next one is written, so nothing intact can follow a torn record.
            if let Some(later) = find_later_record(rest, content.last_sequence) {
                let reason = Corruption::DamagedBeforeTail { later };
                return Err(CorruptRecord { offset: offset as u64, reason });
            }
            content.torn_tail = Some(TornTail {
                sequence: content.last_sequence + 1,
                offset: offset as u64,
                bytes: rest.len() as u64,
            });
            break;
        };
        let expected_sequence = if offset == 0 { first_sequence } else { content.last_sequence + 1 };
        content
            .add_record(&record, expected_sequence)
            .map_err(|reason| CorruptRecord { offset: offset as u64, reason })?;
        offset += record.encoded_length();
    }
    if content.length == 0 {
        // A segment gets its name only after its first record is synced, so that record cannot be torn.
        return Err(CorruptRecord { offset: 0, reason: Corruption::FirstRecordIncomplete });
    }
    Ok(content)
}

/// The sequence number of an intact record that starts after the first byte and is newer than `sequence`.
fn find_later_record(bytes: &[u8], sequence: u64) -> Option<u64> {
    (1..bytes.len().saturating_sub(HEADER_BYTES - 1)).find_map(|offset| {
        let candidate = &bytes[offset..];
        if candidate[..MAGIC.len()] != MAGIC {
            return None;
        }
        record::decode(candidate).map(|record| record.sequence).filter(|&later| later > sequence)
    })
}
