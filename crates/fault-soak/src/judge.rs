//! The rules that a run must satisfy, and their violations.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// An admitted request gets one final answer.
    Lost,
    /// An answer holds the rows that an engine returned for that request.
    WrongAnswer,
    /// No attempt starts more than 0.1 s after the request's client left or cancelled.
    SentAfterClientGone,
    /// The deadline sent to an engine exceeds the client's remaining time by at most 0.15 s.
    LateDeadline,
    /// A request has at most one attempt in flight.
    ConcurrentAttempts,
    /// No attempt is sent to an engine more than 0.5 s after the manager was notified of its drain.
    SentToDraining,
    /// A request of which an attempt may have run is retried only as its class allows.
    UnsafeRepeat,
    /// Retries stay within the retry budget.
    RetryBudget,
    /// An engine in slow start gets no more requests than [`slow_start_bound`] allows.
    SlowStart,
    /// A process ends only on SIGTERM, with exit status 0, and is ready within 10 s of its start.
    Crash,
    /// The program logs no violation of its own invariants and no panic.
    OwnInvariant,
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time since the start of the run.
    pub at: Duration,
    /// Manager, request or engine, and the measured values, as text.
    pub detail: String,
}

/// Tolerance for the time that bytes take between processes.
pub const TRANSIT: Duration = Duration::from_millis(50);

/// Maximum number of attempts for an engine in slow start whose limit is `n` requests of mean work: for n
/// below 30 it is n + 3 sqrt(n) + 3, otherwise n + 2 sqrt(n) + 2.
pub fn slow_start_bound(n: f64) -> f64 {
    if n < 30.0 {
        n + 3.0 * n.sqrt() + 3.0
    } else {
        n + 2.0 * n.sqrt() + 2.0
    }
}

/// Largest number of retries above the tolerated number in any window of length `span`; `None` if no window
/// exceeds it. The budget is `free` retries and `share` retries per request of the window; the platform
/// tolerates 15 % and one attempt above it. `retries` is in ascending order.
pub fn retry_excess(
    requests: &[Instant],
    retries: &[Instant],
    free: f64,
    share: f64,
    span: Duration,
) -> Option<f64> {
    let mut worst: Option<f64> = None;
    for (index, end) in retries.iter().enumerate() {
        let within = |at: &&Instant| **at <= *end && end.saturating_duration_since(**at) <= span;
        let retry_count = retries[..=index].iter().filter(within).count() as f64;
        let request_count = requests.iter().filter(within).count() as f64;
        let excess = retry_count - ((free + share * request_count) * 1.15 + 1.0);
        if excess > 0.0 && worst.is_none_or(|known| excess > known) {
            worst = Some(excess);
        }
    }
    worst
}

/// Number of violations of each rule that was violated.
pub fn count_by_rule(violations: &[Violation]) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.rule).or_insert(0) += 1;
    }
    counts
}

#[cfg(test)]
mod tests;
