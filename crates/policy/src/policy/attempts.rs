//! Progress notes and ends of attempts: what the module learns from them, and the next step of the request.

use crate::actions::Action;
use crate::attempt_outcome::{may_still_run, next_step, HealthEvidence, NextStep};
use crate::cancellation::is_restart_worthwhile;
use crate::events::{LoadReport, Outcome, ProgressNote, QueryCost};
use crate::ids::RequestId;
use crate::policy::Policy;
use crate::request::Attempt;
use sprucelink_time::TimeDelta;

/// Result of an ended attempt.
pub(super) struct EndedAttempt {
    pub(super) outcome: Outcome,
    /// Time since the attempt was sent.
    pub(super) latency: TimeDelta,
    /// Whether the request is over: its client has the response, or has disconnected.
    pub(super) is_request_over: bool,
    /// Resources that the attempt used; `None` if the engine reported none.
    pub(super) query_cost: Option<QueryCost>,
    /// Load report that came with the answer; empty if there was none.
    pub(super) report: LoadReport,
}

impl Policy {
    pub(super) fn on_progress(
        &mut self,
        id: RequestId,
        number: u32,
        note: ProgressNote,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let in_flight = request.in_flight.as_mut();
        let Some(attempt) = in_flight.filter(|a| a.number == number && !a.is_cancelled) else { return };
        attempt.last_progress = self.now;
        let engine = &mut self.engines[attempt.engine];
        engine.health.record_progress(self.now);
        self.outliers.record_response(self.now, engine.zone());
        match note {
            ProgressNote::Spills(missing_mb) => {
                if let Some(estimated_mb) = request.memory_mb {
                    self.grants[request.class].record_spill(missing_mb, estimated_mb);
                }
            }
            ProgressNote::Progress(fraction_done) => {
                self.cancel_if_restart_is_quicker(id, fraction_done, out)
            }
            ProgressNote::WaitsForMemory | ProgressNote::WaitsForLoad => {}
        }
    }

    fn cancel_if_restart_is_quicker(&mut self, id: RequestId, fraction_done: f64, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(attempt) = &request.in_flight else { return };
        let running = self.running_attempt(request, attempt);
        let new_attempt_secs = self.expected_latency_secs(request);
        let is_restart_quicker = is_restart_worthwhile(&running, fraction_done, new_attempt_secs);
        if is_restart_quicker && self.may_retry_now(request) {
            self.cancel(id, out);
        }
    }

    /// Cancels the attempt in flight, if attempts can be cancelled on engines.
    pub(super) fn cancel(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.explain_cancellation(id, out);
        if !self.settings.cancel {
            return;
        }
        let in_flight = self.requests.get_mut(&id).and_then(|request| request.in_flight.as_mut());
        if let Some(attempt) = in_flight.filter(|attempt| !attempt.is_cancelled) {
            attempt.is_cancelled = true;
            out.push(Action::Cancel { id, attempt: attempt.number });
        }
    }

    pub(super) fn on_attempt_end(
        &mut self,
        id: RequestId,
        number: u32,
        ended: &EndedAttempt,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.in_flight.take_if(|attempt| attempt.number == number) else { return };
        if !ended.outcome.never_ran() {
            request.first_may_have_run.get_or_insert((attempt.sent_at, attempt.engine));
        }
        request.errors += u32::from(ended.outcome == Outcome::EngineError);
        request.is_answered |= ended.is_request_over;
        // The block takes effect in the simulator only: the program passes requests to its policy without a
        // key.
        if let Some(key) = request.key.as_ref().filter(|_| may_still_run(ended.outcome)) {
            self.key_order.block(key, self.now + self.settings.key_settle_time);
        }
        let threads = self.settings.classes[request.class].threads;
        self.record_engine_outcome(&attempt, threads, ended);
        self.record_wait_and_answer(id, &attempt, ended);
        self.continue_after_attempt(id, ended.outcome, out);
    }

    /// Learns from an ended attempt the load and health of its engine and the health of the engine's zone.
    fn record_engine_outcome(&mut self, attempt: &Attempt, threads: f64, ended: &EndedAttempt) {
        self.own_load.remove(threads);
        self.load.record_run(threads, ended.latency.as_secs_f64());
        let engine = &mut self.engines[attempt.engine];
        engine.record_end(threads);
        self.outliers.record_outcome(self.now, engine.zone(), attempt, ended.outcome);
        match HealthEvidence::of(ended.outcome) {
            HealthEvidence::Success => engine.health.record_success(),
            HealthEvidence::Failure => engine.health.record_failure(),
            HealthEvidence::None => {}
        }
        self.on_report(attempt.engine, &ended.report);
        let engine = &mut self.engines[attempt.engine];
        match ended.outcome {
            Outcome::ConnectFailed => {
                engine.record_connect_failure(self.now, self.settings.slow_start_duration);
            }
            Outcome::RejectedByEngine => engine.record_rejection(self.now),
            _ => {}
        }
    }

    /// Learns from an ended attempt the wait, cost and latency of its class.
    fn record_wait_and_answer(&mut self, id: RequestId, attempt: &Attempt, ended: &EndedAttempt) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = request.class;
        let level = request.level;
        let cost = request.cost;
        let age_secs = request.age_secs(self.now);
        match ended.outcome {
            Outcome::Succeeded => {
                let estimated_mb = request.memory_mb;
                self.record_answer(class, cost, estimated_mb, attempt, ended);
                let threads = self.settings.classes[class].threads;
                let unloaded_secs = self.estimates[class].unloaded_latency_secs(cost, threads);
                self.prices.record_wait(class, level, (age_secs - unloaded_secs).max(0.0));
            }
            // An attempt times out only if the deadline passes before the request gets a response. A request
            // that gets its final response 50 ms before the deadline (`RESPONSE_MARGIN`) has its attempt
            // cancelled, and no wait is learned.
            Outcome::TimedOut => self.prices.record_wait(class, level, age_secs),
            _ => {}
        }
    }

    /// Learns from an answer the work, memory and latency of its class, and the health of its engine.
    fn record_answer(
        &mut self,
        class: usize,
        cost: f64,
        estimated_mb: Option<f64>,
        attempt: &Attempt,
        ended: &EndedAttempt,
    ) {
        let settings = &self.settings.classes[class];
        let estimates = &mut self.estimates[class];
        let grant = &mut self.grants[class];
        if let Some(reported) = ended.query_cost.filter(|_| cost > 0.0) {
            estimates.record_work(reported.work, cost);
            if let Some(estimated_mb) = estimated_mb {
                grant.record_memory_used(reported.memory_mb, estimated_mb);
            }
        }
        let latency_secs = ended.latency.as_secs_f64();
        estimates.record_latency(latency_secs, settings.threads, cost);
        grant.record_answer();
        let engine = &mut self.engines[attempt.engine];
        engine.health.record_answer(self.now);
        // A query that loads tables waits for their locks, so its latency says nothing about the engine.
        if !settings.loads_tables {
            engine.health.record_latency(latency_secs / attempt.expected_latency_secs);
        }
    }

    fn continue_after_attempt(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let retry = || self.decide_retry(request);
        match next_step(outcome, request.is_answered, request.errors, retry) {
            NextStep::Finish => self.finish(id, out),
            NextStep::Retry => self.queue.insert(id, request),
            NextStep::Respond => self.respond(id, out),
        }
    }
}
