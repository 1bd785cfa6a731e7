//! Exponential backoff with jitter, after gRPC's connection backoff (grpc/doc/connection-backoff.md).
//!
//! The delay is multiplied after each failure up to a maximum. Each delay is jittered by plus or minus a
//! fraction, so that clients that failed together do not return together.

use crate::TimeDelta;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};

/// Lower bound of a delay after jitter, in milliseconds.
const MIN_DELAY_MS: f64 = 1.0;

/// Settings of an exponential backoff: first and longest delay, growth and jitter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackoffConfig {
    /// Delay after the first failure, before jitter, in milliseconds (gRPC: 1,000); 1 to 3,600,000.
    pub initial_ms: f64,
    /// Factor by which the delay grows with each failure in a row (gRPC: 1.6); 1 to 10.
    pub multiplier: f64,
    /// Each delay is spread uniformly by plus or minus this fraction (gRPC: 0.2); 0 to 1.
    pub jitter: f64,
    /// Longest delay before jitter, in milliseconds (gRPC: 120,000); `initial_ms` to 3,600,000.
    pub max_ms: f64,
}

impl BackoffConfig {
    /// gRPC's values: 1 s, times 1.6, jitter 0.2, at most 120 s.
    pub const GRPC: BackoffConfig =
        BackoffConfig { initial_ms: 1_000.0, multiplier: 1.6, jitter: 0.2, max_ms: 120_000.0 };

    /// Checks that each number is within its range.
    ///
    /// # Errors
    /// Returns the first field that is out of its range.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("initial_ms", self.initial_ms, 1.0, 3_600_000.0)?;
        check_range("multiplier", self.multiplier, 1.0, 10.0)?;
        check_range("jitter", self.jitter, 0.0, 1.0)?;
        check_range("max_ms", self.max_ms, self.initial_ms, 3_600_000.0)
    }
}

/// An exponential backoff with the number of failures in a row.
#[derive(Clone, Debug)]
pub struct Backoff {
    config: BackoffConfig,
    /// Delay after the next failure, before jitter, in milliseconds.
    next_delay_ms: f64,
    /// Number of failures since the last success.
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub fn new(config: BackoffConfig) -> Backoff {
        Backoff { config, next_delay_ms: config.initial_ms, failures: 0 }
    }

    /// Number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failure; returns the jittered delay before the next attempt, at least one millisecond.
    pub fn record_failure(&mut self, rng: &mut ChaCha8Rng) -> TimeDelta {
        let jitter = self.config.jitter;
        let spread = if jitter > 0.0 { rng.gen_range(-jitter..=jitter) } else { 0.0 };
        let delay_ms = (self.next_delay_ms * (1.0 + spread)).max(MIN_DELAY_MS);
        self.next_delay_ms = (self.next_delay_ms * self.config.multiplier).min(self.config.max_ms);
        self.failures = self.failures.saturating_add(1);
        TimeDelta::from_micros((delay_ms * 1_000.0) as i64)
    }

    /// Records a success: the delay after the next failure is the first delay again.
    pub fn reset(&mut self) {
        self.next_delay_ms = self.config.initial_ms;
        self.failures = 0;
    }
}
