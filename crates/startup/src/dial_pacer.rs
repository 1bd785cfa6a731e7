//! Paces a manager's new connections to engines.
//!
//! Managers that start together (a release, a crash of most of the fleet) would dial their engines in the
//! same milliseconds, and would fill an engine's accept queue and session table at once. So during a
//! manager's warm-up each new connection waits for its slot: a point in a recurring window of `window_ms`,
//! given by a hash of the manager's name and the engine's id. The dials of all managers to one engine then
//! spread evenly over the window, and so do the dials of one manager to its engines. In addition, new
//! connections are rate limited at all times. As long as dials are requested no faster than the rate, no dial
//! waits longer than one window and one interval of the rate limit.

use crate::{from_millis, TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};
use sprucelink_stable_hash::{stable_hash, unit_interval};

/// Settings of the pacing of new connections.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DialPacerConfig {
    /// Window over which the dials during warm-up are spread, in milliseconds; 0 (off) to 500.
    #[serde(rename = "stage_ms")]
    pub window_ms: f64,
    /// Time after the manager's start during which dials wait for their slots, in milliseconds; 0 to 120,000.
    #[serde(rename = "warm_ms")]
    pub warmup_ms: f64,
    /// New connections per second that one manager may open after its burst is used up; 1 to 10,000.
    pub rate: f64,
    /// Number of new connections that one manager may open in a row without waiting for the rate limit; 1 to
    /// 1,000.
    pub burst: f64,
}

impl Default for DialPacerConfig {
    fn default() -> DialPacerConfig {
        DialPacerConfig { window_ms: 100.0, warmup_ms: 10_000.0, rate: 50.0, burst: 16.0 }
    }
}

impl DialPacerConfig {
    /// Checks that each number is within its range.
    ///
    /// # Errors
    /// Returns the first field that is out of its range, by its name in the settings file.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("stage_ms", self.window_ms, 0.0, 500.0)?;
        check_range("warm_ms", self.warmup_ms, 0.0, 120_000.0)?;
        check_range("rate", self.rate, 1.0, 10_000.0)?;
        check_range("burst", self.burst, 1.0, 1_000.0)
    }
}

/// Paces the dials of one manager.
#[derive(Clone, Debug)]
pub struct DialPacer {
    config: DialPacerConfig,
    manager_name: Vec<u8>,
    started_at: Timestamp,
    /// Theoretical arrival time of the generic cell rate algorithm (ITU-T I.371), which represents the token
    /// bucket by a single timestamp.
    theoretical_arrival: Timestamp,
    /// Number of dials that had to wait for their slot.
    delayed_dials: u64,
}

impl DialPacer {
    /// Creates the pacer of a manager that starts at `now`. `name`: the manager's configured name, which
    /// determines its slots.
    pub fn new(config: DialPacerConfig, name: &str, now: Timestamp) -> DialPacer {
        DialPacer {
            config,
            manager_name: name.as_bytes().to_vec(),
            started_at: now,
            theoretical_arrival: now,
            delayed_dials: 0,
        }
    }

    /// Position of this manager's slot for the engine with id `engine`, as a fraction of the window, from 0
    /// to below 1.
    pub fn slot_fraction(&self, engine: &str) -> f64 {
        unit_interval(stable_hash(&[&self.manager_name, engine.as_bytes()]))
    }

    /// Reserves a dial to the engine with id `engine` that is requested at `now`; returns the time from which
    /// the dial may start.
    ///
    /// As long as dials are requested no faster than the rate, the dial may start at most one window and one
    /// interval of the rate after `now`.
    pub fn reserve_dial(&mut self, now: Timestamp, engine: &str) -> Timestamp {
        let slot = self.next_slot(now, engine);
        self.delayed_dials += u64::from(slot > now);
        let interval = TimeDelta::from_secs_f64(1.0 / self.config.rate);
        let tolerance = TimeDelta::from_secs_f64((self.config.burst - 1.0) / self.config.rate);
        let dial_at = slot.max(self.theoretical_arrival - tolerance);
        self.theoretical_arrival = self.theoretical_arrival.max(dial_at) + interval;
        dial_at
    }

    /// The first occurrence of the engine's slot at or after `now`; `now` itself if warm-up is over or the
    /// window is 0.
    fn next_slot(&self, now: Timestamp, engine: &str) -> Timestamp {
        let window = from_millis(self.config.window_ms);
        let is_warming_up = now - self.started_at < from_millis(self.config.warmup_ms);
        if window <= TimeDelta::ZERO || !is_warming_up {
            return now;
        }
        let window_micros = window.as_micros();
        let offset = TimeDelta::from_micros((self.slot_fraction(engine) * window_micros as f64) as i64);
        let first_slot = self.started_at + offset;
        let since_first_slot = (now - first_slot).as_micros();
        let elapsed_windows =
            if since_first_slot <= 0 { 0 } else { (since_first_slot + window_micros - 1) / window_micros };
        first_slot + TimeDelta::from_micros(elapsed_windows * window_micros)
    }

    /// Number of dials since the start that had to wait for their slot; waits for the rate limit do not
    /// count.
    pub fn delayed_dials(&self) -> u64 {
        self.delayed_dials
    }
}
