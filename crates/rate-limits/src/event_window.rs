//! A sliding window of events that counts exactly.

use serde::{Deserialize, Serialize};
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// Timestamps of the events in one sliding window, oldest first.
///
/// Memory grows with the number of events in the window. Where that number is not bounded, use
/// [`SlotWindow`](crate::SlotWindow), which counts events by slot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EventWindow(VecDeque<Timestamp>);

impl EventWindow {
    /// Records an event at `now` and drops the events more than `span` before `now`.
    pub fn record(&mut self, now: Timestamp, span: TimeDelta) {
        self.0.push_back(now);
        while self.0.front().is_some_and(|time| now - *time > span) {
            self.0.pop_front();
        }
    }

    /// The number of recorded events later than `start`, events at `start` excluded.
    pub fn count_after(&self, start: Timestamp) -> usize {
        self.0.iter().rev().take_while(|time| **time > start).count()
    }
}
