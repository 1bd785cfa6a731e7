//! Expectations of a case: counts and times that are known only when the replay ends.

use super::Rule;
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::{EngineId, RequestId, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1e3;

/// Counts and times of a replay, for the rules that are expectations.
pub(super) struct Expectations {
    start: Timestamp,
    /// A counter for each [`Rule::ForwardedAttempts`], in the order of the rules.
    attempt_counters: Vec<AttemptCounter>,
    /// Number of requests that the policy rejected or failed.
    rejected_requests: usize,
    /// Time of the first ejection of each engine, by its number.
    ejected_at: BTreeMap<u32, Timestamp>,
}

/// Counts the attempts that one rule is about.
struct AttemptCounter {
    /// The rule, which is always a [`Rule::ForwardedAttempts`].
    rule: Rule,
    attempts: usize,
}

impl AttemptCounter {
    /// Whether the rule counts an attempt on engine `target` that is forwarded `elapsed_ms` after the
    /// checkpoint.
    fn counts(&self, elapsed_ms: f64, id: RequestId, target: EngineId) -> bool {
        let Rule::ForwardedAttempts { engine, request, from_ms, until_ms, .. } = &self.rule else {
            return false;
        };
        engine.is_none_or(|engine| engine == target.0)
            && request.as_ref().is_none_or(|request| *request == format!("{:016x}", id.0))
            && elapsed_ms >= *from_ms
            && until_ms.is_none_or(|until_ms| elapsed_ms <= until_ms)
    }
}

impl Expectations {
    /// Starts counting for a replay that begins with `engines` at `start`.
    pub(super) fn new(rules: &[Rule], engines: &[EngineView], start: Timestamp) -> Expectations {
        let counted_rules = rules.iter().filter(|rule| matches!(rule, Rule::ForwardedAttempts { .. }));
        let mut expectations = Expectations {
            start,
            attempt_counters: counted_rules
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

    /// The expectations that are not met, each with a description: first those that count attempts, then the
    /// remaining ones.
    pub(super) fn unmet(&self, rules: &[Rule]) -> Vec<(Rule, String)> {
        let counters = self.attempt_counters.iter().filter_map(unmet_count);
        let others = rules.iter().filter_map(|rule| self.unmet_expectation(rule));
        counters.chain(others).collect()
    }

    fn unmet_expectation(&self, rule: &Rule) -> Option<(Rule, String)> {
        match rule {
            Rule::RejectedRequests { min, max } if !is_within(self.rejected_requests, *min, *max) => {
                Some((rule.clone(), format!("{} requests rejected or failed", self.rejected_requests)))
            }
            Rule::EngineEjected { engine, by_ms } => {
                let ejected_ms = self.ejected_at.get(engine).map(|at| to_ms(*at - self.start));
                if ejected_ms.is_some_and(|ms| ms <= *by_ms) {
                    return None;
                }
                let when = ejected_ms.map_or("never".to_owned(), |ms| format!("after {ms} ms"));
                Some((rule.clone(), format!("engine {engine} was ejected {when}")))
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

/// A time span in milliseconds, with its fraction.
pub(super) fn to_ms(span: TimeDelta) -> f64 {
    span.as_micros() as f64 / MICROS_PER_MILLI
}
