//! An exponentially weighted moving average.

use serde::{Deserialize, Serialize};

/// An exponentially weighted moving average: each sample moves it by a fraction of the distance to the sample.
///
/// Serialized as its bare value.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MovingAverage(f64);

impl MovingAverage {
    /// An average that starts at `initial`.
    pub const fn new(initial: f64) -> MovingAverage {
        MovingAverage(initial)
    }

    /// The present value, in the unit of the samples.
    pub const fn value(self) -> f64 {
        self.0
    }

    /// Takes a sample with `weight`, from 0 (it changes nothing) to 1 (only it counts).
    pub fn update(&mut self, sample: f64, weight: f64) {
        self.0 += weight * (sample - self.0);
    }
}
