//! The bytes of a file, and why bytes are refused.
//!
//! ```text
//! magic   4 bytes  "SLHO"
//! format  4 bytes  little endian
//! length  4 bytes  of the body, little endian
//! crc     4 bytes  CRC-32 (IEEE) of format, length and body, little endian
//! body    length bytes, protocol buffers
//! ```
//!
//! The head is the same in every format, so that a file of a newer one is told from a damaged file.

use crate::content::{Handover, Instance};
use crate::message::File;
use prost::Message;
use std::fmt;

/// Begins every file.
const MAGIC: [u8; 4] = *b"SLHO";
/// Bytes before the body.
const HEAD: usize = 16;
/// The format that is written.
pub const FORMAT: u32 = 1;
/// The oldest format that is read.
pub const OLDEST: u32 = 1;
/// Longest file, in bytes: it counts as memory, twice while it is replaced. All bans with their longest ids and reasons
/// fit into it by the bounds of [`sprucelink_cordon::CordonLimits`]; hashes of ids take what room is left.
pub const FILE_MOST: usize = 256 << 10;
/// Room kept for the tag and length of the hashes.
const IDS_HEAD: usize = 8;

/// Why a file's bytes are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Longer than [`FILE_MOST`]: not one of these files.
    TooLarge {
        /// How long it is, or at least.
        bytes: usize,
    },
    /// Cut, changed on the way, or something else altogether.
    Damaged(&'static str),
    /// Whole, and of a format that only newer builds read.
    FromTheFuture {
        /// Which.
        format: u32,
    },
    /// Whole, and of a format that is no longer read.
    TooOld {
        /// Which.
        format: u32,
    },
    /// Whole, and with something in it that no build of this format writes: the field and the rule.
    Invalid(String),
    /// Whole, and of another workload manager.
    Foreign(Instance),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::TooLarge { bytes } => write!(f, "{bytes} bytes, at most {FILE_MOST} are read"),
            Refusal::Damaged(how) => write!(f, "damaged: {how}"),
            Refusal::FromTheFuture { format } => write!(f, "format {format} of a newer build"),
            Refusal::TooOld { format } => write!(f, "format {format}, the oldest that is read is {OLDEST}"),
            Refusal::Invalid(what) => write!(f, "invalid: {what}"),
            Refusal::Foreign(of) => write!(f, "of another manager: {} at {}", of.name, of.listen),
        }
    }
}

impl std::error::Error for Refusal {}

/// A file's bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Encoded {
    /// The bytes, at most [`FILE_MOST`].
    pub bytes: Vec<u8>,
    /// Hashes of ids that found no room; the last ones of the content's.
    pub ids_left_out: usize,
}

fn sum(format_and_length: &[u8], body: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(format_and_length);
    sum.update(body);
    sum.finalize()
}

/// The bytes of a file. What does not fit even without any hashes of ids is refused with its length: nothing but
/// hashes is ever left out unsaid.
pub fn encode(handover: &Handover) -> Result<Encoded, Refusal> {
    let mut file = File::from(handover);
    let ids = std::mem::take(&mut file.ids);
    let without = HEAD + file.encoded_len();
    if without > FILE_MOST {
        return Err(Refusal::TooLarge { bytes: without });
    }
    let fit = ids.len().min(FILE_MOST.saturating_sub(without + IDS_HEAD) / size_of::<u64>());
    let ids_left_out = ids.len() - fit;
    file.ids = ids;
    file.ids.truncate(fit);
    let body = file.encode_to_vec();
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    let crc = sum(&bytes[4..12], &body);
    bytes.extend_from_slice(&crc.to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(Encoded { bytes, ids_left_out })
}

fn word(head: &[u8], at: usize) -> u32 {
    head.get(at..at + 4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes)
}

/// Reads a file of `me`'s. Whatever the bytes are, the answer is what was written or a reason; nothing panics.
pub fn decode(bytes: &[u8], me: &Instance) -> Result<Handover, Refusal> {
    if bytes.len() > FILE_MOST {
        return Err(Refusal::TooLarge { bytes: bytes.len() });
    }
    let Some((head, body)) = bytes.split_at_checked(HEAD) else {
        return Err(Refusal::Damaged("shorter than its head"));
    };
    if head[..4] != MAGIC {
        return Err(Refusal::Damaged("it does not begin as such a file does"));
    }
    if word(head, 8) as usize != body.len() {
        return Err(Refusal::Damaged("it is not as long as it says"));
    }
    if sum(&head[4..12], body) != word(head, 12) {
        return Err(Refusal::Damaged("the checksum does not match"));
    }
    match word(head, 4) {
        format if format > FORMAT => return Err(Refusal::FromTheFuture { format }),
        format if format < OLDEST => return Err(Refusal::TooOld { format }),
        _ => {}
    }
    let file = File::decode(body).map_err(|e| Refusal::Invalid(e.to_string()))?;
    let handover = Handover::try_from(file).map_err(Refusal::Invalid)?;
    if handover.instance != *me {
        return Err(Refusal::Foreign(handover.instance));
    }
    Ok(handover)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::content::{Content, Phase, Process};
    use sprucelink_time::Timestamp;

    fn me() -> Instance {
        Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() }
    }

    /// A file with any format and body under a right checksum: what another build may have written.
    fn framed(format: u32, body: &[u8]) -> Vec<u8> {
        let mut bytes = [MAGIC, format.to_le_bytes(), (body.len() as u32).to_le_bytes()].concat();
        let crc = sum(&bytes[4..12], body);
        bytes.extend_from_slice(&crc.to_le_bytes());
        bytes.extend_from_slice(body);
        bytes
    }

    #[test]
    fn whole_files_that_will_not_do_are_told_apart() {
        let small = |name: &str, generation| Handover {
            instance: Instance { name: name.into(), ..me() },
            process: Process { generation, started: Timestamp::from_micros(1), pid: 2 },
            build: "test".into(),
            written_at: Timestamp::from_micros(3),
            seq: 4,
            phase: Phase::Serving,
            phase_since: Timestamp::from_micros(3),
            room_for: Vec::new(),
            content: Content::default(),
        };
        let good = encode(&small("n3", 1)).expect("small").bytes;
        assert_eq!(decode(&good, &me()), Ok(small("n3", 1)));
        let other = encode(&small("n4", 1)).expect("small").bytes;
        assert!(matches!(decode(&other, &me()), Err(Refusal::Foreign(of)) if of.name == "n4"));
        assert_eq!(
            decode(&framed(FORMAT + 1, b"?"), &me()),
            Err(Refusal::FromTheFuture { format: FORMAT + 1 })
        );
        assert_eq!(decode(&framed(OLDEST - 1, b"?"), &me()), Err(Refusal::TooOld { format: OLDEST - 1 }));
        assert!(matches!(decode(&framed(FORMAT, b"\xff\xff"), &me()), Err(Refusal::Invalid(_))));
        assert_eq!(decode(&framed(FORMAT, b""), &me()), Err(Refusal::Invalid("process: missing".into())));
        let large = vec![0; FILE_MOST + 1];
        assert_eq!(decode(&large, &me()), Err(Refusal::TooLarge { bytes: FILE_MOST + 1 }));
        assert!(matches!(decode(b"", &me()), Err(Refusal::Damaged(_))));
        assert!(matches!(decode(b"a text that is no such file", &me()), Err(Refusal::Damaged(_))));
    }

    /// A newer build of the same format may add fields: they are passed over.
    #[test]
    fn fields_that_are_not_known_are_passed_over() {
        // Field 3 (process) with an empty message, then field 100, a varint.
        let body = [0x1a, 0, 0xa0, 0x06, 7];
        let read = decode(&framed(FORMAT, &body), &Instance { name: "".into(), listen: "".into() });
        assert_eq!(read.map(|h| h.phase), Ok(Phase::Starting));
    }
}
