//! Admission control during warm-up: limits the pending requests of a manager that has just started.
//!
//! A manager that starts knows neither the speed of engines nor the cost of classes. The number of requests
//! that it admits at once depends on initial estimates, and hundreds of managers that start together make the
//! same estimates. So a starting manager has at most `initial_limit` requests pending. Each request served
//! raises the limit by `increase` (with an increase of 1 the limit doubles about once per round trip, as in
//! TCP slow start, RFC 5681 section 3.1). Each attempt that an engine rejects as full, or fails, multiplies
//! the limit by `decrease_factor` (multiplicative decrease). Warm-up ends after `warmup_ms` or when the limit
//! reaches `max_limit`: from then on only the policy admits and rejects requests.
//!
//! A request over the limit is rejected at once with a Retry-After: the time in which the pending requests
//! complete at the mean latency so far (the mean latency times the pending requests divided by the limit),
//! within [`MIN_RETRY_AFTER`] and [`MAX_RETRY_AFTER`]. A jitter of plus or minus half prevents clients that
//! were rejected together from returning together.

use crate::{from_millis, TimeDelta, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};

/// Mean latency assumed before the first response.
const INITIAL_LATENCY: TimeDelta = TimeDelta::from_millis(200);
/// Weight of one response in the exponentially weighted mean latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Shortest Retry-After of a rejection during warm-up: a client that returned earlier would meet the same
/// conditions. The core applies its own bound of the same length to all rejections and failures
/// (`MIN_RETRY_AFTER` in its `request` module).
pub const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(100);
/// Longest Retry-After of a rejection during warm-up: after this time, warm-up has progressed and the limit
/// is probably higher.
pub const MAX_RETRY_AFTER: TimeDelta = TimeDelta::from_secs(2);
/// Lower bound of the limit on pending requests: without a pending request, the manager could not find out
/// whether conditions improve.
const MIN_LIMIT: f64 = 1.0;
/// XORed with the manager's seed, so that this generator's numbers differ from those of the other generators
/// with the same seed.
const SEED_SALT: u64 = 0xad31_5510;

/// Settings of admission during warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionConfig {
    /// Initial limit on pending requests; 1 to 10,000.
    #[serde(rename = "first")]
    pub initial_limit: f64,
    /// Increase of the limit per request served; 0.01 to 10.
    #[serde(rename = "gain")]
    pub increase: f64,
    /// Factor by which the limit is multiplied when an engine rejects an attempt as full or fails it; 0.1 to
    /// 1.
    #[serde(rename = "cut")]
    pub decrease_factor: f64,
    /// Longest warm-up after the start, in milliseconds; 0 (off) to 120,000.
    #[serde(rename = "warm_ms")]
    pub warmup_ms: f64,
    /// Limit on pending requests at which warm-up ends; `initial_limit` to 100,000.
    #[serde(rename = "open_at")]
    pub max_limit: f64,
}

impl Default for AdmissionConfig {
    fn default() -> AdmissionConfig {
        AdmissionConfig {
            initial_limit: 16.0,
            increase: 1.0,
            decrease_factor: 0.7,
            warmup_ms: 5_000.0,
            max_limit: 128.0,
        }
    }
}

impl AdmissionConfig {
    /// Checks that each number is within its range.
    ///
    /// # Errors
    /// Returns the first field that is out of its range, by its name in the settings file.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("first", self.initial_limit, 1.0, 10_000.0)?;
        check_range("gain", self.increase, 0.01, 10.0)?;
        check_range("cut", self.decrease_factor, 0.1, 1.0)?;
        check_range("warm_ms", self.warmup_ms, 0.0, 120_000.0)?;
        check_range("open_at", self.max_limit, self.initial_limit, 100_000.0)
    }
}

/// Admission control of one manager during its warm-up.
#[derive(Clone, Debug)]
pub struct WarmupAdmission {
    config: AdmissionConfig,
    rng: ChaCha8Rng,
    warmup_ends_at: Timestamp,
    /// Current limit on pending requests.
    limit: f64,
    /// Exponentially weighted mean latency of served requests, in seconds.
    mean_latency: f64,
    /// Whether warm-up is over.
    is_finished: bool,
    /// Number of requests rejected since the start.
    rejected: u64,
}

impl WarmupAdmission {
    /// Creates the admission control of a manager that starts at `now`; `seed` seeds the jitter of
    /// Retry-After.
    pub fn new(config: AdmissionConfig, seed: u64, now: Timestamp) -> WarmupAdmission {
        WarmupAdmission {
            warmup_ends_at: now + from_millis(config.warmup_ms),
            rng: ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT),
            limit: config.initial_limit,
            mean_latency: INITIAL_LATENCY.as_secs_f64(),
            is_finished: config.warmup_ms <= 0.0,
            rejected: 0,
            config,
        }
    }

    /// Admits or rejects a request that arrives while `pending` other requests are pending.
    ///
    /// # Errors
    /// Returns the Retry-After if the request is rejected.
    pub fn admit(&mut self, now: Timestamp, pending: usize) -> Result<(), TimeDelta> {
        self.is_finished |= now >= self.warmup_ends_at;
        if self.is_finished || (pending + 1) as f64 <= self.limit {
            return Ok(());
        }
        self.rejected += 1;
        let round_trips = pending as f64 / self.limit;
        let seconds = self.mean_latency * round_trips * self.rng.gen_range(0.5..=1.5);
        Err(TimeDelta::from_secs_f64(seconds).max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER))
    }

    /// Records that a request was served `latency` after its arrival, which raises the limit.
    pub fn record_served(&mut self, latency: TimeDelta) {
        self.mean_latency += LATENCY_WEIGHT * (latency.as_secs_f64().max(0.0) - self.mean_latency);
        self.limit = (self.limit + self.config.increase).min(self.config.max_limit);
        self.is_finished |= self.limit >= self.config.max_limit;
    }

    /// Records that an engine rejected an attempt as full or failed it, which lowers the limit.
    pub fn record_engine_failure(&mut self) {
        self.limit = (self.limit * self.config.decrease_factor).max(MIN_LIMIT);
    }

    /// Whether warm-up is over, so that [`WarmupAdmission::admit`] rejects no more requests.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Number of requests rejected since the start.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Current limit on pending requests, at least 1; it has no effect after warm-up.
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
