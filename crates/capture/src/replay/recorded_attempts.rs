//! Tracks the attempts that were in flight when the capture was recorded.

use crate::segment::Answer;
use sprucelink_policy::{Action, EngineId, Event, Policy, RequestId};
use std::collections::BTreeMap;

/// The recorded attempts in flight, by which recorded outcomes are attributed to engines.
#[derive(Default)]
pub(super) struct RecordedAttempts {
    /// Engine of each attempt in flight, by request and attempt number.
    engines: BTreeMap<(RequestId, u32), EngineId>,
    /// Number of each request's next attempt.
    next_attempt: BTreeMap<RequestId, u32>,
}

impl RecordedAttempts {
    /// The attempts in flight at a checkpoint, which are the same in the recording and in its replay.
    pub(super) fn at_checkpoint(policy: &Policy) -> RecordedAttempts {
        let mut attempts = RecordedAttempts::default();
        for request in policy.open_requests() {
            attempts.next_attempt.insert(request.id, request.attempts);
            if let Some((attempt, engine)) = request.in_flight {
                attempts.engines.insert((request.id, attempt), engine);
            }
        }
        attempts
    }

    /// The engine of an attempt; `None` if the attempt was not recorded or is no longer in flight.
    pub(super) fn engine_of(&self, id: RequestId, attempt: u32) -> Option<EngineId> {
        self.engines.get(&(id, attempt)).copied()
    }

    /// Applies a recorded event and its answer.
    pub(super) fn apply(&mut self, event: &Event, answer: &Answer) {
        if let Answer::Complete(actions) = answer {
            self.add_forwarded(actions);
        }
        match event {
            Event::RequestAbandoned { id } | Event::AttemptEnded { id, complete: true, .. } => {
                self.remove_request(*id);
            }
            Event::AttemptEnded { id, attempt, .. } => {
                self.engines.remove(&(*id, *attempt));
            }
            _ => {}
        }
    }

    fn add_forwarded(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::ForwardAttempt { id, engine, .. } = action {
                let attempt = self.next_attempt.entry(*id).or_default();
                self.engines.insert((*id, *attempt), *engine);
                *attempt += 1;
            }
        }
    }

    fn remove_request(&mut self, id: RequestId) {
        let attempts = self.next_attempt.remove(&id).unwrap_or(0);
        for attempt in 0..attempts {
            self.engines.remove(&(id, attempt));
        }
    }
}
