//! Asks a capture why: the story of a request, of an engine, or of a moment. The module is replayed with its
//! reasons told; where it parts from the record, the story says so and ends, for the reasons would be those of
//! another day.

use crate::cut::number;
use crate::error::{ReplayError, StateError};
use crate::replay::{segment, Play, Step};
use crate::segment::Segment;
use crate::wire::Told;
use serde::Serialize;
use serde_json::{json, Value};
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::*;
use std::collections::BTreeMap;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// The story of a request, by its id.
    Request(u64),
    /// The story of an engine, by its id on the feed or, with `#` before it, by its number.
    Engine(String),
    /// What was believed at a moment, and what was told just around it.
    At(Timestamp),
}

/// One line of a story.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Unix microseconds.
    pub at_us: i64,
    /// In words.
    pub text: String,
    /// The same as data.
    pub data: Value,
}

/// Told of around a moment: so much on either side.
const AROUND: TimeDelta = TimeDelta::from_micros(50_000);
/// A change of believed utilisation, in threads a core, that is worth a line of its own.
const SHIFT: f64 = 0.25;

struct Story<'a> {
    question: &'a Question,
    engines: Vec<(String, u32)>,
    /// The engine asked about, once its number is known.
    engine: Option<u32>,
    /// Where each attempt that is out went.
    sent: BTreeMap<(u64, u32), u32>,
    sends: BTreeMap<u64, u32>,
    told_utilisation: f64,
    /// Draws that the engine was in since the last line, by what kept it out.
    barred: BTreeMap<&'static str, u32>,
    drawn: u32,
    moment_told: bool,
    hear: &'a mut dyn FnMut(Line),
    lines: usize,
}

/// Tells a story line by line. The answer is how many lines there were; an error says that a state cannot be
/// read.
pub fn explain(
    segments: &[Segment],
    question: &Question,
    hear: &mut dyn FnMut(Line),
) -> Result<usize, ReplayError> {
    let mut story = Story {
        question,
        engines: Vec::new(),
        engine: None,
        sent: BTreeMap::new(),
        sends: BTreeMap::new(),
        told_utilisation: -1.0,
        barred: BTreeMap::new(),
        drawn: 0,
        moment_told: false,
        hear,
        lines: 0,
    };
    for seg in segments {
        if let Question::At(at) = question {
            if seg.until() + AROUND < *at || seg.at > *at + AROUND {
                continue;
            }
        }
        story.begin(seg)?;
        let play = Play { explain: true, ..Play::default() };
        let seen = segment(seg, &play, &mut |step| story.step(&step))?;
        if let Some(first) = seen.first {
            let text = format!(
                "the replay parts from the record at record {} of segment {}: what stands behind it is the \
                 replay's, not the day's",
                first.record, seg.head.segment
            );
            story.line(
                Timestamp::from_micros(first.at_us),
                text,
                json!({"kind": "diverged", "first": first}),
            );
        }
        if let Some((record, why)) = seen.panicked {
            let at = seg.records.get(record).map_or(seg.at, |r| r.at);
            story.line(at, format!("the module panicked: {why}"), json!({"kind": "panicked", "why": why}));
        }
    }
    Ok(story.lines)
}

fn name(engines: &[(String, u32)], number: u32) -> String {
    engines
        .iter()
        .find(|e| e.1 == number)
        .map_or_else(|| format!("#{number}"), |e| format!("{} (#{number})", e.0))
}

fn figure(v: Option<f64>) -> String {
    v.map_or("-".into(), |v| format!("{v:.2}"))
}

fn told_of(r: &LoadReport) -> String {
    let all = [
        ("in hand", r.queries_in_flight),
        ("waiting", r.queries_waiting_for_memory),
        ("busy", r.busy_core_fraction),
        ("memory", r.granted_memory_fraction),
        ("disks", r.busy_disk_fraction),
    ];
    let said: Vec<String> = all.iter().filter_map(|(n, v)| v.map(|v| format!("{n} {v:.2}"))).collect();
    if said.is_empty() {
        "no load report".into()
    } else {
        format!("reported {}", said.join(", "))
    }
}

/// What is believed of an engine, in words.
pub fn belief(e: &EngineView) -> String {
    let mut text = format!(
        "believed {:.2} threads a core (own {:.0}, others {:.1} by a report {} s old that counts {:.2}, usual {:.1}, \
         waiting {:.0})",
        e.utilisation,
        e.threads,
        e.others_threads,
        figure(e.report_age),
        e.report_weight,
        e.mean_others_threads,
        e.queries_waiting_for_memory
    );
    let marks = [
        (e.saturated, "told to be full"),
        (e.ejected, "ejected"),
        (e.unresponsive, "silent"),
        (e.capacity_fraction < 1.0, "cold"),
        (e.backoff_secs > 0.0, "resting"),
        (!e.listed, "not listed as ready"),
    ];
    for (_, mark) in marks.iter().filter(|m| m.0) {
        text.push_str(", ");
        text.push_str(mark);
    }
    text
}

/// An outcome by the word that explanations have for it.
fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Succeeded => "Delivered",
        Outcome::EngineError => "Error",
        Outcome::RejectedByEngine => "Shed",
        Outcome::TimedOut => "Expired",
        Outcome::ConnectFailed => "DialFailed",
        Outcome::ConnectionLost => "Dropped",
        Outcome::Cancelled => "Revoked",
        Outcome::NeverSent => "Unused",
    }
}

fn bar_name(bar: IneligibleReason) -> &'static str {
    match bar {
        IneligibleReason::NotListed => "not listed",
        IneligibleReason::Rules => "rules",
        IneligibleReason::Health => "health",
        IneligibleReason::JustFailed => "just failed it",
        IneligibleReason::NotSampled => "not among the few",
        IneligibleReason::NoCapacity => "no room",
    }
}

/// A reason in words.
pub fn reason(why: &Reason, engines: &[(String, u32)]) -> String {
    match why {
        Reason::Priced {
            class,
            level,
            cost,
            expected_time,
            price,
            net_value,
            latency_objective,
            own_threads,
            core_share,
            has_free_cores,
            admitted,
            ..
        } => {
            let verdict = match (admitted, has_free_cores) {
                (true, true) => "let in by the free-core pass",
                (true, false) => "let in: worth covers the toll",
                _ => "refused: the toll is more than it is worth",
            };
            format!(
                "priced: class {class}, cost {cost:.2} thread-s, level {level}, expected in {expected_time:.2} s (wanted within \
                 {latency_objective:.2}), toll {price:.3} against worth {net_value:.3}; {own_threads:.0} own threads of a share of {core_share:.1} \
                 cores; {verdict}"
            )
        }
        Reason::Drawn { random_unit, max_utilisation, chosen, candidates, .. } => {
            let total: f64 = candidates.iter().map(|c| c.weight).sum();
            let each: Vec<String> = candidates
                .iter()
                .map(|c| {
                    let why = c.ineligible.map_or_else(
                        || format!("{:.0}%", 100.0 * c.weight / total.max(f64::MIN_POSITIVE)),
                        |b| bar_name(b).to_owned(),
                    );
                    format!("{} {:.2} threads a core: {why}", name(engines, c.engine.0), c.utilisation)
                })
                .collect();
            let end = chosen.map_or_else(|| "it waits".into(), |e| format!("drawn {}", name(engines, e.0)));
            format!("draw at {random_unit:.3}, room under {max_utilisation:.1}: {}; {end}", each.join("; "))
        }
        Reason::Answered {
            attempts,
            errors,
            time_left,
            retry_allowed,
            has_retry_budget,
            expected_total_time,
            net_value,
            price,
            queue_delay,
            ..
        } => format!(
            "given up: {attempts} attempts, {errors} errors, {time_left:.2} s left, a further attempt is {}, the ration \
             has {}; an answer would take {expected_total_time:.2} s in all and earn {net_value:.3} against a toll of {price:.3}; the line \
             holds {queue_delay:.2} s of work",
            if *retry_allowed { "allowed" } else { "not allowed" },
            if *has_retry_budget { "room" } else { "none" }
        ),
        Reason::Cancelled { attempt, engine, age, expected_latency, since_progress, ejected, answered, .. } => format!(
            "attempt {attempt} on {} called off: out for {age:.2} s of {expected_latency:.2} expected, unheard of for \
             {since_progress:.2} s{}{}",
            name(engines, engine.0),
            if *ejected { ", its engine ejected" } else { "" },
            if *answered { ", its request is over" } else { "" }
        ),
    }
}

fn about(why: &Reason) -> RequestId {
    match why {
        Reason::Priced { id, .. }
        | Reason::Drawn { id, .. }
        | Reason::Answered { id, .. }
        | Reason::Cancelled { id, .. } => *id,
    }
}

/// The request that an action is about.
fn asks(action: &Action) -> Option<RequestId> {
    match action {
        Action::ForwardAttempt { id, .. }
        | Action::SetExecutionTerms { id, .. }
        | Action::Cancel { id, .. }
        | Action::Reject { id, .. }
        | Action::Fail { id, .. } => Some(*id),
        Action::Explain(why) => Some(about(why)),
        _ => None,
    }
}

impl Story<'_> {
    fn line(&mut self, at: Timestamp, text: String, data: Value) {
        self.lines += 1;
        (self.hear)(Line { at_us: at.as_micros(), text, data });
    }

    fn begin(&mut self, seg: &Segment) -> Result<(), StateError> {
        self.engines.clone_from(&seg.engines);
        let module = seg.module()?;
        self.sent.clear();
        self.sends.clear();
        for open in module.open_requests() {
            self.sends.insert(open.id.0, open.attempts);
            open.in_flight.into_iter().for_each(|(n, e)| _ = self.sent.insert((open.id.0, n), e.0));
        }
        self.find();
        if let (Question::Request(id), true) = (self.question, seg.head.lost_before > 0) {
            let text =
                format!("{} events were lost before segment {}", seg.head.lost_before, seg.head.segment);
            self.line(
                seg.at,
                text,
                json!({"kind": "gap", "lost": seg.head.lost_before, "request": format!("{id:016x}")}),
            );
        }
        Ok(())
    }

    /// Finds the number of the engine asked about.
    fn find(&mut self) {
        let Question::Engine(asked) = self.question else { return };
        let by_id = self.engines.iter().find(|e| e.0 == *asked).map(|e| e.1);
        self.engine = by_id.or_else(|| asked.strip_prefix('#').and_then(|n| n.parse().ok())).or(self.engine);
    }

    fn step(&mut self, step: &Step) {
        number(&mut self.engines, &step.record.told);
        if matches!(step.record.told, Told::Numbered { .. }) {
            self.find();
        }
        match self.question {
            Question::Request(id) => self.request(RequestId(*id), step),
            Question::Engine(_) => self.engine(step),
            Question::At(at) => self.moment(*at, step),
        }
        self.keep(step);
    }

    /// Keeps where attempts are.
    fn keep(&mut self, step: &Step) {
        if let Told::Event(Event::AttemptEnded { id, attempt, .. }) = &step.record.told {
            self.sent.remove(&(id.0, *attempt));
        }
        for action in step.actions {
            if let Action::ForwardAttempt { id, engine, .. } = action {
                let n = self.sends.entry(id.0).or_default();
                self.sent.insert((id.0, *n), engine.0);
                *n += 1;
            }
        }
    }

    fn did(&self, action: &Action) -> String {
        match action {
            Action::ForwardAttempt { engine, id, .. } => {
                let n = self.sends.get(&id.0).copied().unwrap_or(0);
                format!("sent, attempt {n}, to {}", name(&self.engines, engine.0))
            }
            Action::SetExecutionTerms { grant_mb, level, .. } => format!(
                "terms: priority {}, {}",
                level.0,
                grant_mb.map_or("memory as the engine chooses".into(), |mb| format!("{mb:.0} MB"))
            ),
            Action::Reject { retry_after, .. } => {
                format!("refused, come back in {} s", figure(retry_after.map(TimeDelta::as_secs_f64)))
            }
            Action::Fail { retry_after, .. } => {
                format!("failed, come back in {} s", figure(retry_after.map(TimeDelta::as_secs_f64)))
            }
            Action::Explain(why) => reason(why, &self.engines),
            other => format!("{other:?}"),
        }
    }

    fn told(&self, event: &Event) -> Option<String> {
        Some(match event {
            Event::RequestArrived(a) => format!(
                "arrived: class {}, tenant {}, group {}, {:.2} s to wait, estimated {} thread-s and {} MB",
                a.class.0,
                a.tenant,
                a.tables,
                a.time_left.as_secs_f64(),
                figure(a.cost),
                figure(a.memory_mb)
            ),
            Event::ProgressReported { attempt, note, .. } => format!("note on attempt {attempt}: {note:?}"),
            Event::AttemptEnded { id, attempt, outcome, latency, complete, query_cost, report } => {
                let at =
                    self.sent.get(&(id.0, *attempt)).map_or("an engine".into(), |e| name(&self.engines, *e));
                let needed = query_cost.map_or(String::new(), |b| {
                    format!(", needed {:.2} thread-s and {:.0} MB", b.work, b.memory_mb)
                });
                format!(
                    "attempt {attempt} on {at} ended {} after {:.3} s{needed}; {}{}",
                    outcome_text(*outcome),
                    latency.as_secs_f64(),
                    told_of(report),
                    if *complete { "; the request is over" } else { "" }
                )
            }
            Event::RequestAbandoned { .. } => "its client gave up".into(),
            Event::ResponseStarted { .. } => "its answer began".into(),
            _ => return None,
        })
    }

    fn request(&mut self, id: RequestId, step: &Step) {
        let at = step.record.at;
        if let Told::Event(event) = &step.record.told {
            let of = match event {
                Event::RequestArrived(a) => Some(a.id),
                Event::ProgressReported { id, .. }
                | Event::AttemptEnded { id, .. }
                | Event::RequestAbandoned { id }
                | Event::ResponseStarted { id } => Some(*id),
                _ => None,
            };
            if let Some(text) = (of == Some(id)).then(|| self.told(event)).flatten() {
                self.line(at, text, json!({"kind": "told", "event": event}));
            }
        }
        for action in step.actions.iter().filter(|a| asks(a) == Some(id)) {
            let data = match action {
                Action::Explain(why) => json!({"kind": "why", "why": why}),
                other => json!({"kind": crate::replay::kind(other)}),
            };
            let text = self.did(action);
            self.line(at, text, data);
        }
    }

    fn engine(&mut self, step: &Step) {
        let Some(n) = self.engine else { return };
        let (at, view) = (step.record.at, step.module.engine_view(EngineId(n)));
        let data = |kind: &str| json!({"kind": kind, "belief": view});
        let Some(view) = &view else { return };
        for action in step.actions {
            let Action::Explain(why) = action else { continue };
            if let Reason::Drawn { candidates, .. } = &**why {
                if let Some(c) = candidates.iter().find(|c| c.engine.0 == n) {
                    self.drawn += 1;
                    *self.barred.entry(c.ineligible.map_or("in the draw", bar_name)).or_default() += 1;
                }
            }
        }
        let mut texts = Vec::new();
        match &step.record.told {
            Told::Event(Event::EndpointsChanged { entries, .. }) => {
                let states = entries
                    .iter()
                    .filter(|e| e.engine.0 == n)
                    .map(|e| format!("the list says {:?}", e.state));
                texts.extend(states);
            }
            Told::Event(event @ Event::AttemptEnded { id, attempt, .. })
                if self.sent.get(&(id.0, *attempt)) == Some(&n) =>
            {
                texts.extend(self.told(event).map(|t| format!("request {:016x}: {t}", id.0)));
            }
            _ => {}
        }
        for action in step.actions {
            match action {
                Action::ForwardAttempt { id, engine, .. } if engine.0 == n => {
                    let k = self.sends.get(&id.0).copied().unwrap_or(0);
                    texts.push(format!("request {:016x} sent to it, attempt {k}", id.0));
                }
                Action::Log(text) if text.starts_with(&format!("engine {n} ")) => texts.push(text.clone()),
                _ => {}
            }
        }
        let shifted = (view.utilisation - self.told_utilisation).abs() > SHIFT;
        if texts.is_empty() && !shifted {
            return;
        }
        if self.drawn > 0 {
            let by: Vec<String> = self.barred.iter().map(|(why, n)| format!("{why} {n}")).collect();
            let text = format!("looked at in {} draws since: {}", self.drawn, by.join(", "));
            let counts = json!({"kind": "draws", "draws": self.drawn, "by": self.barred});
            self.line(at, text, counts);
            (self.drawn, self.barred) = (0, BTreeMap::new());
        }
        for text in texts {
            self.line(at, text, data("news"));
        }
        self.line(at, belief(view), data("belief"));
        self.told_utilisation = view.utilisation;
    }

    fn moment(&mut self, at: Timestamp, step: &Step) {
        let now = step.record.at;
        if now >= at && !std::mem::replace(&mut self.moment_told, true) {
            let all = step.module.overview();
            let text = format!(
                "{} open, {} of them in the line; own threads {:.0} of a share of {:.1} cores; others {:.2} threads a core \
                 as reported; held by level {:.1?} thread-s; tolls by class and level {:.3?}; waits {:.2?}",
                all.open_requests, all.queued_requests, all.own_threads, all.core_share, all.others_load, all.queued_work, all.prices, all.waits
            );
            self.line(now, text, json!({"kind": "overview", "overview": all}));
            for e in step.module.engine_views().into_iter().filter(|e| !e.withdrawn) {
                let text = format!("engine {}: {}", name(&self.engines, e.engine), belief(&e));
                self.line(now, text, json!({"kind": "belief", "belief": e}));
            }
        }
        if now + AROUND < at || now > at + AROUND {
            return;
        }
        if let Told::Event(event) = &step.record.told {
            let text = self.told(event).unwrap_or_else(|| format!("{event:?}"));
            self.line(now, format!("told: {text}"), json!({"kind": "told", "event": event}));
        }
        for action in step.actions.iter().filter(|a| !matches!(a, Action::StartTimer { .. })) {
            let who = asks(action).map_or(String::new(), |id| format!("request {:016x} ", id.0));
            let text = format!("{who}{}", self.did(action));
            self.line(now, text, json!({"kind": crate::replay::kind(action)}));
        }
    }
}
