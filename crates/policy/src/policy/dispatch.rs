//! Dispatch of attempts and final responses: only `send` forwards an attempt, and only `respond` gives a
//! response that does not come from an engine.

use crate::actions::Action;
use crate::engine_eligibility::is_eligible;
use crate::engine_health::OVERDUE_MULTIPLE;
use crate::engine_selection::{select_engine, CapacityCheck};
use crate::final_response::{retry_after, FinalResponse};
use crate::ids::{EngineId, Level, RequestId};
use crate::policy::Policy;
use crate::request::{Attempt, Request};
use crate::request_queue::QueuePosition;
use crate::retry::{RetryDecision, RetryRule};
use crate::slow_start::SlowStartLimits;
use sprucelink_time::TimeDelta;

/// Maximum number of queued requests that are considered for dispatch after one event; further requests wait
/// for the next event.
const MAX_CONSIDERED_PER_EVENT: usize = 200;
/// Minimum expected latency of an attempt, seconds.
const MIN_EXPECTED_LATENCY_SECS: f64 = 0.05;

impl Policy {
    /// Sends queued requests for which engines have capacity, in the order of the queue.
    pub(super) fn dispatch_queued(&mut self, out: &mut Vec<Action>) {
        for (position, id) in self.queue.first(MAX_CONSIDERED_PER_EVENT) {
            self.try_dispatch(position, id, out);
        }
    }

    /// Sends a request that was just queued, if an engine has capacity.
    pub(super) fn dispatch_new_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(request) = self.requests.get(&id) {
            self.try_dispatch(QueuePosition::of(request), id, out);
        }
    }

    fn try_dispatch(&mut self, position: QueuePosition, id: RequestId, out: &mut Vec<Action>) {
        // The number is drawn even if it is not used, so that the random numbers of other requests do not
        // depend on this request.
        let random_unit = self.random.next_unit();
        let Some(request) = self.requests.get(&id) else { return };
        if !self.is_next_of_key(id, request) || !self.is_within_retry_budget(request) {
            return;
        }
        self.sample_candidates(id, out);
        let Some(request) = self.requests.get(&id) else { return };
        let is_waiting_for_probes = self.now < request.probes_until;
        if is_waiting_for_probes {
            return;
        }
        self.explain_draw(id, random_unit, out);
        let engine = select_engine(&self.fleet(), request, CapacityCheck::Required, random_unit);
        if engine.is_some_and(|engine| self.send(id, engine, out)) {
            self.queue.remove(position);
        }
    }

    fn is_next_of_key(&self, id: RequestId, request: &Request) -> bool {
        self.key_order.is_next(self.now, id, request.key.as_deref())
    }

    /// Whether the retry budget allows the request's next attempt; it does not apply to first attempts.
    fn is_within_retry_budget(&self, request: &Request) -> bool {
        request.attempts == 0 || self.has_retry_budget()
    }

    pub(super) fn has_retry_budget(&self) -> bool {
        let settings = &self.settings;
        self.retry_budget.has_capacity(self.now, settings.retry_budget.as_ref(), settings.spare_retries)
    }

    /// Decides whether the retry rule allows a further attempt, without regard to the retry budget.
    pub(super) fn decide_retry(&self, request: &Request) -> RetryDecision {
        let rule = RetryRule::of_class(&self.settings.classes[request.class]);
        rule.decide(self.now, &request.history(), self.settings.max_attempts)
    }

    /// Whether the retry rule and the retry budget allow a further attempt of the request now.
    pub(super) fn may_retry_now(&self, request: &Request) -> bool {
        self.decide_retry(request).is_allowed() && self.has_retry_budget()
    }

    /// Whether every rule allows an attempt on an engine now.
    fn may_send(&self, id: RequestId, request: &Request, engine: EngineId) -> bool {
        let is_open = !request.is_answered && request.in_flight.is_none();
        is_open
            && self.decide_retry(request).is_allowed()
            && self.is_within_retry_budget(request)
            && self.is_next_of_key(id, request)
            && is_eligible(&self.fleet(), request, &self.engines[engine])
    }

    /// Sends an attempt to an engine. Returns `false` if a rule forbids the attempt. Every attempt is sent by
    /// this function.
    fn send(&mut self, id: RequestId, engine: EngineId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        if !self.may_send(id, request, engine) {
            return false;
        }
        let terms = self.execution_terms(id, request);
        let expected_secs = self.expected_latency_secs(request).max(MIN_EXPECTED_LATENCY_SECS);
        self.charge_send(id, engine, expected_secs);
        if self.settings.priorities || self.settings.grants {
            out.push(terms);
        }
        out.push(Action::ForwardAttempt { id, timeout: None, engine });
        true
    }

    /// Charges a sent attempt to its engine and zone, to this manager's own load and to the retry budget.
    fn charge_send(&mut self, id: RequestId, engine_id: EngineId, expected_latency_secs: f64) {
        let limits = SlowStartLimits::new(self.now, self.started_at, &self.settings, &self.estimates);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = &self.settings.classes[request.class];
        let charge = limits.charge(class, &self.estimates[request.class]);
        let threads = class.threads;
        if request.attempts > 0 {
            self.retry_budget.record_retry(self.now, self.settings.retry_budget.as_ref());
        }
        self.own_load.add(threads);
        let engine = &mut self.engines[engine_id];
        engine.charge_send(self.now, threads, charge, request.table_group, &self.settings);
        self.outliers.record_send(self.now, engine.zone());
        request.in_flight = Some(Attempt {
            engine: engine_id,
            number: request.attempts,
            sent_at: self.now,
            last_progress: self.now,
            expected_latency_secs,
            is_cancelled: false,
            next_overdue_multiple: OVERDUE_MULTIPLE,
        });
        request.attempts += 1;
        request.last_engine = Some(engine_id);
    }

    /// The level of a request and, if engines obey memory grants, its grant.
    pub(super) fn execution_terms(&self, id: RequestId, request: &Request) -> Action {
        let estimated_mb = request.memory_mb.filter(|_| self.settings.grants);
        let grant = &self.grants[request.class];
        let grant_mb = estimated_mb.map(|mb| grant.grant_mb(mb, self.settings.memory_short));
        Action::SetExecutionTerms { id, grant_mb, level: Level(request.level as u8) }
    }

    /// Currently expected latency of an attempt of the request, seconds.
    pub(super) fn expected_latency_secs(&self, request: &Request) -> f64 {
        let threads = self.settings.classes[request.class].threads;
        self.estimates[request.class].expected_latency_secs(request.cost, threads)
    }

    /// Time that this manager's share of the cores needs for the queued work, seconds.
    pub(super) fn queue_delay_secs(&self) -> f64 {
        self.share().delay_secs(self.queue.total_queued_work())
    }

    /// Gives a request its final response, unless the request has one.
    pub(super) fn respond(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_answered) else { return };
        self.explain_response(id, out);
        let may_have_run = request.in_flight.is_some() || request.first_may_have_run.is_some();
        let response = FinalResponse::choose(&self.settings.classes[request.class], may_have_run);
        out.push(response.into_action(id, self.retry_after(request)));
        self.finish(id, out);
    }

    fn retry_after(&self, request: &Request) -> TimeDelta {
        let wait_secs = self.prices.wait_secs(request.class, request.level);
        retry_after(wait_secs, self.queue_delay_secs(), self.settings.max_retry_after)
    }

    /// Ends a request that has its response or whose client has disconnected. An attempt in flight is
    /// cancelled, and the request is removed when that attempt ends.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_answered = true;
        self.queue.remove(QueuePosition::of(request));
        if request.in_flight.is_some() {
            return self.cancel(id, out);
        }
        if let Some(key) = &request.key {
            self.key_order.leave(key, id);
        }
        self.requests.remove(&id);
    }
}
