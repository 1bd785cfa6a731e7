//! A starting manager's first load on cold engines.
//!
//! The decision module gives each manager an even part of what a cold engine can take (the engine's budget over the
//! configured number of managers), and a manager that has just started half of its part during one span, since it does
//! not remember what it sent before. Where most of a fleet starts at once, that is a step which all take in the same
//! second. Here the part rises evenly instead, from `initial_fraction` to 1 over `ramp_ms` after the start. The
//! sum over all managers never exceeds the engine's budget, whatever they sent before their restart, as long as the
//! initial fraction and the slope allow it: with `ramp_ms` of two spans, a manager sends less than
//! `initial_fraction + 0.5` of its part within one span of its start.
//!
//! Envoy's slow start and HAProxy's `slowstart` ramp the weight of a server that came up, in each proxy by itself. Here
//! the ramp is of the manager that came up, on top of the server's own slow start.

use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};

/// Smallest rise of the fraction that a slope is computed from: a ramp that starts at 1 does not rise.
const MIN_RISE: f64 = 1e-9;

/// Settings of the ramp. The decision module applies it (`Settings::restart_ramp`).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FirstLoadConfig {
    /// Fraction of this manager's part at the start; 0.01 to 1.
    #[serde(rename = "from")]
    pub initial_fraction: f64,
    /// Time until the fraction is 1, in milliseconds; 0 (off: the decision module's own step) to 120,000.
    #[serde(rename = "over_ms")]
    pub ramp_ms: f64,
}

impl Default for FirstLoadConfig {
    fn default() -> FirstLoadConfig {
        FirstLoadConfig { initial_fraction: 0.1, ramp_ms: 4_000.0 }
    }
}

impl FirstLoadConfig {
    /// Checks each number against its range.
    ///
    /// # Errors
    /// The first field out of its range, by its name in the file.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("from", self.initial_fraction, 0.01, 1.0)?;
        check_range("over_ms", self.ramp_ms, 0.0, 120_000.0)
    }

    /// The decision module's setting: the initial fraction, and the seconds in which the fraction would rise by one;
    /// `None` where the ramp is off.
    pub fn ramp(&self) -> Option<(f64, f64)> {
        if self.ramp_ms <= 0.0 {
            return None;
        }
        let rise = (1.0 - self.initial_fraction).max(MIN_RISE);
        Some((self.initial_fraction, self.ramp_ms / 1_000.0 / rise))
    }
}
