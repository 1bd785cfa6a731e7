//! Memory grants: how much memory a request is granted, from the memory use that answers of its class
//! reported and the spills that progress notes reported.

use crate::settings::MemoryShort;
use crate::snapshot::StoredClass;
use sprucelink_float_math::{exp, ln};
use sprucelink_rate_limits::update_mean_and_variance;

/// Increase of the grant after a spill note that reports the whole estimate as missing, as a fraction of the
/// estimate. A note that reports less increases the grant in proportion.
const SPILL_INCREASE: f64 = 0.1;
/// Grant before the first answer or note, as a fraction of the estimate.
const INITIAL_GRANT: f64 = 1.15;
/// Decrease of the grant with each answer, as a fraction of the estimate.
const GRANT_DECAY: f64 = 0.001;
/// Minimum grant learned from spills and answers, as a fraction of the estimate.
const MIN_GRANT: f64 = 0.5;
/// Maximum number of memory reports that count in the mean; later ones replace earlier ones gradually.
const MAX_MEMORY_SAMPLES: u32 = 50;
/// Variance of the logarithm of memory used over estimated, before the first answer.
const INITIAL_MEMORY_VARIANCE: f64 = 0.25;
/// Number of standard deviations by which the logarithm of the ratio of grant to estimate exceeds the mean
/// log ratio, on engines where a query waits while memory is short.
const DEVIATIONS_WHERE_QUERIES_WAIT: f64 = 0.5;
/// Number of standard deviations by which the logarithm of the ratio of grant to estimate exceeds the mean
/// log ratio, on engines where, when memory is short, a query gets less than granted and spills.
const DEVIATIONS_WHERE_GRANTS_SHRINK: f64 = 0.7;
/// Number of standard deviations by which the logarithm of the ratio of grant to estimate exceeds the mean
/// log ratio, on engines that page when memory is short, which slows down all queries.
const DEVIATIONS_WHERE_ENGINES_PAGE: f64 = 2.0;

/// Learns how much memory queries of one class use, relative to their estimates.
#[derive(Clone, Default)]
pub(crate) struct GrantEstimator {
    /// Answers that reported the memory used, at most [`MAX_MEMORY_SAMPLES`].
    samples: u32,
    /// Mean natural logarithm of the ratio of memory used to the estimate.
    mean_log_ratio: f64,
    /// Variance of the natural logarithm of the ratio of memory used to the estimate.
    log_ratio_variance: f64,
    /// Ratio of grant to estimate learned from spills; used until answers report the memory used.
    ratio_from_spills: f64,
}

impl GrantEstimator {
    pub(crate) fn new() -> GrantEstimator {
        GrantEstimator {
            samples: 0,
            mean_log_ratio: 0.0,
            log_ratio_variance: INITIAL_MEMORY_VARIANCE,
            ratio_from_spills: INITIAL_GRANT,
        }
    }

    /// Learns from the memory that an answer reported; a report of zero is ignored.
    pub(crate) fn record_memory_used(&mut self, used_mb: f64, estimated_mb: f64) {
        let ratio = used_mb / estimated_mb;
        if ratio > 0.0 {
            self.samples = (self.samples + 1).min(MAX_MEMORY_SAMPLES);
            let weight = 1.0 / f64::from(self.samples + 1);
            let variance = &mut self.log_ratio_variance;
            update_mean_and_variance(&mut self.mean_log_ratio, variance, ln(ratio), weight);
        }
    }

    /// Learns from a note that an attempt spills to disk.
    pub(crate) fn record_spill(&mut self, missing_mb: f64, estimated_mb: f64) {
        self.ratio_from_spills += SPILL_INCREASE * (missing_mb / estimated_mb.max(1.0)).min(1.0);
    }

    /// Lowers the grant learned from spills slightly after an answer, so that it declines while there are no
    /// spills.
    pub(crate) fn record_answer(&mut self) {
        self.ratio_from_spills = (self.ratio_from_spills - GRANT_DECAY).max(MIN_GRANT);
    }

    /// The memory to grant, MB: the mean use and a margin that grows with the harm of a shortage; before the
    /// first report of memory use, the grant learned from spills.
    pub(crate) fn grant_mb(&self, estimated_mb: f64, shortage: MemoryShort) -> f64 {
        let deviations = match shortage {
            MemoryShort::Waits => DEVIATIONS_WHERE_QUERIES_WAIT,
            MemoryShort::Shrinks => DEVIATIONS_WHERE_GRANTS_SHRINK,
            MemoryShort::Pages => DEVIATIONS_WHERE_ENGINES_PAGE,
        };
        let margin = deviations * self.log_ratio_variance.sqrt();
        let ratio = match self.samples {
            0 => self.ratio_from_spills,
            _ => exp(self.mean_log_ratio + margin),
        };
        estimated_mb * ratio
    }

    pub(crate) fn store(&self, stored: &mut StoredClass) {
        stored.memory_samples = self.samples;
        stored.memory_log_ratio = self.mean_log_ratio;
        stored.memory_variance = self.log_ratio_variance;
        stored.grant = self.ratio_from_spills;
    }

    pub(crate) fn restore(stored: &StoredClass) -> GrantEstimator {
        GrantEstimator {
            samples: stored.memory_samples,
            mean_log_ratio: stored.memory_log_ratio,
            log_ratio_variance: stored.memory_variance,
            ratio_from_spills: stored.grant,
        }
    }
}

#[cfg(test)]
mod tests;
