//! The state of an engine: slow start, queries in flight, overload. The time is passed in.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which an engine that fell over closes every connection.
const DOWN_FOR: Duration = Duration::from_secs(2);

/// The fixed properties of an engine: its cores, the work of its queries, and its slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spec {
    /// Number of cores.
    pub cores: f64,
    /// Work of a light query (one thread), in seconds on one core.
    pub light: f64,
    /// Work of a heavy query (two threads), in seconds on one core.
    pub heavy: f64,
    /// Duration of the slow start, in seconds; 0: none.
    pub cold_for: f64,
    /// Fraction of the cores that are available when a slow start begins.
    pub start_share: f64,
    /// A cold engine falls over if the work sent within `fall_span` exceeds this multiple of its capacity in
    /// that span.
    pub fall_multiple: f64,
    /// Span over which the sent work is added up, in seconds.
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

/// The state of an engine.
#[derive(Debug)]
pub struct Machine {
    pub(super) spec: Spec,
    /// Time at which the slow start begins.
    started: Instant,
    /// Recently sent work, in seconds on one core, with the time at which it was sent.
    sent: VecDeque<(Instant, f64)>,
    threads: f64,
    queries: u32,
    /// Highest number of threads at work at a time so far.
    pub max_threads: f64,
    down_until: Option<Instant>,
}

impl Machine {
    /// An engine that starts now, cold if the spec has a slow start.
    pub fn new(spec: Spec, now: Instant) -> Machine {
        Machine {
            spec,
            started: now,
            sent: VecDeque::new(),
            threads: 0.0,
            queries: 0,
            max_threads: 0.0,
            down_until: None,
        }
    }

    /// Fraction of the cores that is available: rises from `start_share` to 1 in a slow start.
    pub fn warmth(&self, now: Instant) -> f64 {
        if self.spec.cold_for <= 0.0 {
            return 1.0;
        }
        let progress = now.saturating_duration_since(self.started).as_secs_f64() / self.spec.cold_for;
        self.spec.start_share + (1.0 - self.spec.start_share) * progress.min(1.0)
    }

    /// Whether the engine fell over and closes all connections for now.
    pub fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|t| now < t)
    }

    /// Starts a query of `work` seconds on one core with `threads` threads. Returns its run time, or `None`
    /// if the engine falls over.
    pub fn start_query(&mut self, now: Instant, work: f64, threads: f64) -> Option<Duration> {
        let span = Duration::from_secs_f64(self.spec.fall_span);
        while self.sent.front().is_some_and(|(t, _)| now.saturating_duration_since(*t) > span) {
            self.sent.pop_front();
        }
        self.sent.push_back((now, work));
        let warmth = self.warmth(now);
        let recent: f64 = self.sent.iter().map(|(_, w)| w).sum();
        let max_recent = self.spec.fall_multiple * warmth * self.spec.cores * self.spec.fall_span;
        if warmth < 1.0 && recent > max_recent {
            // The slow start begins anew when the engine comes back.
            self.down_until = Some(now + DOWN_FOR);
            self.started = now + DOWN_FOR;
            self.sent.clear();
            self.threads = 0.0;
            self.queries = 0;
            return None;
        }
        self.threads += threads;
        self.queries += 1;
        self.max_threads = self.max_threads.max(self.threads);
        let slowdown = (self.threads / (self.spec.cores * warmth)).max(1.0);
        Some(Duration::from_secs_f64(work / threads.max(1.0) * slowdown))
    }

    /// Releases the threads of a query that has ended.
    pub fn release(&mut self, threads: f64) {
        self.threads = (self.threads - threads).max(0.0);
        self.queries = self.queries.saturating_sub(1);
    }

    /// Number of queries in flight, as in load reports.
    pub fn queries(&self) -> u32 {
        self.queries
    }

    /// Number of threads at work on queries in flight.
    pub fn threads(&self) -> f64 {
        self.threads
    }
}

#[cfg(test)]
mod tests;
