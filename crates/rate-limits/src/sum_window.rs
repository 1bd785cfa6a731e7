//! A sliding window that sums amounts.

use serde::{Deserialize, Serialize};
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// The amounts in one sliding window with the timestamps at which they were recorded, oldest first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SumWindow(VecDeque<(Timestamp, f64)>);

impl SumWindow {
    /// Records an amount at `now` and drops the amounts recorded more than `span` before `now`.
    pub fn record(&mut self, now: Timestamp, amount: f64, span: TimeDelta) {
        self.0.push_back((now, amount));
        while self.0.front().is_some_and(|(time, _)| now - *time > span) {
            self.0.pop_front();
        }
    }

    /// The sum of the amounts recorded within `span` before `now`, both ends included. Amounts are added from
    /// the newest to the oldest, which determines the rounding.
    pub fn sum(&self, now: Timestamp, span: TimeDelta) -> f64 {
        self.0.iter().rev().take_while(|(time, _)| now - *time <= span).map(|(_, amount)| amount).sum()
    }
}
