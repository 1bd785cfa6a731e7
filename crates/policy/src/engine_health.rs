//! The health of one engine: its failure rate, slowness and backoff, and whether it is ejected. Learned from
//! the outcomes and latencies of attempts and from silence.

use crate::engine_slowness::EngineSlowness;
use crate::request::Attempt;
use crate::snapshot::StoredEngine;
use sprucelink_rate_limits::MovingAverage;
use sprucelink_time::{TimeDelta, Timestamp};

/// Time between trials of an ejected engine.
pub(crate) const TRIAL_INTERVAL: TimeDelta = TimeDelta::from_secs(1);
/// An attempt in flight for more than this many times its expected latency is overdue.
pub(crate) const OVERDUE_MULTIPLE: f64 = 3.0;
/// Backoff after the first of several failed connections in a row; doubles with each further failure.
const CONNECT_BACKOFF: TimeDelta = TimeDelta::from_millis(500);
/// Maximum number of doublings of [`CONNECT_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Failed connections in a row after which an engine is assumed to restart.
const CONNECT_FAILURES_FOR_RESTART: u32 = 2;
/// Backoff after an engine rejected a request because it was overloaded.
const OVERLOAD_BACKOFF: TimeDelta = TimeDelta::from_millis(100);
/// Weight of a failed attempt in an engine's failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Weight of a successful attempt in an engine's failure rate; greater than that of a failed one, so that an
/// engine recovers quickly.
const SUCCESS_WEIGHT: f64 = 0.3;
/// An engine more than this many times slower than the median is ejected.
const MAX_SLOWNESS: f64 = 3.5;
/// Fraction of failed attempts above which an engine is ejected.
const MAX_FAILURE_RATE: f64 = 0.4;
/// Fraction of the ejection bounds below which an ejected engine is readmitted.
const READMISSION_FACTOR: f64 = 0.5;
/// Maximum silence of an engine with mostly overdue attempts before it counts as unresponsive.
const MAX_SILENCE: TimeDelta = TimeDelta::from_millis(700);
/// Minimum number of overdue attempts for an engine to count as unresponsive.
const MIN_OVERDUE_ATTEMPTS: u32 = 2;

/// What this manager learned about an engine's health.
#[derive(Clone, Default)]
pub(crate) struct EngineHealth {
    last_response: Timestamp,
    /// Earliest time of the next trial while the engine is ejected.
    next_trial: Timestamp,
    /// Nothing is sent to the engine before this time, unless no eligible engine is healthy.
    backoff_until: Timestamp,
    /// Failed connections in a row.
    connect_failures: u32,
    slowness: EngineSlowness,
    /// Whether the engine accepts requests but answers none.
    is_unresponsive: bool,
    /// Overdue attempts of this manager on the engine, counted at each tick.
    overdue_attempts: u32,
    /// Fraction of recent attempts that failed.
    failure_rate: MovingAverage,
    /// Whether the engine gets only a trial at intervals, unless no eligible engine is healthy.
    is_ejected: bool,
}

impl EngineHealth {
    pub(crate) fn is_ejected(&self) -> bool {
        self.is_ejected
    }

    pub(crate) fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    pub(crate) fn overdue_attempts(&self) -> u32 {
        self.overdue_attempts
    }

    /// Fraction of recent attempts that failed.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate.value()
    }

    pub(crate) fn next_trial(&self) -> Timestamp {
        self.next_trial
    }

    pub(crate) fn backoff_until(&self) -> Timestamp {
        self.backoff_until
    }

    pub(crate) fn slowness(&self) -> EngineSlowness {
        self.slowness
    }

    /// The engine has a new process: what was learned about the old one no longer applies.
    pub(crate) fn reset_for_new_process(&mut self, now: Timestamp) {
        self.slowness = EngineSlowness::default();
        self.connect_failures = 0;
        self.failure_rate = MovingAverage::default();
        self.is_ejected = false;
        self.is_unresponsive = false;
        self.backoff_until = now;
    }

    /// An attempt is sent to the engine. `was_idle`: no other attempt was in flight, so that the engine's
    /// silence is measured from now.
    pub(crate) fn record_send(&mut self, now: Timestamp, was_idle: bool) {
        if was_idle {
            self.last_response = now;
        }
        self.next_trial = now + TRIAL_INTERVAL;
    }

    pub(crate) fn record_success(&mut self) {
        self.failure_rate.update(0.0, SUCCESS_WEIGHT);
    }

    pub(crate) fn record_failure(&mut self) {
        self.failure_rate.update(1.0, FAILURE_WEIGHT);
    }

    /// The engine sent a progress note.
    pub(crate) fn record_progress(&mut self, now: Timestamp) {
        self.last_response = now;
    }

    /// The engine sent an answer.
    pub(crate) fn record_answer(&mut self, now: Timestamp) {
        self.connect_failures = 0;
        self.is_unresponsive = false;
        self.last_response = now;
    }

    /// Learns from an answer. `latency_ratio`: actual latency as a multiple of the expected latency.
    pub(crate) fn record_latency(&mut self, latency_ratio: f64) {
        self.slowness.record(latency_ratio);
    }

    /// A connection to the engine failed: starts a backoff, which is longer after each failure in a row.
    /// Further failures within a backoff are not counted.
    pub(crate) fn record_connect_failure(&mut self, now: Timestamp) {
        if now >= self.backoff_until {
            let doublings = self.connect_failures.min(MAX_BACKOFF_DOUBLINGS);
            let backoff = TimeDelta::from_micros(CONNECT_BACKOFF.as_micros() << doublings);
            self.backoff_until = now + backoff;
            self.connect_failures += 1;
        }
    }

    /// Whether enough connections failed in a row to assume that the engine restarts.
    pub(crate) fn has_probably_restarted(&self) -> bool {
        self.connect_failures >= CONNECT_FAILURES_FOR_RESTART
    }

    /// The engine rejected a request because it was overloaded.
    pub(crate) fn record_overload_rejection(&mut self, now: Timestamp) {
        self.backoff_until = now + OVERLOAD_BACKOFF;
    }

    pub(crate) fn clear_overdue_attempts(&mut self) {
        self.overdue_attempts = 0;
    }

    /// Counts an attempt on the engine if it is overdue. Returns `true` if the attempt counts as an outcome
    /// now: at 3, 6, 12 times the expected latency, and so on.
    pub(crate) fn record_overdue(&mut self, now: Timestamp, attempt: &mut Attempt) -> bool {
        let ratio = (now - attempt.sent_at).as_secs_f64() / attempt.expected_latency_secs;
        self.overdue_attempts += u32::from(ratio > OVERDUE_MULTIPLE);
        let is_outcome = ratio > attempt.next_overdue_multiple;
        if is_outcome {
            attempt.next_overdue_multiple *= 2.0;
            self.slowness.record(ratio);
        }
        is_outcome
    }

    /// Ejects the engine if it is down, unresponsive, failing or far slower than the median, and readmits it
    /// otherwise. Returns `true` if the engine was ejected or readmitted. To be readmitted, an engine must do
    /// clearly better than the bounds of ejection.
    pub(crate) fn update_ejection(
        &mut self,
        now: Timestamp,
        in_flight: u32,
        relative_slowness: f64,
        is_zone_unreachable: bool,
    ) -> bool {
        let is_majority_overdue =
            self.overdue_attempts >= MIN_OVERDUE_ATTEMPTS && self.overdue_attempts * 2 >= in_flight;
        self.is_unresponsive |= is_majority_overdue && now - self.last_response > MAX_SILENCE;
        let margin = if self.is_ejected { READMISSION_FACTOR } else { 1.0 };
        let is_failing = self.failure_rate.value() > MAX_FAILURE_RATE * margin;
        let is_slow = relative_slowness > MAX_SLOWNESS * margin;
        let is_down = now < self.backoff_until || self.is_unresponsive || is_zone_unreachable;
        let is_outlier = is_down || is_failing || is_slow;
        std::mem::replace(&mut self.is_ejected, is_outlier) != is_outlier
    }

    pub(crate) fn store(&self, stored: &mut StoredEngine) {
        stored.last_response = self.last_response;
        stored.next_trial = self.next_trial;
        stored.backoff_until = self.backoff_until;
        stored.connect_failures = self.connect_failures;
        self.slowness.store(stored);
        stored.unresponsive = self.is_unresponsive;
        stored.overdue = self.overdue_attempts;
        stored.failure_rate = self.failure_rate;
        stored.ejected = self.is_ejected;
    }

    pub(crate) fn restore(stored: &StoredEngine) -> EngineHealth {
        EngineHealth {
            last_response: stored.last_response,
            next_trial: stored.next_trial,
            backoff_until: stored.backoff_until,
            connect_failures: stored.connect_failures,
            slowness: EngineSlowness::restore(stored),
            is_unresponsive: stored.unresponsive,
            overdue_attempts: stored.overdue,
            failure_rate: stored.failure_rate,
            is_ejected: stored.ejected,
        }
    }
}

#[cfg(test)]
mod tests;
