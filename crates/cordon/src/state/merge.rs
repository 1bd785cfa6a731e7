//! The exchange of records between two processes.

use crate::cause_register::CauseState;
use crate::cordon_record::CordonRecord;
use crate::outcome::{CordonOutcome, MergeResult, TargetChange};
use crate::state::CordonState;
use crate::target::Target;
use crate::Timestamp;
use std::collections::BTreeMap;

impl CordonState {
    /// All registers, tombstones included, as records for another process: those of this manager first, then
    /// those of engines by id.
    pub fn export_records(&self) -> Vec<CordonRecord> {
        let mut records = Vec::new();
        for (target, causes) in self.registers.targets() {
            for (cause, state) in causes.iter() {
                let entry = state.entry().clone();
                records.push(CordonRecord { target: target.clone(), cause, entry });
            }
        }
        records
    }

    /// Merges another process's records: of two entries for the same target and cause the greater entry wins
    /// ([`crate::CordonEntry`]). As long as no bound is reached, the result does not depend on the order of
    /// merges, and merging a record twice has no further effect. The engine ids of merged records count as
    /// ever listed.
    pub fn merge_records(&mut self, now: Timestamp, records: &[CordonRecord]) -> MergeResult {
        let mut result = MergeResult::default();
        let mut was_cordoned: BTreeMap<Target, bool> = BTreeMap::new();
        for record in records {
            if record.validate().is_err() {
                result.malformed += 1;
                continue;
            }
            if !self.is_newer(record) {
                continue;
            }
            let state = CauseState::new(now, record.entry.clone());
            if state.is_active() && !self.registers.has_capacity(&record.target, record.cause) {
                result.over_limit += 1;
                continue;
            }
            let before = self.registers.is_cordoned(&record.target);
            was_cordoned.entry(record.target.clone()).or_insert(before);
            self.clock.observe(record.entry.version);
            self.store(now, &record.target, record.cause, state);
            self.counters.records_merged += 1;
        }
        self.counters.merge_over_limit += result.over_limit as u64;
        self.counters.merge_malformed += result.malformed as u64;
        self.evict_tombstones();
        result.changes = self.changes_since(was_cordoned);
        result
    }

    fn is_newer(&self, record: &CordonRecord) -> bool {
        let current = self.registers.get(&record.target, record.cause);
        current.is_none_or(|state| record.entry > *state.entry())
    }

    fn changes_since(&self, was_cordoned: BTreeMap<Target, bool>) -> Vec<TargetChange> {
        let mut changes = Vec::new();
        for (target, was_cordoned) in was_cordoned {
            let outcome = match (was_cordoned, self.registers.is_cordoned(&target)) {
                (false, true) => CordonOutcome::Cordoned,
                (true, false) => CordonOutcome::Uncordoned,
                (false, false) | (true, true) => continue,
            };
            changes.push(TargetChange { target, outcome });
        }
        changes
    }

    /// At most `max_hashes` hashes ([`crate::engine_id_hash`]) of the engine ids ever listed: first those of
    /// ids that are listed or cordoned now, then those of the most recently unlisted ids.
    pub fn export_known_ids(&self, max_hashes: usize) -> Vec<u64> {
        self.known_ids.export(max_hashes)
    }

    /// Merges hashes of engine ids that were listed at another process, in the order of
    /// [`CordonState::export_known_ids`]. These ids only fill spare capacity and evict no id that was listed
    /// at this process.
    pub fn merge_known_ids(&mut self, hashes: &[u64]) {
        for hash in hashes.iter().rev() {
            self.known_ids.add_remote(*hash);
        }
    }
}
