//! Instants and spans of time in whole microseconds.
//!
//! [`Timestamp`] is a point on the caller's clock, [`TimeDelta`] a signed span between two of them (the name is that of
//! the `chrono` crate; `std::time::Duration` cannot be negative). Both are serialized as a bare integer. This crate
//! reads no clock: every state machine takes the current time as an argument.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

#[cfg(feature = "distinct")]
mod distinct;
#[cfg(feature = "distinct")]
pub use distinct::{TimeDelta, Timestamp};

/// An instant or a span, in microseconds: what [`Timestamp`] and [`TimeDelta`] stand for until all crates tell them apart.
#[cfg(not(feature = "distinct"))]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Micros(pub i64);

/// A point in time.
#[cfg(not(feature = "distinct"))]
pub type Timestamp = Micros;
/// A signed span of time.
#[cfg(not(feature = "distinct"))]
pub type TimeDelta = Micros;

#[cfg(not(feature = "distinct"))]
impl Micros {
    /// The origin of the clock, or the empty span.
    pub const ZERO: Micros = Micros(0);
    /// The latest instant, or the longest span.
    pub const MAX: Micros = Micros(i64::MAX);

    /// From whole microseconds.
    pub const fn from_micros(micros: i64) -> Micros {
        Micros(micros)
    }
    /// From whole milliseconds; saturates.
    pub const fn from_millis(millis: i64) -> Micros {
        Micros(millis.saturating_mul(1_000))
    }
    /// From whole seconds; saturates.
    pub const fn from_whole_secs(secs: i64) -> Micros {
        Micros(secs.saturating_mul(1_000_000))
    }
    /// From seconds, to the nearest microsecond; what is not a finite number counts as zero or as the nearest bound.
    pub fn from_secs_f64(secs: f64) -> Micros {
        Micros((secs * 1e6).round() as i64)
    }
    /// Whole microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }
    /// Whole milliseconds, rounded towards zero.
    pub const fn as_millis(self) -> i64 {
        self.0 / 1_000
    }
    /// Seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// A span from seconds; what is not a finite number counts as zero.
    pub fn from_secs(s: f64) -> Micros {
        Micros::from_secs_f64(s)
    }
    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.as_secs_f64()
    }
}
#[cfg(not(feature = "distinct"))]
impl Add for Micros {
    type Output = Micros;
    fn add(self, o: Micros) -> Micros {
        Micros(self.0.saturating_add(o.0))
    }
}
#[cfg(not(feature = "distinct"))]
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, o: Micros) -> Micros {
        Micros(self.0.saturating_sub(o.0))
    }
}
