//! The offset of the wall clock from the process's own clock, and its steps.
//!
//! Input: readings of both clocks, and Unix times stamped by other machines. Output: those times on the
//! process's clock. State: the recent offsets.
//!
//! This process reads a time some seconds after another machine has stamped it. If the wall clock steps in
//! between, by an hour for instance, the time would seem an hour older or an hour ahead. Each recent offset
//! therefore gives a candidate for the stamped time on the process's clock, and the latest candidate that is
//! not in the future is used. If the choice is wrong, an engine counts as started too late and not too early,
//! so that its slow start ends later.

use sprucelink_policy::{TimeDelta, Timestamp};
use std::collections::VecDeque;
use tracing::warn;

/// Limit on the number of offsets that are kept; the oldest are dropped first.
const MAX_OFFSETS: usize = 8;
/// Smallest change of the offset that counts as a step. A smaller change is slewing, or the time between the
/// two readings.
const MIN_STEP: TimeDelta = TimeDelta::from_millis(100);

/// The offsets of the wall clock from the process's own clock, the current one last.
#[derive(Debug, Default)]
pub(super) struct WallClock {
    offsets: VecDeque<TimeDelta>,
}

impl WallClock {
    /// Records a reading of both clocks. Must be called often: a step that is reversed between two calls is
    /// not detected.
    pub(super) fn observe(&mut self, unix_now: Timestamp, now: Timestamp) {
        let offset = unix_now - now;
        match self.offsets.back_mut() {
            Some(current) if (offset - *current).as_micros().abs() < MIN_STEP.as_micros() => {
                *current = offset
            }
            Some(current) => {
                let step_ms = (offset - *current).as_millis();
                warn!(step_ms, "wall clock stepped");
                self.push(offset);
            }
            None => self.push(offset),
        }
    }

    fn push(&mut self, offset: TimeDelta) {
        if self.offsets.len() >= MAX_OFFSETS {
            self.offsets.pop_front();
        }
        self.offsets.push_back(offset);
    }

    /// Converts a Unix time stamped by another machine to the process's own clock; the result is never in the
    /// future.
    pub(super) fn process_time_of(
        &mut self,
        unix_time: Timestamp,
        unix_now: Timestamp,
        now: Timestamp,
    ) -> Timestamp {
        self.observe(unix_now, now);
        let candidates = self.offsets.iter().map(|offset| now + (unix_time - (now + *offset)));
        candidates.filter(|at| *at <= now).max().unwrap_or(now)
    }
}

#[cfg(test)]
mod tests;
