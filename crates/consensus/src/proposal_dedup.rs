//! Detecting duplicates of a proposal, for whoever applies entries. A part of the applied state: the same at every member,
//! and to be kept in its snapshots.

use crate::ids::ProposalId;
use crate::limits::MAX_ORIGINS;
use std::collections::BTreeMap;

/// How far below an origin's highest sequence others can still be recognised, in sequences.
pub const SEQUENCE_WINDOW: u64 = 512;
/// Number of 64-bit words in an origin's window.
const WINDOW_WORDS: usize = (SEQUENCE_WINDOW / 64) as usize;
/// Length of a word when encoded, bytes.
const WORD_BYTES: usize = 8;
/// Length of one origin when encoded, bytes: the origin, its highest sequence, and its window.
const ORIGIN_BYTES: usize = (2 + WINDOW_WORDS) * WORD_BYTES;

/// Whether a proposal is a duplicate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dedup {
    /// It is new: to be applied.
    New,
    /// It was recorded before: to be dropped.
    Duplicate,
    /// It is [`SEQUENCE_WINDOW`] or more below its origin's highest, so it is not known whether it was recorded: to be dropped. A proposer with at most
    /// `MAX_PENDING_PROPOSALS` (256) open proposals never gets this for one that was not applied.
    TooOld,
    /// It has a new origin and [`MAX_ORIGINS`] are remembered: to be dropped. Old origins should be retired.
    TooManyOrigins,
}

/// The bytes are not an encoded [`ProposalDedup`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{bytes} bytes are no table of up to {MAX_ORIGINS} origins with {ORIGIN_BYTES} bytes each")]
pub struct DedupDecodeError {
    /// Number of bytes.
    pub bytes: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct OriginWindow {
    highest: u64,
    /// Bit `sequence % SEQUENCE_WINDOW` represents a sequence, for the last [`SEQUENCE_WINDOW`] of them.
    seen: [u64; WINDOW_WORDS],
}

impl OriginWindow {
    /// The word and the bit in it that represent a sequence.
    fn word_and_bit(sequence: u64) -> (usize, u64) {
        let place = sequence % SEQUENCE_WINDOW;
        ((place / 64) as usize, 1 << (place % 64))
    }

    /// Moves the window up to a higher sequence.
    fn advance_to(&mut self, sequence: u64) {
        if sequence - self.highest >= SEQUENCE_WINDOW {
            self.seen = [0; WINDOW_WORDS];
        } else {
            for skipped in self.highest + 1..=sequence {
                let (word, bit) = Self::word_and_bit(skipped);
                self.seen[word] &= !bit;
            }
        }
        self.highest = sequence;
    }

    /// Records a sequence within the window; false if it was recorded before.
    fn insert(&mut self, sequence: u64) -> bool {
        let (word, bit) = Self::word_and_bit(sequence);
        let is_new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_new
    }
}

/// Which proposals were applied: for each origin its highest sequence and which of the [`SEQUENCE_WINDOW`] up to it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProposalDedup {
    origins: BTreeMap<u64, OriginWindow>,
}

impl ProposalDedup {
    /// Records a proposal that is about to be applied and says whether it may be.
    pub fn record(&mut self, id: ProposalId) -> Dedup {
        if !self.origins.contains_key(&id.origin) && self.origins.len() >= MAX_ORIGINS {
            return Dedup::TooManyOrigins;
        }
        let window = self.origins.entry(id.origin).or_default();
        if id.sequence > window.highest {
            window.advance_to(id.sequence);
        } else if window.highest - id.sequence >= SEQUENCE_WINDOW {
            return Dedup::TooOld;
        }
        if window.insert(id.sequence) {
            Dedup::New
        } else {
            Dedup::Duplicate
        }
    }

    /// Forgets an origin that will never propose again.
    pub fn retire(&mut self, origin: u64) {
        self.origins.remove(&origin);
    }

    /// Encodes the table for a snapshot: for each origin its number, its highest sequence and its window, as little-endian
    /// 64-bit words.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.origins.len() * ORIGIN_BYTES);
        for (origin, window) in &self.origins {
            for word in [*origin, window.highest].iter().chain(&window.seen) {
                bytes.extend_from_slice(&word.to_le_bytes());
            }
        }
        bytes
    }

    /// Decodes what [`ProposalDedup::encode`] returned.
    ///
    /// # Errors
    /// When the length is not that of a table.
    pub fn decode(bytes: &[u8]) -> Result<Self, DedupDecodeError> {
        let is_whole = bytes.len().is_multiple_of(ORIGIN_BYTES);
        if !is_whole || bytes.len() / ORIGIN_BYTES > MAX_ORIGINS {
            return Err(DedupDecodeError { bytes: bytes.len() });
        }
        let mut dedup = ProposalDedup::default();
        for encoded in bytes.chunks_exact(ORIGIN_BYTES) {
            let word = |at: usize| {
                let mut word = [0; WORD_BYTES];
                word.copy_from_slice(&encoded[at * WORD_BYTES..(at + 1) * WORD_BYTES]);
                u64::from_le_bytes(word)
            };
            let mut window = OriginWindow { highest: word(1), seen: [0; WINDOW_WORDS] };
            for (at, seen) in window.seen.iter_mut().enumerate() {
                *seen = word(2 + at);
            }
            dedup.origins.insert(word(0), window);
        }
        Ok(dedup)
    }
}
