//! The load of one engine: an estimate of its threads from its last load report, this manager's own attempts
//! on it and the mean load of the fleet.

use crate::events::LoadReport;
use crate::load_estimate::MeanLoad;
use crate::snapshot::StoredEngine;
use sprucelink_float_math::exp;
use sprucelink_rate_limits::MovingAverage;
use sprucelink_time::{TimeDelta, Timestamp};

/// Seconds in which the weight of an engine's load report falls to 1/e.
pub(crate) const REPORT_DECAY_SECS: f64 = 4.0;
/// Fraction of busy cores above which a report of busy cores does not show how many threads wait for cores.
const SATURATED_CORE_FRACTION: f64 = 0.85;
/// Threads per core assumed on an engine that rejected a request or does not answer.
const FULL_THREADS_PER_CORE: f64 = 4.0;
/// Weight of one tick in the average of own threads on an engine.
const OWN_THREADS_WEIGHT: f64 = 0.1;
/// Maximum age of a load report that outweighs an overdue attempt.
const MAX_TRUSTED_REPORT_AGE: TimeDelta = TimeDelta::from_secs(1);

/// What is known of one engine's load apart from this manager's attempts in flight: threads of other managers
/// and waiting queries by its last report, and the average of own threads that is subtracted from a report.
#[derive(Clone, Default)]
pub(crate) struct EngineLoad {
    /// Threads of other managers according to the last report.
    others_threads: f64,
    /// Time of the last report, or of the last event after which the engine was assumed to be full.
    reported_at: Option<Timestamp>,
    /// Queries that wait for memory according to the last report.
    queries_waiting: f64,
    /// Whether the last report shows nearly all cores busy but not how many threads wait for the cores: it
    /// had only the fraction of busy cores and no number of queries.
    is_excess_load_unknown: bool,
    /// Own threads on the engine, averaged over ticks because reports lag behind.
    average_own_threads: MovingAverage,
}

impl EngineLoad {
    /// Threads of other managers according to the last report.
    pub(crate) fn others_threads(&self) -> f64 {
        self.others_threads
    }

    /// Queries that wait for memory according to the last report.
    pub(crate) fn queries_waiting(&self) -> f64 {
        self.queries_waiting
    }

    /// Whether the last report shows nearly all cores busy but not how many threads wait for the cores: it
    /// had only the fraction of busy cores and no number of queries.
    pub(crate) fn is_excess_load_unknown(&self) -> bool {
        self.is_excess_load_unknown
    }

    /// Seconds since the last report, or since the last event after which the engine was assumed to be full;
    /// `None` if there was neither.
    pub(crate) fn report_age_secs(&self, now: Timestamp) -> Option<f64> {
        self.reported_at.map(|time| (now - time).as_secs_f64())
    }

    /// Weight of the last report, from 1 (just received) to 0 (no report).
    pub(crate) fn report_weight(&self, now: Timestamp) -> f64 {
        self.report_age_secs(now).map_or(0.0, |age_secs| exp(-age_secs / REPORT_DECAY_SECS))
    }

    /// Updates the average of own threads, at a tick.
    pub(crate) fn update_average(&mut self, own_threads: f64) {
        self.average_own_threads.update(own_threads, OWN_THREADS_WEIGHT);
    }

    /// The engine has rejected a request because of overload, or a load probe timed out: the engine counts as
    /// full.
    pub(crate) fn assume_full(&mut self, now: Timestamp, cores: f64) {
        self.others_threads = FULL_THREADS_PER_CORE * cores;
        self.reported_at = Some(now);
    }

    /// An attempt on the engine is overdue: the engine counts as full unless its last report is recent. An
    /// engine that answers nothing reports nothing either, and would otherwise be assumed to have the mean
    /// load.
    pub(crate) fn assume_full_unless_reported(&mut self, now: Timestamp, cores: f64) {
        if self.reported_at.is_none_or(|time| now - time > MAX_TRUSTED_REPORT_AGE) {
            self.others_threads = self.others_threads.max(FULL_THREADS_PER_CORE * cores);
            self.reported_at = Some(now);
        }
    }

    /// Records a load report. `threads`: all threads on the engine by the report; if `None`, the mean load is
    /// assumed for the threads of other managers.
    pub(crate) fn record_report(
        &mut self,
        now: Timestamp,
        report: &LoadReport,
        threads: Option<f64>,
        cores: f64,
        mean_load: MeanLoad,
    ) {
        self.reported_at = Some(now);
        self.queries_waiting = report.queries_waiting_for_memory.unwrap_or(0.0);
        self.is_excess_load_unknown = report.queries_in_flight.is_none()
            && threads.is_some_and(|threads| threads > SATURATED_CORE_FRACTION * cores);
        let own_threads = self.average_own_threads.value();
        self.others_threads = match threads {
            Some(threads) => (threads - own_threads).max(0.0),
            None => mean_load.others_per_core * cores,
        };
    }

    pub(crate) fn store(&self, stored: &mut StoredEngine) {
        stored.others_threads = self.others_threads;
        stored.reported_at = self.reported_at;
        stored.waiting = self.queries_waiting;
        stored.saturated = self.is_excess_load_unknown;
        stored.average_threads = self.average_own_threads;
    }

    pub(crate) fn restore(stored: &StoredEngine) -> EngineLoad {
        EngineLoad {
            others_threads: stored.others_threads,
            reported_at: stored.reported_at,
            queries_waiting: stored.waiting,
            is_excess_load_unknown: stored.saturated,
            average_own_threads: stored.average_threads,
        }
    }
}

/// Estimated threads on an engine: own threads, and threads of other managers according to the last report,
/// which the mean replaces gradually as the report ages.
///
/// `mean_of_others`: threads of other managers that are expected without a report; `even_of_others`: threads
/// of other managers if every manager had as many in flight as this one.
pub(crate) fn estimated_threads(
    own_threads: f64,
    mean_of_others: f64,
    even_of_others: f64,
    report_weight: f64,
    load: &EngineLoad,
) -> f64 {
    // A report of nearly all cores busy, without a number of queries, does not show how many threads wait for
    // the cores.
    let reported_of_others = match load.is_excess_load_unknown {
        true => load.others_threads.max(even_of_others),
        false => load.others_threads,
    };
    let corrected = own_threads + mean_of_others + (reported_of_others - mean_of_others) * report_weight;
    corrected + load.queries_waiting * report_weight
}

#[cfg(test)]
mod tests;
