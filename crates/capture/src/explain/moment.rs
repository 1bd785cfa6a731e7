//! The view of one moment: the policy's state, and all events and actions just before and after.

use super::engine_texts::describe_engine_state;
use super::explanation::{request_of, Explanation};
use super::texts::describe_overview;
use super::MOMENT_MARGIN;
use crate::replay::{action_kind, Step};
use serde_json::json;
use sprucelink_policy::{Action, Timestamp};

impl Explanation<'_> {
    pub(super) fn add_moment_step(&mut self, moment: Timestamp, step: &Step) {
        let now = step.record.at;
        if now >= moment && !self.is_moment_described {
            self.is_moment_described = true;
            self.add_state(step);
        }
        if now + MOMENT_MARGIN < moment || now > moment + MOMENT_MARGIN {
            return;
        }
        if let Some(event) = step.record.input.event() {
            let text = self.describe_request_event(event).unwrap_or_else(|| format!("{event:?}"));
            self.add_line(now, format!("told: {text}"), json!({"kind": "told", "event": event}));
        }
        for action in step.actions.iter().filter(|action| !matches!(action, Action::StartTimer { .. })) {
            let subject = request_of(action).map_or(String::new(), |id| format!("request {:016x} ", id.0));
            let text = format!("{subject}{}", self.describe_action(action));
            self.add_line(now, text, json!({"kind": action_kind(action)}));
        }
    }

    /// Adds the policy's state: a line for its overall state, and one for each engine that is not withdrawn.
    fn add_state(&mut self, step: &Step) {
        let now = step.record.at;
        let overview = step.policy.overview();
        let text = describe_overview(&overview);
        self.add_line(now, text, json!({"kind": "overview", "overview": overview}));
        for engine in step.policy.engine_views().into_iter().filter(|engine| !engine.gone) {
            let name = self.engine_numbers.describe(engine.engine);
            let text = format!("engine {name}: {}", describe_engine_state(&engine));
            self.add_line(now, text, json!({"kind": "belief", "belief": engine}));
        }
    }
}
