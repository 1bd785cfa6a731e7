//! The simulator's own state machine: records which proposals it applied and how often, and a chained digest
//! over them.

use super::state_machine::StateMachine;
use crate::ids::ProposalId;
use crate::proposal_dedup::{Dedup, ProposalDedup};
use crate::ready::CommittedEntry;
use sprucelink_time::Timestamp;
use std::collections::BTreeMap;

/// The 64-bit FNV-1a prime.
const FNV_PRIME: u64 = 0x100_0000_01b3;
/// Length of a number in a snapshot, bytes.
const NUMBER_BYTES: usize = size_of::<u64>();
/// Length of the snapshot's fixed part: digest, flag, length of the encoded dedup table.
const HEADER_BYTES: usize = 3 * NUMBER_BYTES;
/// Length of the record of one applied proposal in a snapshot: origin, sequence, count.
const APPLIED_RECORD_BYTES: usize = 3 * NUMBER_BYTES;

/// State machine that only records the applied proposals.
#[derive(Debug, Clone, Default)]
pub struct ProposalRecorder {
    dedup: ProposalDedup,
    /// Number of times that each proposal was applied.
    pub apply_counts: BTreeMap<ProposalId, u32>,
    digest: u64,
    /// Whether duplicates are applied too, as an injected bug.
    applies_duplicates: bool,
}

impl ProposalRecorder {
    /// An empty recorder; it drops duplicates unless `applies_duplicates` is set.
    pub fn new(applies_duplicates: bool) -> Self {
        ProposalRecorder { applies_duplicates, ..ProposalRecorder::default() }
    }
}

/// One step of a chained digest (FNV-1a, over the bytes of a number).
pub(super) fn chain_number(digest: u64, number: u64) -> u64 {
    number
        .to_le_bytes()
        .iter()
        .fold(digest, |digest, &byte| (digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// One step of a chained digest over a proposal and its content.
pub(super) fn chain_entry(digest: u64, entry: &CommittedEntry) -> u64 {
    let digest = chain_number(chain_number(digest, entry.id.origin), entry.id.sequence);
    entry.bytes.iter().fold(digest, |digest, &byte| chain_number(digest, u64::from(byte)))
}

impl StateMachine for ProposalRecorder {
    fn apply(&mut self, _now: Timestamp, entry: &CommittedEntry) {
        let dedup = self.dedup.record(entry.id);
        if dedup != Dedup::New && !self.applies_duplicates {
            return;
        }
        *self.apply_counts.entry(entry.id).or_default() += 1;
        self.digest = chain_entry(self.digest, entry);
    }

    fn snapshot(&self) -> Vec<u8> {
        let dedup = self.dedup.encode();
        let mut bytes = Vec::new();
        for number in [self.digest, u64::from(self.applies_duplicates), dedup.len() as u64] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        bytes.extend_from_slice(&dedup);
        for (id, count) in &self.apply_counts {
            for number in [id.origin, id.sequence, u64::from(*count)] {
                bytes.extend_from_slice(&number.to_le_bytes());
            }
        }
        bytes
    }

    fn install(&mut self, bytes: &[u8]) {
        *self = ProposalRecorder::new(self.applies_duplicates);
        if bytes.is_empty() {
            return;
        }
        self.digest = read_number(bytes, 0);
        let dedup_end = HEADER_BYTES + read_number(bytes, 2 * NUMBER_BYTES) as usize;
        self.dedup = ProposalDedup::decode(&bytes[HEADER_BYTES..dedup_end]).unwrap_or_default();
        for record in bytes[dedup_end..].chunks_exact(APPLIED_RECORD_BYTES) {
            let id =
                ProposalId { origin: read_number(record, 0), sequence: read_number(record, NUMBER_BYTES) };
            self.apply_counts.insert(id, read_number(record, 2 * NUMBER_BYTES) as u32);
        }
    }

    fn digest(&self) -> u64 {
        self.digest
    }
}

fn read_number(bytes: &[u8], offset: usize) -> u64 {
    let mut buffer = [0; NUMBER_BYTES];
    buffer.copy_from_slice(&bytes[offset..offset + NUMBER_BYTES]);
    u64::from_le_bytes(buffer)
}
