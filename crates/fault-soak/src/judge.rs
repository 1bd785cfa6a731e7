//! The rules that a run is judged by, and what broke them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// An admitted request has one final answer.
    Lost,
    /// An answer holds what an engine made for that request.
    WrongAnswer,
    /// No attempt begins over 0.1 s after its client has gone or cancelled.
    SentAfterClientGone,
    /// The deadline sent to an engine is at most the time that the client has left, with 0.15 s of slack.
    LateDeadline,
    /// A request has one attempt out at a time.
    ConcurrentAttempts,
    /// Nothing is sent to an engine 0.5 s after the manager was notified of its drain.
    SentToDraining,
    /// What may have run is repeated only as its class allows.
    UnsafeRepeat,
    /// Retries stay within the budget.
    RetryBudget,
    /// An engine in slow start gets N + 3 x root of N + 3 requests at most, or N + 2 x root of N + 2.
    SlowStart,
    /// A process ends only on SIGTERM, with status 0, and is ready within 10 s of its start.
    Crash,
    /// The program's own invariants hold.
    OwnInvariant,
}

/// One violation.
#[derive(Clone, Debug)]
pub struct Violation {
    /// What was broken.
    pub rule: Rule,
    /// Since the start of the run.
    pub at: Duration,
    /// By whom, and the figures.
    pub detail: String,
}

/// Slack for the time that bytes take through the machine.
pub const TRANSIT: Duration = Duration::from_millis(50);

/// The bound on attempts that an engine in slow start gets, where `n` requests of mean work are allowed.
pub fn slow_start_bound(n: f64) -> f64 {
    if n < 30.0 {
        n + 3.0 * n.sqrt() + 3.0
    } else {
        n + 2.0 * n.sqrt() + 2.0
    }
}

/// The worst excess of retries over the budget in any window of `span`; `None` where there is none. The platform widens the
/// budget by 15 in 100 and one attempt.
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
        let made = retries[..=index].iter().filter(within).count() as f64;
        let taken = requests.iter().filter(within).count() as f64;
        let excess = made - ((free + share * taken) * 1.15 + 1.0);
        if excess > 0.0 && worst.is_none_or(|known| excess > known) {
            worst = Some(excess);
        }
    }
    worst
}

/// How many violations there are of each rule.
pub fn count_by_rule(violations: &[Violation]) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.rule).or_insert(0) += 1;
    }
    counts
}

#[cfg(test)]
mod tests;
