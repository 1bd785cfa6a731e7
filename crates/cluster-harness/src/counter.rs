//! Events counted by when they came, shared between the stand-ins and whoever reads the figures.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Events whose time is kept; further ones are only counted. A run of ten minutes at 10,000 a second fits.
const MAX_EVENTS: usize = 6_000_000;

/// Events by when they came, counted from a start.
#[derive(Clone, Debug, Default)]
pub struct Counted {
    /// When each event came, since the start.
    pub at: Vec<Duration>,
    /// Events that came when no more were dated.
    pub undated: u64,
}

impl Counted {
    /// Notes one event that came at `t`, counted from `start`.
    pub fn note(&mut self, start: Instant, t: Instant) {
        if self.at.len() < MAX_EVENTS {
            self.at.push(t.saturating_duration_since(start));
        } else {
            self.undated += 1;
        }
    }

    /// The most events in any window of `width`, sliding event by event; windows are half open.
    pub fn peak(&self, width: Duration) -> usize {
        let mut at = self.at.clone();
        at.sort_unstable();
        let mut max = 0;
        let mut from = 0;
        for to in 0..at.len() {
            while at[to] - at[from] >= width {
                from += 1;
            }
            max = max.max(to + 1 - from);
        }
        max
    }

    /// Events from `from` up to `to`, without its end.
    pub fn within(&self, from: Duration, to: Duration) -> usize {
        self.at.iter().filter(|t| (from..to).contains(*t)).count()
    }

    /// Events in `n` buckets of `width` from the start; what came later is in the last.
    pub fn buckets(&self, width: Duration, n: usize) -> Vec<u32> {
        let mut out = vec![0; n.max(1)];
        for t in &self.at {
            let i = (t.as_micros() / width.as_micros().max(1)) as usize;
            out[i.min(n.max(1) - 1)] += 1;
        }
        out
    }

    /// Takes in the events of another count.
    pub fn add(&mut self, other: &Counted) {
        self.at.extend_from_slice(&other.at);
        self.undated += other.undated;
    }
}

/// A count that many tasks note in. A panic of one does not stop the others from counting.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<Mutex<Counted>>);

impl Counter {
    /// Notes one event that comes now.
    pub fn note(&self, start: Instant) {
        self.lock(|c| c.note(start, Instant::now()));
    }

    /// The events so far.
    pub fn read(&self) -> Counted {
        self.lock(|c| c.clone())
    }

    /// Events so far.
    pub fn len(&self) -> usize {
        self.lock(|c| c.at.len())
    }

    /// Whether none came yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock<T>(&self, f: impl FnOnce(&mut Counted) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

#[cfg(test)]
mod tests;
