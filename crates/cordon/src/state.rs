//! The cordons in force. This module keeps the registers, the engine ids ever listed and the manager's state
//! consistent with each other.

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
    /// The cordoned target.
    pub target: Target,
    /// The cause that is active on the target.
    pub cause: Cause,
    /// Time of the cause's last call on the target.
    pub changed_at: Timestamp,
    /// Time at which the lease expires; `None` for the operator's cordons.
    pub lease_expires_at: Option<Timestamp>,
    /// The reason given with the cause's last call on the target; may be empty.
    pub reason: &'a str,
}

/// Number of retained items of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CordonSizes {
    /// Active cordons, over all targets and causes.
    pub active_cordons: usize,
    /// Entries of inactive causes.
    pub tombstones: usize,
    /// Remembered engine ids that were ever listed.
    pub known_ids: usize,
}

/// The engines that are cordoned at this manager with their causes, and the state of the manager itself.
#[derive(Clone, Debug)]
pub struct CordonState {
    registers: RegisterTable,
    manager_state: ManagerState,
    known_ids: KnownIds,
    clock: LamportClock,
    counters: CordonCounters,
}

impl CordonState {
    /// Creates the initial state: no engine is listed or cordoned, and this manager is serving.
    pub fn new(limits: CordonLimits) -> CordonState {
        CordonState {
            registers: RegisterTable::new(limits),
            manager_state: ManagerState::Serving,
            known_ids: KnownIds::new(limits.max_known_ids),
            clock: LamportClock::default(),
            counters: CordonCounters::default(),
        }
    }

    /// Records that the endpoint list names the engine as ready or draining. Cordons are unchanged; an
    /// invalid id is ignored.
    pub fn mark_listed(&mut self, id: &str) {
        // Invalid ids of an endpoint list, which no call could name, must not use up the capacity for ids.
        if validate_engine_id(id).is_ok() {
            self.known_ids.set_listed(engine_id_hash(id), true);
        }
    }

    /// Records that the endpoint list no longer names the engine, or lists it as gone. Cordons are unchanged,
    /// and the engine remains known as ever listed, within [`CordonLimits::max_known_ids`].
    pub fn mark_unlisted(&mut self, id: &str) {
        self.known_ids.set_listed(engine_id_hash(id), false);
    }

    /// Whether the engine was ever listed, at this process or at a process whose ids or records were merged.
    pub fn was_ever_listed(&self, id: &str) -> bool {
        self.known_ids.contains(engine_id_hash(id)) || self.registers.contains_engine(id)
    }

    /// Whether an engine is cordoned. Takes one map look-up and no allocation.
    pub fn is_engine_cordoned(&self, id: &str) -> bool {
        self.registers.is_engine_cordoned(id)
    }

    /// One item for each active cause: those of this manager first, then those of engines by id.
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

    /// The number of cordoned engines, whether the endpoint list names them or not.
    pub fn cordoned_engine_count(&self) -> usize {
        self.registers.cordoned_engine_count()
    }

    /// The state of this manager.
    pub fn manager_state(&self) -> ManagerState {
        self.manager_state
    }

    /// Updates the number of connections and requests in flight: a quiescing manager with nothing in flight
    /// becomes quiesced.
    pub fn set_in_flight(&mut self, now: Timestamp, count: usize) {
        self.manager_state = self.manager_state.with_in_flight(now, count);
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> CordonCounters {
        CordonCounters {
            ids_evicted: self.known_ids.evicted(),
            ids_over_limit: self.known_ids.over_limit(),
            ..self.counters
        }
    }

    /// Number of items that are retained now.
    pub fn sizes(&self) -> CordonSizes {
        CordonSizes {
            active_cordons: self.registers.active_count(),
            tombstones: self.registers.tombstone_count(),
            known_ids: self.known_ids.len(),
        }
    }

    /// Stores the register of a cause on a target, replacing any previous register, and updates the state
    /// that depends on whether the target is cordoned.
    fn store(&mut self, now: Timestamp, target: &Target, cause: Cause, state: CauseState) {
        self.registers.insert(target, cause, state);
        self.apply_to_target(now, target);
    }

    /// Removes the register of a cause on a target, and updates the state that depends on whether the target
    /// is cordoned.
    fn remove(&mut self, now: Timestamp, target: &Target, cause: Cause) {
        self.registers.remove(target, cause);
        self.apply_to_target(now, target);
    }

    /// Updates the state that depends on whether the target is cordoned: the manager's state or the retention
    /// of the engine's id.
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
