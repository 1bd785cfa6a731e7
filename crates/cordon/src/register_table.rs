//! The registers of all targets, and the parts of the bounds that they use up.

use crate::cause::Cause;
use crate::cause_register::{CauseMap, CauseState};
use crate::limits::{CordonLimits, TOMBSTONE_RETENTION};
use crate::record_usage::RecordUsage;
use crate::target::Target;
use crate::Timestamp;
use std::collections::BTreeMap;

/// Target and cause, which identify a register.
pub(crate) type RegisterKey = (Target, Cause);

/// One register for each pair of target and cause. Active registers and tombstones are counted against
/// separate bounds; callers check [`RegisterTable::has_capacity`] before they store an active register.
#[derive(Clone, Debug)]
pub(crate) struct RegisterTable {
    limits: CordonLimits,
    engines: BTreeMap<String, CauseMap>,
    manager: CauseMap,
    active_usage: RecordUsage,
    tombstone_usage: RecordUsage,
}

impl RegisterTable {
    pub(crate) fn new(limits: CordonLimits) -> RegisterTable {
        RegisterTable {
            limits,
            engines: BTreeMap::new(),
            manager: CauseMap::default(),
            active_usage: RecordUsage::default(),
            tombstone_usage: RecordUsage::default(),
        }
    }

    /// All targets with their registers, this manager first, then engines by id.
    pub(crate) fn targets(&self) -> impl Iterator<Item = (Target, &CauseMap)> {
        let engines = self.engines.iter().map(|(id, causes)| (Target::Engine(id.clone()), causes));
        std::iter::once((Target::Manager, &self.manager)).chain(engines)
    }

    /// The registers of one target; `None` for an engine without a register.
    pub(crate) fn causes(&self, target: &Target) -> Option<&CauseMap> {
        match target {
            Target::Manager => Some(&self.manager),
            Target::Engine(id) => self.engines.get(id),
        }
    }

    pub(crate) fn get(&self, target: &Target, cause: Cause) -> Option<&CauseState> {
        self.causes(target).and_then(|causes| causes.get(cause))
    }

    /// The first active cause on the target: the operator if active, else the permit with the lowest
    /// identifier.
    pub(crate) fn first_active(&self, target: &Target) -> Option<Cause> {
        self.causes(target).and_then(CauseMap::first_active)
    }

    pub(crate) fn is_cordoned(&self, target: &Target) -> bool {
        self.causes(target).is_some_and(CauseMap::is_any_active)
    }

    /// Whether a register of the engine is retained, from a call or from a merged record.
    pub(crate) fn contains_engine(&self, id: &str) -> bool {
        self.engines.contains_key(id)
    }

    /// Whether an engine is cordoned. Takes one map look-up and no allocation.
    pub(crate) fn is_engine_cordoned(&self, id: &str) -> bool {
        self.engines.get(id).is_some_and(CauseMap::is_any_active)
    }

    pub(crate) fn cordoned_engine_count(&self) -> usize {
        self.engines.values().filter(|causes| causes.is_any_active()).count()
    }

    /// The number of active registers.
    pub(crate) fn active_count(&self) -> usize {
        self.active_usage.records
    }

    /// The number of inactive registers.
    pub(crate) fn tombstone_count(&self) -> usize {
        self.tombstone_usage.records
    }

    /// Whether a cordon of the target by the cause would be within the bounds. A cordon that is already
    /// active is always within the bounds.
    pub(crate) fn has_capacity(&self, target: &Target, cause: Cause) -> bool {
        if self.get(target, cause).is_some_and(CauseState::is_active) {
            return true;
        }
        let id_bytes = self.active_usage.id_bytes + target.id_bytes();
        self.active_usage.records < self.limits.max_cordons && id_bytes <= self.limits.max_cordon_id_bytes
    }

    /// Stores the register of a cause on a target, replacing any previous register, and updates the used
    /// parts of the bounds.
    pub(crate) fn insert(&mut self, target: &Target, cause: Cause, state: CauseState) {
        let id_bytes = target.id_bytes();
        let is_active = state.is_active();
        let previous = self.causes_mut(target).insert(cause, state);
        if let Some(previous) = previous {
            self.usage_mut(previous.is_active()).remove(id_bytes);
        }
        self.usage_mut(is_active).add(id_bytes);
    }

    /// Removes the register of a cause on a target, and the engine's entry once no register of the engine is
    /// left.
    pub(crate) fn remove(&mut self, target: &Target, cause: Cause) {
        let removed = self.causes_mut(target).remove(cause);
        if let Some(removed) = removed {
            self.usage_mut(removed.is_active()).remove(target.id_bytes());
        }
        if let Target::Engine(id) = target {
            if self.engines.get(id).is_some_and(CauseMap::is_empty) {
                self.engines.remove(id);
            }
        }
    }

    /// Keys of the active registers whose lease has expired at `now`.
    pub(crate) fn due_leases(&self, now: Timestamp) -> Vec<RegisterKey> {
        self.keys_where(|state| state.is_lease_due(now))
    }

    /// Keys of the registers that have been inactive for longer than [`TOMBSTONE_RETENTION`].
    pub(crate) fn aged_tombstones(&self, now: Timestamp) -> Vec<RegisterKey> {
        self.keys_where(|state| !state.is_active() && now - state.inactive_since() > TOMBSTONE_RETENTION)
    }

    /// Keys of the inactive registers, the lowest version first.
    pub(crate) fn tombstones_by_version(&self) -> Vec<RegisterKey> {
        let mut tombstones: Vec<(u64, Target, Cause)> = Vec::new();
        for (target, causes) in self.targets() {
            for (cause, state) in causes.iter().filter(|(_, state)| !state.is_active()) {
                tombstones.push((state.entry().version, target.clone(), cause));
            }
        }
        tombstones.sort_unstable();
        tombstones.into_iter().map(|(_, target, cause)| (target, cause)).collect()
    }

    pub(crate) fn is_over_tombstone_limit(&self) -> bool {
        let usage = self.tombstone_usage;
        usage.records > self.limits.max_tombstones || usage.id_bytes > self.limits.max_tombstone_id_bytes
    }

    fn keys_where(&self, predicate: impl Fn(&CauseState) -> bool) -> Vec<RegisterKey> {
        let mut keys = Vec::new();
        for (target, causes) in self.targets() {
            for (cause, _) in causes.iter().filter(|(_, state)| predicate(state)) {
                keys.push((target.clone(), cause));
            }
        }
        keys
    }

    fn causes_mut(&mut self, target: &Target) -> &mut CauseMap {
        match target {
            Target::Manager => &mut self.manager,
            Target::Engine(id) => self.engines.entry(id.clone()).or_default(),
        }
    }

    fn usage_mut(&mut self, is_active: bool) -> &mut RecordUsage {
        if is_active {
            &mut self.active_usage
        } else {
            &mut self.tombstone_usage
        }
    }
}
