//! Cancellation: attempts that are stuck, and requests whose response is due or has lost its value.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Fractions of the objective after which a running query is raised to levels 1 and 2; 3 is never forced.
const RAISE_AFTER: [f64; 2] = [0.35, 0.6];
/// Multiples of the expected latency: without progress for it an attempt is lost, with it left restarted.
const LOST_FACTOR: f64 = 5.0;
const RESTART_GAIN: f64 = 3.0;

impl Policy {
    pub(crate) fn on_note(&mut self, id: RequestId, attempt: u32, note: ProgressNote, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_meant = |a: &&mut Attempt| a.number == attempt && !a.cancelled;
        let Some(running) = request.in_flight.as_mut().filter(is_meant) else { return };
        running.last_progress = self.now;
        let (age, expected) = ((self.now - running.sent_at).as_secs_f64(), running.expected);
        let engine = &mut self.engines[running.engine.0 as usize];
        engine.last_response = self.now;
        self.zones.entry(engine.zone).or_default().record_response(self.now);
        let request = &self.requests[&id];
        match (note, request.memory_mb) {
            (ProgressNote::Spills(missing), Some(need)) => {
                self.classes[request.class].grant += SPILL_INCREASE * (missing / need.max(1.0)).min(1.0);
            }
            (ProgressNote::Progress(done), _) => {
                // A bad plan or a slow engine: a fresh attempt would be far quicker than what is left.
                let left = age * (1.0 - done) / done.max(0.01);
                let fresh = expected.max(self.expected_latency(request.class, request.cost));
                let is_late = self.secs_since(request.arrived) + left > self.latency_objective(request);
                let can_restart = self.can_retry(request) && self.has_retry_budget();
                if left > RESTART_GAIN * fresh && is_late && can_restart {
                    self.cancel(id, out);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn cancel(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.why_cancelled(id, out);
        let running = self.requests.get_mut(&id).and_then(|r| r.in_flight.as_mut());
        if let Some(attempt) = running.filter(|a| self.settings.cancel && !a.cancelled) {
            attempt.cancelled = true;
            out.push(Action::Cancel { id, attempt: attempt.number });
        }
    }

    /// Responds to what is due or not worth its toll, cancels stuck attempts, raises late ones.
    pub(crate) fn review_requests(&mut self, out: &mut Vec<Action>) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        let (is_free, seen) = (self.own_threads < self.core_share(), self.load_visibility());
        for id in ids {
            let Some(request) = self.requests.get(&id).filter(|r| !r.answered) else { continue };
            let age = self.secs_since(request.arrived);
            let is_due = self.now + ANSWER_MARGIN >= request.deadline;
            if is_due || request.in_flight.is_none() && !self.can_retry(request) {
                self.respond(id, out);
            } else if let Some(attempt) = &request.in_flight {
                let is_ejected = self.engines[attempt.engine.0 as usize].ejected;
                let is_overdue = self.secs_since(attempt.sent_at) > OVERDUE_FACTOR * attempt.expected;
                let is_lost = self.secs_since(attempt.last_progress) > LOST_FACTOR * attempt.expected;
                let gone = age / self.latency_objective(request);
                let level = RAISE_AFTER.iter().filter(|part| gone * seen > **part && gone < 1.0).count();
                if (is_ejected && is_overdue || is_lost) && self.can_retry(request) && self.has_retry_budget()
                {
                    self.cancel(id, out);
                } else if level > request.level && self.settings.priorities {
                    // So that it does not starve on its engine; the less of the load is seen, the later.
                    self.requests.entry(id).and_modify(|r| r.level = level);
                    out.extend(self.requests.get(&id).map(|r| self.execution_terms(id, r)));
                }
            } else {
                let latency = age + self.expected_latency(request.class, request.cost);
                let is_late = latency * LATENESS_MARGIN > self.latency_objective(request);
                let toll = if is_late { self.cheapest_level(request.class, request.cost).toll } else { 0.0 };
                // While cores are free any value is worth waiting for: late is better than never.
                let has_value = self.value_of_answer(request, latency) > 0.0;
                if !(is_free && has_value || !is_free && self.net_value(request, latency) >= toll) {
                    self.respond(id, out);
                }
            }
        }
    }
}
