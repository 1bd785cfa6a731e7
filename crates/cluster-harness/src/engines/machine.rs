//! The state of an engine: slow start, queries in flight, overload. Time is an argument.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which an overloaded engine closes every connection.
const DOWN_FOR: Duration = Duration::from_secs(2);

/// The properties of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spec {
    /// Its cores.
    pub cores: f64,
    /// Work of a light query (one thread), in seconds on one core.
    pub light: f64,
    /// Work of a load (two threads), in seconds on one core.
    pub heavy: f64,
    /// Duration of its slow start, in seconds; 0: none.
    pub cold_for: f64,
    /// Fraction of its cores that it starts with.
    pub start_share: f64,
    /// Work sent within `fall_span` over this multiple of what it can do in that span pushes it over while cold.
    pub fall_multiple: f64,
    /// In seconds.
    pub fall_span: f64,
}

impl Default for Spec {
    /// A warm engine of 8 cores that answers at once.
    fn default() -> Spec {
        Spec {
            cores: 8.0,
            light: 0.0,
            heavy: 0.0,
            cold_for: 0.0,
            start_share: 0.3,
            fall_multiple: 2.5,
            fall_span: 2.0,
        }
    }
}

/// What an engine knows of itself, with time as argument: its warmth, what runs, and when it falls over.
#[derive(Debug)]
pub struct Machine {
    pub(super) spec: Spec,
    born: Instant,
    sent: VecDeque<(Instant, f64)>,
    threads: f64,
    queries: u32,
    /// Threads at work at most so far.
    pub max_threads: f64,
    down_until: Option<Instant>,
}

impl Machine {
    /// An engine that starts now.
    pub fn new(spec: Spec, now: Instant) -> Machine {
        Machine {
            spec,
            born: now,
            sent: VecDeque::new(),
            threads: 0.0,
            queries: 0,
            max_threads: 0.0,
            down_until: None,
        }
    }

    /// Share of its cores that it has by now.
    pub fn warmth(&self, now: Instant) -> f64 {
        if self.spec.cold_for <= 0.0 {
            return 1.0;
        }
        let age = now.saturating_duration_since(self.born).as_secs_f64() / self.spec.cold_for;
        self.spec.start_share + (1.0 - self.spec.start_share) * age.min(1.0)
    }

    /// Whether it is down after a fall.
    pub fn down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|t| now < t)
    }

    /// Takes a query of `work` seconds on `threads`: how long it runs, or `None` if this pushes it over.
    pub fn take(&mut self, now: Instant, work: f64, threads: f64) -> Option<Duration> {
        let span = Duration::from_secs_f64(self.spec.fall_span);
        while self.sent.front().is_some_and(|(t, _)| now.saturating_duration_since(*t) > span) {
            self.sent.pop_front();
        }
        self.sent.push_back((now, work));
        let warmth = self.warmth(now);
        let recent: f64 = self.sent.iter().map(|(_, w)| w).sum();
        let bears = self.spec.fall_multiple * warmth * self.spec.cores * self.spec.fall_span;
        if warmth < 1.0 && recent > bears {
            // It comes back as cold as it was at first.
            self.down_until = Some(now + DOWN_FOR);
            self.born = now + DOWN_FOR;
            self.sent.clear();
            self.threads = 0.0;
            self.queries = 0;
            return None;
        }
        self.threads += threads;
        self.queries += 1;
        self.max_threads = self.max_threads.max(self.threads);
        let crowding = (self.threads / (self.spec.cores * warmth)).max(1.0);
        Some(Duration::from_secs_f64(work / threads.max(1.0) * crowding))
    }

    /// A query that used `threads` has ended.
    pub fn release(&mut self, threads: f64) {
        self.threads = (self.threads - threads).max(0.0);
        self.queries = self.queries.saturating_sub(1);
    }

    /// Queries in hand: what load reports count.
    pub fn queries(&self) -> u32 {
        self.queries
    }

    /// Threads at work.
    pub fn threads(&self) -> f64 {
        self.threads
    }
}

#[cfg(test)]
mod tests;
