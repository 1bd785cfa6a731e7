//! The cordons in force: owns the registers, the ids ever listed and the manager's state, and keeps them consistent.

use crate::cause::Cause;
use crate::cause_register::CauseState;
use crate::counters::CordonCounters;
use crate::known_ids::{engine_id_hash, KnownIds};
use crate::lamport_clock::LamportClock;
use crate::limits::CordonLimits;
use crate::manager_state::ManagerState;
use crate::register_table::RegisterTable;
use crate::target::{validate_engine_id, Target};
use crate::Timestamp;

mod commands;
mod expiry;
mod merge;

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
    registers: RegisterTable,
    manager_state: ManagerState,
    known_ids: KnownIds,
    clock: LamportClock,
    counters: CordonCounters,
}

impl CordonState {
    /// Nothing cordoned, nothing listed, this manager serving.
    pub fn new(limits: CordonLimits) -> CordonState {
        CordonState {
            registers: RegisterTable::new(limits),
            manager_state: ManagerState::Serving,
            known_ids: KnownIds::new(limits.max_known_ids),
            clock: LamportClock::default(),
            counters: CordonCounters::default(),
        }
    }

    /// The endpoint list names the engine, in whatever phase. Cordons stay as they are.
    pub fn mark_listed(&mut self, id: &str) {
        // A list with names that no call could hold must not fill the memory of ids.
        if validate_engine_id(id).is_ok() {
            self.known_ids.set_listed(engine_id_hash(id), true);
        }
    }

    /// The endpoint list names the engine no longer, or lists it as gone. Cordons stay as they are, and so does the
    /// memory that it was listed, within [`CordonLimits::max_known_ids`].
    pub fn mark_unlisted(&mut self, id: &str) {
        self.known_ids.set_listed(engine_id_hash(id), false);
    }

    /// Whether the engine was ever listed, here or at a process whose ids were merged.
    pub fn was_ever_listed(&self, id: &str) -> bool {
        self.known_ids.contains(engine_id_hash(id)) || self.registers.contains_engine(id)
    }

    /// Whether an engine is cordoned. One map look-up without allocation.
    pub fn is_engine_cordoned(&self, id: &str) -> bool {
        self.registers.is_engine_cordoned(id)
    }

    /// Every active cause, one item each: this manager first, then engines by id.
    pub fn active_cordons(&self) -> impl Iterator<Item = ActiveCordon<'_>> {
        self.registers.targets().flat_map(|(target, causes)| {
            let active = causes.iter().filter(|(_, state)| state.is_active());
            active.map(move |(cause, state)| ActiveCordon {
                target: target.clone(),
                cause,
                changed_at: state.entry().changed_at,
                lease_expires_at: state.entry().lease_expires_at,
                reason: &state.entry().reason,
            })
        })
    }

    /// The number of engines that are cordoned, on the list or not.
    pub fn cordoned_engine_count(&self) -> usize {
        self.registers.cordoned_engine_count()
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
            active_cordons: self.registers.active_count(),
            tombstones: self.registers.tombstone_count(),
            known_ids: self.known_ids.len(),
        }
    }

    /// Replaces a cause's entry, whatever it was before.
    fn store(&mut self, now: Timestamp, target: &Target, cause: Cause, state: CauseState) {
        self.registers.insert(target, cause, state);
        self.apply_to_target(now, target);
    }

    /// Removes a cause's entry.
    fn remove(&mut self, now: Timestamp, target: &Target, cause: Cause) {
        self.registers.remove(target, cause);
        self.apply_to_target(now, target);
    }

    /// Updates what depends on whether the target is cordoned.
    fn apply_to_target(&mut self, now: Timestamp, target: &Target) {
        let is_cordoned = self.registers.is_cordoned(target);
        match target {
            Target::Manager => self.manager_state = self.manager_state.with_cordon(now, is_cordoned),
            Target::Engine(id) => {
                self.known_ids.set_cordoned(engine_id_hash(id), is_cordoned);
            }
        }
    }
}
