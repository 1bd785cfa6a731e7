//! Reading a generation back: the last good prefix, or the reason why there is none.

use crate::record::{self, Base, Entry, Write, MAGIC};
use prost::Message;

/// What was cut off the end of a generation: the remains of a write that a crash interrupted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cut {
    /// The sequence number that the lost write would have had.
    pub seq: u64,
    /// Where the good prefix ends, bytes.
    pub at: u64,
    /// Bytes that were there behind it.
    pub bytes: u64,
}

/// All that a generation says.
#[derive(Debug, Default)]
pub(crate) struct Scan {
    pub seq: u64,
    pub crc: u32,
    pub len: u64,
    pub state: Vec<u8>,
    pub base: Option<Base>,
    pub entries: Vec<Entry>,
    pub cut: Option<Cut>,
}

impl Scan {
    /// Applies one write; the reason when it does not fit what is there.
    fn apply(&mut self, write: Write) -> Result<(), String> {
        if let Some(base) = write.base {
            self.base = Some(base);
            self.entries.clear();
        }
        for entry in write.entries {
            let first = self.entries.first().map(|e| e.index);
            let next = match (first, &self.base) {
                (Some(first), _) => first + self.entries.len() as u64,
                (None, Some(base)) => base.index + 1,
                (None, None) => 1,
            };
            let lowest = first.unwrap_or(next);
            if entry.index < lowest || entry.index > next {
                return Err(format!("entry {} where {lowest} to {next} could stand", entry.index));
            }
            self.entries.truncate((entry.index - lowest) as usize);
            self.entries.push(entry);
        }
        self.state = write.state;
        Ok(())
    }
}

/// Reads a generation whose first record is write `first` (`None`: any). The error names place and reason.
pub(crate) fn scan(bytes: &[u8], first: Option<u64>) -> Result<Scan, (u64, String)> {
    let mut scan = Scan::default();
    let mut at = 0;
    while at < bytes.len() {
        let Some((record, len)) = record::decode(&bytes[at..]) else {
            // A torn last write, or damage within. They differ by what stands behind: a record is synced
            // before the next is begun, so nothing good can follow a torn one.
            if let Some(later) = later_record(&bytes[at..], scan.seq) {
                let place = at as u64;
                return Err((place, format!("no record here, but write {later} behind it is whole")));
            }
            scan.cut = Some(Cut { seq: scan.seq + 1, at: at as u64, bytes: (bytes.len() - at) as u64 });
            break;
        };
        let expected = if at == 0 { first.unwrap_or(record.seq) } else { scan.seq + 1 };
        if record.seq != expected {
            return Err((at as u64, format!("write {} where {expected} should stand", record.seq)));
        }
        if record.before != scan.crc {
            return Err((at as u64, "the record does not follow the one before it".to_owned()));
        }
        let write = Write::decode(record.payload).map_err(|e| (at as u64, e.to_string()))?;
        if write.seq != record.seq {
            return Err((at as u64, "header and payload disagree on the sequence number".to_owned()));
        }
        scan.apply(write).map_err(|reason| (at as u64, reason))?;
        scan.seq = record.seq;
        scan.crc = record.crc;
        at += len;
        scan.len = at as u64;
    }
    Ok(scan)
}

/// The sequence number of a whole record somewhere behind the first byte, newer than `seq`.
fn later_record(bytes: &[u8], seq: u64) -> Option<u64> {
    (1..bytes.len().saturating_sub(record::HEADER - 1)).find_map(|at| {
        if bytes[at..at + 4] != MAGIC {
            return None;
        }
        record::decode(&bytes[at..]).map(|(r, _)| r.seq).filter(|&later| later > seq)
    })
}
