//! The cordons in force, and how their records are stored.

use crate::cause::{Cause, CauseMap, CauseState};
use crate::counters::CordonCounters;
use crate::known_ids::{engine_id_hash, KnownIds};
use crate::limits::CordonLimits;
use crate::manager_state::ManagerState;
use crate::record_usage::RecordUsage;
use crate::target::{validate_engine_id, Target};
use crate::Timestamp;
use std::collections::BTreeMap;

/// One cause that keeps a target cordoned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveCordon<'a> {
    /// What is cordoned.
    pub target: Target,
    /// Who cordoned it.
    pub cause: Cause,
    /// When its last call was made.
    pub changed_at: Timestamp,
    /// When its lease expires, for the fleet's.
    pub lease_expires_at: Option<Timestamp>,
    /// The reason given.
    pub reason: &'a str,
}

/// How much is retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CordonSizes {
    /// Active cordons, over all targets and causes.
    pub active_cordons: usize,
    /// Entries of inactive causes.
    pub tombstones: usize,
    /// Engine ids remembered as ever listed.
    pub known_ids: usize,
}

/// Which engines are cordoned at this manager and by whom, and whether the manager itself is.
#[derive(Clone, Debug)]
pub struct CordonState {
    pub(crate) limits: CordonLimits,
    pub(crate) engines: BTreeMap<String, CauseMap>,
    pub(crate) manager_causes: CauseMap,
    pub(crate) manager_state: ManagerState,
    pub(crate) known_ids: KnownIds,
    /// The highest version issued or seen: the Lamport clock.
    pub(crate) highest_version: u64,
    pub(crate) active_usage: RecordUsage,
    pub(crate) tombstone_usage: RecordUsage,
    pub(crate) counters: CordonCounters,
}

impl CordonState {
    /// Nothing cordoned, nothing listed, this manager serving.
    pub fn new(limits: CordonLimits) -> CordonState {
        CordonState {
            limits,
            engines: BTreeMap::new(),
            manager_causes: CauseMap::default(),
            manager_state: ManagerState::Serving,
            known_ids: KnownIds::new(limits.max_known_ids),
            highest_version: 0,
            active_usage: RecordUsage::default(),
            tombstone_usage: RecordUsage::default(),
            counters: CordonCounters::default(),
        }
    }

    /// The endpoint list names the engine, in whatever phase. Cordons stay as they are.
    pub fn note_listed(&mut self, id: &str) {
        // A list with names that no call could hold must not fill the memory of ids.
        if validate_engine_id(id).is_ok() {
            self.known_ids.set_listed(engine_id_hash(id), true);
        }
    }

    /// The endpoint list names the engine no longer, or says that it is gone. Cordons stay as they are, and so does the
    /// memory that it was listed, within [`CordonLimits::max_known_ids`].
    pub fn note_unlisted(&mut self, id: &str) {
        self.known_ids.set_listed(engine_id_hash(id), false);
    }

    /// Whether the engine was ever listed, here or at a process whose ids were merged.
    pub fn was_ever_listed(&self, id: &str) -> bool {
        self.known_ids.contains(engine_id_hash(id)) || self.engines.contains_key(id)
    }

    /// Whether an engine is cordoned. One map look-up without allocation.
    pub fn is_engine_cordoned(&self, id: &str) -> bool {
        self.engines.get(id).is_some_and(CauseMap::is_any_active)
    }

    /// Every active cause, one item each: this manager first, then engines by id.
    pub fn active_cordons(&self) -> impl Iterator<Item = ActiveCordon<'_>> {
        let of_manager = self.manager_causes.0.iter().map(|(cause, state)| (None, cause, state));
        let of_engines = self
            .engines
            .iter()
            .flat_map(|(id, causes)| causes.0.iter().map(move |(cause, state)| (Some(id), cause, state)));
        let active = of_manager.chain(of_engines).filter(|(_, _, state)| state.is_active());
        active.map(|(id, cause, state)| ActiveCordon {
            target: id.map_or(Target::Manager, |id| Target::Engine(id.clone())),
            cause: *cause,
            changed_at: state.entry.changed_at,
            lease_expires_at: state.entry.lease_expires_at,
            reason: &state.entry.reason,
        })
    }

    /// The number of engines that are cordoned, on the list or not.
    pub fn cordoned_engine_count(&self) -> usize {
        self.engines.values().filter(|causes| causes.is_any_active()).count()
    }

    /// The state of this manager.
    pub fn manager_state(&self) -> ManagerState {
        self.manager_state
    }

    /// Notes the number of connections and requests in flight: a quiescing manager with none is quiesced.
    pub fn set_in_flight(&mut self, now: Timestamp, count: usize) {
        self.manager_state = self.manager_state.with_in_flight(now, count);
    }

    /// Counters so far.
    pub fn counters(&self) -> CordonCounters {
        CordonCounters {
            ids_evicted: self.known_ids.evicted(),
            ids_over_limit: self.known_ids.over_limit(),
            ..self.counters
        }
    }

    /// How much is retained now.
    pub fn sizes(&self) -> CordonSizes {
        CordonSizes {
            active_cordons: self.active_usage.records,
            tombstones: self.tombstone_usage.records,
            known_ids: self.known_ids.len(),
        }
    }

    /// All targets with a record, this manager first, then engines by id.
    pub(crate) fn targets(&self) -> impl Iterator<Item = (Target, &CauseMap)> {
        let engines = self.engines.iter().map(|(id, causes)| (Target::Engine(id.clone()), causes));
        std::iter::once((Target::Manager, &self.manager_causes)).chain(engines)
    }

    pub(crate) fn causes(&self, target: &Target) -> Option<&CauseMap> {
        match target {
            Target::Manager => Some(&self.manager_causes),
            Target::Engine(id) => self.engines.get(id),
        }
    }

    pub(crate) fn is_cordoned(&self, target: &Target) -> bool {
        self.causes(target).is_some_and(CauseMap::is_any_active)
    }

    fn causes_mut(&mut self, target: &Target) -> &mut CauseMap {
        match target {
            Target::Manager => &mut self.manager_causes,
            Target::Engine(id) => self.engines.entry(id.clone()).or_default(),
        }
    }

    /// Whether one more active cordon is within the bounds; one that is active already always is.
    pub(crate) fn has_capacity(&self, target: &Target, cause: Cause) -> bool {
        if self.causes(target).is_some_and(|causes| causes.is_active(cause)) {
            return true;
        }
        let id_bytes = self.active_usage.id_bytes + target.id_bytes();
        self.active_usage.records < self.limits.max_cordons && id_bytes <= self.limits.max_cordon_id_bytes
    }

    /// Replaces a cause's entry, whatever it was before.
    pub(crate) fn store(&mut self, now: Timestamp, target: &Target, cause: Cause, state: CauseState) {
        let id_bytes = target.id_bytes();
        let is_active = state.is_active();
        let previous = self.causes_mut(target).0.insert(cause, state);
        if let Some(previous) = previous {
            self.usage_mut(previous.is_active()).remove(id_bytes);
        }
        self.usage_mut(is_active).add(id_bytes);
        self.apply_to_target(now, target);
    }

    /// Removes a cause's entry.
    pub(crate) fn remove(&mut self, now: Timestamp, target: &Target, cause: Cause) {
        let removed = self.causes_mut(target).0.remove(&cause);
        if let Some(removed) = removed {
            self.usage_mut(removed.is_active()).remove(target.id_bytes());
        }
        self.apply_to_target(now, target);
        if let Target::Engine(id) = target {
            if self.engines.get(id).is_some_and(|causes| causes.0.is_empty()) {
                self.engines.remove(id);
            }
        }
    }

    fn usage_mut(&mut self, is_active: bool) -> &mut RecordUsage {
        if is_active {
            &mut self.active_usage
        } else {
            &mut self.tombstone_usage
        }
    }

    /// Updates what depends on whether the target is cordoned.
    fn apply_to_target(&mut self, now: Timestamp, target: &Target) {
        let cordoned = self.is_cordoned(target);
        match target {
            Target::Manager => self.manager_state = self.manager_state.with_cordon(now, cordoned),
            Target::Engine(id) => {
                self.known_ids.set_cordoned(engine_id_hash(id), cordoned);
            }
        }
    }
}
