//! Run-time checks of the rules that the program must never break.
//!
//! Input: requests, first bytes of attempts, and ends of attempts. Output: a counter for each rule, and an
//! error in the log. State: the attempts whose first byte was sent, and the retry budget's window.
//!
//! The rules are enforced elsewhere: the send guard and the policy decide what is sent, the coordinator gives
//! final responses, the fronts close sessions. The [`InvariantMonitor`] uses the same parameters as the
//! enforcing code ([`RetryRule`], the limit of the retry budget), but compares them with its own records, so
//! that a fault in the enforcing code is detected. A violation is counted and logged, and changes no
//! behaviour.

use super::request::format_request_id;
use sprucelink_metrics::{Counter, Metrics};
use sprucelink_policy::{Effect, RetryBudgetSettings, RetryRule, Settings, TimeDelta, Timestamp};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use tracing::error;

/// Time by which the platform allows the deadline given to an engine to exceed the client's deadline.
const DEADLINE_SLACK: TimeDelta = TimeDelta::from_millis(150);
/// Time after the drain grace within which the platform's protocol still allows an attempt to be sent to a
/// draining engine.
const DRAIN_SLACK: TimeDelta = TimeDelta::from_millis(50);
/// Limit on the recorded requests, and on the recorded retries, in the retry budget's window; the oldest are
/// dropped first.
const MAX_WINDOW_EVENTS: usize = 65_536;
/// Limit on the violations that are logged in one [`LOG_WINDOW`]; all violations are counted.
const MAX_LOGGED: u32 = 20;
/// Length of the window to which [`MAX_LOGGED`] applies.
const LOG_WINDOW: TimeDelta = TimeDelta::from_secs(10);

/// A rule whose violations are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// A request has at most one final response.
    SecondResponse,
    /// Nothing is sent for a request after its final response, or once its client has disconnected.
    SendAfterEnd,
    /// A request has at most one attempt in flight at a time.
    ConcurrentAttempt,
    /// No attempt is sent to an engine that has been draining, gone or cordoned for longer than the drain
    /// grace.
    SendToUnlisted,
    /// A request that may have run is retried only if its class allows a retry.
    UnsafeRetry,
    /// In every window, the number of retries stays within the retry budget.
    RetryBudget,
    /// The deadline sent to an engine is no later than the client's deadline, up to a slack.
    LateDeadline,
    /// A request that was read from a client's connection is answered before this process closes the
    /// connection.
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
    /// Time at which the client stops waiting for a response.
    pub(super) deadline: Timestamp,
    /// Time left until the deadline, as given to the engine in the command.
    pub(super) sent_time_left: TimeDelta,
    /// Time at which the engine ceased to be listed as ready or was cordoned; `None` if it is ready.
    pub(super) not_ready_since: Option<Timestamp>,
    /// Retries that this manager may make in the retry budget's window beyond its own budget.
    pub(super) spare_retries: f64,
}

/// A request with at least one attempt whose first byte was sent.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    /// The attempt in flight: its number, and the time at which its first byte was sent.
    in_flight: Option<(u32, Timestamp)>,
    /// Time at which the first byte of the first attempt that may have run was sent; `None` if none may have
    /// run.
    may_have_run_since: Option<Timestamp>,
}

/// Checks attempts, retries and responses against the rules, and counts violations.
pub(super) struct InvariantMonitor {
    counters: BTreeMap<Invariant, Counter>,
    /// Number of violations of all rules so far.
    violations: Cell<u64>,
    /// Start of the current [`LOG_WINDOW`].
    logged_since: Cell<Timestamp>,
    /// Number of violations logged since `logged_since`.
    logged: Cell<u32>,
    drain_grace: TimeDelta,
    /// Effect and deduplication window of each class, by class index. The monitor evaluates them itself and
    /// does not call [`RetryRule::is_retry_harmless`].
    retry_rules: Vec<RetryRule>,
    retry_budget: Option<RetryBudgetSettings>,
    /// Times of requests in the retry budget's window. The monitor's windows are separate from the send
    /// guard's windows, so that a fault in the send guard is detected.
    requests: VecDeque<Timestamp>,
    /// Times of the first bytes of retries in the retry budget's window.
    retries: VecDeque<Timestamp>,
    /// Requests with an attempt whose first byte was sent, by id. Their number is bounded by the number of
    /// pending requests.
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

    /// Counts a violation, and logs it unless [`MAX_LOGGED`] is reached. `detail`: ids and values for the
    /// log.
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

    /// Records a new request, which increases the retry budget.
    pub(super) fn record_request(&mut self, now: Timestamp) {
        if let Some(budget) = self.retry_budget {
            record_event(&mut self.requests, now, budget.window);
        }
    }

    /// Checks an attempt whose first byte is about to be sent against the rules, and records it as in flight.
    /// A repeated call for the same attempt has no effect.
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

    /// Records the end of an attempt. If its first byte was sent, the attempt counts as one that may have
    /// run, unless `never_ran` is true.
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
        if let Some(since) =
            sent.not_ready_since.filter(|since| now - *since > self.drain_grace + DRAIN_SLACK)
        {
            let detail =
                format!("{name}: sent {} ms after the engine ceased to be ready", (now - since).as_millis());
            self.record_violation(now, Invariant::SendToUnlisted, &detail);
        }
    }

    fn check_effect(
        &self,
        now: Timestamp,
        sent: &SentAttempt,
        may_have_run_since: Option<Timestamp>,
        name: &str,
    ) {
        let Some(since) = may_have_run_since else { return };
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

/// Adds an event at `now` to a window of length `span`, and drops the events that have left the window.
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
