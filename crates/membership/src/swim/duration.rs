//! Spans from the settings, which are in fractional milliseconds.

use crate::TimeDelta;

/// A span from milliseconds, to the nearest microsecond.
pub(super) fn duration_from_ms(ms: f64) -> TimeDelta {
    TimeDelta::from_secs_f64(ms / 1e3)
}
