//! The slowness of an engine: its latencies as multiples of the expected ones, relative to the median engine.

use crate::snapshot::StoredEngine;
use sprucelink_float_math::{exp, ln};
use sprucelink_rate_limits::update_mean;

/// Minimum weight of one outcome in the mean; the first outcomes have equal weights.
const SLOWNESS_WEIGHT: f64 = 0.1;
/// Lower bound to which the latency ratio of an outcome is clamped.
const MIN_LATENCY_RATIO: f64 = 0.05;
/// Upper bound to which the latency ratio of an outcome is clamped.
const MAX_LATENCY_RATIO: f64 = 50.0;
/// Minimum number of outcomes for an engine's slowness to be known.
const MIN_SLOWNESS_SAMPLES: u32 = 6;

/// Mean natural logarithm of an engine's latency ratios (actual over expected latency).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct EngineSlowness {
    mean_log_ratio: f64,
    samples: u32,
}

impl EngineSlowness {
    /// Learns from an answer or an overdue attempt. `latency_ratio`: latency, or age of the overdue attempt,
    /// as a multiple of the expected latency.
    pub(crate) fn record(&mut self, latency_ratio: f64) {
        let sample = ln(latency_ratio.clamp(MIN_LATENCY_RATIO, MAX_LATENCY_RATIO));
        update_mean(&mut self.mean_log_ratio, &mut self.samples, sample, SLOWNESS_WEIGHT);
    }

    /// The mean logarithm; `None` until there are [`MIN_SLOWNESS_SAMPLES`] outcomes.
    pub(crate) fn known_log_ratio(self) -> Option<f64> {
        (self.samples >= MIN_SLOWNESS_SAMPLES).then_some(self.mean_log_ratio)
    }

    /// How many times slower the engine is than the median, so that a slowdown of all engines ejects none; 1
    /// if either slowness is not known.
    pub(crate) fn relative_to(self, median_log_ratio: Option<f64>) -> f64 {
        let log_ratio = match (self.known_log_ratio(), median_log_ratio) {
            (Some(log_ratio), Some(median)) => log_ratio - median,
            _ => 0.0,
        };
        exp(log_ratio)
    }

    pub(crate) fn store(self, stored: &mut StoredEngine) {
        stored.log_slowness = self.mean_log_ratio;
        stored.slowness_samples = self.samples;
    }

    pub(crate) fn restore(stored: &StoredEngine) -> EngineSlowness {
        EngineSlowness { mean_log_ratio: stored.log_slowness, samples: stored.slowness_samples }
    }
}
