//! An explanation in progress: which engine and which attempts it has seen, and the lines that it adds.

use super::engine::EngineTracker;
use super::texts::{describe_attempt_end, describe_event, describe_optional, describe_reason};
use super::{Line, Question};
use crate::engine_numbers::EngineNumbers;
use crate::error::StateError;
use crate::input::RecordedInput;
use crate::replay::Step;
use crate::segment::Segment;
use serde_json::{json, Value};
use sprucelink_policy::{Action, Event, Reason, RequestId, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// An explanation that is being written.
pub(super) struct Explanation<'a> {
    question: &'a Question,
    pub(super) engines: EngineNumbers,
    /// Number of the engine that is asked about, once it is known, and what was seen of it.
    pub(super) tracked_engine: EngineTracker,
    /// Engine of each attempt in flight, by request and attempt.
    attempt_engines: BTreeMap<(RequestId, u32), u32>,
    /// Number of each request's next attempt.
    next_attempt: BTreeMap<RequestId, u32>,
    /// The state at the moment that is asked about was described.
    pub(super) is_moment_described: bool,
    on_line: &'a mut dyn FnMut(Line),
    line_count: usize,
}

impl<'a> Explanation<'a> {
    pub(super) fn new(question: &'a Question, on_line: &'a mut dyn FnMut(Line)) -> Explanation<'a> {
        Explanation {
            question,
            engines: EngineNumbers::default(),
            tracked_engine: EngineTracker::default(),
            attempt_engines: BTreeMap::new(),
            next_attempt: BTreeMap::new(),
            is_moment_described: false,
            on_line,
            line_count: 0,
        }
    }

    pub(super) fn line_count(&self) -> usize {
        self.line_count
    }

    pub(super) fn add_line(&mut self, at: Timestamp, text: String, data: Value) {
        self.line_count += 1;
        (self.on_line)(Line { at_us: at.as_micros(), text, data });
    }

    /// Begins a segment: takes the engines and the attempts in flight from its checkpoint.
    pub(super) fn begin_segment(&mut self, segment: &Segment) -> Result<(), StateError> {
        self.engines.clone_from(&segment.engines);
        let policy = segment.policy()?;
        self.attempt_engines.clear();
        self.next_attempt.clear();
        for request in policy.open_requests() {
            self.next_attempt.insert(request.id, request.attempts);
            if let Some((attempt, engine)) = request.in_flight {
                self.attempt_engines.insert((request.id, attempt), engine.0);
            }
        }
        self.find_engine();
        let lost = segment.header.lost_events_before;
        if let (Question::Request(id), true) = (self.question, lost > 0) {
            let text = format!("{lost} events were lost before segment {}", segment.header.number);
            let data = json!({"kind": "gap", "lost": lost, "request": format!("{id:016x}")});
            self.add_line(segment.at, text, data);
        }
        Ok(())
    }

    /// Finds the number of the engine that is asked about.
    fn find_engine(&mut self) {
        let Question::Engine(asked) = self.question else { return };
        let by_number = || asked.strip_prefix('#').and_then(|number| number.parse().ok());
        if let Some(number) = self.engines.number_of(asked).or_else(by_number) {
            self.tracked_engine.number = Some(number);
        }
    }

    /// Adds the lines of one step of the replay.
    pub(super) fn add_step(&mut self, step: &Step) {
        self.engines.apply(&step.record.input);
        if matches!(step.record.input, RecordedInput::EngineNumbered { .. }) {
            self.find_engine();
        }
        match self.question {
            Question::Request(id) => self.add_request_step(RequestId(*id), step),
            Question::Engine(_) => self.add_engine_step(step),
            Question::At(moment) => self.add_moment_step(*moment, step),
        }
        self.follow_attempts(step);
    }

    fn follow_attempts(&mut self, step: &Step) {
        if let RecordedInput::Event(Event::AttemptEnded { id, attempt, .. }) = &step.record.input {
            self.attempt_engines.remove(&(*id, *attempt));
        }
        for action in step.actions {
            if let Action::ForwardAttempt { id, engine, .. } = action {
                let attempt = self.next_attempt.entry(*id).or_default();
                self.attempt_engines.insert((*id, *attempt), engine.0);
                *attempt += 1;
            }
        }
    }

    /// The engine of an attempt in flight.
    pub(super) fn engine_of(&self, id: RequestId, attempt: u32) -> Option<u32> {
        self.attempt_engines.get(&(id, attempt)).copied()
    }

    /// The number of a request's next attempt.
    pub(super) fn next_attempt_of(&self, id: RequestId) -> u32 {
        self.next_attempt.get(&id).copied().unwrap_or(0)
    }

    /// An event in words; `None` for one that is about no request.
    pub(super) fn describe_input(&self, event: &Event) -> Option<String> {
        let Event::AttemptEnded { id, attempt, .. } = event else { return describe_event(event) };
        let engine = self.engine_of(*id, *attempt);
        let engine = engine.map_or("an engine".to_owned(), |number| self.engines.describe(number));
        describe_attempt_end(event, &engine)
    }

    /// An action in words.
    pub(super) fn describe_action(&self, action: &Action) -> String {
        let seconds = |span: &Option<TimeDelta>| describe_optional(span.map(TimeDelta::as_secs_f64));
        match action {
            Action::ForwardAttempt { engine, id, .. } => {
                let attempt = self.next_attempt_of(*id);
                format!("sent, attempt {attempt}, to {}", self.engines.describe(engine.0))
            }
            Action::SetExecutionTerms { grant_mb, level, .. } => {
                let memory =
                    grant_mb.map_or("memory as the engine chooses".to_owned(), |mb| format!("{mb:.0} MB"));
                format!("terms: priority {}, {memory}", level.0)
            }
            Action::Reject { retry_after, .. } => {
                format!("refused, come back in {} s", seconds(retry_after))
            }
            Action::Fail { retry_after, .. } => {
                format!("failed, come back in {} s", seconds(retry_after))
            }
            Action::Explain(reason) => describe_reason(reason, &self.engines),
            other => format!("{other:?}"),
        }
    }
}

/// The request that an action is about.
pub(super) fn request_of(action: &Action) -> Option<RequestId> {
    match action {
        Action::ForwardAttempt { id, .. }
        | Action::SetExecutionTerms { id, .. }
        | Action::Cancel { id, .. }
        | Action::Reject { id, .. }
        | Action::Fail { id, .. } => Some(*id),
        Action::Explain(reason) => Some(request_of_reason(reason)),
        _ => None,
    }
}

fn request_of_reason(reason: &Reason) -> RequestId {
    match reason {
        Reason::Priced { id, .. }
        | Reason::Drawn { id, .. }
        | Reason::Answered { id, .. }
        | Reason::Cancelled { id, .. } => *id,
    }
}
