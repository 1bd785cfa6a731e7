//! Checks rules over a replay, step by step.

use super::expectations::{to_ms, Expectations};
use super::{Breach, Rule};
use crate::replay::Step;
use sprucelink_policy::{
    Action, Arrival, EndpointUpdate, EngineEntry, EngineId, EngineState, Event, Outcome, Policy, RequestId,
    Settings, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// State of a request that has no final response yet, or has an attempt in flight.
#[derive(Default)]
struct RequestState {
    deadline: Timestamp,
    /// Number of attempts forwarded so far.
    attempts: u32,
    /// Number of the attempt in flight, from 0.
    in_flight: Option<u32>,
    final_responses: u32,
}

/// Checks rules over a replay, one step at a time.
pub struct Checker {
    rules: Vec<Rule>,
    settings: Settings,
    /// Time of the checkpoint.
    start: Timestamp,
    requests: BTreeMap<RequestId, RequestState>,
    /// Deadlines of the requests without a final response.
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    /// Time at which the policy was told that an engine drains or is withdrawn, for engines that are not
    /// ready again.
    drained_or_withdrawn_at: BTreeMap<EngineId, Timestamp>,
    /// Times of the arrivals within the window of the retry budget.
    arrivals: VecDeque<Timestamp>,
    /// Times of the retries within the window of the retry budget.
    retries: VecDeque<Timestamp>,
    expectations: Expectations,
    breaches: Vec<Breach>,
}

impl Checker {
    /// A checker for a replay that begins with `policy`, the state of the checkpoint, at `start`.
    pub fn new(rules: Vec<Rule>, policy: &Policy, start: Timestamp) -> Checker {
        let mut requests = BTreeMap::new();
        let mut deadlines = BTreeSet::new();
        for open in policy.open_requests() {
            if !open.answered {
                deadlines.insert((open.deadline, open.id));
            }
            let state = RequestState {
                deadline: open.deadline,
                attempts: open.attempts,
                in_flight: open.in_flight.map(|(attempt, _)| attempt),
                final_responses: u32::from(open.answered),
            };
            requests.insert(open.id, state);
        }
        let engines = policy.engine_views();
        let unlisted = engines.iter().filter(|engine| !engine.listed);
        Checker {
            expectations: Expectations::new(&rules, &engines, start),
            rules,
            settings: policy.settings().clone(),
            start,
            requests,
            deadlines,
            drained_or_withdrawn_at: unlisted.map(|engine| (EngineId(engine.engine), start)).collect(),
            arrivals: VecDeque::new(),
            retries: VecDeque::new(),
            breaches: Vec::new(),
        }
    }

    fn add_breach(&mut self, rule: &Rule, at: Timestamp, why: String) {
        if self.rules.contains(rule) {
            self.breaches.push(Breach { rule: rule.text(), at_us: at.as_micros(), why });
        }
    }

    /// Checks one step of the replay.
    pub fn check_step(&mut self, step: &Step) {
        let now = step.record.at;
        if let Some(event) = step.record.input.event() {
            self.apply_event(now, event);
        }
        for action in step.actions {
            self.check_action(now, action);
        }
        self.expectations.add_ejected_engines(now, &step.policy.engine_views());
        self.check_deadlines(now);
    }

    fn apply_event(&mut self, now: Timestamp, event: &Event) {
        match event {
            Event::EndpointsChanged { kind, entries } => self.apply_endpoints(now, *kind, entries),
            Event::RequestArrived(arrival) => self.add_request(now, arrival),
            Event::AttemptEnded { id, attempt, outcome, complete, .. } => {
                let is_answered = *outcome == Outcome::Succeeded && *complete;
                self.end_attempt(*id, *attempt, is_answered);
            }
            Event::RequestAbandoned { id } => self.abandon_request(*id),
            _ => {}
        }
    }

    fn apply_endpoints(&mut self, now: Timestamp, kind: EndpointUpdate, entries: &[EngineEntry]) {
        if matches!(kind, EndpointUpdate::Complete | EndpointUpdate::Remembered) {
            // An engine that is missing from a complete list is withdrawn.
            let is_absent = |engine: &EngineId| !entries.iter().any(|entry| entry.engine == *engine);
            for engine in (0..self.drained_or_withdrawn_bound()).map(EngineId).filter(is_absent) {
                self.drained_or_withdrawn_at.entry(engine).or_insert(now);
            }
        }
        for entry in entries {
            match entry.state {
                EngineState::Ready => {
                    self.drained_or_withdrawn_at.remove(&entry.engine);
                }
                EngineState::Draining | EngineState::Gone => {
                    self.drained_or_withdrawn_at.entry(entry.engine).or_insert(now);
                }
            }
        }
    }

    /// One more than the highest number of an engine that drains or is withdrawn.
    fn drained_or_withdrawn_bound(&self) -> u32 {
        self.drained_or_withdrawn_at.keys().map(|engine| engine.0 + 1).max().unwrap_or(0)
    }

    fn add_request(&mut self, now: Timestamp, arrival: &Arrival) {
        self.arrivals.push_back(now);
        let deadline = now + arrival.time_left;
        self.requests.insert(arrival.id, RequestState { deadline, ..RequestState::default() });
        self.deadlines.insert((deadline, arrival.id));
    }

    fn end_attempt(&mut self, id: RequestId, attempt: u32, is_answered: bool) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.in_flight == Some(attempt))
        else {
            return;
        };
        request.in_flight = None;
        if is_answered && request.final_responses == 0 {
            request.final_responses = 1;
            self.deadlines.remove(&(request.deadline, id));
        }
        self.remove_if_finished(id);
    }

    fn abandon_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.final_responses = request.final_responses.max(1);
        self.deadlines.remove(&(request.deadline, id));
        self.remove_if_finished(id);
    }

    /// Removes a request that has a final response and no attempt in flight, to bound the memory.
    fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = |request: &RequestState| request.final_responses > 0 && request.in_flight.is_none();
        if self.requests.get(&id).is_some_and(is_finished) {
            self.requests.remove(&id);
        }
    }

    fn check_action(&mut self, now: Timestamp, action: &Action) {
        match action {
            Action::ForwardAttempt { id, engine, .. } => self.check_attempt(now, *id, *engine),
            Action::Reject { id, .. } | Action::Fail { id, .. } => self.check_final_response(now, *id),
            _ => {}
        }
    }

    fn check_final_response(&mut self, now: Timestamp, id: RequestId) {
        self.expectations.add_rejected_request();
        let second_response = || format!("request {:016x} has a second final response", id.0);
        let Some(request) = self.requests.get_mut(&id) else {
            return self.add_breach(&Rule::Answered {}, now, second_response());
        };
        request.final_responses += 1;
        let is_second = request.final_responses > 1;
        self.deadlines.remove(&(request.deadline, id));
        if is_second {
            self.add_breach(&Rule::Answered {}, now, second_response());
        }
        self.remove_if_finished(id);
    }

    fn check_attempt(&mut self, now: Timestamp, id: RequestId, engine: EngineId) {
        self.check_drain(now, id, engine);
        self.expectations.add_attempt(now, id, engine);
        let request = self.requests.entry(id).or_default();
        let has_other_attempt = request.in_flight.is_some();
        let is_retry = request.attempts > 0;
        request.in_flight = Some(request.attempts);
        request.attempts += 1;
        if has_other_attempt {
            let why = format!("request {:016x} has two attempts in flight", id.0);
            self.add_breach(&Rule::SingleAttempt {}, now, why);
        }
        if is_retry {
            self.retries.push_back(now);
            self.check_retry_budget(now);
        }
    }

    fn check_drain(&mut self, now: Timestamp, id: RequestId, engine: EngineId) {
        let Some(since) = self.drained_or_withdrawn_at.get(&engine).copied() else { return };
        let elapsed = now - since;
        if elapsed > self.settings.drain_grace {
            let ms = to_ms(elapsed);
            let why = format!(
                "request {:016x} was forwarded to engine {} {ms} ms after its drain or withdrawal",
                id.0, engine.0
            );
            self.add_breach(&Rule::Drain {}, now, why);
        }
    }

    fn check_retry_budget(&mut self, now: Timestamp) {
        let Some(budget) = self.settings.retry_budget else { return };
        let window_start = now - budget.window;
        for times in [&mut self.arrivals, &mut self.retries] {
            while times.front().is_some_and(|time| *time < window_start) {
                times.pop_front();
            }
        }
        // Arrivals before the checkpoint are unknown, so the budget of a window that begins before it is
        // unknown, too.
        if window_start < self.start {
            return;
        }
        let allowed = budget.max_retries(self.arrivals.len() as u64, 0.0);
        if self.retries.len() as f64 > allowed {
            let retries = self.retries.len();
            let why = format!("{retries} retries in a window that allows {allowed:.1}");
            self.add_breach(&Rule::RetryBudget {}, now, why);
        }
    }

    fn check_deadlines(&mut self, now: Timestamp) {
        while let Some(&(deadline, id)) = self.deadlines.first().filter(|(deadline, _)| *deadline < now) {
            self.deadlines.remove(&(deadline, id));
            let why = format!("request {:016x} was not answered in time", id.0);
            self.add_breach(&Rule::Answered {}, now, why);
        }
    }

    /// Checks the expectations that are known only at the end of the replay, at `now`, and returns all
    /// breaches.
    pub fn finish(mut self, now: Timestamp) -> Vec<Breach> {
        for (rule, why) in self.expectations.unmet(&self.rules) {
            self.add_breach(&rule, now, why);
        }
        self.breaches
    }
}
