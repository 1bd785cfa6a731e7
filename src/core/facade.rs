//! The decision module in blocking style: `pick` for a request, `report` for news, `tick` for the
//! time. Network code sees orders, never the module's events or actions.

use super::from_unix;
use crate::proto::events::{ListEvent, Phase};
use crate::proto::resp::{How, Stats};
use sprucelink_capture::recorder::{Counters, Recorder};
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::Policy;
use sprucelink_policy::*;
use std::collections::{BTreeMap, BinaryHeap};

/// A request as the core hands it to the module.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Its id.
    pub id: u64,
    /// Its class, by number.
    pub class: usize,
    /// Its tenant, by number.
    pub tenant: usize,
    /// The group of tables it reads or writes.
    pub tables: u64,
    /// How long its client still waits.
    pub left: TimeDelta,
    /// Estimated work in milliseconds on one core.
    pub cost_ms: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served, with all its pages here.
    Served,
    /// The engine answered with an error, or lost a page.
    Crashed,
    /// The engine was full; it never ran.
    Overload,
    /// The client's time ran out.
    Expired,
    /// No connection, or never written to one; it never ran.
    Unreachable,
    /// The connection broke with it out.
    Broken,
    /// It went down with a connection that broke for another's sake or was given up on here: it may have
    /// run, and nothing is held against its engine.
    Cut,
    /// Called off.
    Undone,
    /// The request was over before it ran, or there was no room to send it.
    NotRun,
}

impl AttemptOutcome {
    /// Whether it is proven that no engine ran any of it.
    pub fn never_ran(self) -> bool {
        Outcome::from(self).never_ran()
    }
}

impl From<AttemptOutcome> for Outcome {
    fn from(end: AttemptOutcome) -> Outcome {
        match end {
            AttemptOutcome::Served => Outcome::Delivered,
            AttemptOutcome::Crashed => Outcome::Error,
            AttemptOutcome::Overload => Outcome::Shed,
            AttemptOutcome::Expired => Outcome::Expired,
            AttemptOutcome::Unreachable => Outcome::DialFailed,
            AttemptOutcome::Broken => Outcome::Dropped,
            AttemptOutcome::Undone | AttemptOutcome::Cut => Outcome::Revoked,
            AttemptOutcome::NotRun => Outcome::Unused,
        }
    }
}

/// News for the module.
#[derive(Debug)]
pub enum PolicyEvent<'a> {
    /// A change of the list of engines; the first list of a life may be old.
    List(&'a ListEvent, bool),
    /// A note on an attempt that is out.
    Note(u64, u32, How, f64),
    /// An attempt ended.
    Ended {
        /// The request and the attempt's number.
        id: (u64, u32),
        /// How.
        end: AttemptOutcome,
        /// Time since it was sent.
        latency: TimeDelta,
        /// The request is over, by this or before.
        complete: bool,
        /// Work in milliseconds and memory in MB that it needed.
        bill: Option<(f64, f64)>,
        /// The engine's load report.
        stats: Stats,
    },
    /// The client gave up.
    GivenUp(u64),
    /// Among how many managers what is shared is parted, and what the others leave of their further attempts.
    Fleet(u32, f64),
    /// The weights of zones in the draw.
    Zones(Vec<f64>),
}

/// What the module wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyCommand {
    /// Memory and priority of a request's next send, and the priority of what is out.
    Terms(u64, Option<f64>, u8),
    /// Send a request to an engine.
    Send(u64, usize),
    /// Call an attempt off.
    Undo(u64, u32),
    /// Final: refused; when to come back.
    Refuse(u64, TimeDelta),
    /// Final: failed; when to come back.
    Fail(u64, TimeDelta),
    /// A line for the people on call.
    Log(String),
}

/// The decision module and what it needs to be spoken to.
pub struct PolicyDriver {
    brain: Policy,
    engines: BTreeMap<String, u32>,
    /// Numbers of engines that were forgotten.
    free: Vec<u32>,
    next: u32,
    zones: Vec<String>,
    kinds: Vec<String>,
    timers: BinaryHeap<std::cmp::Reverse<(Timestamp, u64)>>,
    out: Vec<Action>,
    recorder: Option<Recorder>,
    /// Numbers given and taken back that the recorder has not heard of yet.
    numbered: Vec<(String, u32, bool)>,
    /// When engines started: as told, in Unix milliseconds, and on this process's clock as of the first time it was
    /// told, so that the same start stays the same whatever the system's clock does. By number, as long as that holds.
    starts: BTreeMap<u32, (i64, Timestamp)>,
}

fn place(names: &[String], name: &str) -> u32 {
    names.iter().position(|n| n == name).unwrap_or(0) as u32
}

impl PolicyDriver {
    /// A module that starts now.
    pub fn new(
        set: Settings,
        seed: u64,
        zones: Vec<String>,
        kinds: Vec<String>,
        now: Timestamp,
    ) -> PolicyDriver {
        let brain = Policy::new(set, seed, now);
        PolicyDriver {
            brain,
            engines: BTreeMap::new(),
            free: Vec::new(),
            next: 0,
            zones,
            kinds,
            timers: BinaryHeap::new(),
            out: Vec::new(),
            recorder: None,
            numbered: Vec::new(),
            starts: BTreeMap::new(),
        }
    }

    /// From now on all that the module is told and answers is recorded; `None` ends that. The one before.
    pub fn record(&mut self, recorder: Option<Recorder>) -> Option<Recorder> {
        std::mem::replace(&mut self.recorder, recorder)
    }

    /// The recorder's counters, if there is one.
    pub fn recorded(&self) -> Option<Counters> {
        self.recorder.as_ref().map(Recorder::counters)
    }

    fn note_number(&mut self, id: &str, number: u32, freed: bool) {
        if self.recorder.is_some() {
            self.numbered.push((id.to_owned(), number, freed));
        }
    }

    /// The number of an engine, given at first sight: one that is free again, or a new one.
    pub fn engine(&mut self, id: &str) -> usize {
        if let Some(number) = self.engines.get(id) {
            return *number as usize;
        }
        let number = self.free.pop().unwrap_or(self.next);
        self.next = self.next.max(number + 1);
        self.engines.insert(id.to_owned(), number);
        self.note_number(id, number, false);
        number as usize
    }

    /// Forgets an engine that is gone and that no request knows of any more: its number may be given to
    /// another. Guards against days on which new ids come for ever: every decision looks at all numbers.
    pub fn forget(&mut self, number: usize) {
        let number = number as u32;
        let id = self.engines.iter().find(|(_, n)| **n == number).map(|(id, _)| id.clone());
        if let Some(id) = id {
            self.engines.remove(&id);
            self.starts.remove(&number);
            self.free.push(number);
            self.note_number(&id, number, true);
        }
    }

    /// When an engine started that the list says started late: `told` in Unix milliseconds, 0 where it did not.
    fn started(&mut self, id: &str, told: i64) -> Option<Timestamp> {
        let number = self.engine(id) as u32;
        if told <= 0 {
            self.starts.remove(&number);
            return None;
        }
        let known = self.starts.get(&number).filter(|s| s.0 == told).map(|s| s.1);
        let at = known.unwrap_or_else(|| from_unix(Timestamp::from_millis(told)));
        self.starts.insert(number, (told, at));
        Some(at)
    }

    /// What the module believes of every engine, by number.
    pub fn beliefs(&self) -> Vec<EngineView> {
        self.brain.engines()
    }

    /// A request came in.
    pub fn pick(&mut self, now: Timestamp, a: &RequestSpec) -> Vec<PolicyCommand> {
        let event = Event::Arrived(Arrival {
            id: RequestId(a.id),
            class: ClassId(a.class),
            tenant: a.tenant,
            tables: a.tables,
            time_left: a.left,
            cost: a.cost_ms.map(|ms| ms / 1e3).filter(|c| *c > 0.0),
            memory_mb: a.memory_mb.filter(|m| *m > 0.0),
            key: None,
        });
        self.give(now, event)
    }

    /// Something happened.
    pub fn report(&mut self, now: Timestamp, news: PolicyEvent) -> Vec<PolicyCommand> {
        let event = match news {
            PolicyEvent::List(list, remembered) => {
                let kind = match (remembered, list.complete) {
                    (true, true) => ListKind::Remembered,
                    (false, true) => ListKind::Whole,
                    (_, false) => ListKind::Changes,
                };
                let entries = list.members.iter().map(|m| EngineEntry {
                    engine: EngineId(self.engine(&m.id) as u32),
                    zone: place(&self.zones, &m.zone),
                    kind: place(&self.kinds, &m.kind),
                    cell: m.cell,
                    state: match m.phase {
                        Phase::Ready => EngineState::Ready,
                        Phase::Draining => EngineState::Draining,
                        Phase::Gone => EngineState::Gone,
                    },
                    since: self.started(&m.id, m.up_since_ms),
                });
                Event::List { kind, entries: entries.collect() }
            }
            PolicyEvent::Note(id, attempt, how, num) => {
                let note = match how {
                    How::SoFar => Note::Progress(num),
                    How::Lacking => Note::Spills(num),
                    How::Waiting if num >= 2.0 => Note::WaitsForLoad,
                    How::Waiting => Note::WaitsForMemory,
                };
                Event::Noted { id: RequestId(id), attempt, note }
            }
            PolicyEvent::Ended { id: (id, attempt), end, latency, complete, bill, stats } => Event::Ended {
                id: RequestId(id),
                attempt,
                outcome: end.into(),
                latency,
                complete,
                bill: bill.map(|(ms, mb)| Bill { work: ms / 1e3, memory_mb: mb }),
                report: Report {
                    in_hand: stats.inflight,
                    waiting: stats.queue,
                    busy: stats.util,
                    memory: stats.x0,
                    disks: stats.x1,
                },
            },
            PolicyEvent::GivenUp(id) => Event::GivenUp { id: RequestId(id) },
            PolicyEvent::Zones(weights) => Event::Zones(weights),
            PolicyEvent::Fleet(gateways, spare) => Event::Fleet { gateways, spare },
        };
        self.give(now, event)
    }

    /// Gives the module every timer that is due.
    pub fn tick(&mut self, now: Timestamp) -> Vec<PolicyCommand> {
        let mut orders = Vec::new();
        while self.due().is_some_and(|t| t <= now) {
            let Some(std::cmp::Reverse((_, token))) = self.timers.pop() else { break };
            orders.extend(self.give(now, Event::Timer { token }));
        }
        orders
    }

    /// When `tick` wants to be called next.
    pub fn due(&self) -> Option<Timestamp> {
        self.timers.peek().map(|t| t.0 .0)
    }

    fn give(&mut self, now: Timestamp, event: Event) -> Vec<PolicyCommand> {
        if let Some(recorder) = &mut self.recorder {
            let engines = || self.engines.iter().map(|(id, n)| (id.as_str(), *n)).collect();
            recorder.asked(now, &self.brain, &event, engines);
            for (id, number, freed) in self.numbered.drain(..) {
                recorder.numbered(now, &id, number, freed);
            }
        }
        self.brain.handle(now, event, &mut self.out);
        if let Some(recorder) = &mut self.recorder {
            recorder.answered(&self.out);
        }
        let mut orders = Vec::new();
        for action in self.out.drain(..) {
            match action {
                Action::Send { id, engine, .. } => orders.push(PolicyCommand::Send(id.0, engine.0 as usize)),
                Action::Terms { id, grant_mb, level } => {
                    orders.push(PolicyCommand::Terms(id.0, grant_mb, level.0))
                }
                Action::Cancel { id, attempt } => orders.push(PolicyCommand::Undo(id.0, attempt)),
                Action::Refuse { id, retry_after } => {
                    orders.push(PolicyCommand::Refuse(id.0, retry_after.unwrap_or_default()));
                }
                Action::Fail { id, retry_after } => {
                    orders.push(PolicyCommand::Fail(id.0, retry_after.unwrap_or_default()));
                }
                Action::Timer { delay, token } => self.timers.push(std::cmp::Reverse((now + delay, token))),
                Action::Log(text) => orders.push(PolicyCommand::Log(text)),
                // The list comes by itself, neither probes nor peers are spoken to, and nobody listens to reasons here.
                Action::Watch | Action::Probe { .. } | Action::Tell { .. } | Action::Why(_) => {}
            }
        }
        orders
    }
}

#[cfg(test)]
#[path = "facade_tests.rs"]
mod tests;
