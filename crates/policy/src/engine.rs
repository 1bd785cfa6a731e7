//! One engine: what the endpoint list says of it, and what this manager has in flight there. Its load, health
//! and slow-start budget are parts with rules of their own.

use crate::engine_health::EngineHealth;
use crate::engine_load::EngineLoad;
use crate::events::{EngineEntry, EngineState};
use crate::settings::Settings;
use crate::slow_start::SlowStartBudget;
use crate::snapshot::StoredEngine;
use sprucelink_rate_limits::RecentSet;
use sprucelink_stable_hash::SplitMix64;
use sprucelink_time::{TimeDelta, Timestamp};

/// Table groups sent to an engine last that are taken to be cached there: engines do not report them.
const CACHED_TABLE_GROUPS: usize = 4;

/// What is known of one engine.
#[derive(Clone, Default)]
pub(crate) struct Engine {
    /// The endpoint list has it as ready.
    is_listed: bool,
    /// The endpoint list has it as gone.
    is_gone: bool,
    zone: u32,
    kind: u32,
    cell: u32,
    cores: f64,
    started_at: Option<Timestamp>,
    own_threads: f64,
    own_attempts: u32,
    last_send: Option<Timestamp>,
    recent_tables: RecentSet,
    pub(crate) load: EngineLoad,
    pub(crate) health: EngineHealth,
    pub(crate) slow_start: SlowStartBudget,
}

impl Engine {
    /// Whether the endpoint list has it as ready.
    pub(crate) fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Whether the endpoint list has it as gone.
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

    /// When its slow start began, if it had one.
    pub(crate) fn started_at(&self) -> Option<Timestamp> {
        self.started_at
    }

    /// Threads of own attempts in flight there.
    pub(crate) fn own_threads(&self) -> f64 {
        self.own_threads
    }

    /// Own attempts in flight there.
    pub(crate) fn own_attempts(&self) -> u32 {
        self.own_attempts
    }

    /// When it was last sent an attempt.
    pub(crate) fn last_send(&self) -> Option<Timestamp> {
        self.last_send
    }

    /// Whether it was recently sent requests that read these tables.
    pub(crate) fn has_cached(&self, table_group: u64) -> bool {
        self.recent_tables.contains(table_group)
    }

    /// An attempt is sent to it. `charge`: its work, for the slow-start budget.
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
        self.recent_tables.touch(table_group, CACHED_TABLE_GROUPS);
    }

    /// An attempt there has ended.
    pub(crate) fn record_end(&mut self, threads: f64) {
        self.own_threads -= threads;
        self.own_attempts -= 1;
    }

    /// A connection to it failed. After enough failures it probably restarts, which the list will say later:
    /// its slow start begins again. If the list then has an earlier start than `now`, the new process is not
    /// seen as one, and its health is not reset.
    pub(crate) fn record_connect_failure(&mut self, now: Timestamp, slow_start_duration: TimeDelta) {
        self.health.record_connect_failure(now);
        if self.health.has_probably_restarted() && slow_start_duration > TimeDelta::ZERO {
            self.started_at = Some(now);
        }
    }

    /// It rejected a request for its load.
    pub(crate) fn record_rejection(&mut self, now: Timestamp) {
        self.load.assume_full(now, self.cores);
        self.health.record_overload_rejection(now);
    }

    /// The record of an engine that came back after the list had it as gone. Another engine may come under
    /// its number: only what is in flight is still true. It may also be the same one, after a list that came
    /// late: what it was sent in the slow-start window still counts.
    fn forget_all_but_sends(&mut self) {
        let earlier = std::mem::take(self);
        self.own_threads = earlier.own_threads;
        self.own_attempts = earlier.own_attempts;
        self.slow_start = SlowStartBudget::with_charges_of(earlier.slow_start);
    }

    /// A complete list does not name it as ready.
    pub(crate) fn unlist(&mut self) {
        self.is_listed = false;
    }

    /// Takes its entry of the endpoint list; `true` if its process is a new one.
    pub(crate) fn update(
        &mut self,
        now: Timestamp,
        entry: &EngineEntry,
        settings: &Settings,
        random: &mut SplitMix64,
    ) -> bool {
        if self.is_gone {
            self.forget_all_but_sends();
        }
        self.is_gone = entry.state == EngineState::Gone;
        let is_new_process = entry.since > self.started_at;
        if is_new_process {
            self.health.reset_for_new_process(now);
            self.recent_tables.clear();
            self.slow_start.draw_sender(now, settings, random);
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
            withdrawn: self.is_gone,
            zone: self.zone,
            kind: self.kind,
            cell: self.cell,
            cores: self.cores,
            started_at: self.started_at,
            threads: self.own_threads,
            in_flight: self.own_attempts,
            last_send: self.last_send,
            recent_tables: self.recent_tables.clone(),
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
            is_gone: stored.withdrawn,
            zone: stored.zone,
            kind: stored.kind,
            cell: stored.cell,
            cores: stored.cores,
            started_at: stored.started_at,
            own_threads: stored.threads,
            own_attempts: stored.in_flight,
            last_send: stored.last_send,
            recent_tables: std::mem::take(&mut stored.recent_tables),
            load: EngineLoad::restore(&stored),
            health: EngineHealth::restore(&stored),
            slow_start: SlowStartBudget::restore(&mut stored),
        }
    }
}
