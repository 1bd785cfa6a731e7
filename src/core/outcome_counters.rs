//! Counters of the ends and withdrawals of attempts and of unserved requests, by outcome or reason, for the
//! admin address.
//!
//! Input: the end or withdrawal of an attempt, and the final response to a request. Output: counters in the
//! metrics, whose names are defined in this module. State: only the counters.

use super::attempt::AttemptOutcome;
use super::request::{Response, UnservedReason};
use super::send_guard::SendRejection;
use sprucelink_metrics::{Counter, Metrics};
use std::collections::BTreeMap;

/// The outcomes of attempts, and the names of their counters.
const OUTCOMES: [(AttemptOutcome, &str); 9] = [
    (AttemptOutcome::Served, "attempts.ended.served"),
    (AttemptOutcome::EngineError, "attempts.ended.engine_error"),
    (AttemptOutcome::Overloaded, "attempts.ended.overloaded"),
    (AttemptOutcome::Expired, "attempts.ended.expired"),
    (AttemptOutcome::Unreachable, "attempts.ended.unreachable"),
    (AttemptOutcome::ConnectionBroken, "attempts.ended.connection_broken"),
    (AttemptOutcome::ConnectionClosed, "attempts.ended.connection_closed"),
    (AttemptOutcome::Cancelled, "attempts.ended.cancelled"),
    (AttemptOutcome::NeverRan, "attempts.ended.never_ran"),
];
/// The reasons why attempts are withdrawn before their first byte, and the names of their counters.
const WITHDRAWALS: [(SendRejection, &str); 6] = [
    (SendRejection::RequestOver, "attempts.withdrawn.request_over"),
    (SendRejection::DeadlinePassed, "attempts.withdrawn.deadline_passed"),
    (SendRejection::EngineNotReady, "attempts.withdrawn.engine_not_ready"),
    (SendRejection::NotRetryable, "attempts.withdrawn.not_retryable"),
    (SendRejection::RetryBudgetSpent, "attempts.withdrawn.retry_budget_spent"),
    (SendRejection::NoBuffer, "attempts.withdrawn.no_buffer"),
];
/// The reasons why requests are rejected, and the names of their counters.
const REJECTIONS: [(UnservedReason, &str); 2] = [
    (UnservedReason::Overloaded, "responses.rejected.overloaded"),
    (UnservedReason::DeadlineExceeded, "responses.rejected.deadline_exceeded"),
];
/// The reasons why requests fail, and the names of their counters.
const FAILURES: [(UnservedReason, &str); 5] = [
    (UnservedReason::Overloaded, "responses.failed.given_up"),
    (UnservedReason::DeadlineExceeded, "responses.failed.deadline_exceeded"),
    (UnservedReason::EngineError, "responses.failed.engine_error"),
    (UnservedReason::ConnectionLost, "responses.failed.connection_lost"),
    (UnservedReason::Unreachable, "responses.failed.unreachable"),
];

/// Counters of attempts by outcome or reason for withdrawal, and of unserved requests by reason.
pub(super) struct OutcomeCounters {
    counters: BTreeMap<&'static str, Counter>,
}

impl OutcomeCounters {
    /// Creates the counters in `metrics`, all at zero.
    pub(super) fn new(metrics: &Metrics) -> OutcomeCounters {
        let names = OUTCOMES.iter().map(|(_, name)| *name);
        let names = names.chain(WITHDRAWALS.iter().map(|(_, name)| *name));
        let names = names.chain(REJECTIONS.iter().chain(&FAILURES).map(|(_, name)| *name));
        let counter = |name| (name, metrics.counter(name).unwrap_or_else(|_| Counter::noop()));
        OutcomeCounters { counters: names.map(counter).collect() }
    }

    /// Counts the end of an attempt by its outcome.
    pub(super) fn record_end(&self, outcome: AttemptOutcome) {
        self.increment(&OUTCOMES, outcome);
    }

    /// Counts an attempt that the send guard rejected just before its first byte, by the reason.
    pub(super) fn record_withdrawal(&self, reason: SendRejection) {
        self.increment(&WITHDRAWALS, reason);
    }

    /// Counts a rejection or failure by its reason; a served response is not counted.
    pub(super) fn record_response(&self, response: &Response) {
        match response {
            Response::Served(_) => {}
            Response::Rejected { reason, .. } => self.increment(&REJECTIONS, *reason),
            Response::Failed { reason, .. } => self.increment(&FAILURES, *reason),
        }
    }

    fn increment<T: PartialEq>(&self, names: &[(T, &'static str)], value: T) {
        let name = names.iter().find(|(known, _)| *known == value).map(|(_, name)| name);
        if let Some(counter) = name.and_then(|name| self.counters.get(name)) {
            counter.increment(1);
        }
    }
}
