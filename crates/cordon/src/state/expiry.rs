//! Expiry of leases, and removal of tombstones after their retention time or at their bounds.

use crate::cause::Cause;
use crate::cause_register::CauseState;
use crate::outcome::{CordonOutcome, TargetChange};
use crate::state::CordonState;
use crate::target::Target;
use crate::Timestamp;
use std::collections::BTreeMap;

impl CordonState {
    /// Deactivates the causes whose leases have expired at `now`, and removes tombstones older than
    /// [`crate::TOMBSTONE_RETENTION`]. Returns the targets with an expired lease. Must be called about once
    /// per second, and before metrics are read.
    pub fn expire(&mut self, now: Timestamp) -> Vec<TargetChange> {
        let due_leases = self.registers.due_leases(now);
        let aged_tombstones = self.registers.aged_tombstones(now);
        let mut outcomes: BTreeMap<Target, CordonOutcome> = BTreeMap::new();
        for (target, cause) in due_leases {
            let outcome = self.expire_lease(now, &target, cause);
            outcomes.insert(target, outcome);
        }
        for (target, cause) in aged_tombstones {
            self.remove(now, &target, cause);
        }
        self.evict_tombstones();
        outcomes.into_iter().map(|(target, outcome)| TargetChange { target, outcome }).collect()
    }

    fn expire_lease(&mut self, now: Timestamp, target: &Target, cause: Cause) -> CordonOutcome {
        let expired = self.registers.get(target, cause).map(CauseState::with_expired_lease);
        if let Some(expired) = expired {
            self.store(now, target, cause, expired);
            self.counters.leases_expired += 1;
        }
        match self.registers.first_active(target) {
            Some(cause) => CordonOutcome::StillCordoned { cause },
            None => CordonOutcome::Uncordoned,
        }
    }

    /// Evicts tombstones until they are within their bounds, the lowest version first.
    pub(super) fn evict_tombstones(&mut self) {
        if !self.registers.is_over_tombstone_limit() {
            return;
        }
        for (target, cause) in self.registers.tombstones_by_version() {
            if !self.registers.is_over_tombstone_limit() {
                return;
            }
            // The removal of an inactive entry does not change whether the target is cordoned, so the time
            // that is passed has no effect.
            self.remove(Timestamp::ZERO, &target, cause);
            self.counters.tombstones_evicted += 1;
        }
    }
}
