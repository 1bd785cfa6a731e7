//! What ends by the passing of time or for a bound: leases and tombstones.

use crate::cause::{Cause, CauseMap, CauseState};
use crate::limits::TOMBSTONE_RETENTION;
use crate::outcome::{CordonOutcome, TargetChange};
use crate::state::CordonState;
use crate::target::Target;
use crate::Timestamp;
use std::collections::BTreeMap;

impl CordonState {
    /// Ends leases that have expired, and removes tombstones older than [`TOMBSTONE_RETENTION`]. To be called about once
    /// a second, and before metrics are read.
    pub fn expire(&mut self, now: Timestamp) -> Vec<TargetChange> {
        let mut expired_leases: Vec<(Target, Cause)> = Vec::new();
        let mut aged_tombstones: Vec<(Target, Cause)> = Vec::new();
        for (target, causes) in self.targets() {
            for (cause, state) in &causes.0 {
                let has_expired = state.entry.lease_expires_at.is_some_and(|expiry| expiry <= now);
                if state.is_active() && has_expired {
                    expired_leases.push((target.clone(), *cause));
                } else if !state.is_active() && now - state.inactive_since() > TOMBSTONE_RETENTION {
                    aged_tombstones.push((target.clone(), *cause));
                }
            }
        }
        let mut outcomes: BTreeMap<Target, CordonOutcome> = BTreeMap::new();
        for (target, cause) in expired_leases {
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
        let entry = self.causes(target).and_then(|causes| causes.0.get(&cause)).map(|s| s.entry.clone());
        if let Some(entry) = entry {
            self.store(now, target, cause, CauseState { entry, is_lease_expired: true });
            self.counters.leases_expired += 1;
        }
        match self.causes(target).and_then(CauseMap::first_active) {
            Some(cause) => CordonOutcome::StillCordoned { cause },
            None => CordonOutcome::Uncordoned,
        }
    }

    /// Keeps tombstones within their bounds: the lowest version goes first.
    pub(crate) fn evict_tombstones(&mut self) {
        if !self.is_over_tombstone_limit() {
            return;
        }
        let mut tombstones: Vec<(u64, Target, Cause)> = Vec::new();
        for (target, causes) in self.targets() {
            for (cause, state) in causes.0.iter().filter(|(_, state)| !state.is_active()) {
                tombstones.push((state.entry.version, target.clone(), *cause));
            }
        }
        tombstones.sort_unstable();
        for (_, target, cause) in tombstones {
            if !self.is_over_tombstone_limit() {
                return;
            }
            // Removing an inactive entry changes nothing of what is cordoned, so the time is irrelevant.
            self.remove(Timestamp::ZERO, &target, cause);
            self.counters.tombstones_evicted += 1;
        }
    }

    fn is_over_tombstone_limit(&self) -> bool {
        let usage = self.tombstone_usage;
        usage.records > self.limits.max_tombstones || usage.id_bytes > self.limits.max_tombstone_id_bytes
    }
}
