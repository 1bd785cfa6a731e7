//! Timestamps and signed time spans in whole microseconds.
//!
//! [`Timestamp`] is a point on the caller's clock, [`TimeDelta`] a signed span between two timestamps (the
//! name is that of the `chrono` crate; `std::time::Duration` cannot be negative). Both are serialized as a
//! bare integer. This crate reads no clock: every state machine takes the current time as an argument.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Neg, Sub};

/// A point in time on the caller's clock, in microseconds since the clock's origin. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(i64);

/// A signed span of time in microseconds. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeDelta(i64);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Timestamp = Timestamp(0);
    /// The latest representable timestamp.
    pub const MAX: Timestamp = Timestamp(i64::MAX);

    /// The timestamp `micros` microseconds after the clock's origin.
    pub const fn from_micros(micros: i64) -> Timestamp {
        Timestamp(micros)
    }
    /// The timestamp `millis` milliseconds after the clock's origin; saturates.
    pub const fn from_millis(millis: i64) -> Timestamp {
        Timestamp(millis.saturating_mul(1_000))
    }
    /// The timestamp `secs` seconds after the clock's origin; saturates.
    pub const fn from_secs(secs: i64) -> Timestamp {
        Timestamp(secs.saturating_mul(1_000_000))
    }
    /// The timestamp `secs` seconds after the clock's origin, rounded to the nearest microsecond. NaN counts
    /// as zero; values out of range saturate.
    pub fn from_secs_f64(secs: f64) -> Timestamp {
        Timestamp((secs * 1e6).round() as i64)
    }
    /// Microseconds since the clock's origin.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
    /// Milliseconds since the clock's origin, rounded towards zero.
    pub const fn as_millis(self) -> i64 {
        self.0 / 1_000
    }
    /// Seconds since the clock's origin, with their fraction.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl TimeDelta {
    /// The span of length zero.
    pub const ZERO: TimeDelta = TimeDelta(0);
    /// The longest representable span.
    pub const MAX: TimeDelta = TimeDelta(i64::MAX);

    /// A span of whole microseconds.
    pub const fn from_micros(micros: i64) -> TimeDelta {
        TimeDelta(micros)
    }
    /// A span of whole milliseconds; saturates.
    pub const fn from_millis(millis: i64) -> TimeDelta {
        TimeDelta(millis.saturating_mul(1_000))
    }
    /// A span of whole seconds; saturates.
    pub const fn from_secs(secs: i64) -> TimeDelta {
        TimeDelta(secs.saturating_mul(1_000_000))
    }
    /// A span of seconds, rounded to the nearest microsecond. NaN counts as zero; values out of range
    /// saturate.
    pub fn from_secs_f64(secs: f64) -> TimeDelta {
        TimeDelta((secs * 1e6).round() as i64)
    }
    /// The span in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
    /// The span in whole milliseconds, rounded towards zero.
    pub const fn as_millis(self) -> i64 {
        self.0 / 1_000
    }
    /// The span in seconds, with their fraction.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}
impl Sub<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn sub(self, span: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}
impl Sub for Timestamp {
    type Output = TimeDelta;
    fn sub(self, earlier: Timestamp) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(earlier.0))
    }
}
impl Add for TimeDelta {
    type Output = TimeDelta;
    fn add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_add(other.0))
    }
}
impl Sub for TimeDelta {
    type Output = TimeDelta;
    fn sub(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(other.0))
    }
}
impl Neg for TimeDelta {
    type Output = TimeDelta;
    fn neg(self) -> TimeDelta {
        TimeDelta(self.0.saturating_neg())
    }
}
