//! Cost and latency of a class's requests, learned from the estimates that requests carry and from the
//! latency and work of their answers.

use crate::settings::ClassSettings;
use crate::snapshot::StoredClass;
use sprucelink_rate_limits::MovingAverage;

/// Maximum number of estimates that count in a class's mean cost; later ones replace earlier ones gradually.
const MAX_COST_SAMPLES: u32 = 200;
/// Mean cost before the first estimate, as a fraction of the latency objective times the query's threads.
const INITIAL_COST_FRACTION: f64 = 0.25;
/// Minimum mean cost before the first estimate, thread-seconds.
const MIN_INITIAL_COST: f64 = 1e-3;
/// Weight of one answer in the ratio of reported to estimated work.
const WORK_RATIO_WEIGHT: f64 = 0.02;
/// Maximum ratio of reported to estimated work that counts.
const MAX_WORK_RATIO: f64 = 4.0;
/// Weight of one answer in the ratio of latency times threads to the estimated cost, at the current load.
const LATENCY_WEIGHT: f64 = 0.05;
/// Maximum ratio of latency times threads to the estimated cost that counts.
const MAX_LATENCY_RATIO: f64 = 20.0;
/// Initial ratio of latency times threads to the estimated cost, at the current load.
const INITIAL_LATENCY_RATIO: f64 = 2.0;
/// Initial ratio of latency times threads to the estimated cost, on an engine without load.
const INITIAL_UNLOADED_RATIO: f64 = 1.0;
/// Factor on the unloaded ratio after an answer with a higher ratio. With [`QUANTILE_DOWN`], one quicker
/// answer weighs as much as three slower ones, so the ratio settles near the lower quartile.
const QUANTILE_UP: f64 = 1.01;
/// Factor on the unloaded ratio after an answer whose ratio is not higher.
const QUANTILE_DOWN: f64 = 0.97;

/// The learned costs and latencies of one class. Ratios are relative to a request's estimated cost.
#[derive(Clone, Default)]
pub(crate) struct ClassEstimates {
    /// Mean of the estimated costs, thread-seconds.
    mean_cost: f64,
    cost_samples: u32,
    /// Moving average of the ratio of the work reported in answers to the estimated work.
    work_ratio: MovingAverage,
    /// Lower quartile of the ratio of latency times threads to the estimated cost: as on an engine without
    /// load.
    unloaded_ratio: f64,
    /// Moving average of the ratio of latency times threads to the estimated cost: at the current load.
    latency_ratio: MovingAverage,
}

impl ClassEstimates {
    pub(crate) fn new(class: &ClassSettings) -> ClassEstimates {
        let objective_secs = class.latency_objective.as_secs_f64();
        ClassEstimates {
            mean_cost: (objective_secs * class.threads * INITIAL_COST_FRACTION).max(MIN_INITIAL_COST),
            cost_samples: 0,
            work_ratio: MovingAverage::new(1.0),
            unloaded_ratio: INITIAL_UNLOADED_RATIO,
            latency_ratio: MovingAverage::new(INITIAL_LATENCY_RATIO),
        }
    }

    /// Mean estimated cost of a request, thread-seconds.
    pub(crate) fn mean_cost(&self) -> f64 {
        self.mean_cost
    }

    /// Number of estimates that count in the mean cost.
    pub(crate) fn cost_samples(&self) -> u32 {
        self.cost_samples
    }

    /// Ratio of the work that answers report to the estimated work.
    pub(crate) fn work_ratio(&self) -> f64 {
        self.work_ratio.value()
    }

    /// Latency without other load, seconds, of a request of this cost (thread-seconds).
    pub(crate) fn unloaded_latency_secs(&self, cost: f64, threads: f64) -> f64 {
        cost * self.unloaded_ratio / threads
    }

    /// Latency at the current load, seconds, of a request of this cost (thread-seconds).
    pub(crate) fn expected_latency_secs(&self, cost: f64, threads: f64) -> f64 {
        cost * self.latency_ratio.value().max(self.unloaded_ratio) / threads
    }

    /// Learns from the estimated cost of a request, thread-seconds.
    pub(crate) fn record_estimate(&mut self, cost: f64) {
        self.cost_samples = (self.cost_samples + 1).min(MAX_COST_SAMPLES);
        self.mean_cost += (cost - self.mean_cost) / f64::from(self.cost_samples);
    }

    /// Learns from the work that an answer reports and its estimate, both in thread-seconds.
    pub(crate) fn record_work(&mut self, reported: f64, estimated: f64) {
        self.work_ratio.update((reported / estimated).min(MAX_WORK_RATIO), WORK_RATIO_WEIGHT);
    }

    /// Learns from the latency of an answer to a request of this estimated cost (thread-seconds).
    pub(crate) fn record_latency(&mut self, latency_secs: f64, threads: f64, cost: f64) {
        let ratio = latency_secs * threads / cost.max(1e-6);
        self.latency_ratio.update(ratio.min(MAX_LATENCY_RATIO), LATENCY_WEIGHT);
        self.unloaded_ratio *= if ratio > self.unloaded_ratio { QUANTILE_UP } else { QUANTILE_DOWN };
    }

    pub(crate) fn store(&self, stored: &mut StoredClass) {
        stored.mean_cost = self.mean_cost;
        stored.cost_samples = self.cost_samples;
        stored.work_ratio = self.work_ratio;
        stored.unloaded_ratio = self.unloaded_ratio;
        stored.latency_ratio = self.latency_ratio;
    }

    pub(crate) fn restore(stored: &StoredClass) -> ClassEstimates {
        ClassEstimates {
            mean_cost: stored.mean_cost,
            cost_samples: stored.cost_samples,
            work_ratio: stored.work_ratio,
            unloaded_ratio: stored.unloaded_ratio,
            latency_ratio: stored.latency_ratio,
        }
    }
}

#[cfg(test)]
mod tests;
