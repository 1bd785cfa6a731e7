//! Limits the rate at which connections are accepted with the generic cell rate algorithm (ITU-T I.371). The
//! pacer reads no clock: time is an argument, counted from a fixed origin of the caller's choice.

use std::time::Duration;

/// A rate limit with a burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcceptPacer {
    /// Time between two connections that are accepted at the maximum rate.
    interval: Duration,
    /// Maximum lead of the theoretical arrival time over the clock.
    tolerance: Duration,
    /// Time at which the next connection would arrive if all connections arrived at the maximum rate.
    theoretical_arrival: Duration,
}

impl AcceptPacer {
    /// Creates a limit of `burst` connections at once and `per_second` connections per second after the
    /// burst; a value of 0 counts as 1.
    pub(crate) fn new(per_second: u32, burst: u32) -> AcceptPacer {
        let interval = Duration::from_secs(1) / per_second.max(1);
        let tolerance = interval.saturating_mul(burst.saturating_sub(1));
        AcceptPacer { interval, tolerance, theoretical_arrival: Duration::ZERO }
    }

    /// The earliest time at which the next connection may be accepted.
    pub(crate) fn next_at(&self) -> Duration {
        self.theoretical_arrival.saturating_sub(self.tolerance)
    }

    /// Records that a connection is accepted at `now`.
    pub(crate) fn record_accept(&mut self, now: Duration) {
        self.theoretical_arrival = self.theoretical_arrival.max(now) + self.interval;
    }
}
