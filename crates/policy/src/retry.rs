//! Retries: what the end of an attempt teaches, and whether a further attempt is allowed.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Errors that end a request: what two engines cannot do is most likely its own fault.
const MAX_ERRORS: u32 = 2;
/// Weight of one answer in the work told over the estimate, and the greatest ratio counted (ours).
const WORK_RATIO_WEIGHT: f64 = 0.02;
const MAX_WORK_RATIO: f64 = 4.0;
/// Weight of one answer in the latency over the estimate, the greatest ratio counted, and the first one.
const LATENCY_WEIGHT: f64 = 0.05;
const MAX_LATENCY_RATIO: f64 = 20.0;
pub(crate) const INITIAL_LATENCY_RATIO: f64 = 2.0;
/// Factors of the unloaded ratio on a slower and a quicker answer: it rests at the lower quartile.
const QUANTILE_UP: f64 = 1.01;
const QUANTILE_DOWN: f64 = 0.97;

impl Policy {
    pub(crate) fn on_ended(&mut self, ended: Event, out: &mut Vec<Action>) {
        let Event::AttemptEnded { id, attempt, outcome, latency, complete, query_cost, report } = ended
        else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.in_flight.take_if(|a| a.number == attempt) else { return };
        let (class, level, i) = (request.class, request.level, attempt.engine.0 as usize);
        let threads = self.settings.classes[class].threads;
        if !outcome.never_ran() {
            request.may_have_run.get_or_insert((attempt.sent_at, attempt.engine));
        }
        request.errors += u32::from(outcome == Outcome::EngineError);
        request.answered |= complete;
        let (answered, age) = (request.answered, (self.now - request.arrived).as_secs_f64());
        let may_still_run =
            matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled);
        let key = request.key.as_ref().filter(|_| may_still_run);
        if let Some(queue) = key.and_then(|key| self.keys.get_mut(key)) {
            queue.blocked_until = self.now + self.settings.key_settle_time;
        }
        self.own_threads -= threads;
        self.thread_time += threads * latency.as_secs_f64();
        self.query_time += latency.as_secs_f64();
        let engine = &mut self.engines[i];
        engine.threads -= threads;
        engine.in_flight -= 1;
        let zone = self.zones.entry(engine.zone).or_default();
        match outcome {
            Outcome::Succeeded | Outcome::EngineError | Outcome::RejectedByEngine => {
                zone.record_response(self.now)
            }
            Outcome::ConnectFailed => zone.record_silence(&attempt, MIN_SILENT_ENGINES),
            _ => {}
        }
        match outcome {
            Outcome::Succeeded => engine.failure_rate.update(0.0, SUCCESS_WEIGHT),
            Outcome::Cancelled | Outcome::NeverSent | Outcome::TimedOut => {}
            _ => engine.failure_rate.update(1.0, FAILURE_WEIGHT),
        }
        self.on_report(i, report);
        match outcome {
            Outcome::Succeeded => self.on_delivered(id, &attempt, latency.as_secs_f64(), age, query_cost),
            Outcome::TimedOut => self.record_wait(class, level, age),
            Outcome::ConnectFailed => self.record_connect_failure(i),
            Outcome::RejectedByEngine => self.back_off_full(i),
            _ => {}
        }
        match self.requests.get(&id) {
            _ if answered || outcome == Outcome::Succeeded => self.finish(id, out),
            Some(r) if r.errors < MAX_ERRORS && self.can_retry(r) => {
                _ = self.queue.insert(queue_position(r), id)
            }
            _ => self.respond(id, out),
        }
    }

    /// Learns from an answer: its class's work, memory, latencies and wait, and its engine's health.
    fn on_delivered(&mut self, id: RequestId, at: &Attempt, latency: f64, age: f64, bill: Option<QueryCost>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (class, level, cost) = (request.class, request.level, request.cost);
        let (threads, is_load) = (self.class(class).threads, self.class(class).loads_tables);
        let state = &mut self.classes[class];
        if let Some(bill) = bill.filter(|_| cost > 0.0) {
            state.work_ratio.update((bill.work / cost).min(MAX_WORK_RATIO), WORK_RATIO_WEIGHT);
            let ratio = request.memory_mb.map(|mb| bill.memory_mb / mb).filter(|ratio| *ratio > 0.0);
            ratio.into_iter().for_each(|ratio| record_memory_need(state, ratio.ln()));
        }
        let ratio = latency * threads / cost.max(1e-6);
        state.latency_ratio.update(ratio.min(MAX_LATENCY_RATIO), LATENCY_WEIGHT);
        state.unloaded_ratio *= if ratio > state.unloaded_ratio { QUANTILE_UP } else { QUANTILE_DOWN };
        state.grant = (state.grant - GRANT_DECAY).max(MIN_GRANT);
        let wait = (age - self.unloaded_latency(class, cost)).max(0.0);
        self.record_wait(class, level, wait);
        let engine = &mut self.engines[at.engine.0 as usize];
        (engine.connect_failures, engine.unresponsive) = (0, false);
        engine.last_response = self.now;
        if !is_load {
            record_slowness(engine, latency / at.expected);
        }
    }

    /// Effects and attempts: whether a further attempt is allowed at all.
    pub(crate) fn can_retry(&self, request: &Request) -> bool {
        let class = self.class(request.class);
        let is_safe = match (class.effect, request.may_have_run) {
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Unsafe, None) => request.in_flight.is_none(),
            (Effect::Keyed, Some((sent, _))) => self.now < sent + class.repeat_window,
            _ => true,
        };
        let has_attempts = request.attempts < self.settings.max_attempts;
        is_safe && has_attempts && self.now + ANSWER_MARGIN < request.deadline
    }

    pub(crate) fn has_retry_budget(&self) -> bool {
        let Some(budget) = self.settings.retry_budget else { return true };
        let start = self.now - budget.window;
        let requests = self.recent_requests.count_after(start) as f64;
        // A tick longer than asked, so that no edge of the window matters.
        let retries = self.recent_retries.count_after(start - TICK);
        (retries + 1) as f64
            <= budget.free_retries + budget.retries_per_request * requests + self.settings.spare_retries
    }
}
