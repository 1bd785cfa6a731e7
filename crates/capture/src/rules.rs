//! What must hold over a replay: the rules of service, and expectations of a case's own. Each is checked on
//! what the replayed module answers, so a case goes on holding when the module changes for the better.

use crate::error::RuleError;
use crate::replay::Step;
use crate::wire::Told;
use serde::{Deserialize, Serialize};
use sprucelink_policy::Policy;
use sprucelink_policy::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One rule, written in a case as JSON such as `{"rule": "drain"}`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "rule", rename_all = "snake_case", deny_unknown_fields)]
pub enum Rule {
    /// Nothing to an engine later than the settings' drain grace after the module was told that it drains or
    /// is gone.
    Drain {},
    /// At most one attempt of a request out at a time.
    OneOut {},
    /// Further attempts within any span of the settings' budget number at most its free ones and its share of
    /// the requests taken then.
    Ration {},
    /// Each request has one final answer, before its client gives up.
    Answered {},
    /// A case's own expectation: sends between two moments, counted.
    Sends {
        /// To this engine only, by number.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        engine: Option<u32>,
        /// Of this request only, 16 hex digits.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        request: Option<String>,
        /// Milliseconds after the checkpoint, from which sends count.
        #[serde(default)]
        from_ms: f64,
        /// Milliseconds after the checkpoint, up to which they count; to the end if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        until_ms: Option<f64>,
        /// So many at least.
        #[serde(default)]
        at_least: usize,
        /// So many at most.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        at_most: Option<usize>,
    },
    /// A case's own expectation: how many requests are turned away (refused or failed) by the module.
    TurnedAway {
        /// So many at least.
        #[serde(default)]
        at_least: usize,
        /// So many at most.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        at_most: Option<usize>,
    },
    /// A case's own expectation: an engine, by number, is distrusted by this moment at the latest.
    Distrusted {
        /// The engine.
        engine: u32,
        /// Milliseconds after the checkpoint.
        by_ms: f64,
    },
}

impl Rule {
    /// Reads a rule; words without braces stand for rules without arguments.
    pub fn parse(text: &str) -> Result<Rule, RuleError> {
        let text = text.trim();
        let json = if text.starts_with('{') { text.to_owned() } else { format!("{{\"rule\":\"{text}\"}}") };
        json5::from_str(&json).map_err(|source| RuleError { text: text.to_owned(), source })
    }

    /// The rule as a case holds it.
    pub fn text(&self) -> String {
        // Plain values only: this cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// The rule, as text.
    pub rule: String,
    /// When, Unix microseconds.
    pub at_us: i64,
    /// How.
    pub why: String,
}

#[derive(Default)]
struct Seen {
    deadline: Timestamp,
    sends: u32,
    out: Option<u32>,
    finals: u32,
}

/// Counted sends of one rule.
struct Count {
    rule: usize,
    n: usize,
}

/// Checks rules over a replay, a step at a time.
pub struct Checker {
    rules: Vec<Rule>,
    set: Settings,
    start: Timestamp,
    requests: BTreeMap<RequestId, Seen>,
    due: BTreeSet<(Timestamp, RequestId)>,
    told_off: BTreeMap<EngineId, Timestamp>,
    taken: VecDeque<Timestamp>,
    extra: VecDeque<Timestamp>,
    counts: Vec<Count>,
    turned_away: usize,
    distrusted: BTreeMap<u32, Timestamp>,
    breaches: Vec<Breach>,
}

impl Checker {
    /// Rules over a replay that begins with this module at this time.
    pub fn new(rules: Vec<Rule>, module: &Policy, start: Timestamp) -> Checker {
        let mut requests = BTreeMap::new();
        let mut due = BTreeSet::new();
        for open in module.open_requests() {
            let out = open.in_flight.map(|o| o.0);
            let seen =
                Seen { deadline: open.deadline, sends: open.attempts, out, finals: u32::from(open.answered) };
            if !open.answered {
                due.insert((open.deadline, open.id));
            }
            requests.insert(open.id, seen);
        }
        let told_off =
            module.engine_views().iter().filter(|e| !e.listed).map(|e| (EngineId(e.engine), start)).collect();
        let distrusted =
            module.engine_views().iter().filter(|e| e.ejected).map(|e| (e.engine, start)).collect();
        let is_count = |r: &Rule| matches!(r, Rule::Sends { .. });
        let counts = rules
            .iter()
            .enumerate()
            .filter(|(_, r)| is_count(r))
            .map(|(rule, _)| Count { rule, n: 0 })
            .collect();
        Checker {
            rules,
            set: module.settings().clone(),
            start,
            requests,
            due,
            told_off,
            taken: VecDeque::new(),
            extra: VecDeque::new(),
            counts,
            turned_away: 0,
            distrusted,
            breaches: Vec::new(),
        }
    }

    /// All rules of service, without expectations of a case's own.
    pub fn service() -> Vec<Rule> {
        vec![Rule::Drain {}, Rule::OneOut {}, Rule::Ration {}, Rule::Answered {}]
    }

    fn breach(&mut self, rule: &Rule, at: Timestamp, why: String) {
        if self.rules.contains(rule) {
            self.breaches.push(Breach { rule: rule.text(), at_us: at.as_micros(), why });
        }
    }

    /// One step of a replay.
    pub fn step(&mut self, step: &Step) {
        let now = step.record.at;
        if let Told::Event(event) = &step.record.told {
            self.event(now, event);
        }
        for action in step.actions {
            self.action(now, action);
        }
        for e in step.module.engine_views() {
            if e.ejected {
                self.distrusted.entry(e.engine).or_insert(now);
            }
        }
        while let Some(&(deadline, id)) = self.due.first().filter(|d| d.0 < now) {
            self.due.remove(&(deadline, id));
            self.breach(&Rule::Answered {}, now, format!("request {:016x} was not answered in time", id.0));
        }
    }

    fn event(&mut self, now: Timestamp, event: &Event) {
        match event {
            Event::EndpointsChanged { kind, entries } => {
                if matches!(kind, EndpointUpdate::Complete | EndpointUpdate::Remembered) {
                    let named = |e: &EngineId| entries.iter().any(|n| n.engine == *e);
                    // What a whole list does not name is gone.
                    let gone: Vec<EngineId> = (0..self.known()).map(EngineId).filter(|e| !named(e)).collect();
                    gone.into_iter().for_each(|e| _ = self.told_off.entry(e).or_insert(now));
                }
                for e in entries {
                    match e.state {
                        EngineState::Ready => _ = self.told_off.remove(&e.engine),
                        _ => _ = self.told_off.entry(e.engine).or_insert(now),
                    }
                }
            }
            Event::RequestArrived(a) => {
                self.taken.push_back(now);
                let deadline = now + a.time_left;
                self.requests.insert(a.id, Seen { deadline, ..Seen::default() });
                self.due.insert((deadline, a.id));
            }
            Event::AttemptEnded { id, attempt, outcome, complete, .. } => {
                let Some(r) = self.requests.get_mut(id).filter(|r| r.out == Some(*attempt)) else { return };
                r.out = None;
                if *outcome == Outcome::Succeeded && *complete && r.finals == 0 {
                    r.finals = 1;
                    self.due.remove(&(r.deadline, *id));
                }
                self.tidy(*id);
            }
            Event::RequestAbandoned { id } => {
                if let Some(r) = self.requests.get_mut(id) {
                    r.finals = r.finals.max(1);
                    self.due.remove(&(r.deadline, *id));
                    self.tidy(*id);
                }
            }
            _ => {}
        }
    }

    /// One more than the highest engine number heard of.
    fn known(&self) -> u32 {
        self.told_off.keys().map(|e| e.0 + 1).max().unwrap_or(0)
    }

    /// Bounds what is kept: a request that is answered and has nothing out is forgotten.
    fn tidy(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| r.finals > 0 && r.out.is_none()) {
            self.requests.remove(&id);
        }
    }

    fn action(&mut self, now: Timestamp, action: &Action) {
        match action {
            Action::ForwardAttempt { id, engine, .. } => self.send(now, *id, *engine),
            Action::Reject { id, .. } | Action::Fail { id, .. } => {
                self.turned_away += 1;
                let Some(r) = self.requests.get_mut(id) else {
                    return self.breach(
                        &Rule::Answered {},
                        now,
                        format!("request {:016x} has a second answer", id.0),
                    );
                };
                r.finals += 1;
                let (finals, deadline) = (r.finals, r.deadline);
                self.due.remove(&(deadline, *id));
                if finals > 1 {
                    self.breach(
                        &Rule::Answered {},
                        now,
                        format!("request {:016x} has a second answer", id.0),
                    );
                }
                self.tidy(*id);
            }
            _ => {}
        }
    }

    fn send(&mut self, now: Timestamp, id: RequestId, engine: EngineId) {
        if let Some(at) = self.told_off.get(&engine).copied() {
            let late = now - at;
            if late > self.set.drain_grace {
                let ms = late.as_micros() as f64 / 1e3;
                let why = format!("request {:016x} went to engine {} {ms} ms after the word", id.0, engine.0);
                self.breach(&Rule::Drain {}, now, why);
            }
        }
        for count in &mut self.counts {
            let Rule::Sends { engine: e, request, from_ms, until_ms, .. } = &self.rules[count.rule] else {
                continue;
            };
            let ms = (now - self.start).as_micros() as f64 / 1e3;
            let here = e.is_none_or(|e| e == engine.0)
                && request.as_ref().is_none_or(|r| *r == format!("{:016x}", id.0))
                && ms >= *from_ms
                && until_ms.is_none_or(|u| ms <= u);
            count.n += usize::from(here);
        }
        let r = self.requests.entry(id).or_default();
        let (was_out, again) = (r.out.is_some(), r.sends > 0);
        r.out = Some(r.sends);
        r.sends += 1;
        if was_out {
            self.breach(&Rule::OneOut {}, now, format!("request {:016x} has two attempts out", id.0));
        }
        if again {
            self.extra.push_back(now);
            self.ration(now);
        }
    }

    fn ration(&mut self, now: Timestamp) {
        let Some(b) = self.set.retry_budget else { return };
        let from = now - b.window;
        for window in [&mut self.taken, &mut self.extra] {
            while window.front().is_some_and(|t| *t < from) {
                window.pop_front();
            }
        }
        // What was taken before the checkpoint is not known: a window that reaches back over it says nothing.
        let allowed = b.free_retries + b.retries_per_request * self.taken.len() as f64;
        if from >= self.start && self.extra.len() as f64 > allowed {
            let why = format!("{} further attempts in a span that allows {allowed:.1}", self.extra.len());
            self.breach(&Rule::Ration {}, now, why);
        }
    }

    /// The replay has ended: every breach.
    pub fn finish(mut self, now: Timestamp) -> Vec<Breach> {
        let mut own = Vec::new();
        let within = |n: usize, least: usize, most: Option<usize>| n >= least && most.is_none_or(|m| n <= m);
        for count in &self.counts {
            let rule = &self.rules[count.rule];
            if let Rule::Sends { at_least, at_most, .. } = rule {
                if !within(count.n, *at_least, *at_most) {
                    own.push((rule.clone(), format!("{} sends", count.n)));
                }
            }
        }
        for rule in &self.rules {
            match rule {
                Rule::TurnedAway { at_least, at_most } if !within(self.turned_away, *at_least, *at_most) => {
                    own.push((rule.clone(), format!("{} turned away", self.turned_away)));
                }
                Rule::Distrusted { engine, by_ms } => {
                    let when =
                        self.distrusted.get(engine).map(|t| (*t - self.start).as_micros() as f64 / 1e3);
                    if when.is_none_or(|w| w > *by_ms) {
                        let when = when.map_or("never".to_owned(), |w| format!("after {w} ms"));
                        own.push((rule.clone(), format!("engine {engine} was distrusted {when}")));
                    }
                }
                _ => {}
            }
        }
        own.into_iter().for_each(|(rule, why)| self.breach(&rule, now, why));
        self.breaches
    }
}
