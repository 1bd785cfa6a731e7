//! Telling a proposal's repeats from its first time, for whoever applies entries. Part of the state that is applied: the
//! same at every member, and to be kept in its snapshots.

use crate::ids::ProposalId;
use crate::limits::MAX_ORIGINS;
use std::collections::BTreeMap;
use std::fmt;

/// How far behind an origin's highest sequence another may come and still be told apart, in sequences.
pub const WINDOW: u64 = 512;
const WORDS: usize = (WINDOW / 64) as usize;

/// What an entry's proposal is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dedup {
    /// Here for the first time: to be applied.
    New,
    /// Here before: to be dropped.
    Duplicate,
    /// Over [`WINDOW`] behind its origin's highest, so it can't be told: to be dropped. A proposer with at most
    /// `MAX_PROPOSALS_IN_HAND` (256) undecided never sees this for one that was not applied.
    TooOld,
    /// A new origin where [`MAX_ORIGINS`] are remembered: to be dropped, and old origins to be retired by an entry.
    TooManyOrigins,
}

/// Why bytes are not a table of repeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DedupDecodeError;

impl fmt::Display for DedupDecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a table of proposals seen")
    }
}

impl std::error::Error for DedupDecodeError {}

#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct Origin {
    highest: u64,
    /// Bit `s % WINDOW` stands for sequence `s`, for the last [`WINDOW`] of them.
    seen: [u64; WORDS],
}

impl Origin {
    fn bit(sequence: u64) -> (usize, u64) {
        let place = sequence % WINDOW;
        ((place / 64) as usize, 1 << (place % 64))
    }

    fn raise(&mut self, sequence: u64) {
        if sequence - self.highest >= WINDOW {
            self.seen = [0; WORDS];
        } else {
            for passed in self.highest + 1..=sequence {
                let (word, bit) = Self::bit(passed);
                self.seen[word] &= !bit;
            }
        }
        self.highest = sequence;
    }
}

/// Which proposals were applied: for each origin its highest sequence and which of the [`WINDOW`] up to it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProposalDedup {
    origins: BTreeMap<u64, Origin>,
}

impl ProposalDedup {
    /// Takes note of a proposal that is about to be applied and says whether it may be.
    pub fn first(&mut self, id: ProposalId) -> Dedup {
        if !self.origins.contains_key(&id.origin) && self.origins.len() >= MAX_ORIGINS {
            return Dedup::TooManyOrigins;
        }
        let origin = self.origins.entry(id.origin).or_default();
        if id.sequence > origin.highest {
            origin.raise(id.sequence);
        } else if origin.highest - id.sequence >= WINDOW {
            return Dedup::TooOld;
        }
        let (word, bit) = Origin::bit(id.sequence);
        if origin.seen[word] & bit != 0 {
            return Dedup::Duplicate;
        }
        origin.seen[word] |= bit;
        Dedup::New
    }

    /// Forgets an origin that will never propose again.
    pub fn retire(&mut self, origin: u64) {
        self.origins.remove(&origin);
    }

    /// As bytes, for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.origins.len() * (16 + 8 * WORDS));
        for (name, origin) in &self.origins {
            for word in [*name, origin.highest].iter().chain(&origin.seen) {
                out.extend_from_slice(&word.to_le_bytes());
            }
        }
        out
    }

    /// From bytes.
    ///
    /// # Errors
    /// When they are not what [`ProposalDedup::encode`] gives.
    pub fn decode(bytes: &[u8]) -> Result<Self, DedupDecodeError> {
        let size = 16 + 8 * WORDS;
        if !bytes.len().is_multiple_of(size) || bytes.len() / size > MAX_ORIGINS {
            return Err(DedupDecodeError);
        }
        let mut repeats = ProposalDedup::default();
        for part in bytes.chunks_exact(size) {
            let mut words = part
                .chunks_exact(8)
                .map(|chunk| chunk.iter().rev().fold(0, |sum, &b| sum << 8 | u64::from(b)));
            let (name, highest) =
                (words.next().ok_or(DedupDecodeError)?, words.next().ok_or(DedupDecodeError)?);
            let mut origin = Origin { highest, seen: [0; WORDS] };
            origin.seen.iter_mut().zip(words).for_each(|(held, word)| *held = word);
            repeats.origins.insert(name, origin);
        }
        Ok(repeats)
    }
}
