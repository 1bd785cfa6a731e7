//! Ramp of a starting manager's first load on cold engines.
//!
//! The policy gives each manager an equal share of the load that a cold engine can take (the
//! engine's budget divided by the configured number of managers). A manager that has just started gets half
//! of its share during one span, since it does not remember what it sent before its restart. If most of a
//! fleet starts at once, all managers take that step in the same second. With this ramp the share rises
//! linearly instead, from `initial_fraction` to 1 over `ramp_ms` after the start. The sum over all managers
//! never exceeds the engine's budget, whatever they sent before their restart, as long as the initial
//! fraction and the slope allow it: with `ramp_ms` of two spans, a manager sends less than
//! `initial_fraction + 0.5` of its share within one span of its start.
//!
//! Envoy's slow start and HAProxy's `slowstart` ramp the weight of a server that came up, independently in
//! each proxy. This ramp applies to a manager that came up, in addition to the slow start of each server.

use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};

/// Smallest rise of the fraction from which a slope is computed: a ramp that starts at 1 does not rise, and
/// its slope would otherwise be a division by zero.
const MIN_RISE: f64 = 1e-9;

/// Settings of the ramp, which the policy applies (`Settings::restart_ramp`).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FirstLoadConfig {
    /// Fraction of its share that this manager may use at the start; 0.01 to 1.
    #[serde(rename = "from")]
    pub initial_fraction: f64,
    /// Time until the fraction is 1, in milliseconds; 0 (off: the policy's own step) to 120,000.
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

    /// The ramp as the policy takes it: the initial fraction, and the seconds in which the fraction
    /// would rise by one; `None` if the ramp is off.
    pub fn ramp(&self) -> Option<(f64, f64)> {
        if self.ramp_ms <= 0.0 {
            return None;
        }
        let rise = (1.0 - self.initial_fraction).max(MIN_RISE);
        Some((self.initial_fraction, self.ramp_ms / 1_000.0 / rise))
    }
}
