//! Paces the accepting of connections, by the generic cell rate algorithm (ITU-T I.371). It reads no clock: time is an
//! argument, counted from any one point.

use std::time::Duration;

/// A rate with a burst. Its state is the theoretical arrival time of the next connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcceptPacer {
    /// Time between two connections at the rate.
    interval: Duration,
    /// How far the theoretical arrival time may be ahead of the clock.
    tolerance: Duration,
    theoretical_arrival: Duration,
}

impl AcceptPacer {
    /// Allows `burst` connections at once, then `per_second`; both count as 1 where they are 0.
    pub(crate) fn new(per_second: u32, burst: u32) -> AcceptPacer {
        let interval = Duration::from_secs(1) / per_second.max(1);
        let tolerance = interval.saturating_mul(burst.saturating_sub(1));
        AcceptPacer { interval, tolerance, theoretical_arrival: Duration::ZERO }
    }

    /// The earliest time of the next connection.
    pub(crate) fn next_at(&self) -> Duration {
        self.theoretical_arrival.saturating_sub(self.tolerance)
    }

    /// Counts a connection.
    pub(crate) fn count(&mut self, now: Duration) {
        self.theoretical_arrival = self.theoretical_arrival.max(now) + self.interval;
    }
}
