//! An explanation in progress: it tracks engines and attempts over the replay and adds lines.

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

/// An explanation in progress: its question, and what is tracked while the segments are replayed.
pub(super) struct Explanation<'a> {
    question: &'a Question,
    /// Assignment of numbers to engines at the current point of the replay.
    pub(super) engine_numbers: EngineNumbers,
    /// The engine that a [`Question::Engine`] is about.
    pub(super) tracked_engine: EngineTracker,
    /// Number of the engine of each attempt in flight, by request and attempt number.
    attempt_engines: BTreeMap<(RequestId, u32), u32>,
    /// Number of each request's next attempt.
    next_attempt: BTreeMap<RequestId, u32>,
    /// Whether the lines about the policy's state at the moment of a [`Question::At`] were added.
    pub(super) is_moment_described: bool,
    on_line: &'a mut dyn FnMut(Line),
    line_count: usize,
}

impl<'a> Explanation<'a> {
    pub(super) fn new(question: &'a Question, on_line: &'a mut dyn FnMut(Line)) -> Explanation<'a> {
        Explanation {
            question,
            engine_numbers: EngineNumbers::default(),
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

    /// Begins a segment: takes the engine numbers and the attempts in flight from its checkpoint. If the
    /// question is about a request, a line reports the events that were lost before the segment.
    pub(super) fn begin_segment(&mut self, segment: &Segment) -> Result<(), StateError> {
        self.engine_numbers.clone_from(&segment.engines);
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

    /// Sets the number of the engine that a [`Question::Engine`] is about, if it is known.
    fn find_engine(&mut self) {
        let Question::Engine(name) = self.question else { return };
        let by_number = || name.strip_prefix('#').and_then(|number| number.parse().ok());
        if let Some(number) = self.engine_numbers.number_of(name).or_else(by_number) {
            self.tracked_engine.number = Some(number);
        }
    }

    /// Adds the lines of one step of the replay.
    pub(super) fn add_step(&mut self, step: &Step) {
        self.engine_numbers.apply(&step.record.input);
        if matches!(step.record.input, RecordedInput::EngineNumbered { .. }) {
            self.find_engine();
        }
        match self.question {
            Question::Request(id) => self.add_request_step(RequestId(*id), step),
            Question::Engine(_) => self.add_engine_step(step),
            Question::At(moment) => self.add_moment_step(*moment, step),
        }
        self.track_attempts(step);
    }

    fn track_attempts(&mut self, step: &Step) {
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

    /// Number of the engine of an attempt; `None` if the attempt is not in flight.
    pub(super) fn engine_of(&self, id: RequestId, attempt: u32) -> Option<u32> {
        self.attempt_engines.get(&(id, attempt)).copied()
    }

    /// Number of a request's next attempt, from 0.
    pub(super) fn next_attempt_of(&self, id: RequestId) -> u32 {
        self.next_attempt.get(&id).copied().unwrap_or(0)
    }

    /// Text for an event; `None` if the event is not about a request.
    pub(super) fn describe_request_event(&self, event: &Event) -> Option<String> {
        let Event::AttemptEnded { id, attempt, .. } = event else { return describe_event(event) };
        let engine = self.engine_of(*id, *attempt);
        let engine = engine.map_or("an engine".to_owned(), |number| self.engine_numbers.describe(number));
        describe_attempt_end(event, &engine)
    }

    /// Text for an action.
    pub(super) fn describe_action(&self, action: &Action) -> String {
        let seconds = |span: &Option<TimeDelta>| describe_optional(span.map(TimeDelta::as_secs_f64));
        match action {
            Action::ForwardAttempt { engine, id, .. } => {
                let attempt = self.next_attempt_of(*id);
                format!("sent, attempt {attempt}, to {}", self.engine_numbers.describe(engine.0))
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
            Action::Explain(reason) => describe_reason(reason, &self.engine_numbers),
            other => format!("{other:?}"),
        }
    }
}

/// The request that an action is about; `None` for other actions.
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
