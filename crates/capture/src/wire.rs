//! Events and actions of the module to the messages of the format, and back. Every number is kept to the
//! bit; what a message lacks or what no event has is an error that names the field.

use crate::pb;
use pb::action::What as Did;
use pb::noted::Note as PbNote;
use pb::record::What;
use prost::Message;
use sprucelink_policy::*;
use xxhash_rust::xxh3::xxh3_64;

/// What a message says that no event or action of this build can be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unknown(pub &'static str);

impl std::fmt::Display for Unknown {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "field {} is missing or holds what this build does not know", self.0)
    }
}
impl std::error::Error for Unknown {}

/// What one record told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// An event, as given to the module.
    Event(Event),
    /// An engine's id got a number, or (`freed`) gave it back.
    Numbered {
        /// The engine's id on the feed.
        id: String,
        /// Its number.
        number: u32,
        /// Taken back.
        freed: bool,
    },
}

const LISTS: [EndpointUpdate; 4] =
    [EndpointUpdate::Changes, EndpointUpdate::Complete, EndpointUpdate::Remembered, EndpointUpdate::Failed];
const STATES: [EngineState; 3] = [EngineState::Ready, EngineState::Draining, EngineState::Gone];
const OUTCOMES: [Outcome; 8] = [
    Outcome::Succeeded,
    Outcome::EngineError,
    Outcome::RejectedByEngine,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
    Outcome::NeverSent,
];

/// The number of a value in its table: the format's enumerations.
fn number<T: PartialEq>(all: &[T], one: &T) -> u32 {
    all.iter().position(|t| t == one).unwrap_or(all.len()) as u32
}

fn named<T: Copy>(all: &[T], number: u32, field: &'static str) -> Result<T, Unknown> {
    all.get(number as usize).copied().ok_or(Unknown(field))
}

fn report_out(report: &LoadReport) -> Option<pb::Report> {
    let is_empty = *report == LoadReport::default();
    (!is_empty).then_some(pb::Report {
        in_hand: report.queries_in_flight,
        waiting: report.queries_waiting_for_memory,
        busy: report.busy_core_fraction,
        memory: report.granted_memory_fraction,
        disks: report.busy_disk_fraction,
    })
}

fn report_in(report: Option<pb::Report>) -> LoadReport {
    let report = report.unwrap_or_default();
    LoadReport {
        queries_in_flight: report.in_hand,
        queries_waiting_for_memory: report.waiting,
        busy_core_fraction: report.busy,
        granted_memory_fraction: report.memory,
        busy_disk_fraction: report.disks,
    }
}

/// An event as the format has it.
pub fn event_out(event: &Event) -> What {
    match event {
        Event::EndpointsChanged { kind, entries } => What::List(pb::List {
            kind: number(&LISTS, kind),
            entries: entries
                .iter()
                .map(|e| pb::Entry {
                    engine: e.engine.0,
                    zone: e.zone,
                    kind: e.kind,
                    cell: e.cell,
                    state: number(&STATES, &e.state),
                    since_us: e.since.map(Timestamp::as_micros),
                })
                .collect(),
        }),
        Event::RequestArrived(a) => What::Arrived(pb::Arrived {
            id: a.id.0,
            class: a.class.0 as u32,
            tenant: a.tenant as u32,
            tables: a.tables,
            time_left_us: a.time_left.as_micros(),
            cost: a.cost,
            memory_mb: a.memory_mb,
            key: a.key.clone(),
        }),
        Event::ResponseStarted { id } => What::Started(id.0),
        Event::ProgressReported { id, attempt, note } => What::Noted(pb::Noted {
            id: id.0,
            attempt: *attempt,
            note: Some(match note {
                ProgressNote::Progress(p) => PbNote::Progress(*p),
                ProgressNote::Spills(mb) => PbNote::Spills(*mb),
                ProgressNote::WaitsForMemory => PbNote::WaitsForLoad(false),
                ProgressNote::WaitsForLoad => PbNote::WaitsForLoad(true),
            }),
        }),
        Event::AttemptEnded { id, attempt, outcome, latency, complete, query_cost, report } => {
            What::Ended(pb::Ended {
                id: id.0,
                attempt: *attempt,
                outcome: number(&OUTCOMES, outcome),
                latency_us: latency.as_micros(),
                complete: *complete,
                work: query_cost.map(|cost| cost.work),
                used_mb: query_cost.map(|cost| cost.memory_mb),
                report: report_out(report),
            })
        }
        Event::RequestAbandoned { id } => What::GivenUp(id.0),
        Event::Timer { token } => What::Timer(*token),
        Event::ProbeCompleted { engine, outcome, report } => What::Probed(pb::Probed {
            engine: engine.0,
            outcome: number(&OUTCOMES, outcome),
            report: report_out(report),
        }),
        Event::ZoneWeightsChanged(weights) => What::Zones(pb::Zones { weights: weights.clone() }),
        Event::FleetChanged { gateways, spare_retries } => {
            What::Fleet(pb::Fleet { gateways: *gateways, spare: *spare_retries })
        }

        Event::PeerMessageReceived { from, message } => {
            What::Heard(pb::Heard { from: *from, message: message.clone() })
        }
    }
}

/// What a record told.
pub fn told_in(what: What) -> Result<Told, Unknown> {
    let event = match what {
        What::List(l) => {
            let entry = |e: pb::Entry| -> Result<EngineEntry, Unknown> {
                Ok(EngineEntry {
                    engine: EngineId(e.engine),
                    zone: e.zone,
                    kind: e.kind,
                    cell: e.cell,
                    state: named(&STATES, e.state, "entries.state")?,
                    since: e.since_us.map(Timestamp::from_micros),
                })
            };
            let entries = l.entries.into_iter().map(entry).collect::<Result<_, _>>()?;
            Event::EndpointsChanged { kind: named(&LISTS, l.kind, "list.kind")?, entries }
        }
        What::Arrived(a) => Event::RequestArrived(Arrival {
            id: RequestId(a.id),
            class: ClassId(a.class as usize),
            tenant: a.tenant as usize,
            tables: a.tables,
            time_left: TimeDelta::from_micros(a.time_left_us),
            cost: a.cost,
            memory_mb: a.memory_mb,
            key: a.key,
        }),
        What::Started(id) => Event::ResponseStarted { id: RequestId(id) },
        What::Noted(n) => Event::ProgressReported {
            id: RequestId(n.id),
            attempt: n.attempt,
            note: match n.note.ok_or(Unknown("noted.note"))? {
                PbNote::Progress(p) => ProgressNote::Progress(p),
                PbNote::Spills(mb) => ProgressNote::Spills(mb),
                PbNote::WaitsForLoad(false) => ProgressNote::WaitsForMemory,
                PbNote::WaitsForLoad(true) => ProgressNote::WaitsForLoad,
            },
        },
        What::Ended(e) => Event::AttemptEnded {
            id: RequestId(e.id),
            attempt: e.attempt,
            outcome: named(&OUTCOMES, e.outcome, "ended.outcome")?,
            latency: TimeDelta::from_micros(e.latency_us),
            complete: e.complete,
            query_cost: e.work.zip(e.used_mb).map(|(work, memory_mb)| QueryCost { work, memory_mb }),
            report: report_in(e.report),
        },
        What::GivenUp(id) => Event::RequestAbandoned { id: RequestId(id) },
        What::Timer(token) => Event::Timer { token },
        What::Probed(p) => Event::ProbeCompleted {
            engine: EngineId(p.engine),
            outcome: named(&OUTCOMES, p.outcome, "probed.outcome")?,
            report: report_in(p.report),
        },
        What::Heard(h) => Event::PeerMessageReceived { from: h.from, message: h.message },
        What::Zones(z) => Event::ZoneWeightsChanged(z.weights),
        What::Fleet(f) => Event::FleetChanged { gateways: f.gateways, spare_retries: f.spare },
        What::Numbered(n) => return Ok(Told::Numbered { id: n.id, number: n.number, freed: n.freed }),
    };
    Ok(Told::Event(event))
}

/// An action as the format has it; `None` for a reason, which is told to listeners only.
pub fn action_out(action: &Action) -> Option<pb::Action> {
    let last = |id: &RequestId, after: &Option<TimeDelta>| pb::Final {
        id: id.0,
        retry_after_us: after.map(TimeDelta::as_micros),
    };
    let what = match action {
        Action::ForwardAttempt { id, timeout, engine } => {
            Did::Send(pb::Send { id: id.0, engine: engine.0, timeout_us: timeout.map(TimeDelta::as_micros) })
        }
        Action::SetExecutionTerms { id, grant_mb, level } => {
            Did::Terms(pb::Terms { id: id.0, grant_mb: *grant_mb, level: u32::from(level.0) })
        }
        Action::Cancel { id, attempt } => Did::Cancel(pb::Cancel { id: id.0, attempt: *attempt }),
        Action::Reject { id, retry_after } => Did::Refuse(last(id, retry_after)),
        Action::Fail { id, retry_after } => Did::Fail(last(id, retry_after)),
        Action::StartTimer { delay, token } => {
            Did::Timer(pb::Timer { delay_us: delay.as_micros(), token: *token })
        }
        Action::Probe { engine } => Did::Probe(engine.0),
        Action::BroadcastToPeers { message } => Did::Tell(message.clone()),
        Action::WatchEndpoints => Did::Watch(true),
        Action::Log(text) => Did::Log(text.clone()),
        Action::Explain(_) => return None,
    };
    Some(pb::Action { what: Some(what) })
}

/// An action of the format.
pub fn action_in(action: pb::Action) -> Result<Action, Unknown> {
    Ok(match action.what.ok_or(Unknown("action"))? {
        Did::Send(s) => Action::ForwardAttempt {
            id: RequestId(s.id),
            timeout: s.timeout_us.map(TimeDelta::from_micros),
            engine: EngineId(s.engine),
        },
        Did::Terms(t) => {
            let level = u8::try_from(t.level).map_err(|_| Unknown("terms.level"))?;
            Action::SetExecutionTerms { id: RequestId(t.id), grant_mb: t.grant_mb, level: Level(level) }
        }
        Did::Cancel(c) => Action::Cancel { id: RequestId(c.id), attempt: c.attempt },
        Did::Refuse(f) => {
            Action::Reject { id: RequestId(f.id), retry_after: f.retry_after_us.map(TimeDelta::from_micros) }
        }
        Did::Fail(f) => {
            Action::Fail { id: RequestId(f.id), retry_after: f.retry_after_us.map(TimeDelta::from_micros) }
        }
        Did::Timer(t) => Action::StartTimer { delay: TimeDelta::from_micros(t.delay_us), token: t.token },
        Did::Probe(engine) => Action::Probe { engine: EngineId(engine) },
        Did::Tell(message) => Action::BroadcastToPeers { message },
        Did::Watch(_) => Action::WatchEndpoints,
        Did::Log(text) => Action::Log(text),
    })
}

/// Actions in the format; reasons are left out.
pub fn answers_out(actions: &[Action]) -> Vec<pb::Action> {
    actions.iter().filter_map(action_out).collect()
}

/// Digest of actions: XXH3-64 of their protobuf, each behind its length. `scratch` is used again.
pub fn digest(actions: &[pb::Action], scratch: &mut Vec<u8>) -> u64 {
    scratch.clear();
    for action in actions {
        // A Vec grows as it must: this cannot fail.
        let _ = action.encode_length_delimited(scratch);
    }
    xxh3_64(scratch)
}
