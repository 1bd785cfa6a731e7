//! Counts events with their times. The stand-ins record the events; the figures of a run are computed from
//! the counts.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of events whose time is kept; further ones are only counted. Enough for a run of ten
/// minutes at 10,000 events per second.
const MAX_EVENTS: usize = 6_000_000;

/// Counted events with their times.
#[derive(Clone, Debug, Default)]
pub struct Counted {
    /// Time of each event since the start of the run.
    pub times: Vec<Duration>,
    /// Number of events whose time was not kept.
    pub without_time: u64,
}

impl Counted {
    /// Records an event at `time`; its time is kept relative to `start`.
    pub fn record(&mut self, start: Instant, time: Instant) {
        if self.times.len() < MAX_EVENTS {
            self.times.push(time.saturating_duration_since(start));
        } else {
            self.without_time += 1;
        }
    }

    /// The maximum number of events in any half-open window of `width`.
    pub fn peak(&self, width: Duration) -> usize {
        let mut times = self.times.clone();
        times.sort_unstable();
        let mut max = 0;
        let mut from = 0;
        for to in 0..times.len() {
            while times[to] - times[from] >= width {
                from += 1;
            }
            max = max.max(to + 1 - from);
        }
        max
    }

    /// Number of events from `from` up to but excluding `to`.
    pub fn within(&self, from: Duration, to: Duration) -> usize {
        self.times.iter().filter(|t| (from..to).contains(*t)).count()
    }

    /// Number of events in each of `n` buckets of `width` from the start; the last bucket includes all later
    /// events.
    pub fn buckets(&self, width: Duration, n: usize) -> Vec<u32> {
        let mut out = vec![0; n.max(1)];
        for t in &self.times {
            let i = (t.as_micros() / width.as_micros().max(1)) as usize;
            out[i.min(n.max(1) - 1)] += 1;
        }
        out
    }

    /// Adds the events of another count.
    pub fn add(&mut self, other: &Counted) {
        self.times.extend_from_slice(&other.times);
        self.without_time += other.without_time;
    }
}

/// A count that is shared by many tasks. A panic of one task doesn't stop the others from counting.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<Mutex<Counted>>);

impl Counter {
    /// Records an event with the current time.
    pub fn record(&self, start: Instant) {
        self.lock(|c| c.record(start, Instant::now()));
    }

    /// A copy of the events so far.
    pub fn read(&self) -> Counted {
        self.lock(|c| c.clone())
    }

    /// Number of events so far whose time was kept.
    pub fn len(&self) -> usize {
        self.lock(|c| c.times.len())
    }

    /// Whether there were no events yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock<T>(&self, f: impl FnOnce(&mut Counted) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

#[cfg(test)]
mod tests;
