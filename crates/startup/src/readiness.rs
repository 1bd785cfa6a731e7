//! Decides when a starting manager reports that it is ready.
//!
//! A manager is ready when three conditions are met. First, it has an endpoint list that is not empty,
//! configured or from the control feed. Second, the feed has answered once, or `max_feed_wait_ms` have passed
//! since the start (a feed that is down must not keep a manager out of service). Third, a connection to an
//! engine has opened, or `max_connection_wait_ms` have passed since the start. Readiness is reported once,
//! with its reasons.

use crate::{from_millis, TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};

/// Settings of the conditions for readiness.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReadinessConfig {
    /// Longest wait for the control feed's first answer, from the start, in milliseconds; 0 to 30,000.
    #[serde(rename = "feed_wait_ms")]
    pub max_feed_wait_ms: f64,
    /// Longest wait for a first connection to an engine, from the start, in milliseconds; 0 to 30,000.
    #[serde(rename = "link_wait_ms")]
    pub max_connection_wait_ms: f64,
}

impl Default for ReadinessConfig {
    fn default() -> ReadinessConfig {
        ReadinessConfig { max_feed_wait_ms: 2_000.0, max_connection_wait_ms: 2_000.0 }
    }
}

impl ReadinessConfig {
    /// Checks that each number is within its range.
    ///
    /// # Errors
    /// Returns the first field that is out of its range, by its name in the settings file.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("feed_wait_ms", self.max_feed_wait_ms, 0.0, 30_000.0)?;
        check_range("link_wait_ms", self.max_connection_wait_ms, 0.0, 30_000.0)
    }
}

/// A report that the manager became ready, and how the conditions were met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BecameReady {
    /// Time from the start until the manager became ready.
    pub after: TimeDelta,
    /// Whether the control feed had answered; if not, `max_feed_wait_ms` had passed.
    pub feed_answered: bool,
    /// Whether a connection to an engine had opened; if not, `max_connection_wait_ms` had passed.
    pub is_connected: bool,
    /// Number of engines in the endpoint list.
    pub engines: usize,
}

/// Tracks whether a manager is ready.
#[derive(Clone, Debug)]
pub struct Readiness {
    config: ReadinessConfig,
    started_at: Timestamp,
    /// Number of engines in the last endpoint list; 0 before the first list.
    engines: usize,
    feed_answered: bool,
    is_connected: bool,
    is_ready: bool,
}

impl Readiness {
    /// Creates the readiness of a manager that starts at `now` without an endpoint list.
    pub fn new(config: ReadinessConfig, now: Timestamp) -> Readiness {
        Readiness {
            config,
            started_at: now,
            engines: 0,
            feed_answered: false,
            is_connected: false,
            is_ready: false,
        }
    }

    /// Records that an endpoint list, configured or from the control feed, was applied. `engines`: the number
    /// of engines that are listed now.
    pub fn record_endpoint_list(&mut self, engines: usize) {
        self.engines = engines;
    }

    /// Records that the control feed answered a poll.
    pub fn record_feed_answer(&mut self) {
        self.feed_answered = true;
    }

    /// Records that a connection to an engine opened.
    pub fn record_connection(&mut self) {
        self.is_connected = true;
    }

    /// Checks whether the manager is ready; returns `Some` once, at the first check at which the manager is
    /// ready.
    pub fn check(&mut self, now: Timestamp) -> Option<BecameReady> {
        if self.is_ready || self.engines == 0 {
            return None;
        }
        let feed_done = self.feed_answered || now >= self.feed_deadline();
        let connection_done = self.is_connected || now >= self.connection_deadline();
        if !feed_done || !connection_done {
            return None;
        }
        self.is_ready = true;
        Some(BecameReady {
            after: now - self.started_at,
            feed_answered: self.feed_answered,
            is_connected: self.is_connected,
            engines: self.engines,
        })
    }

    /// Whether the manager has become ready.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Time of the next check: the earliest deadline of the conditions on the feed and on connections that
    /// are not met. `None` if both are met or the manager is ready.
    pub fn next_check_at(&self) -> Option<Timestamp> {
        if self.is_ready {
            return None;
        }
        let feed = (!self.feed_answered).then(|| self.feed_deadline());
        let connection = (!self.is_connected).then(|| self.connection_deadline());
        feed.into_iter().chain(connection).min()
    }

    fn feed_deadline(&self) -> Timestamp {
        self.started_at + from_millis(self.config.max_feed_wait_ms)
    }

    fn connection_deadline(&self) -> Timestamp {
        self.started_at + from_millis(self.config.max_connection_wait_ms)
    }
}
