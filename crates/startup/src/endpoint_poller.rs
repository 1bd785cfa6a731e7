//! Schedules a manager's polls of the control feed for its endpoint list.
//!
//! A single manager may poll at once at its start, and again 20 ms after an answer ends. Hundreds of managers
//! that start together, or lose the feed together, would poll it in the same milliseconds. Hence:
//!
//! - the first poll is spread by full jitter over a window that grows with the configured fleet size:
//!   `fleet_size / fleet_rate` seconds, at most `max_window_ms`;
//! - each poll takes a token from a bucket that refills at this manager's share of the fleet's rate,
//!   `fleet_rate / fleet_size` tokens per second, and holds `burst` tokens;
//! - a failed poll is retried with the backoff `failed` (short, since most failures are transient), and a
//!   poll that the feed rejected (HTTP 429 or 503) with the backoff `rejected` (gRPC's values);
//! - no first poll waits longer than `max_window_ms`, and no delay after a poll that was answered or failed
//!   is longer than `max_delay_ms`, regardless of the token bucket. Both settings are at most 250 ms, except
//!   that `engines_reject_while_draining` raises the bound of `max_window_ms`. The reason for the bound: an
//!   event counts as delivered when it would have arrived if the manager had been polling, and a drain must
//!   be honoured within 500 ms of that time. Only an explicit rejection may cause a longer delay, since the
//!   feed is up and reports that it cannot answer.
//!
//! Between polls the last endpoint list stays in force. [`EndpointPoller::time_since_success`] is the time
//! since the last answered poll.

use crate::backoff::{Backoff, BackoffConfig};
use crate::{from_millis, TimeDelta, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};

/// Upper bound of `max_window_ms` and `max_delay_ms`, in milliseconds: half the drain grace period of 500 ms,
/// so that a manager that learns of a drain at the end of a delay still stops sending within the grace
/// period.
pub const MAX_DRAIN_DELAY_MS: f64 = 250.0;
/// Upper bound of `max_window_ms` if engines reject work themselves while they drain, in milliseconds.
const MAX_WINDOW_MS: f64 = 120_000.0;

/// Outcome of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The poll was answered (the head of a successful response arrived), and then the answer ended or was
    /// interrupted.
    Answered,
    /// The poll got no connection, no data, no response head in time, or a response head that is invalid or
    /// has a status other than 200, 429 and 503.
    Failed,
    /// The feed rejected the poll: HTTP 429 or 503.
    Rejected,
}

/// Settings of the schedule of polls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointPollerConfig {
    /// Polls per second that the control feed is expected to handle from the complete fleet; 1 to 100,000.
    pub fleet_rate: f64,
    /// Whether engines reject work themselves while they drain. If so, a drain that a manager honours late
    /// breaks no rule, and `max_window_ms` may exceed 250. Must be false on the platform, whose engines do
    /// not reject work while they drain.
    #[serde(rename = "engines_refuse_drained")]
    pub engines_reject_while_draining: bool,
    /// Tokens that a manager's bucket holds: the number of polls in a row that do not wait for the rate; 1 to
    /// 100.
    pub burst: f64,
    /// Longest window over which the fleet's first polls are spread, in milliseconds; 0 to 250 (so that
    /// drains are honoured in time), or to 120,000 with `engines_reject_while_draining`.
    #[serde(rename = "window_most_ms")]
    pub max_window_ms: f64,
    /// Longest delay after an answered or failed poll, in milliseconds; 20 to 250 (so that drains are
    /// honoured in time).
    #[serde(rename = "rest_most_ms")]
    pub max_delay_ms: f64,
    /// Shortest delay after an answered poll, before jitter, in milliseconds; 0 to `max_delay_ms`.
    #[serde(rename = "again_least_ms")]
    pub min_delay_ms: f64,
    /// Backoff after failed polls.
    pub failed: BackoffConfig,
    /// Backoff after polls that the feed rejected.
    #[serde(rename = "refused")]
    pub rejected: BackoffConfig,
}

impl Default for EndpointPollerConfig {
    fn default() -> EndpointPollerConfig {
        EndpointPollerConfig {
            fleet_rate: 200.0,
            engines_reject_while_draining: false,
            burst: 3.0,
            max_window_ms: 200.0,
            max_delay_ms: 250.0,
            min_delay_ms: 20.0,
            failed: BackoffConfig { initial_ms: 20.0, multiplier: 2.0, jitter: 0.5, max_ms: 250.0 },
            rejected: BackoffConfig::GRPC,
        }
    }
}

impl EndpointPollerConfig {
    /// Checks that each number is within its range.
    ///
    /// # Errors
    /// Returns the first field that is out of its range, by its name in the settings file.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("fleet_rate", self.fleet_rate, 1.0, 100_000.0)?;
        check_range("burst", self.burst, 1.0, 100.0)?;
        let window_bound =
            if self.engines_reject_while_draining { MAX_WINDOW_MS } else { MAX_DRAIN_DELAY_MS };
        check_range("window_most_ms", self.max_window_ms, 0.0, window_bound)?;
        check_range("rest_most_ms", self.max_delay_ms, 20.0, MAX_DRAIN_DELAY_MS)?;
        check_range("again_least_ms", self.min_delay_ms, 0.0, self.max_delay_ms)?;
        self.failed.validate().map_err(|invalid| invalid.in_section("failed"))?;
        self.rejected.validate().map_err(|invalid| invalid.in_section("refused"))
    }
}

/// Schedules the polls of one manager.
#[derive(Clone, Debug)]
pub struct EndpointPoller {
    config: EndpointPollerConfig,
    /// Configured number of managers, at least 1.
    fleet_size: f64,
    rng: ChaCha8Rng,
    next_poll_at: Timestamp,
    /// Tokens in the bucket; negative after polls that started without a token.
    tokens: f64,
    refilled_at: Timestamp,
    failure_backoff: Backoff,
    rejection_backoff: Backoff,
    is_in_flight: bool,
    last_answered_at: Option<Timestamp>,
    started_at: Timestamp,
    polls: u64,
}

impl EndpointPoller {
    /// Creates the schedule of a manager that starts at `now`. `fleet_size`: the configured number of
    /// managers, 0 counts as 1; `seed`: seed of the jitter.
    pub fn new(config: EndpointPollerConfig, fleet_size: u32, seed: u64, now: Timestamp) -> EndpointPoller {
        let mut poller = EndpointPoller {
            config,
            fleet_size: f64::from(fleet_size.max(1)),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_poll_at: now,
            tokens: config.burst,
            refilled_at: now,
            failure_backoff: Backoff::new(config.failed),
            rejection_backoff: Backoff::new(config.rejected),
            is_in_flight: false,
            last_answered_at: None,
            started_at: now,
            polls: 0,
        };
        let window = poller.first_poll_window();
        poller.next_poll_at = now + poller.full_jitter(window);
        poller
    }

    /// The window over which the fleet's first polls are spread. Polls after an answer are spread over the
    /// same window, up to `max_delay_ms`.
    pub fn first_poll_window(&self) -> TimeDelta {
        let fleet_seconds = self.fleet_size / self.config.fleet_rate;
        TimeDelta::from_secs_f64(fleet_seconds.min(self.config.max_window_ms / 1_000.0))
    }

    /// Time at which the next poll may start; `None` while a poll is in flight.
    pub fn next_poll_at(&self) -> Option<Timestamp> {
        (!self.is_in_flight).then_some(self.next_poll_at)
    }

    /// Starts a poll if a poll is due; returns whether the poll was started. The poll takes a token, or
    /// starts without a token if waiting for one would exceed `max_delay_ms` (drains take precedence over the
    /// rate).
    pub fn try_start(&mut self, now: Timestamp) -> bool {
        if self.is_in_flight || now < self.next_poll_at {
            return false;
        }
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(-self.config.burst);
        self.is_in_flight = true;
        self.polls += 1;
        true
    }

    /// Records the outcome of the poll in flight; returns the time at which the next poll may start.
    pub fn complete(&mut self, now: Timestamp, outcome: PollOutcome) -> Timestamp {
        self.is_in_flight = false;
        self.refill(now);
        let max_delay = from_millis(self.config.max_delay_ms);
        let delay = match outcome {
            PollOutcome::Answered => {
                self.last_answered_at = Some(now);
                self.failure_backoff.reset();
                self.rejection_backoff.reset();
                self.delay_after_answer(max_delay)
            }
            PollOutcome::Failed => {
                let backoff = self.failure_backoff.record_failure(&mut self.rng);
                backoff.max(self.token_wait()).min(max_delay)
            }
            PollOutcome::Rejected => {
                let backoff = self.rejection_backoff.record_failure(&mut self.rng);
                backoff.max(self.token_wait())
            }
        };
        self.next_poll_at = now + delay;
        self.next_poll_at
    }

    /// The delay after an answered poll: full jitter over the fleet's window, so that managers whose answers
    /// end at the same time (a restart of the feed) do not poll again at the same time.
    fn delay_after_answer(&mut self, max_delay: TimeDelta) -> TimeDelta {
        let min_delay = from_millis(self.config.min_delay_ms);
        let window = self.first_poll_window().min(max_delay);
        let jittered = min_delay + self.full_jitter(window);
        jittered.max(self.token_wait()).min(max_delay)
    }

    fn full_jitter(&mut self, window: TimeDelta) -> TimeDelta {
        if window <= TimeDelta::ZERO {
            return TimeDelta::ZERO;
        }
        TimeDelta::from_micros(self.rng.gen_range(0..=window.as_micros()))
    }

    fn refill(&mut self, now: Timestamp) {
        let seconds = (now - self.refilled_at).as_secs_f64().max(0.0);
        self.tokens = (self.tokens + seconds * self.manager_rate()).min(self.config.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Time until the bucket holds at least one token.
    fn token_wait(&self) -> TimeDelta {
        if self.tokens >= 1.0 {
            return TimeDelta::ZERO;
        }
        TimeDelta::from_secs_f64((1.0 - self.tokens) / self.manager_rate())
    }

    /// This manager's share of the fleet's rate, in polls per second.
    fn manager_rate(&self) -> f64 {
        self.config.fleet_rate / self.fleet_size
    }

    /// Time since the last answered poll, or since the start if no poll was answered yet.
    pub fn time_since_success(&self, now: Timestamp) -> TimeDelta {
        now - self.last_answered_at.unwrap_or(self.started_at)
    }

    /// Number of polls started since the manager's start.
    pub fn polls(&self) -> u64 {
        self.polls
    }

    /// Number of failed and rejected polls since the last answered poll.
    pub fn consecutive_failures(&self) -> u32 {
        self.failure_backoff.failures() + self.rejection_backoff.failures()
    }
}
