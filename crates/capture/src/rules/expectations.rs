//! A case's own expectations: counts and times that are known only when the replay ends.

use super::Rule;
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::{EngineId, RequestId, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1e3;

/// What a replay is counted by.
pub(super) struct Expectations {
    start: Timestamp,
    /// Attempts counted by each [`Rule::ForwardedAttempts`], in the order of the rules.
    attempt_counters: Vec<AttemptCounter>,
    rejected_requests: usize,
    /// When each engine was ejected first, by number.
    ejected_at: BTreeMap<u32, Timestamp>,
}

/// The attempts that one rule counts.
struct AttemptCounter {
    rule: Rule,
    attempts: usize,
}

impl AttemptCounter {
    /// Whether the rule counts an attempt that is forwarded this many milliseconds after the checkpoint.
    fn counts(&self, elapsed_ms: f64, id: RequestId, to: EngineId) -> bool {
        let Rule::ForwardedAttempts { engine, request, from_ms, until_ms, .. } = &self.rule else {
            return false;
        };
        engine.is_none_or(|engine| engine == to.0)
            && request.as_ref().is_none_or(|request| *request == format!("{:016x}", id.0))
            && elapsed_ms >= *from_ms
            && until_ms.is_none_or(|until_ms| elapsed_ms <= until_ms)
    }
}

impl Expectations {
    /// Expectations of a replay that begins with these engines at this time.
    pub(super) fn new(rules: &[Rule], engines: &[EngineView], start: Timestamp) -> Expectations {
        let counted = rules.iter().filter(|rule| matches!(rule, Rule::ForwardedAttempts { .. }));
        let mut expectations = Expectations {
            start,
            attempt_counters: counted
                .map(|rule| AttemptCounter { rule: rule.clone(), attempts: 0 })
                .collect(),
            rejected_requests: 0,
            ejected_at: BTreeMap::new(),
        };
        expectations.add_ejected_engines(start, engines);
        expectations
    }

    pub(super) fn add_rejected_request(&mut self) {
        self.rejected_requests += 1;
    }

    pub(super) fn add_ejected_engines(&mut self, now: Timestamp, engines: &[EngineView]) {
        for engine in engines.iter().filter(|engine| engine.ejected) {
            self.ejected_at.entry(engine.engine).or_insert(now);
        }
    }

    pub(super) fn add_attempt(&mut self, now: Timestamp, id: RequestId, engine: EngineId) {
        let elapsed_ms = to_ms(now - self.start);
        for counter in &mut self.attempt_counters {
            if counter.counts(elapsed_ms, id, engine) {
                counter.attempts += 1;
            }
        }
    }

    /// The rules whose expectation is not met, and why: first those that count attempts, then the others.
    pub(super) fn unmet(&self, rules: &[Rule]) -> Vec<(Rule, String)> {
        let counters = self.attempt_counters.iter().filter_map(unmet_count);
        let others = rules.iter().filter_map(|rule| self.unmet_expectation(rule));
        counters.chain(others).collect()
    }

    fn unmet_expectation(&self, rule: &Rule) -> Option<(Rule, String)> {
        match rule {
            Rule::RejectedRequests { min, max } if !is_within(self.rejected_requests, *min, *max) => {
                Some((rule.clone(), format!("{} turned away", self.rejected_requests)))
            }
            Rule::EngineEjected { engine, by_ms } => {
                let ejected_ms = self.ejected_at.get(engine).map(|at| to_ms(*at - self.start));
                if ejected_ms.is_some_and(|ms| ms <= *by_ms) {
                    return None;
                }
                let when = ejected_ms.map_or("never".to_owned(), |ms| format!("after {ms} ms"));
                Some((rule.clone(), format!("engine {engine} was distrusted {when}")))
            }
            _ => None,
        }
    }
}

fn unmet_count(counter: &AttemptCounter) -> Option<(Rule, String)> {
    let Rule::ForwardedAttempts { min, max, .. } = &counter.rule else { return None };
    if is_within(counter.attempts, *min, *max) {
        return None;
    }
    Some((counter.rule.clone(), format!("{} sends", counter.attempts)))
}

fn is_within(count: usize, min: usize, max: Option<usize>) -> bool {
    count >= min && max.is_none_or(|max| count <= max)
}

/// A span in milliseconds, with its fraction.
pub(super) fn to_ms(span: TimeDelta) -> f64 {
    span.as_micros() as f64 / MICROS_PER_MILLI
}
