//! The view of one request: its events, and the policy's actions and reasons.

use super::explanation::{request_of, Explanation};
use crate::replay::{action_kind, Step};
use serde_json::json;
use sprucelink_policy::{Action, Event, RequestId};

impl Explanation<'_> {
    pub(super) fn add_request_step(&mut self, id: RequestId, step: &Step) {
        let at = step.record.at;
        if let Some(event) = step.record.input.event().filter(|event| request_of_event(event) == Some(id)) {
            if let Some(text) = self.describe_request_event(event) {
                self.add_line(at, text, json!({"kind": "told", "event": event}));
            }
        }
        for action in step.actions.iter().filter(|action| request_of(action) == Some(id)) {
            let data = match action {
                Action::Explain(reason) => json!({"kind": "why", "why": reason}),
                other => json!({"kind": action_kind(other)}),
            };
            let text = self.describe_action(action);
            self.add_line(at, text, data);
        }
    }
}

/// The request that an event is about; `None` for other events.
fn request_of_event(event: &Event) -> Option<RequestId> {
    match event {
        Event::RequestArrived(arrival) => Some(arrival.id),
        Event::ProgressReported { id, .. }
        | Event::AttemptEnded { id, .. }
        | Event::RequestAbandoned { id }
        | Event::ResponseStarted { id } => Some(*id),
        _ => None,
    }
}
