//! Gives a capture to the module again and compares what it answers, action by action and bit by bit.

use crate::error::{BoxError, ReplayError, UnknownTreatment};
use crate::pb;
use crate::segment::{Answer, Record, Segment};
use crate::wire::{answers_out, digest, Told};
use serde::Serialize;
use sprucelink_policy::Policy;
use sprucelink_policy::*;
use std::collections::{BTreeMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// What is done with a recorded outcome that belongs to a decision which the module, replayed, did not take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Treatment {
    /// It is told as it was: the module passes over what it has not out; what has the same number on another
    /// engine takes the end, the latency and the load report of the engine that was chosen then.
    #[default]
    Recorded,
    /// What belongs to the engine is kept from it: an attempt on another engine than then ends at the recorded
    /// time with its own needs told and no load report, as served or as called off; notes of such attempts are not
    /// told; an attempt that the record does not have is never heard of, and ends when the module calls it off.
    Matched,
}

impl std::str::FromStr for Treatment {
    type Err = UnknownTreatment;
    fn from_str(text: &str) -> Result<Treatment, UnknownTreatment> {
        match text {
            "recorded" => Ok(Treatment::Recorded),
            "matched" => Ok(Treatment::Matched),
            _ => Err(UnknownTreatment(text.to_owned())),
        }
    }
}

/// Where replayed and recorded answers part.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Divergence {
    /// The record's number in its segment, from 0.
    pub record: usize,
    /// When the module was told, Unix microseconds.
    pub at_us: i64,
    /// The event.
    pub event: String,
    /// What was answered then.
    pub expected: String,
    /// What the replay answered.
    pub got: String,
    /// Kinds of actions of which there are more or fewer, or other ones: `send`, `terms`, ...
    pub kinds: Vec<&'static str>,
}

/// What a replay of a segment came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Events given to the module.
    pub events: usize,
    /// Events to which it answered otherwise than recorded.
    pub differ: usize,
    /// The first of them.
    pub first: Option<Divergence>,
    /// How many of them by kind of action.
    pub by_kind: BTreeMap<&'static str, usize>,
    /// Digest of all replayed answers, in order.
    pub digest: u64,
    /// The module did not come back from an event: the record's number and what it said.
    pub panicked: Option<(usize, String)>,
}

/// What is heard of a replay: the module before the event, the record, its number, the answer.
pub type Hearer<'a, 'b> = &'a mut (dyn FnMut(Step<'_>) + 'b);

/// One event of a replay.
pub struct Step<'a> {
    /// The record's number in its segment, from 0.
    pub number: usize,
    /// The record, with the event as it was given.
    pub record: &'a Record,
    /// The module after the event.
    pub module: &'a Policy,
    /// What it answered, reasons among it where the module was asked to tell them.
    pub actions: &'a [Action],
}

/// The kind of an action, in a word.
pub fn kind(action: &Action) -> &'static str {
    match action {
        Action::ForwardAttempt { .. } => "send",
        Action::SetExecutionTerms { .. } => "terms",
        Action::Cancel { .. } => "cancel",
        Action::Reject { .. } => "refuse",
        Action::Fail { .. } => "fail",
        Action::StartTimer { .. } => "timer",
        Action::Probe { .. } => "probe",
        Action::BroadcastToPeers { .. } => "tell",
        Action::WatchEndpoints => "watch",
        Action::Log(_) => "log",
        Action::Explain(_) => "why",
    }
}

/// The kind of what a record told, in a word.
pub fn told_kind(told: &Told) -> &'static str {
    match told {
        Told::Event(Event::EndpointsChanged { .. }) => "list",
        Told::Event(Event::RequestArrived(_)) => "arrived",
        Told::Event(Event::ResponseStarted { .. }) => "started",
        Told::Event(Event::ProgressReported { .. }) => "noted",
        Told::Event(Event::AttemptEnded { .. }) => "ended",
        Told::Event(Event::RequestAbandoned { .. }) => "given_up",
        Told::Event(Event::Timer { .. }) => "timer",
        Told::Event(Event::ProbeCompleted { .. }) => "probed",
        Told::Event(Event::PeerMessageReceived { .. }) => "heard",
        Told::Event(Event::FleetChanged { .. }) => "fleet",
        Told::Event(Event::ZoneWeightsChanged(_)) => "zones",
        Told::Numbered { .. } => "numbered",
    }
}

/// Keeps which attempts the record had out, so that outcomes can be told apart by whose they are.
#[derive(Default)]
struct Then {
    /// Engine of each attempt, by request and number.
    sent: BTreeMap<(u64, u32), EngineId>,
    next: BTreeMap<u64, u32>,
}

impl Then {
    fn sends(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::ForwardAttempt { id, engine, .. } = action {
                let number = self.next.entry(id.0).or_default();
                self.sent.insert((id.0, *number), *engine);
                *number += 1;
            }
        }
    }
    fn over(&mut self, id: u64) {
        if let Some(n) = self.next.remove(&id) {
            (0..n).for_each(|k| _ = self.sent.remove(&(id, k)));
        }
    }
}

/// The event that a replayed module is given in place of a recorded one; `None` where it is kept from it.
fn matched(event: &Event, module: &Policy, then: &Then) -> Option<Event> {
    let (Event::ProgressReported { id, attempt, .. } | Event::AttemptEnded { id, attempt, .. }) = event
    else {
        return Some(event.clone());
    };
    // An attempt that the record had not out either, or of which only digests tell: the module judges by number.
    let Some(engine) = then.sent.get(&(id.0, *attempt)) else { return Some(event.clone()) };
    let (number, here) = module.in_flight_attempt(*id)?;
    if number == *attempt && here == *engine {
        return Some(event.clone());
    }
    match event {
        // Elsewhere than then: the request's own part is told, the engine's is not.
        Event::AttemptEnded { id, outcome, latency, complete, query_cost, .. } => {
            let served = *outcome == DELIVERED;
            Some(Event::AttemptEnded {
                id: *id,
                attempt: number,
                outcome: if served { DELIVERED } else { REVOKED },
                latency: *latency,
                complete: *complete,
                query_cost: *query_cost,
                report: LoadReport::default(),
            })
        }
        _ => None,
    }
}

const DELIVERED: sprucelink_policy::Outcome = sprucelink_policy::Outcome::Succeeded;
const REVOKED: sprucelink_policy::Outcome = sprucelink_policy::Outcome::Cancelled;

/// What an attempt that the module calls off, and the record did not, takes to end: an undo's way.
const UNDO: TimeDelta = TimeDelta::from_micros(10_000);

/// How a segment is replayed.
pub struct Play<'a> {
    /// What becomes of outcomes of decisions that were not taken.
    pub treatment: Treatment,
    /// Up to this moment; to the end if absent.
    pub until: Option<Timestamp>,
    /// The module tells its reasons.
    pub explain: bool,
    /// What is changed of the module before it begins.
    pub change: &'a dyn Fn(&mut Policy) -> Result<(), BoxError>,
}

impl Default for Play<'_> {
    fn default() -> Self {
        Play { treatment: Treatment::Recorded, until: None, explain: false, change: &|_| Ok(()) }
    }
}

/// A module in replay.
struct Replayed<'a, 'b> {
    module: Policy,
    out: Outcome,
    chain: u64,
    scratch: Vec<u8>,
    actions: Vec<Action>,
    /// Attempts that the module called off and nothing of the record ends, by when they end.
    undone: VecDeque<(Timestamp, RequestId, u32)>,
    hear: Hearer<'a, 'b>,
}

impl Replayed<'_, '_> {
    /// Gives an event; false if the module did not come back.
    fn give(&mut self, number: usize, at: Timestamp, event: Event) -> bool {
        self.actions.clear();
        let (module, actions) = (&mut self.module, &mut self.actions);
        if let Err(cause) = catch_unwind(AssertUnwindSafe(|| module.handle(at, event, actions))) {
            self.out.panicked = Some((number, panic_text(&*cause)));
            return false;
        }
        true
    }

    fn heard(&mut self, number: usize, at: Timestamp, told: Told, answer: &Answer) {
        let record = Record { at, told, answer: answer.clone() };
        (self.hear)(Step { number, record: &record, module: &self.module, actions: &self.actions });
    }

    /// Ends what was called off and is due.
    fn land(&mut self, number: usize, now: Timestamp) -> bool {
        while let Some((at, id, attempt)) = self.undone.front().copied().filter(|u| u.0 <= now) {
            self.undone.pop_front();
            if self.module.in_flight_attempt(id).is_none_or(|o| o.0 != attempt) {
                continue;
            }
            let (outcome, latency, report) = (REVOKED, UNDO, LoadReport::default());
            let ended = Event::AttemptEnded {
                id,
                attempt,
                outcome,
                latency,
                complete: false,
                query_cost: None,
                report,
            };
            if !self.give(number, at, ended.clone()) {
                return false;
            }
            self.heard(number, at, Told::Event(ended), &Answer::None);
            self.calls_off(at, &Answer::None);
        }
        true
    }

    /// Notes what the module calls off and the record did not just then: of what it did, the record has the end.
    fn calls_off(&mut self, at: Timestamp, answer: &Answer) {
        for action in &self.actions {
            let too = matches!(answer, Answer::Whole(then) if then.contains(action));
            if let (Action::Cancel { id, attempt }, false) = (action, too) {
                self.undone.push_back((at + UNDO, *id, *attempt));
            }
        }
    }

    fn compare(&mut self, number: usize, record: &Record, event: &Event) {
        self.out.events += 1;
        let got = answers_out(&self.actions);
        self.chain = self.chain.rotate_left(1) ^ digest(&got, &mut self.scratch);
        if same(&record.answer, &got, &mut self.scratch) {
            return;
        }
        self.out.differ += 1;
        let kinds = parted(&record.answer, &self.actions);
        kinds.iter().for_each(|k| *self.out.by_kind.entry(k).or_default() += 1);
        let actions = &self.actions;
        self.out.first.get_or_insert_with(|| Divergence {
            record: number,
            at_us: record.at.as_micros(),
            event: format!("{event:?}"),
            expected: match &record.answer {
                Answer::Whole(actions) => show(actions),
                Answer::Digest(count, digest) => format!("{count} actions with digest {digest:016x}"),
                Answer::None => "no answer: the program ended".into(),
            },
            got: show(actions),
            kinds,
        });
    }
}

/// Replays a segment from its checkpoint. An error says that the state cannot be read.
pub fn segment(seg: &Segment, play: &Play, hear: Hearer) -> Result<Outcome, ReplayError> {
    let mut module = seg.module()?;
    (play.change)(&mut module).map_err(ReplayError::Change)?;
    module.set_explaining(play.explain);
    let mut then = Then::default();
    for open in module.open_requests() {
        // What was out at the checkpoint is the record's and the replay's alike.
        then.next.insert(open.id.0, open.attempts);
        open.in_flight.into_iter().for_each(|(n, engine)| _ = then.sent.insert((open.id.0, n), engine));
    }
    let mut r = Replayed {
        module,
        out: Outcome::default(),
        chain: 0,
        scratch: Vec::new(),
        actions: Vec::new(),
        undone: VecDeque::new(),
        hear,
    };
    let matching = play.treatment == Treatment::Matched;
    for (number, record) in seg.records.iter().enumerate() {
        if play.until.is_some_and(|t| record.at > t) {
            break;
        }
        if matching && !r.land(number, record.at) {
            break;
        }
        let Told::Event(event) = &record.told else {
            r.actions.clear();
            r.heard(number, record.at, record.told.clone(), &record.answer);
            continue;
        };
        let given = if matching { matched(event, &r.module, &then) } else { Some(event.clone()) };
        if let Answer::Whole(expected) = &record.answer {
            then.sends(expected);
        }
        match event {
            Event::RequestAbandoned { id } | Event::AttemptEnded { id, complete: true, .. } => {
                then.over(id.0)
            }
            Event::AttemptEnded { id, attempt, .. } => _ = then.sent.remove(&(id.0, *attempt)),
            _ => {}
        }
        let Some(given) = given else { continue };
        if !r.give(number, record.at, given.clone()) {
            break;
        }
        if matching {
            r.calls_off(record.at, &record.answer);
        }
        r.compare(number, record, event);
        r.heard(number, record.at, Told::Event(given), &record.answer);
    }
    r.out.digest = r.chain;
    Ok(r.out)
}

/// What a panic said.
fn panic_text(cause: &(dyn std::any::Any + Send)) -> String {
    let text = cause.downcast_ref::<&str>().map(|s| (*s).to_owned());
    text.or_else(|| cause.downcast_ref::<String>().cloned()).unwrap_or_else(|| "no text".into())
}

/// Whether a replayed answer is the recorded one, bit for bit.
fn same(answer: &Answer, got: &[pb::Action], scratch: &mut Vec<u8>) -> bool {
    match answer {
        Answer::Whole(expected) => {
            let expected = answers_out(expected);
            expected.len() == got.len() && digest(&expected, scratch) == digest(got, scratch)
        }
        Answer::Digest(count, sum) => *count as usize == got.len() && *sum == digest(got, scratch),
        Answer::None => true,
    }
}

/// Actions in words, one behind the other; reasons are left out.
pub fn show(actions: &[Action]) -> String {
    let all: Vec<String> =
        actions.iter().filter(|a| !matches!(a, Action::Explain(_))).map(|a| format!("{a:?}")).collect();
    if all.is_empty() {
        "nothing".into()
    } else {
        all.join("; ")
    }
}

/// The kinds in which two answers differ; all as one, `unknown`, where only a digest is there.
fn parted(answer: &Answer, got: &[Action]) -> Vec<&'static str> {
    let Answer::Whole(expected) = answer else { return vec!["unknown"] };
    let mut kinds: Vec<&'static str> = Vec::new();
    for name in expected.iter().chain(got).map(kind).filter(|k| *k != "why") {
        let of = |all: &[Action]| {
            all.iter().filter(|a| kind(a) == name).map(|a| format!("{a:?}")).collect::<Vec<_>>()
        };
        if !kinds.contains(&name) && of(expected) != of(got) {
            kinds.push(name);
        }
    }
    if kinds.is_empty() {
        kinds.push("order");
    }
    kinds
}
