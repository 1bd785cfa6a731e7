//! Conversion of durations in the settings, which are in fractional milliseconds.

use crate::TimeDelta;

/// Converts milliseconds to a duration, rounded to the nearest microsecond.
pub(super) fn duration_from_ms(ms: f64) -> TimeDelta {
    TimeDelta::from_secs_f64(ms / 1e3)
}
