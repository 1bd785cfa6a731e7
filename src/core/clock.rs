//! The clock of the process: the Unix time of the first reading, advanced by the monotonic clock. State: the
//! first readings of both clocks.

use nix::time::{clock_gettime, ClockId};
use sprucelink_policy::{TimeDelta, Timestamp};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The current time: the Unix time of the first call, advanced by the monotonic clock.
///
/// All deadlines and spans are measured on this clock, so that a step of the system clock neither shortens
/// nor prolongs them.
pub fn now() -> Timestamp {
    static FIRST: OnceLock<(Instant, Timestamp)> = OnceLock::new();
    let (first_call, started_at) = FIRST.get_or_init(|| (Instant::now(), unix()));
    let elapsed = i64::try_from(first_call.elapsed().as_micros()).unwrap_or(i64::MAX);
    *started_at + TimeDelta::from_micros(elapsed)
}

/// The difference between [`now`] and the machine's monotonic clock, by which processes of one machine
/// convert each other's times: they share the monotonic clock. The difference is constant within a process.
pub fn machine_clock_offset() -> TimeDelta {
    static OFFSET: OnceLock<TimeDelta> = OnceLock::new();
    *OFFSET.get_or_init(|| {
        let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(Duration::ZERO, Duration::from);
        now() - Timestamp::from_micros(i64::try_from(monotonic.as_micros()).unwrap_or(i64::MAX))
    })
}

/// The system's Unix time, which may step; zero if the system clock is before 1970.
pub fn unix() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    Timestamp::from_micros(i64::try_from(since_epoch.as_micros()).unwrap_or(i64::MAX))
}

/// Converts a span to a duration, for a sleep or timeout; zero if the span is negative.
pub fn to_duration(span: TimeDelta) -> Duration {
    Duration::from_micros(span.as_micros().max(0) as u64)
}

#[cfg(test)]
mod tests;
