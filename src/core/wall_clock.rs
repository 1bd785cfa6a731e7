//! The wall clock as seen from the process's own clock: its steps, and what times of others mean after one.
//!
//! Another party stamps a time by the wall clock, and it is read some seconds later. A step between the two would make the
//! time an hour older, or let it lie an hour ahead. So the offsets of the wall clock are remembered. Of the instants that a
//! stamp may mean, by any of them, the latest that has passed is taken: an engine counts as started too late rather than
//! too early.

use sprucelink_policy::{TimeDelta, Timestamp};
use std::collections::VecDeque;
use tracing::warn;

/// Offsets that are remembered; the oldest go first.
const MAX_OFFSETS: usize = 8;
/// A smaller difference is the clock being slewed, or two clocks read one after the other.
const MIN_STEP: TimeDelta = TimeDelta::from_micros(100_000);

/// The offsets of the wall clock from the process's own clock, the current one last.
#[derive(Debug, Default)]
pub(super) struct WallClock {
    offsets: VecDeque<TimeDelta>,
}

impl WallClock {
    /// Both clocks were read just now. To be called often: a step that is undone between two calls is not seen.
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

    /// The instant of the process's own clock that another party stamped with a Unix time. It has passed.
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
