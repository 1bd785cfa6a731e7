//! Dispatch: `send` is the only way out to an engine, `respond` the only final response that no engine gave.

use crate::*; // Vocabulary: `crates/policy/src/events.rs`, `actions.rs`, `settings.rs`; records: `state.rs`.

/// Queued requests tried at one dispatch; the rest waits for the next.
const MAX_DISPATCHED: usize = 200;
/// Least latency that is expected of an attempt, seconds (ours).
const MIN_EXPECTED_LATENCY: f64 = 0.05;
/// Table groups sent to an engine last that are taken to be cached there; engines report none (ours).
const CACHED_TABLE_GROUPS: usize = 4;

impl Policy {
    /// Sends what is queued as engines have capacity, top level first; a newcomer is tried alone.
    pub(crate) fn dispatch(&mut self, newcomer: Option<RequestId>, out: &mut Vec<Action>) {
        let first = newcomer.and_then(|id| Some((queue_position(self.requests.get(&id)?), id)));
        let all = || self.queue.iter().take(MAX_DISPATCHED).map(|(k, v)| (*k, *v)).collect();
        let waiting: Vec<(QueuePosition, RequestId)> = first.map_or_else(all, |entry| vec![entry]);
        for (position, id) in waiting {
            let dice = self.random.next_unit();
            let Some(request) = self.requests.get(&id) else { continue };
            if !self.is_turn(id, request) || !(request.attempts == 0 || self.has_retry_budget()) {
                continue;
            }
            self.sample_candidates(id, out);
            let is_ready = |r: &&Request| self.now >= r.probes_until;
            let Some(request) = self.requests.get(&id).filter(is_ready) else { continue };
            self.why_drawn(id, dice, out);
            if self.pick_engine(request, true, dice).is_some_and(|engine| self.send(id, engine, out)) {
                self.queue.remove(&position);
            }
        }
    }

    /// Order: a request with a key is sent only in its turn, and not while the key is blocked.
    fn is_turn(&self, id: RequestId, request: &Request) -> bool {
        let Some(queue) = request.key.as_ref().and_then(|k| self.keys.get(k)) else { return true };
        queue.waiting.front() == Some(&id) && self.now >= queue.blocked_until
    }

    /// The only way out to an engine; `false` where a rule forbids it.
    fn send(&mut self, id: RequestId, to: EngineId, out: &mut Vec<Action>) -> bool {
        let (now, i) = (self.now, to.0 as usize);
        let Some(request) = self.requests.get(&id) else { return false };
        let is_open = !request.answered && request.in_flight.is_none() && self.can_retry(request);
        let is_within = request.attempts == 0 || self.has_retry_budget();
        if !(is_open && is_within && self.is_turn(id, request) && self.is_allowed(request, i)) {
            return false;
        }
        let expected = self.expected_latency(request.class, request.cost).max(MIN_EXPECTED_LATENCY);
        let terms = self.execution_terms(id, request);
        let (threads, charge) = (self.class(request.class).threads, self.charge(request.class));
        self.own_threads += threads;
        let engine = &mut self.engines[i];
        if engine.in_flight == 0 {
            engine.last_response = now;
        }
        engine.last_send = Some(now);
        engine.threads += threads;
        engine.in_flight += 1;
        engine.recent_charges.record(now, charge, self.settings.slow_start_window);
        engine.recent_tables.touch(request.table_group, CACHED_TABLE_GROUPS);
        engine.next_trial = now + TRIAL_INTERVAL;
        self.zones.entry(engine.zone).or_default().next_trial = now + TRIAL_INTERVAL;
        if request.attempts > 0 {
            self.recent_retries.record(now, self.budget_span(TICK));
        }
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let number = request.attempts;
        request.attempts += 1;
        request.last_engine = Some(to);
        request.in_flight = Some(Attempt::new(to, number, now, expected, OVERDUE_FACTOR));
        if self.settings.priorities || self.settings.grants {
            out.push(terms);
        }
        out.push(Action::ForwardAttempt { id, timeout: None, engine: to });
        true
    }

    /// The only final response: rejected where a retry by the client surely does no harm, else failed.
    pub(crate) fn respond(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|r| !r.answered) else { return };
        self.why_answered(id, out);
        let class = self.class(request.class);
        let may_run = request.in_flight.is_some() || request.may_have_run.is_some();
        let is_harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => !may_run || class.group == DedupGroup::All,
            Effect::Unsafe => !may_run,
        };
        let level = &self.classes[request.class].levels[request.level];
        let wait = TimeDelta::from_secs_f64(level.wait.max(self.queue_delay()));
        let max_wait = self.settings.max_retry_after;
        let retry_after = Some(if max_wait > TimeDelta::ZERO { wait.min(max_wait) } else { wait });
        let (refuse, fail) = (Action::Reject { id, retry_after }, Action::Fail { id, retry_after });
        out.push(if is_harmless { refuse } else { fail });
        self.finish(id, out);
    }

    pub(crate) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answered = true;
        self.queue.remove(&queue_position(request));
        if request.in_flight.is_some() {
            return self.cancel(id, out);
        }
        if let Some(queue) = request.key.as_ref().and_then(|k| self.keys.get_mut(k)) {
            queue.waiting.retain(|waiting| *waiting != id);
        }
        self.requests.remove(&id);
    }
}

/// A request's position in the queue: higher levels first, then in order of arrival.
pub(crate) fn queue_position(request: &Request) -> QueuePosition {
    (LEVELS - request.level, request.sequence)
}
