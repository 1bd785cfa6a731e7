//! Load estimation over the fleet: the mean load of an engine and the mean threads of a query, from all load
//! reports, this manager's own attempts and its share of the fleet. `engine_load` has the load of one engine.

use crate::engine_load::{EngineLoad, REPORT_DECAY_SECS};
use crate::events::LoadReport;
use crate::own_load::{FleetShare, OwnLoad};
use crate::snapshot::StoredPolicy;
use sprucelink_float_math::exp;
use sprucelink_rate_limits::MovingAverage;
use sprucelink_time::Timestamp;

/// Seconds in which the weight of the fleet's reported mean load falls to 1/e.
const MEAN_DECAY_SECS: f64 = 2.0 * REPORT_DECAY_SECS;
/// Weight of one report in the mean load of the fleet.
const REPORT_WEIGHT: f64 = 0.1;
/// Initial weight of each class in the mean threads of a query, in seconds of running time.
const PRIOR_RUN_SECS: f64 = 2.0;

/// Threads per core of other managers on an engine without a load report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MeanLoad {
    /// Threads per core if every manager has as many threads in flight as this one.
    pub(crate) even_per_core: f64,
    /// Threads per core by the reports of all engines. As the last report ages, they are replaced gradually
    /// by the even load times the load visibility.
    pub(crate) others_per_core: f64,
}

/// Learns the mean load of the fleet from load reports, and the threads of a query from attempts that ended.
#[derive(Clone, Default)]
pub(crate) struct LoadEstimator {
    /// Threads per core of other managers, averaged over recent reports.
    reported_per_core: MovingAverage,
    /// Time of the last report that had a load.
    last_report: Timestamp,
    /// Sum over ended attempts of threads times running time, thread-seconds.
    thread_seconds: f64,
    /// Total running time of ended attempts, seconds.
    query_seconds: f64,
}

impl LoadEstimator {
    /// Before any attempt has ended, all classes count as running equally often. `threads`: the threads of a
    /// query, for each class.
    pub(crate) fn new(threads: impl ExactSizeIterator<Item = f64>) -> LoadEstimator {
        LoadEstimator {
            query_seconds: threads.len() as f64 * PRIOR_RUN_SECS,
            thread_seconds: threads.map(|threads| threads * PRIOR_RUN_SECS).sum(),
            ..LoadEstimator::default()
        }
    }

    /// Threads per core of other managers, averaged over recent reports.
    pub(crate) fn reported_per_core(&self) -> f64 {
        self.reported_per_core.value()
    }

    /// Learns from an attempt that ended after `latency_secs`.
    pub(crate) fn record_run(&mut self, threads: f64, latency_secs: f64) {
        self.thread_seconds += threads * latency_secs;
        self.query_seconds += latency_secs;
    }

    /// The mean load at `now`.
    pub(crate) fn mean_load(&self, now: Timestamp, own_load: &OwnLoad, share: FleetShare) -> MeanLoad {
        let even_per_core = (share.managers - 1.0) * own_load.average_threads() / share.ready_cores.max(1.0);
        let weight = exp(-(now - self.last_report).as_secs_f64() / MEAN_DECAY_SECS);
        let reported = self.reported_per_core.value() * weight;
        let others_per_core = reported + even_per_core * share.load_visibility() * (1.0 - weight);
        MeanLoad { even_per_core, others_per_core }
    }

    /// Records an engine's load report. A report that has neither the number of queries nor the fraction of
    /// busy cores leaves the mean load unchanged.
    pub(crate) fn record_report(
        &mut self,
        now: Timestamp,
        report: &LoadReport,
        cores: f64,
        mean_load: MeanLoad,
        engine: &mut EngineLoad,
    ) {
        // Engines report a number of queries; the load estimate is in threads.
        let threads_per_query = self.thread_seconds / self.query_seconds.max(1e-6);
        let threads_of_queries = report.queries_in_flight.map(|queries| queries * threads_per_query);
        let busy_cores = report.busy_core_fraction.map(|fraction| fraction * cores);
        let threads = threads_of_queries.or(busy_cores);
        engine.record_report(now, report, threads, cores, mean_load);
        if threads.is_some() {
            self.reported_per_core.update(engine.others_threads() / cores, REPORT_WEIGHT);
            self.last_report = now;
        }
    }

    pub(crate) fn store(&self, stored: &mut StoredPolicy) {
        stored.others_load = self.reported_per_core;
        stored.last_report = self.last_report;
        stored.thread_time = self.thread_seconds;
        stored.query_time = self.query_seconds;
    }

    pub(crate) fn restore(stored: &StoredPolicy) -> LoadEstimator {
        LoadEstimator {
            reported_per_core: stored.others_load,
            last_report: stored.last_report,
            thread_seconds: stored.thread_time,
            query_seconds: stored.query_time,
        }
    }
}

/// Whether a report has any figure of the load; reports of memory or disks alone have none.
pub(crate) fn has_load(report: &LoadReport) -> bool {
    report.queries_in_flight.is_some()
        || report.busy_core_fraction.is_some()
        || report.queries_waiting_for_memory.is_some()
}
