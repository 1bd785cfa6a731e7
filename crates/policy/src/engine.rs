//! One engine: its entry in the endpoint list and the attempts that this manager has in flight on it. Load,
//! health and slow-start budget have modules and rules of their own.

use crate::engine_health::EngineHealth;
use crate::engine_load::EngineLoad;
use crate::events::{EngineEntry, EngineState};
use crate::settings::Settings;
use crate::slow_start::SlowStartBudget;
use crate::snapshot::StoredEngine;
use sprucelink_rate_limits::RecentSet;
use sprucelink_stable_hash::SplitMix64;
use sprucelink_time::{TimeDelta, Timestamp};

/// Number of table groups, those of the last requests to an engine, that are assumed to be in its cache:
/// engines do not report them.
const CACHED_TABLE_GROUPS: usize = 4;

/// The record of one engine.
#[derive(Clone, Default)]
pub(crate) struct Engine {
    /// Whether the endpoint list has the engine as ready.
    is_listed: bool,
    /// Whether the endpoint list has the engine as gone.
    is_gone: bool,
    zone: u32,
    kind: u32,
    cell: u32,
    cores: f64,
    started_at: Option<Timestamp>,
    own_threads: f64,
    own_attempts: u32,
    last_send: Option<Timestamp>,
    recent_table_groups: RecentSet,
    pub(crate) load: EngineLoad,
    pub(crate) health: EngineHealth,
    pub(crate) slow_start: SlowStartBudget,
}

impl Engine {
    /// Whether the endpoint list has the engine as ready.
    pub(crate) fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Whether the endpoint list has the engine as gone.
    pub(crate) fn is_gone(&self) -> bool {
        self.is_gone
    }

    pub(crate) fn zone(&self) -> u32 {
        self.zone
    }

    pub(crate) fn kind(&self) -> u32 {
        self.kind
    }

    pub(crate) fn cell(&self) -> u32 {
        self.cell
    }

    pub(crate) fn cores(&self) -> f64 {
        self.cores
    }

    /// Start of the latest slow start; `None` if the engine was never in slow start.
    pub(crate) fn started_at(&self) -> Option<Timestamp> {
        self.started_at
    }

    /// Threads of own attempts in flight on the engine.
    pub(crate) fn own_threads(&self) -> f64 {
        self.own_threads
    }

    /// Number of own attempts in flight on the engine.
    pub(crate) fn own_attempts(&self) -> u32 {
        self.own_attempts
    }

    /// Time at which the engine was last sent an attempt; `None` if it never was.
    pub(crate) fn last_send(&self) -> Option<Timestamp> {
        self.last_send
    }

    /// Whether the engine was recently sent requests on this table group, which it probably has in its cache.
    pub(crate) fn has_cached(&self, table_group: u64) -> bool {
        self.recent_table_groups.contains(table_group)
    }

    /// An attempt is sent to the engine. `charge`: work charged to the slow-start budget, thread-seconds.
    pub(crate) fn charge_send(
        &mut self,
        now: Timestamp,
        threads: f64,
        charge: f64,
        table_group: u64,
        settings: &Settings,
    ) {
        self.health.record_send(now, self.own_attempts == 0);
        self.slow_start.charge_send(now, charge, settings);
        self.last_send = Some(now);
        self.own_threads += threads;
        self.own_attempts += 1;
        self.recent_table_groups.touch(table_group, CACHED_TABLE_GROUPS);
    }

    /// An attempt on the engine has ended.
    pub(crate) fn record_end(&mut self, threads: f64) {
        self.own_threads -= threads;
        self.own_attempts -= 1;
    }

    /// A connection to the engine failed. After enough failures the engine probably restarts, which the
    /// endpoint list will show later: the slow start begins again now. If the list then has an earlier start
    /// than `now`, the new process is not recognised as one, and the health is not reset.
    pub(crate) fn record_connect_failure(&mut self, now: Timestamp, slow_start_duration: TimeDelta) {
        self.health.record_connect_failure(now);
        if self.health.has_probably_restarted() && slow_start_duration > TimeDelta::ZERO {
            self.started_at = Some(now);
        }
    }

    /// The engine rejected a request because it was overloaded.
    pub(crate) fn record_rejection(&mut self, now: Timestamp) {
        self.load.assume_full(now, self.cores);
        self.health.record_overload_rejection(now);
    }

    /// Resets the record of an engine that is listed again after the list had it as gone. Another engine may
    /// now have its number, so that only the attempts in flight are still valid. Or the same engine has it,
    /// after a delayed list, so that the work sent in the slow-start window still counts.
    fn reset_except_sends(&mut self) {
        let earlier = std::mem::take(self);
        self.own_threads = earlier.own_threads;
        self.own_attempts = earlier.own_attempts;
        self.slow_start = SlowStartBudget::with_charges_of(earlier.slow_start);
    }

    /// A complete endpoint list does not have the engine as ready.
    pub(crate) fn unlist(&mut self) {
        self.is_listed = false;
    }

    /// Applies the engine's entry of the endpoint list. Returns `true` if the engine has a new process.
    pub(crate) fn apply_entry(
        &mut self,
        now: Timestamp,
        entry: &EngineEntry,
        settings: &Settings,
        random: &mut SplitMix64,
    ) -> bool {
        if self.is_gone {
            self.reset_except_sends();
        }
        self.is_gone = entry.state == EngineState::Gone;
        let is_new_process = entry.since > self.started_at;
        if is_new_process {
            self.health.reset_for_new_process(now);
            self.recent_table_groups.clear();
            self.slow_start.draw_number(now, settings, random);
        }
        self.is_listed = entry.state == EngineState::Ready;
        self.zone = entry.zone;
        self.kind = entry.kind;
        self.cell = entry.cell;
        self.cores = settings.kind_cores.get(entry.kind as usize).copied().unwrap_or(1.0).max(1.0);
        self.started_at = entry.since.max(self.started_at);
        is_new_process
    }

    pub(crate) fn to_stored(&self) -> StoredEngine {
        let mut stored = StoredEngine {
            listed: self.is_listed,
            gone: self.is_gone,
            zone: self.zone,
            kind: self.kind,
            cell: self.cell,
            cores: self.cores,
            started_at: self.started_at,
            threads: self.own_threads,
            in_flight: self.own_attempts,
            last_send: self.last_send,
            recent_table_groups: self.recent_table_groups.clone(),
            ..StoredEngine::default()
        };
        self.load.store(&mut stored);
        self.health.store(&mut stored);
        self.slow_start.store(&mut stored);
        stored
    }

    pub(crate) fn from_stored(mut stored: StoredEngine) -> Engine {
        Engine {
            is_listed: stored.listed,
            is_gone: stored.gone,
            zone: stored.zone,
            kind: stored.kind,
            cell: stored.cell,
            cores: stored.cores,
            started_at: stored.started_at,
            own_threads: stored.threads,
            own_attempts: stored.in_flight,
            last_send: stored.last_send,
            recent_table_groups: std::mem::take(&mut stored.recent_table_groups),
            load: EngineLoad::restore(&stored),
            health: EngineHealth::restore(&stored),
            slow_start: SlowStartBudget::restore(&mut stored),
        }
    }
}
