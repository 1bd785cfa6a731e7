//! The review of all open requests at each tick.

use crate::actions::Action;
use crate::cancellation::{review_queued, review_running, ReviewDecision, RunningAttempt};
use crate::final_response::RESPONSE_MARGIN;
use crate::ids::RequestId;
use crate::policy::Policy;
use crate::request::{Attempt, Request};

impl Policy {
    /// Responds to requests whose deadline is near or whose answer is not worth its price, cancels stuck
    /// attempts, and raises the level of late requests.
    pub(super) fn review_requests(&mut self, out: &mut Vec<Action>) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        let has_free_cores = self.free_capacity().has_free_cores();
        for id in ids {
            let Some(request) = self.requests.get(&id).filter(|request| !request.is_answered) else {
                continue;
            };
            match self.review(request, has_free_cores) {
                ReviewDecision::Keep => {}
                ReviewDecision::CancelAttempt => self.cancel(id, out),
                ReviewDecision::RaiseLevel(level) => self.raise_level(id, level, out),
                ReviewDecision::Respond => self.respond(id, out),
            }
        }
    }

    fn review(&self, request: &Request, has_free_cores: bool) -> ReviewDecision {
        if self.now + RESPONSE_MARGIN >= request.deadline {
            return ReviewDecision::Respond;
        }
        if let Some(attempt) = &request.in_flight {
            let running = self.running_attempt(request, attempt);
            let load_visibility = self.share().load_visibility();
            let may_retry = || self.may_retry_now(request);
            return review_running(&running, load_visibility, self.settings.priorities, may_retry);
        }
        if !self.decide_retry(request).is_allowed() {
            return ReviewDecision::Respond;
        }
        let expected_total_secs = request.age_secs(self.now) + self.expected_latency_secs(request);
        let price = || self.quote(request).price;
        review_queued(&self.answer_value(request), expected_total_secs, has_free_cores, price)
    }

    /// An attempt in flight as the review rules need it.
    pub(super) fn running_attempt(&self, request: &Request, attempt: &Attempt) -> RunningAttempt {
        RunningAttempt {
            age_secs: (self.now - attempt.sent_at).as_secs_f64(),
            secs_since_progress: (self.now - attempt.last_progress).as_secs_f64(),
            expected_latency_secs: attempt.expected_latency_secs,
            is_engine_ejected: self.engines[attempt.engine].health.is_ejected(),
            request_age_secs: request.age_secs(self.now),
            objective_secs: self.answer_value(request).objective_secs,
            level: request.level,
        }
    }

    fn raise_level(&mut self, id: RequestId, level: usize, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.level = level;
        out.extend(self.requests.get(&id).map(|request| self.execution_terms(id, request)));
    }
}
