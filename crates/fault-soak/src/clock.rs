//! The clocks of a run: the machine's monotonic clock, and a wall clock with steps.

use nix::time::{clock_gettime, ClockId};
use std::time::{SystemTime, UNIX_EPOCH};

/// A step of the wall clock of the processes under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockStep {
    /// Time of the step on the monotonic clock, in milliseconds.
    pub at_ms: i64,
    /// Offset from the machine's wall clock after the step, in milliseconds; negative for a step back. It
    /// replaces the offset of an earlier step.
    pub ahead_ms: i64,
}

/// Reading of the machine's monotonic clock in milliseconds. All processes read the same clock.
pub fn monotonic_ms() -> i64 {
    clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(0, |now| now.tv_sec() * 1_000 + now.tv_nsec() / 1_000_000)
}

/// Present time on the wall clock of processes with these steps, in Unix milliseconds. `steps` is ordered by
/// time.
pub fn wall_ms(steps: &[ClockStep]) -> i64 {
    let machine_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as i64);
    let now = monotonic_ms();
    machine_ms + steps.iter().rev().find(|step| now >= step.at_ms).map_or(0, |step| step.ahead_ms)
}
