//! The plain application: remembers which proposals it applied, and how often, and a chain over all of them.

use super::StateMachine;
use crate::proposal_dedup::{Dedup, ProposalDedup};
use crate::ready::CommittedEntry;
use crate::{ProposalId, Timestamp};
use std::collections::BTreeMap;

/// Applies records by writing them down.
#[derive(Debug, Clone, Default)]
pub struct ProposalRecorder {
    repeats: ProposalDedup,
    /// How often each proposal was applied.
    pub applied: BTreeMap<ProposalId, u32>,
    chain: u64,
    /// Whether repeats are applied too: a planted fault.
    pub careless: bool,
}

impl ProposalRecorder {
    /// One that drops repeats, or not.
    pub fn new(careless: bool) -> Self {
        ProposalRecorder { careless, ..ProposalRecorder::default() }
    }
}

/// One step of a chain of digests (FNV-1a, over eight bytes at a time).
pub(crate) fn mix(chain: u64, word: u64) -> u64 {
    word.to_le_bytes()
        .iter()
        .fold(chain, |chain, &byte| (chain ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

impl StateMachine for ProposalRecorder {
    fn apply(&mut self, _now: Timestamp, entry: &CommittedEntry) {
        let verdict = self.repeats.first(entry.id);
        if verdict != Dedup::New && !self.careless {
            return;
        }
        *self.applied.entry(entry.id).or_default() += 1;
        self.chain = mix(mix(self.chain, entry.id.origin), entry.id.sequence);
        self.chain = entry.bytes.iter().fold(self.chain, |chain, &byte| mix(chain, u64::from(byte)));
    }

    fn snapshot(&self) -> Vec<u8> {
        let repeats = self.repeats.encode();
        let mut out = Vec::new();
        for word in [self.chain, u64::from(self.careless), repeats.len() as u64] {
            out.extend_from_slice(&word.to_le_bytes());
        }
        out.extend_from_slice(&repeats);
        for (id, times) in &self.applied {
            for word in [id.origin, id.sequence, u64::from(*times)] {
                out.extend_from_slice(&word.to_le_bytes());
            }
        }
        out
    }

    fn install(&mut self, bytes: &[u8]) {
        let careless = self.careless;
        *self = ProposalRecorder { careless, ..ProposalRecorder::default() };
        let word = |at: usize| {
            bytes.get(at..at + 8).map_or(0, |b| b.iter().rev().fold(0, |s, &b| s << 8 | u64::from(b)))
        };
        if bytes.is_empty() {
            return;
        }
        self.chain = word(0);
        let repeats = 24 + word(16) as usize;
        self.repeats = ProposalDedup::decode(&bytes[24..repeats]).unwrap_or_default();
        for at in (repeats..bytes.len()).step_by(24) {
            let id = ProposalId { origin: word(at), sequence: word(at + 8) };
            self.applied.insert(id, word(at + 16) as u32);
        }
    }

    fn digest(&self) -> u64 {
        self.chain
    }
}
