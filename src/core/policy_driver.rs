//! The driver of the policy: it turns the core's events into the policy's, keeps the policy's timers and the numbers of
//! engines, and turns the policy's actions into commands. The rest of the core never sees the policy's own types.

use super::attempt::AttemptOutcome;
use super::clock::{now, unix};
use super::request::RequestSpec;
use super::wall_clock::WallClock;
use crate::proto::engine_answer::{LoadStats, QueryCost, UpdateTopic};
use crate::proto::events::{EndpointPhase, ListEvent};
use sprucelink_capture::recorder::{Recorder, RecorderCounters};
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::{
    Action, Arrival, ClassId, EndpointUpdate, EngineEntry, EngineId, EngineState, Event, LoadReport, Policy,
    ProgressNote, RequestId, Settings, TimeDelta, Timestamp,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// An event for the policy.
#[derive(Debug)]
pub enum PolicyEvent<'a> {
    /// An update of the endpoint list.
    EndpointList {
        /// The update, with cordoned engines as draining.
        list: &'a ListEvent,
        /// It is the list as held before this process started, possibly out of date.
        is_cached: bool,
    },
    /// A progress note on an attempt in flight.
    Progress {
        /// The request.
        id: u64,
        /// The attempt's number.
        attempt: u32,
        /// What the note is about.
        kind: UpdateTopic,
        /// Its value.
        value: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: u64,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since it was sent.
        latency: TimeDelta,
        /// The request has its final response, by this or before.
        request_complete: bool,
        /// What the query needed, where the engine has told.
        cost: Option<QueryCost>,
        /// The engine's load report.
        load_report: LoadStats,
    },
    /// The client of a request does not wait for it any more.
    RequestAbandoned {
        /// The request.
        id: u64,
    },
    /// The view of the fleet has changed.
    FleetChanged {
        /// Processes among which the fleet's capacity is divided, this one included.
        gateways: u32,
        /// Retries that the other managers leave to this one, over its own retry budget.
        spare_attempts: f64,
    },
    /// The weights of the zones, by number.
    ZoneWeights(Vec<f64>),
}

/// What the policy wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyCommand {
    /// Set memory and priority of a request's next attempt, and the priority of the one in flight.
    SetResources {
        /// The request.
        id: u64,
        /// Memory in MB; `None`: the engine chooses.
        memory_grant_mb: Option<f64>,
        /// Priority level, 0 (lowest) to 3.
        priority: u8,
    },
    /// Make an attempt of a request.
    Send {
        /// The request.
        id: u64,
        /// The engine, by number.
        engine: usize,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: u64,
        /// The attempt's number.
        attempt: u32,
    },
    /// Give the final response that a request is rejected.
    Reject {
        /// The request.
        id: u64,
        /// When the client should retry.
        retry_after: TimeDelta,
    },
    /// Give the final response that a request has failed.
    Fail {
        /// The request.
        id: u64,
        /// When the client should retry.
        retry_after: TimeDelta,
    },
    /// A line for the log.
    Log(String),
}

/// The start of an engine, as listed and on this process's clock. It is converted once: the same start stays the same
/// instant whatever the system clock does.
struct EngineStart {
    /// In Unix milliseconds.
    listed_ms: i64,
    at: Timestamp,
}

/// An engine's number that was given or freed, of which the recorder does not know yet.
struct NumberChange {
    id: String,
    number: u32,
    is_freed: bool,
}

/// The policy and what it needs to be driven.
pub struct PolicyDriver {
    policy: Policy,
    engine_numbers: BTreeMap<String, u32>,
    /// Numbers of engines that were forgotten.
    free_numbers: Vec<u32>,
    next_number: u32,
    zones: Vec<String>,
    kinds: Vec<String>,
    timers: BinaryHeap<Reverse<(Timestamp, u64)>>,
    /// Scratch space for the policy's actions.
    actions: Vec<Action>,
    recorder: Option<Recorder>,
    number_changes: Vec<NumberChange>,
    /// Starts of engines by number, of those that are listed with one.
    starts: BTreeMap<u32, EngineStart>,
    wall_clock: WallClock,
}

/// The number of a name; 0 where it is not known.
fn index_of(names: &[String], name: &str) -> u32 {
    names.iter().position(|known| known == name).unwrap_or(0) as u32
}

impl PolicyDriver {
    /// A policy that starts now. `zones`, `kinds`: names in the order of their numbers.
    pub fn new(
        settings: Settings,
        seed: u64,
        zones: Vec<String>,
        kinds: Vec<String>,
        now: Timestamp,
    ) -> PolicyDriver {
        PolicyDriver {
            policy: Policy::new(settings, seed, now),
            engine_numbers: BTreeMap::new(),
            free_numbers: Vec::new(),
            next_number: 0,
            zones,
            kinds,
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            recorder: None,
            number_changes: Vec::new(),
            starts: BTreeMap::new(),
            wall_clock: WallClock::default(),
        }
    }

    /// Records all events and actions from now on; `None` ends that. The recorder before.
    pub fn set_recorder(&mut self, recorder: Option<Recorder>) -> Option<Recorder> {
        std::mem::replace(&mut self.recorder, recorder)
    }

    /// The recorder's counters, if there is one.
    pub fn recorder_counters(&self) -> Option<RecorderCounters> {
        self.recorder.as_ref().map(Recorder::counters)
    }

    fn record_number(&mut self, id: &str, number: u32, is_freed: bool) {
        if self.recorder.is_some() {
            self.number_changes.push(NumberChange { id: id.to_owned(), number, is_freed });
        }
    }

    /// The number of an engine, given at first sight: one that is free again, or a new one.
    pub fn engine_number(&mut self, id: &str) -> usize {
        if let Some(number) = self.engine_numbers.get(id) {
            return *number as usize;
        }
        let number = self.free_numbers.pop().unwrap_or(self.next_number);
        self.next_number = self.next_number.max(number + 1);
        self.engine_numbers.insert(id.to_owned(), number);
        self.record_number(id, number, false);
        number as usize
    }

    /// Frees the number of an engine that is gone and that no request refers to. Every decision looks at all numbers, and
    /// engines may come under new ids for ever.
    pub fn forget_engine(&mut self, number: usize) {
        let number = number as u32;
        let id = self.engine_numbers.iter().find(|(_, n)| **n == number).map(|(id, _)| id.clone());
        if let Some(id) = id {
            self.engine_numbers.remove(&id);
            self.starts.remove(&number);
            self.free_numbers.push(number);
            self.record_number(&id, number, true);
        }
    }

    /// When an engine started, by the list's Unix milliseconds; `None` where the list has 0.
    fn started_at(&mut self, id: &str, listed_ms: i64) -> Option<Timestamp> {
        let number = self.engine_number(id) as u32;
        if listed_ms <= 0 {
            self.starts.remove(&number);
            return None;
        }
        let known = self.starts.get(&number).filter(|start| start.listed_ms == listed_ms);
        let at = match known {
            Some(start) => start.at,
            None => self.wall_clock.process_time_of(Timestamp::from_millis(listed_ms), unix(), now()),
        };
        self.starts.insert(number, EngineStart { listed_ms, at });
        Some(at)
    }

    /// Notes where the wall clock stands; to be called often, for its steps.
    pub fn observe_wall_clock(&mut self) {
        self.wall_clock.observe(unix(), now());
    }

    /// The policy's view of every engine, by number.
    pub fn engine_views(&self) -> Vec<EngineView> {
        self.policy.engine_views()
    }

    /// Tells the policy of a new request; the commands that follow.
    pub fn on_request(&mut self, now: Timestamp, request: &RequestSpec) -> Vec<PolicyCommand> {
        let event = Event::RequestArrived(Arrival {
            id: RequestId(request.id),
            class: ClassId(request.class),
            tenant: request.tenant,
            tables: request.tables,
            time_left: request.time_left,
            cost: request.cost_ms.map(|ms| ms / 1e3).filter(|cost| *cost > 0.0),
            memory_mb: request.memory_mb.filter(|mb| *mb > 0.0),
            key: None,
        });
        self.handle(now, event)
    }

    /// Tells the policy of an event; the commands that follow.
    pub fn on_event(&mut self, now: Timestamp, event: PolicyEvent) -> Vec<PolicyCommand> {
        let event = match event {
            PolicyEvent::EndpointList { list, is_cached } => self.list_event(list, is_cached),
            PolicyEvent::Progress { id, attempt, kind, value } => {
                Event::ProgressReported { id: RequestId(id), attempt, note: progress_note(kind, value) }
            }
            PolicyEvent::AttemptEnded {
                id,
                attempt,
                outcome,
                latency,
                request_complete,
                cost,
                load_report,
            } => Event::AttemptEnded {
                id: RequestId(id),
                attempt,
                outcome: outcome.into(),
                latency,
                complete: request_complete,
                query_cost: cost.map(policy_query_cost),
                report: policy_report(&load_report),
            },
            PolicyEvent::RequestAbandoned { id } => Event::RequestAbandoned { id: RequestId(id) },
            PolicyEvent::ZoneWeights(weights) => Event::ZoneWeightsChanged(weights),
            PolicyEvent::FleetChanged { gateways, spare_attempts } => {
                Event::FleetChanged { gateways, spare_retries: spare_attempts }
            }
        };
        self.handle(now, event)
    }

    fn list_event(&mut self, list: &ListEvent, is_cached: bool) -> Event {
        let kind = match (is_cached, list.complete) {
            (true, true) => EndpointUpdate::Remembered,
            (false, true) => EndpointUpdate::Complete,
            (_, false) => EndpointUpdate::Changes,
        };
        let entries = list.members.iter().map(|member| EngineEntry {
            engine: EngineId(self.engine_number(&member.id) as u32),
            zone: index_of(&self.zones, &member.zone),
            kind: index_of(&self.kinds, &member.kind),
            cell: member.cell,
            state: match member.phase {
                EndpointPhase::Ready => EngineState::Ready,
                EndpointPhase::Draining => EngineState::Draining,
                EndpointPhase::Gone => EngineState::Gone,
            },
            since: self.started_at(&member.id, member.up_since_ms),
        });
        Event::EndpointsChanged { kind, entries: entries.collect() }
    }

    /// Fires every timer of the policy that is due; the commands that follow.
    pub fn fire_timers(&mut self, now: Timestamp) -> Vec<PolicyCommand> {
        let mut commands = Vec::new();
        while self.next_due().is_some_and(|due| due <= now) {
            let Some(Reverse((_, token))) = self.timers.pop() else { break };
            commands.extend(self.handle(now, Event::Timer { token }));
        }
        commands
    }

    /// When the next timer of the policy is due.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.timers.peek().map(|Reverse((due, _))| *due)
    }

    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<PolicyCommand> {
        self.record_event(now, &event);
        self.policy.handle(now, event, &mut self.actions);
        if let Some(recorder) = &mut self.recorder {
            recorder.record_answer(&self.actions);
        }
        let mut commands = Vec::new();
        for action in self.actions.drain(..) {
            match action {
                Action::StartTimer { delay, token } => self.timers.push(Reverse((now + delay, token))),
                other => commands.extend(command_of(other)),
            }
        }
        commands
    }

    fn record_event(&mut self, now: Timestamp, event: &Event) {
        let Some(recorder) = &mut self.recorder else { return };
        let numbers = || self.engine_numbers.iter().map(|(id, n)| (id.as_str(), *n)).collect();
        recorder.record_event(now, &self.policy, event, numbers);
        for change in self.number_changes.drain(..) {
            recorder.record_engine_number(now, &change.id, change.number, change.is_freed);
        }
    }
}

/// The command of a policy's action; `None` where there is nothing to do.
fn command_of(action: Action) -> Option<PolicyCommand> {
    match action {
        Action::ForwardAttempt { id, engine, .. } => {
            Some(PolicyCommand::Send { id: id.0, engine: engine.0 as usize })
        }
        Action::SetExecutionTerms { id, grant_mb, level } => {
            Some(PolicyCommand::SetResources { id: id.0, memory_grant_mb: grant_mb, priority: level.0 })
        }
        Action::Cancel { id, attempt } => Some(PolicyCommand::Cancel { id: id.0, attempt }),
        Action::Reject { id, retry_after } => {
            Some(PolicyCommand::Reject { id: id.0, retry_after: retry_after.unwrap_or_default() })
        }
        Action::Fail { id, retry_after } => {
            Some(PolicyCommand::Fail { id: id.0, retry_after: retry_after.unwrap_or_default() })
        }
        Action::Log(text) => Some(PolicyCommand::Log(text)),
        // The list is followed all the time, neither engines nor peers are probed, and reasons are not shown here.
        Action::StartTimer { .. }
        | Action::WatchEndpoints
        | Action::Probe { .. }
        | Action::BroadcastToPeers { .. }
        | Action::Explain(_) => None,
    }
}

/// A progress note as the policy reads it. An engine's `waiting` note has 1 for memory, 2 for a load.
fn progress_note(kind: UpdateTopic, value: f64) -> ProgressNote {
    match kind {
        UpdateTopic::Progress => ProgressNote::Progress(value),
        UpdateTopic::MissingMemory => ProgressNote::Spills(value),
        UpdateTopic::Waiting if value >= 2.0 => ProgressNote::WaitsForLoad,
        UpdateTopic::Waiting => ProgressNote::WaitsForMemory,
    }
}

/// A query's cost as the policy reads it: work in thread-seconds.
fn policy_query_cost(cost: QueryCost) -> sprucelink_policy::QueryCost {
    sprucelink_policy::QueryCost { work: cost.work_ms / 1e3, memory_mb: cost.memory_mb }
}

/// A load report as the policy reads it.
fn policy_report(stats: &LoadStats) -> LoadReport {
    LoadReport {
        queries_in_flight: stats.in_flight,
        queries_waiting_for_memory: stats.queued,
        busy_core_fraction: stats.cpu_utilization,
        granted_memory_fraction: stats.memory_utilization,
        busy_disk_fraction: stats.disk_utilization,
    }
}

#[cfg(test)]
mod tests;
