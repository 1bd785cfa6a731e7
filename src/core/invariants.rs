//! Run-time checks of the rules that the program must never break.
//!
//! Input: requests, first bytes of attempts, and ends of attempts. Output: a counter for each rule, and an error in
//! the log. State: the begun attempts and the retry budget's window.
//!
//! The rules are enforced elsewhere: the send guard and the policy decide what is sent, the coordinator gives final
//! responses, the fronts close sessions. The [`InvariantMonitor`] takes the inputs of each rule from there
//! ([`RetryRule`], the limit of the retry budget), but compares them with records of its own, so that a fault in the
//! enforcing code cannot hide itself. A violation changes no behaviour.

use super::request::format_request_id;
use sprucelink_metrics::{Counter, Metrics};
use sprucelink_policy::{Effect, RetryBudgetSettings, RetryRule, Settings, TimeDelta, Timestamp};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use tracing::error;

/// Time by which an engine's deadline may exceed its client's, as the platform allows.
const DEADLINE_SLACK: TimeDelta = TimeDelta::from_millis(150);
/// Time that the platform's protocol adds to the drain grace.
const DRAIN_SLACK: TimeDelta = TimeDelta::from_millis(50);
/// Limit on the kept events of one kind in the retry budget's window; the oldest are dropped first.
const MAX_WINDOW_EVENTS: usize = 65_536;
/// Limit on the violations logged in one [`LOG_WINDOW`]; all are counted.
const MAX_LOGGED: u32 = 20;
/// Time for which [`MAX_LOGGED`] applies.
const LOG_WINDOW: TimeDelta = TimeDelta::from_secs(10);

/// A rule whose violations are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A request has one final response.
    SecondResponse,
    /// Nothing is sent for a request after its final response, or once its client has disconnected.
    SendAfterEnd,
    /// A request has one attempt in flight at a time.
    ConcurrentAttempt,
    /// Nothing new is sent to an engine that has been draining or gone for the drain's grace.
    SendToUnlisted,
    /// A request that may have run is retried only as its class allows.
    UnsafeRetry,
    /// Retries stay within the budget in every window.
    RetryBudget,
    /// The deadline sent to an engine is no later than its client's.
    LateDeadline,
    /// A request that was read is answered before this process closes its connection.
    ClosedUnanswered,
    /// No request that a client waits for is pending when the process ends.
    PendingAtExit,
}

impl Invariant {
    /// All of them.
    pub const ALL: [Invariant; 9] = [
        Invariant::SecondResponse,
        Invariant::SendAfterEnd,
        Invariant::ConcurrentAttempt,
        Invariant::SendToUnlisted,
        Invariant::UnsafeRetry,
        Invariant::RetryBudget,
        Invariant::LateDeadline,
        Invariant::ClosedUnanswered,
        Invariant::PendingAtExit,
    ];

    /// The name of its counter, rendered as `edge.invariant.NAME`.
    pub fn counter_name(self) -> &'static str {
        match self {
            Invariant::SecondResponse => "invariant.second_response",
            Invariant::SendAfterEnd => "invariant.send_after_end",
            Invariant::ConcurrentAttempt => "invariant.concurrent_attempt",
            Invariant::SendToUnlisted => "invariant.send_to_unlisted",
            Invariant::UnsafeRetry => "invariant.unsafe_retry",
            Invariant::RetryBudget => "invariant.retry_budget",
            Invariant::LateDeadline => "invariant.late_deadline",
            Invariant::ClosedUnanswered => "invariant.closed_unanswered",
            Invariant::PendingAtExit => "invariant.pending_at_exit",
        }
    }
}

/// An attempt whose first byte is sent now.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAttempt {
    /// Its request.
    pub(super) id: u64,
    /// Its number among the request's attempts, from 0.
    pub(super) attempt: u32,
    /// The index of the request's class.
    pub(super) class: usize,
    /// The request has no final response, and its client is present.
    pub(super) request_is_awaited: bool,
    /// When the client stops waiting.
    pub(super) deadline: Timestamp,
    /// The time left that was sent to the engine.
    pub(super) sent_time_left: TimeDelta,
    /// When its engine ceased to be ready; `None` if it is ready.
    pub(super) unlisted_since: Option<Timestamp>,
    /// Retries that other managers leave to this one.
    pub(super) spare_retries: f64,
}

/// The record of a request with an attempt that was begun.
#[derive(Clone, Copy, Debug)]
struct BegunRequest {
    /// The attempt in flight: its number, and when its first byte was sent.
    in_flight: Option<(u32, Timestamp)>,
    /// When the first attempt that may have run was begun.
    may_have_run_since: Option<Timestamp>,
}

/// Checks what is sent and answered against the rules, and counts violations.
pub(super) struct InvariantMonitor {
    counters: BTreeMap<Invariant, Counter>,
    violations: Cell<u64>,
    logged_since: Cell<Timestamp>,
    logged: Cell<u32>,
    drain_grace: TimeDelta,
    /// By class: its effect and deduplication window. The check compares them itself.
    retry_rules: Vec<RetryRule>,
    retry_budget: Option<RetryBudgetSettings>,
    /// Times of requests, and of retries at their first byte, in the budget's window. They are kept apart from the send
    /// guard's window, so that a fault in that one shows here.
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
    /// Requests with an attempt that was begun. Bounded by the pending requests.
    begun: BTreeMap<u64, BegunRequest>,
}

impl InvariantMonitor {
    /// A monitor of these settings that counts in these metrics.
    pub(super) fn new(settings: &Settings, metrics: &Metrics) -> InvariantMonitor {
        let counter = |name| metrics.counter(name).unwrap_or_else(|_| Counter::noop());
        InvariantMonitor {
            counters: Invariant::ALL.iter().map(|rule| (*rule, counter(rule.counter_name()))).collect(),
            violations: Cell::new(0),
            logged_since: Cell::new(Timestamp::ZERO),
            logged: Cell::new(0),
            drain_grace: settings.drain_grace,
            retry_rules: settings.classes.iter().map(RetryRule::of_class).collect(),
            retry_budget: settings.retry_budget,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            begun: BTreeMap::new(),
        }
    }

    /// Violations so far.
    #[cfg(test)]
    pub(super) fn violations(&self) -> u64 {
        self.violations.get()
    }

    /// Counts a violation and logs it. `detail`: ids and values.
    pub(super) fn record_violation(&self, now: Timestamp, rule: Invariant, detail: &str) {
        self.violations.set(self.violations.get() + 1);
        if let Some(counter) = self.counters.get(&rule) {
            counter.increment(1);
        }
        if now - self.logged_since.get() > LOG_WINDOW {
            self.logged_since.set(now);
            self.logged.set(0);
        }
        if self.logged.get() < MAX_LOGGED {
            self.logged.set(self.logged.get() + 1);
            error!(?rule, detail, "invariant violated");
        }
    }

    /// Records a new request.
    pub(super) fn record_request(&mut self, now: Timestamp) {
        if let Some(budget) = self.retry_budget {
            record_event(&mut self.requests, now, budget.window);
        }
    }

    /// Checks an attempt whose first byte is about to be sent. A further call for the same attempt does nothing.
    pub(super) fn record_first_byte(&mut self, now: Timestamp, sent: &SentAttempt) {
        let before = self.begun.get(&sent.id).copied();
        let in_flight = before.and_then(|begun| begun.in_flight);
        if in_flight.is_some_and(|(attempt, _)| attempt == sent.attempt) {
            return;
        }
        let name = format_request_id(sent.id);
        if in_flight.is_some() {
            self.record_violation(now, Invariant::ConcurrentAttempt, &name);
        }
        self.check_state(now, sent, &name);
        let may_have_run_since = before.and_then(|begun| begun.may_have_run_since);
        self.check_effect(now, sent, may_have_run_since, &name);
        if sent.attempt > 0 {
            self.check_budget(now, sent.spare_retries, &name);
        }
        let in_flight = Some((sent.attempt, now));
        self.begun.insert(sent.id, BegunRequest { in_flight, may_have_run_since });
    }

    /// Records the end of an attempt. If it was begun it may have run, unless `never_ran`.
    pub(super) fn record_end(&mut self, id: u64, attempt: u32, never_ran: bool) {
        let Some(begun) = self.begun.get_mut(&id) else { return };
        let Some((_, began_at)) = begun.in_flight.take_if(|(begun, _)| *begun == attempt) else { return };
        if !never_ran {
            begun.may_have_run_since.get_or_insert(began_at);
        }
    }

    /// Drops the record of a request that has its final response and no attempt in flight.
    pub(super) fn forget(&mut self, id: u64) {
        self.begun.remove(&id);
    }

    fn check_state(&self, now: Timestamp, sent: &SentAttempt, name: &str) {
        if !sent.request_is_awaited {
            self.record_violation(now, Invariant::SendAfterEnd, name);
        }
        let engine_deadline = now + sent.sent_time_left;
        if engine_deadline > sent.deadline + DEADLINE_SLACK {
            let excess_ms = (engine_deadline - sent.deadline).as_millis();
            let detail = format!("{name}: {excess_ms} ms more than its client has left");
            self.record_violation(now, Invariant::LateDeadline, &detail);
        }
        if let Some(since) = sent.unlisted_since.filter(|since| now - *since > self.drain_grace + DRAIN_SLACK)
        {
            let detail = format!("{name}: {} ms after the list", (now - since).as_millis());
            self.record_violation(now, Invariant::SendToUnlisted, &detail);
        }
    }

    fn check_effect(&self, now: Timestamp, sent: &SentAttempt, may_have_run: Option<Timestamp>, name: &str) {
        let Some(since) = may_have_run else { return };
        let Some(rule) = self.retry_rules.get(sent.class) else { return };
        let is_allowed = match rule.effect() {
            Effect::Safe => true,
            Effect::Keyed => now - since < rule.dedup_window(),
            Effect::Unsafe => false,
        };
        if !is_allowed {
            self.record_violation(now, Invariant::UnsafeRetry, name);
        }
    }

    fn check_budget(&mut self, now: Timestamp, spare_retries: f64, name: &str) {
        let Some(budget) = self.retry_budget else { return };
        record_event(&mut self.retries, now, budget.window);
        forget_before(&mut self.requests, now - budget.window);
        let allowed = budget.max_retries(self.requests.len() as u64, spare_retries);
        if self.retries.len() as f64 > allowed {
            let detail = format!("{name}: {} retries, {allowed:.1} allowed", self.retries.len());
            self.record_violation(now, Invariant::RetryBudget, &detail);
        }
    }
}

/// Adds an event to a window that ends now.
fn record_event(events: &mut VecDeque<Timestamp>, now: Timestamp, span: TimeDelta) {
    forget_before(events, now - span);
    if events.len() >= MAX_WINDOW_EVENTS {
        events.pop_front();
    }
    events.push_back(now);
}

fn forget_before(events: &mut VecDeque<Timestamp>, start: Timestamp) {
    while events.front().is_some_and(|at| *at < start) {
        events.pop_front();
    }
}

#[cfg(test)]
mod tests;
