//! Run-time checks of the rules that the program must never break.
//!
//! Input: requests, first bytes of attempts, and ends of attempts. Output: a counter for each rule, and an
//! error in the log. State: the attempts whose first byte was sent, and the retry budget's window.
//!
//! The rules are enforced elsewhere: the send guard and the policy decide what is sent, the coordinator gives
//! final responses, the fronts close sessions. The [`InvariantMonitor`] takes the inputs of each rule from
//! there ([`RetryRule`], the limit of the retry budget), but compares them with records of its own, so that a
//! fault in the enforcing code cannot hide itself. A violation changes no behaviour.

use super::request::format_request_id;
use sprucelink_metrics::{Counter, Metrics};
use sprucelink_policy::{Effect, RetryBudgetSettings, RetryRule, Settings, TimeDelta, Timestamp};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use tracing::error;

/// Time by which the platform allows the deadline given to an engine to exceed the client's.
const DEADLINE_SLACK: TimeDelta = TimeDelta::from_millis(150);
/// Time that the platform's protocol allows in addition to the drain grace.
const DRAIN_SLACK: TimeDelta = TimeDelta::from_millis(50);
/// Limit on the recorded events of one kind in the retry budget's window; the oldest are dropped first.
const MAX_WINDOW_EVENTS: usize = 65_536;
/// Limit on the violations logged in one [`LOG_WINDOW`]; all are counted.
const MAX_LOGGED: u32 = 20;
/// Window to which [`MAX_LOGGED`] applies.
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
    /// No attempt is sent to an engine that has been draining or gone for longer than the drain grace.
    SendToUnlisted,
    /// A request that may have run is retried only if its class allows it.
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
    /// All invariants, in the order of declaration.
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

    /// Name of the invariant's counter, which the metrics render as `edge.invariant.NAME`.
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

/// An attempt whose first byte is about to be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAttempt {
    /// Id of the request.
    pub(super) id: u64,
    /// Number of the attempt among its request's attempts, from 0.
    pub(super) attempt: u32,
    /// Index of the request's class.
    pub(super) class: usize,
    /// Whether the request has no final response and its client is still connected.
    pub(super) request_is_awaited: bool,
    /// Time at which the client stops waiting.
    pub(super) deadline: Timestamp,
    /// Time left until the deadline, as given to the engine in the command.
    pub(super) sent_time_left: TimeDelta,
    /// Time at which the engine ceased to be ready; `None` if it is ready.
    pub(super) unlisted_since: Option<Timestamp>,
    /// Retries that the other managers leave to this manager, in addition to its own retry budget.
    pub(super) spare_retries: f64,
}

/// A request with at least one attempt whose first byte was sent.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    /// The attempt in flight: its number, and the time at which its first byte was sent.
    in_flight: Option<(u32, Timestamp)>,
    /// Time at which the first byte of the first attempt that may have run was sent.
    may_have_run_since: Option<Timestamp>,
}

/// Checks attempts, retries and responses against the rules, and counts violations.
pub(super) struct InvariantMonitor {
    counters: BTreeMap<Invariant, Counter>,
    violations: Cell<u64>,
    logged_since: Cell<Timestamp>,
    logged: Cell<u32>,
    drain_grace: TimeDelta,
    /// Effect and deduplication window of each class. The monitor compares them itself and doesn't call
    /// [`RetryRule::is_retry_harmless`].
    retry_rules: Vec<RetryRule>,
    retry_budget: Option<RetryBudgetSettings>,
    /// Times of requests, and of retries at their first byte, in the budget's window. They are kept apart
    /// from the send guard's window, so that a fault in that window is detected.
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
    /// Requests with an attempt whose first byte was sent, by id. Bounded by the pending requests.
    sent_requests: BTreeMap<u64, SentRequest>,
}

impl InvariantMonitor {
    /// Creates a monitor that checks the rules of `settings` and counts violations in `metrics`.
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
            sent_requests: BTreeMap::new(),
        }
    }

    /// Number of violations of all rules so far.
    #[cfg(test)]
    pub(super) fn violations(&self) -> u64 {
        self.violations.get()
    }

    /// Counts a violation and logs it. `detail`: ids and values for the log.
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

    /// Checks an attempt whose first byte is about to be sent. A further call for the same attempt does
    /// nothing.
    pub(super) fn record_first_byte(&mut self, now: Timestamp, sent: &SentAttempt) {
        let before = self.sent_requests.get(&sent.id).copied();
        let in_flight = before.and_then(|request| request.in_flight);
        if in_flight.is_some_and(|(attempt, _)| attempt == sent.attempt) {
            return;
        }
        let name = format_request_id(sent.id);
        if in_flight.is_some() {
            self.record_violation(now, Invariant::ConcurrentAttempt, &name);
        }
        self.check_state(now, sent, &name);
        let may_have_run_since = before.and_then(|request| request.may_have_run_since);
        self.check_effect(now, sent, may_have_run_since, &name);
        if sent.attempt > 0 {
            self.check_budget(now, sent.spare_retries, &name);
        }
        let in_flight = Some((sent.attempt, now));
        self.sent_requests.insert(sent.id, SentRequest { in_flight, may_have_run_since });
    }

    /// Records the end of an attempt. If its first byte was sent, the attempt may have run, unless
    /// `never_ran`.
    pub(super) fn record_end(&mut self, id: u64, attempt: u32, never_ran: bool) {
        let Some(request) = self.sent_requests.get_mut(&id) else { return };
        let Some((_, sent_at)) = request.in_flight.take_if(|(number, _)| *number == attempt) else { return };
        if !never_ran {
            request.may_have_run_since.get_or_insert(sent_at);
        }
    }

    /// Drops the record of a request that has its final response and no attempt in flight.
    pub(super) fn forget(&mut self, id: u64) {
        self.sent_requests.remove(&id);
    }

    fn check_state(&self, now: Timestamp, sent: &SentAttempt, name: &str) {
        if !sent.request_is_awaited {
            self.record_violation(now, Invariant::SendAfterEnd, name);
        }
        let engine_deadline = now + sent.sent_time_left;
        if engine_deadline > sent.deadline + DEADLINE_SLACK {
            let excess_ms = (engine_deadline - sent.deadline).as_millis();
            let detail = format!("{name}: engine deadline {excess_ms} ms after the client's");
            self.record_violation(now, Invariant::LateDeadline, &detail);
        }
        if let Some(since) = sent.unlisted_since.filter(|since| now - *since > self.drain_grace + DRAIN_SLACK)
        {
            let detail =
                format!("{name}: sent {} ms after the engine ceased to be ready", (now - since).as_millis());
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
