//! The view of one engine: the events about it, how often engine selection considered it, and its load as the
//! policy estimated it.

use super::engine_texts::{describe_engine_state, ineligible_text};
use super::explanation::Explanation;
use crate::input::RecordedInput;
use crate::replay::Step;
use serde_json::{json, Value};
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::{Action, EngineId, Event, Reason, Timestamp};
use std::collections::BTreeMap;

/// Change of the estimated utilisation above which a line is added, in threads per core.
const MIN_UTILISATION_CHANGE: f64 = 0.25;
/// Key in [`DrawCounts::by_reason`] of the draws in which the engine was eligible.
const ELIGIBLE: &str = "in the draw";
/// Initial value of the last utilisation: it differs enough from every real utilisation that a first line is
/// added.
const NO_UTILISATION: f64 = -1.0;

/// State of an explanation of one engine.
pub(super) struct EngineTracker {
    /// Number of the engine, once it is known.
    pub(super) number: Option<u32>,
    /// Estimated utilisation in the last line about the engine, in threads per core.
    last_utilisation: f64,
    /// Draws that considered the engine since the last line about it.
    draws: DrawCounts,
}

/// Counts of the draws that considered an engine.
#[derive(Default)]
struct DrawCounts {
    total: u32,
    /// Number of draws by the reason that excluded the engine, or [`ELIGIBLE`].
    by_reason: BTreeMap<&'static str, u32>,
}

impl Default for EngineTracker {
    fn default() -> EngineTracker {
        EngineTracker { number: None, last_utilisation: NO_UTILISATION, draws: DrawCounts::default() }
    }
}

impl DrawCounts {
    fn add(&mut self, engine: EngineId, action: &Action) {
        let Action::Explain(reason) = action else { return };
        let Reason::Drawn { candidates, .. } = &**reason else { return };
        let Some(candidate) = candidates.iter().find(|candidate| candidate.engine == engine) else { return };
        self.total += 1;
        let reason = candidate.ineligible.map_or(ELIGIBLE, ineligible_text);
        *self.by_reason.entry(reason).or_default() += 1;
    }

    fn describe(&self) -> String {
        let count_texts: Vec<String> =
            self.by_reason.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
        format!("looked at in {} draws since: {}", self.total, count_texts.join(", "))
    }

    fn to_json(&self) -> Value {
        json!({"kind": "draws", "draws": self.total, "by": self.by_reason})
    }
}

impl Explanation<'_> {
    pub(super) fn add_engine_step(&mut self, step: &Step) {
        let Some(number) = self.tracked_engine.number else { return };
        let engine = EngineId(number);
        let Some(view) = step.policy.engine_view(engine) else { return };
        for action in step.actions {
            self.tracked_engine.draws.add(engine, action);
        }
        let mut texts = self.describe_engine_input(engine, &step.record.input);
        texts.extend(step.actions.iter().filter_map(|action| self.describe_engine_action(engine, action)));
        let change = (view.utilisation - self.tracked_engine.last_utilisation).abs();
        if texts.is_empty() && change <= MIN_UTILISATION_CHANGE {
            return;
        }
        self.add_engine_lines(step.record.at, texts, &view);
    }

    /// Texts for the parts of an input that are about the engine.
    fn describe_engine_input(&self, engine: EngineId, input: &RecordedInput) -> Vec<String> {
        match input {
            RecordedInput::Event(Event::EndpointsChanged { entries, .. }) => entries
                .iter()
                .filter(|entry| entry.engine == engine)
                .map(|entry| format!("the list says {:?}", entry.state))
                .collect(),
            RecordedInput::Event(event @ Event::AttemptEnded { id, attempt, .. })
                if self.engine_of(*id, *attempt) == Some(engine.0) =>
            {
                let text = self.describe_request_event(event);
                text.map(|text| format!("request {:016x}: {text}", id.0)).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Text for an action that is about the engine.
    fn describe_engine_action(&self, engine: EngineId, action: &Action) -> Option<String> {
        match action {
            Action::ForwardAttempt { id, engine: chosen, .. } if *chosen == engine => {
                let attempt = self.next_attempt_of(*id);
                Some(format!("request {:016x} sent to it, attempt {attempt}", id.0))
            }
            Action::Log(text) if text.starts_with(&format!("engine {} ", engine.0)) => Some(text.clone()),
            _ => None,
        }
    }

    fn add_engine_lines(&mut self, at: Timestamp, texts: Vec<String>, view: &EngineView) {
        let draws = std::mem::take(&mut self.tracked_engine.draws);
        if draws.total > 0 {
            self.add_line(at, draws.describe(), draws.to_json());
        }
        let data = |kind: &str| json!({"kind": kind, "belief": view});
        for text in texts {
            self.add_line(at, text, data("news"));
        }
        self.add_line(at, describe_engine_state(view), data("belief"));
        self.tracked_engine.last_utilisation = view.utilisation;
    }
}
