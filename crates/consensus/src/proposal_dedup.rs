//! Detects duplicates of a proposal when entries are applied. The table is part of the applied state: it is
//! the same at every member and has to be stored in the snapshots.

use crate::ids::ProposalId;
use crate::limits::MAX_ORIGINS;
use std::collections::BTreeMap;

/// Number of sequences up to an origin's highest within which duplicates are still recognised.
pub const SEQUENCE_WINDOW: u64 = 512;
/// Number of sequences in one block of the window's bitset: the bits of a `u64`.
const BLOCK_BITS: u64 = u64::BITS as u64;
/// Number of blocks in the bitset of an origin's window.
const WINDOW_BLOCKS: usize = (SEQUENCE_WINDOW / BLOCK_BITS) as usize;
/// Number of 64-bit numbers in the encoding of one origin: the origin, its highest sequence, and its window's
/// blocks.
const ORIGIN_NUMBERS: usize = 2 + WINDOW_BLOCKS;
/// Length of the encoding of one origin, bytes.
const ORIGIN_BYTES: usize = ORIGIN_NUMBERS * size_of::<u64>();

/// Whether a proposal is a duplicate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dedup {
    /// The proposal is new and has to be applied.
    New,
    /// The proposal was recorded before and has to be dropped.
    Duplicate,
    /// The sequence is [`SEQUENCE_WINDOW`] or more below its origin's highest, so it is not known whether the
    /// proposal was recorded, and it has to be dropped. A proposer with at most `MAX_PENDING_PROPOSALS` (256)
    /// pending proposals never gets this result for a proposal that was not applied.
    TooOld,
    /// The origin is new and [`MAX_ORIGINS`] are recorded, so the proposal has to be dropped. Old origins
    /// should be retired.
    TooManyOrigins,
}

/// The bytes are not an encoded [`ProposalDedup`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid length of {bytes} bytes: expected up to {MAX_ORIGINS} origins of {ORIGIN_BYTES} bytes each")]
pub struct DedupDecodeError {
    /// Number of bytes that were to be decoded.
    pub bytes: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct OriginWindow {
    highest: u64,
    /// Bitset of the recorded sequences among the last [`SEQUENCE_WINDOW`]: bit `sequence % SEQUENCE_WINDOW`
    /// is set for a recorded one.
    recorded: [u64; WINDOW_BLOCKS],
}

impl OriginWindow {
    /// The index of the block that represents a sequence.
    fn block_index(sequence: u64) -> usize {
        (sequence % SEQUENCE_WINDOW / BLOCK_BITS) as usize
    }

    /// The bit that represents a sequence in its block.
    fn bit_mask(sequence: u64) -> u64 {
        1 << (sequence % BLOCK_BITS)
    }

    /// Moves the window up to a higher sequence.
    fn advance_to(&mut self, sequence: u64) {
        if sequence - self.highest >= SEQUENCE_WINDOW {
            self.recorded = [0; WINDOW_BLOCKS];
        } else {
            for skipped in self.highest + 1..=sequence {
                self.recorded[Self::block_index(skipped)] &= !Self::bit_mask(skipped);
            }
        }
        self.highest = sequence;
    }

    /// Records a sequence within the window; false if it was recorded before.
    fn insert(&mut self, sequence: u64) -> bool {
        let block = &mut self.recorded[Self::block_index(sequence)];
        let bit = Self::bit_mask(sequence);
        let is_new = *block & bit == 0;
        *block |= bit;
        is_new
    }
}

/// The proposals that were applied: for each origin the highest sequence, and which of the
/// [`SEQUENCE_WINDOW`] sequences up to it were applied.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProposalDedup {
    origins: BTreeMap<u64, OriginWindow>,
}

impl ProposalDedup {
    /// Records a proposal that is about to be applied, and returns whether it may be applied.
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

    /// Encodes the table for a snapshot: for each origin its number, its highest sequence and its window, as
    /// little-endian 64-bit numbers.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.origins.len() * ORIGIN_BYTES);
        for (origin, window) in &self.origins {
            for number in [*origin, window.highest].iter().chain(&window.recorded) {
                bytes.extend_from_slice(&number.to_le_bytes());
            }
        }
        bytes
    }

    /// Decodes a table that [`ProposalDedup::encode`] encoded.
    ///
    /// # Errors
    /// The length is not that of an encoded table.
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
            let [origin, highest, recorded @ ..] = numbers;
            dedup.origins.insert(origin, OriginWindow { highest, recorded });
        }
        Ok(dedup)
    }
}
