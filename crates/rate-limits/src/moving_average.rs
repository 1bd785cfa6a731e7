//! Exponentially weighted moving averages.

use serde::{Deserialize, Serialize};

/// An exponentially weighted moving average: each sample moves the average by a fraction of its distance to
/// the sample.
///
/// Serialized as its bare value.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MovingAverage(f64);

impl MovingAverage {
    /// Creates an average with the value `initial`, in the unit of the samples.
    pub const fn new(initial: f64) -> MovingAverage {
        MovingAverage(initial)
    }

    /// The current value, in the unit of the samples.
    pub const fn value(self) -> f64 {
        self.0
    }

    /// Adds a sample with `weight`, from 0 (no effect) to 1 (the sample replaces the average).
    pub fn update(&mut self, sample: f64, weight: f64) {
        self.0 += weight * (sample - self.0);
    }
}

/// Updates an exponentially weighted mean and variance with one sample of `weight`, from 0 to 1.
///
/// Uses the incremental form of Finch, "Incremental calculation of weighted mean and variance" (2009),
/// section 9.
pub fn update_mean_and_variance(mean: &mut f64, variance: &mut f64, sample: f64, weight: f64) {
    let deviation = sample - *mean;
    *mean += weight * deviation;
    *variance += weight * ((1.0 - weight) * deviation * deviation - *variance);
}

/// Updates a mean with one sample, and counts the sample in `samples`, which saturates. The mean is
/// arithmetic while the weight of a sample, `1 / samples`, is above `min_weight`, and exponentially weighted
/// with `min_weight` from then on.
pub fn update_mean(mean: &mut f64, samples: &mut u32, sample: f64, min_weight: f64) {
    *samples = samples.saturating_add(1);
    let weight = (1.0 / f64::from(*samples)).max(min_weight);
    *mean += weight * (sample - *mean);
}
