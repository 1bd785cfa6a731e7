//! Ramp of the first load that a starting manager puts on engines in slow start.
//!
//! The policy gives each manager an equal share of the work that an engine in slow start may be sent in one
//! slow-start window (the engine's budget divided by the configured number of managers). Without the ramp, a
//! manager uses half of its share during the first window after its own start, since it does not know what it
//! sent before a restart, and then its full share. If most of a fleet starts at once, all managers make this
//! step in the same second. With the ramp, the fraction of the share that the manager uses rises linearly
//! instead, from `initial_fraction` to 1 over `ramp_ms` after the start. Whatever the managers sent before
//! their restart, the sum over all managers does not exceed the engine's budget if the initial fraction and
//! the slope are low enough: with a `ramp_ms` of two slow-start windows, a manager sends less than
//! `initial_fraction + 0.5` of its share within one window of its start.
//!
//! Envoy's slow start and HAProxy's `slowstart` increase the weight of a server that has started,
//! independently in each proxy. This ramp applies to a manager that has started, in addition to the slow
//! start of each engine.

use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};

/// Lower bound of the fraction's rise in the computation of the slope, which avoids a division by zero for a
/// ramp that starts at 1 and does not rise.
const MIN_RISE: f64 = 1e-9;

/// Settings of the ramp, which the policy applies (`Settings::restart_ramp`).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FirstLoadConfig {
    /// Fraction of its share of an engine's slow-start budget that this manager may use at its own start;
    /// 0.01 to 1.
    #[serde(rename = "from")]
    pub initial_fraction: f64,
    /// Time from the manager's start until the fraction is 1, in milliseconds; 0 (off: the policy's step from
    /// half of the share to the full share applies) to 120,000.
    #[serde(rename = "over_ms")]
    pub ramp_ms: f64,
}

impl Default for FirstLoadConfig {
    fn default() -> FirstLoadConfig {
        FirstLoadConfig { initial_fraction: 0.1, ramp_ms: 4_000.0 }
    }
}

impl FirstLoadConfig {
    /// Checks that each number is within its range.
    ///
    /// # Errors
    /// Returns the first field that is out of its range, by its name in the settings file.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("from", self.initial_fraction, 0.01, 1.0)?;
        check_range("over_ms", self.ramp_ms, 0.0, 120_000.0)
    }

    /// The ramp in the form of the policy's setting: the initial fraction, and the number of seconds in which
    /// the fraction would rise by one; `None` if the ramp is off.
    pub fn ramp(&self) -> Option<(f64, f64)> {
        if self.ramp_ms <= 0.0 {
            return None;
        }
        let rise = (1.0 - self.initial_fraction).max(MIN_RISE);
        Some((self.initial_fraction, self.ramp_ms / 1_000.0 / rise))
    }
}
