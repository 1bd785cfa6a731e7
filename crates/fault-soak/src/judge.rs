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
    /// No attempt starts more than 0.1 s after its client left or cancelled.
    SentAfterClientGone,
    /// The deadline sent to an engine exceeds the client's remaining time by at most 0.15 s.
    LateDeadline,
    /// A request has at most one attempt in flight.
    ConcurrentAttempts,
    /// No attempt is sent to an engine more than 0.5 s after the manager was notified of its drain.
    SentToDraining,
    /// A request that may have run is retried only as its class allows.
    UnsafeRepeat,
    /// Retries stay within the retry budget.
    RetryBudget,
    /// An engine in slow start gets at most N + 3 sqrt(N) + 3 requests for N below 30, or N + 2 sqrt(N) + 2.
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
    /// Manager, request and measured values.
    pub detail: String,
}

/// Tolerance for the transmission of bytes between processes.
pub const TRANSIT: Duration = Duration::from_millis(50);

/// Maximum number of attempts for an engine in slow start, where `n` requests of mean work are allowed.
pub fn slow_start_bound(n: f64) -> f64 {
    if n < 30.0 {
        n + 3.0 * n.sqrt() + 3.0
    } else {
        n + 2.0 * n.sqrt() + 2.0
    }
}

/// Largest excess of retries over the budget in any window of `span`; `None` without an excess. The platform
/// tolerates 15 % and one attempt above the budget.
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

/// Number of violations of each rule.
pub fn count_by_rule(violations: &[Violation]) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.rule).or_insert(0) += 1;
    }
    counts
}

#[cfg(test)]
mod tests;
