//! Detecting duplicates of a proposal, for whoever applies entries. A part of the applied state: the same at every member,
//! and to be stored in its snapshots.

use crate::ids::ProposalId;
use crate::limits::MAX_ORIGINS;
use std::collections::BTreeMap;

/// How far below an origin's highest sequence duplicates can still be recognised, in sequences.
pub const SEQUENCE_WINDOW: u64 = 512;
/// Number of sequences in one block of the window's bitset: the bits of a `u64`.
const BLOCK_BITS: u64 = u64::BITS as u64;
/// Number of blocks in the bitset of an origin's window.
const WINDOW_BLOCKS: usize = (SEQUENCE_WINDOW / BLOCK_BITS) as usize;
/// Number of 64-bit numbers of one origin when encoded: the origin, its highest sequence, and its window's blocks.
const ORIGIN_NUMBERS: usize = 2 + WINDOW_BLOCKS;
/// Length of one origin when encoded, bytes.
const ORIGIN_BYTES: usize = ORIGIN_NUMBERS * size_of::<u64>();

/// Whether a proposal is a duplicate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dedup {
    /// It is new: to be applied.
    New,
    /// It was recorded before: to be dropped.
    Duplicate,
    /// It is [`SEQUENCE_WINDOW`] or more below its origin's highest, so it is not known whether it was recorded: to be
    /// dropped. A proposer with at most `MAX_PENDING_PROPOSALS` (256) open proposals never gets this for one that was not
    /// applied.
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
    seen: [u64; WINDOW_BLOCKS],
}

impl OriginWindow {
    /// The index of the block that represents a sequence.
    fn block_index(sequence: u64) -> usize {
        (sequence % SEQUENCE_WINDOW / BLOCK_BITS) as usize
    }

    /// The bit in that block.
    fn bit_mask(sequence: u64) -> u64 {
        1 << (sequence % BLOCK_BITS)
    }

    /// Moves the window up to a higher sequence.
    fn advance_to(&mut self, sequence: u64) {
        if sequence - self.highest >= SEQUENCE_WINDOW {
            self.seen = [0; WINDOW_BLOCKS];
        } else {
            for skipped in self.highest + 1..=sequence {
                self.seen[Self::block_index(skipped)] &= !Self::bit_mask(skipped);
            }
        }
        self.highest = sequence;
    }

    /// Records a sequence within the window; false if it was recorded before.
    fn insert(&mut self, sequence: u64) -> bool {
        let block = &mut self.seen[Self::block_index(sequence)];
        let bit = Self::bit_mask(sequence);
        let is_new = *block & bit == 0;
        *block |= bit;
        is_new
    }
}

/// Which proposals were applied: for each origin its highest sequence and which of the [`SEQUENCE_WINDOW`] up to it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProposalDedup {
    origins: BTreeMap<u64, OriginWindow>,
}

impl ProposalDedup {
    /// Records a proposal that is about to be applied and returns whether it may be.
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

    /// Removes an origin that will never propose again.
    pub fn retire(&mut self, origin: u64) {
        self.origins.remove(&origin);
    }

    /// Encodes the table for a snapshot: for each origin its number, its highest sequence and its window, as little-endian
    /// 64-bit numbers.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.origins.len() * ORIGIN_BYTES);
        for (origin, window) in &self.origins {
            for number in [*origin, window.highest].iter().chain(&window.seen) {
                bytes.extend_from_slice(&number.to_le_bytes());
            }
        }
        bytes
    }

    /// Decodes what [`ProposalDedup::encode`] returned.
    ///
    /// # Errors
    /// When the length is not that of a table.
    pub fn decode(bytes: &[u8]) -> Result<Self, DedupDecodeError> {
        let has_partial_origin = !bytes.len().is_multiple_of(ORIGIN_BYTES);
        if has_partial_origin || bytes.len() / ORIGIN_BYTES > MAX_ORIGINS {
            return Err(DedupDecodeError { bytes: bytes.len() });
        }
        let mut dedup = ProposalDedup::default();
        for encoded in bytes.chunks_exact(ORIGIN_BYTES) {
            let mut numbers = [0; ORIGIN_NUMBERS];
            for (number, number_bytes) in numbers.iter_mut().zip(encoded.chunks_exact(size_of::<u64>())) {
                let mut buffer = [0; size_of::<u64>()];
                buffer.copy_from_slice(number_bytes);
                *number = u64::from_le_bytes(buffer);
            }
            let [origin, highest, seen @ ..] = numbers;
            dedup.origins.insert(origin, OriginWindow { highest, seen });
        }
        Ok(dedup)
    }
}
