//! The price, admitted rate and expected wait of one class at one priority level, from admissions and
//! answers.

use crate::snapshot::StoredLevel;
use sprucelink_float_math::pow;
use sprucelink_rate_limits::MovingAverage;
use sprucelink_time::TimeDelta;

/// Weight of the newly calculated price in the moving average that is charged (alpha in eq. 7 of Konana et
/// al.).
const PRICE_WEIGHT: f64 = 0.1;
/// Weight of one interval in a level's admitted rate.
const RATE_WEIGHT: f64 = 0.2;
/// Weight of one answer in a level's expected wait.
const WAIT_WEIGHT: f64 = 0.2;
/// Factor on the expected wait of a level that was not observed, after an interval with an evidence of 1.
const WAIT_DECAY: f64 = 0.5;

/// Pricing state of one class at one level.
#[derive(Clone, Copy, Default)]
pub(crate) struct LevelPricing {
    /// Price of a request of mean cost, in value.
    price: f64,
    /// Requests admitted per second.
    admitted_rate: MovingAverage,
    /// Expected wait beyond the unloaded latency, seconds.
    wait_secs: f64,
    /// Requests admitted since the last update of the prices.
    admitted: u32,
    /// Whether a wait was observed since the last update of the prices.
    has_observed_wait: bool,
}

impl LevelPricing {
    /// Price of a request of mean cost, in value.
    pub(crate) fn price_at_mean_cost(self) -> f64 {
        self.price
    }

    /// Requests admitted per second.
    pub(crate) fn admitted_rate(self) -> f64 {
        self.admitted_rate.value()
    }

    /// Expected wait beyond the unloaded latency, seconds.
    pub(crate) fn wait_secs(self) -> f64 {
        self.wait_secs
    }

    pub(crate) fn record_admission(&mut self) {
        self.admitted += 1;
    }

    /// Learns from the wait of a request at this level.
    pub(crate) fn observe_wait(&mut self, wait_secs: f64) {
        self.wait_secs += WAIT_WEIGHT * (wait_secs - self.wait_secs);
        self.has_observed_wait = true;
    }

    /// Limits the expected wait to the wait of a lower level, since engines serve this level first.
    pub(crate) fn limit_wait(&mut self, max_secs: f64) {
        self.wait_secs = self.wait_secs.min(max_secs);
    }

    /// Moves the price towards the newly calculated one (eq. 7).
    pub(crate) fn update_price(&mut self, new_price: f64) {
        self.price += PRICE_WEIGHT * (new_price - self.price);
    }

    /// Ends a pricing interval. `evidence`: waits observed in the interval over all classes and levels,
    /// relative to the number at which unobserved waits decay in full; 0 to 1.
    ///
    /// Departure from Konana et al.: the wait of a level without observations decays only to the extent of
    /// the evidence, because an interval without answers has no information.
    pub(crate) fn end_interval(&mut self, interval: TimeDelta, evidence: f64) {
        let rate = f64::from(self.admitted) / interval.as_secs_f64();
        self.admitted_rate.update(rate, RATE_WEIGHT);
        self.admitted = 0;
        self.wait_secs *= if self.has_observed_wait { 1.0 } else { pow(WAIT_DECAY, evidence) };
        self.has_observed_wait = false;
    }

    pub(crate) fn to_stored(self) -> StoredLevel {
        StoredLevel {
            price: self.price,
            admitted_rate: self.admitted_rate,
            wait: self.wait_secs,
            admitted: self.admitted,
            observed: self.has_observed_wait,
        }
    }

    pub(crate) fn from_stored(stored: StoredLevel) -> LevelPricing {
        LevelPricing {
            price: stored.price,
            admitted_rate: stored.admitted_rate,
            wait_secs: stored.wait,
            admitted: stored.admitted,
            has_observed_wait: stored.observed,
        }
    }
}
