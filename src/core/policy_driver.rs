//! The driver of the policy.
//!
//! Input: the core's events. Output: the policy's actions as commands. State: the policy, its timers, and the
//! index of each engine. Engines are identified by strings in the endpoint list and by indices in the policy
//! and the core; an index is reused once its engine is gone. The rest of the core does not use the policy's
//! events and actions.

use super::clock::{now, unix};
use super::engine_indices::EngineIndices;
use super::request::RequestSpec;
use super::wall_clock::WallClock;
use crate::proto::engine_answer::{EngineLoadReport, NoteTopic, QueryCost};
use crate::proto::events::{EndpointPhase, ListEvent};
use sprucelink_capture::recorder::{Recorder, RecorderCounters};
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::{
    Action, Arrival, ClassId, EndpointUpdate, EngineEntry, EngineId, EngineState, Event, LoadReport, Policy,
    ProgressNote, RequestId, Settings, Timestamp,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

mod messages;

pub use messages::{PolicyCommand, PolicyEvent};

/// The start time of an engine, as listed and on this process's clock. The listed time is converted once, so
/// that a step of the system clock does not move the converted time.
struct EngineStart {
    /// Start time in the endpoint list, in Unix milliseconds.
    listed_ms: i64,
    /// Start time on this process's clock.
    started_at: Timestamp,
}

/// The policy with its timers, its recorder and the indices of engines.
pub struct PolicyDriver {
    policy: Policy,
    engine_indices: EngineIndices,
    /// Names of the zones, in the order of their indices.
    zones: Vec<String>,
    /// Names of the machine kinds, in the order of their indices.
    kinds: Vec<String>,
    /// Timers by due time, with the token that the policy assigned to each.
    timers: BinaryHeap<Reverse<(Timestamp, u64)>>,
    /// Actions of the policy for the current event; empty between two events.
    actions: Vec<Action>,
    recorder: Option<Recorder>,
    /// Start time of each engine that is listed with one, by engine index.
    engine_starts: BTreeMap<u32, EngineStart>,
    wall_clock: WallClock,
}

/// The index of a name; 0 if it is unknown.
fn index_of(names: &[String], name: &str) -> u32 {
    names.iter().position(|known| known == name).unwrap_or(0) as u32
}

impl PolicyDriver {
    /// Creates a driver with a policy that starts at `now` with the random seed `seed`. `zones`, `kinds`:
    /// names of the zones and machine kinds, in the order of their indices.
    pub fn new(
        settings: Settings,
        seed: u64,
        zones: Vec<String>,
        kinds: Vec<String>,
        now: Timestamp,
    ) -> PolicyDriver {
        PolicyDriver {
            policy: Policy::new(settings, seed, now),
            engine_indices: EngineIndices::default(),
            zones,
            kinds,
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            recorder: None,
            engine_starts: BTreeMap::new(),
            wall_clock: WallClock::default(),
        }
    }

    /// Sets the recorder for all events and actions from now on; `None` stops the recording. Returns the
    /// previous recorder.
    pub fn set_recorder(&mut self, recorder: Option<Recorder>) -> Option<Recorder> {
        self.engine_indices.set_recorded(recorder.is_some());
        std::mem::replace(&mut self.recorder, recorder)
    }

    /// The counters of the current recorder; `None` if nothing is recorded.
    pub fn recorder_counters(&self) -> Option<RecorderCounters> {
        self.recorder.as_ref().map(Recorder::counters)
    }

    /// The index of the engine with this id; assigns an index if the engine has none yet.
    pub fn engine_index(&mut self, id: &str) -> usize {
        self.engine_indices.get_or_assign(id) as usize
    }

    /// Frees the index of an engine that is gone and that no request refers to.
    pub fn forget_engine(&mut self, engine: usize) {
        let index = engine as u32;
        self.engine_starts.remove(&index);
        self.engine_indices.release(index);
    }

    /// Time at which an engine started, on this process's clock. `listed_ms`: the start time in the endpoint
    /// list, in Unix milliseconds; the result is `None` if it is not positive. The result stays the same for
    /// as long as `listed_ms` stays the same, so that a step of the wall clock does not begin an engine's
    /// slow start again.
    fn started_at(&mut self, id: &str, listed_ms: i64) -> Option<Timestamp> {
        let index = self.engine_indices.get_or_assign(id);
        if listed_ms <= 0 {
            self.engine_starts.remove(&index);
            return None;
        }
        let known = self.engine_starts.get(&index).filter(|start| start.listed_ms == listed_ms);
        let started_at = match known {
            Some(start) => start.started_at,
            None => self.wall_clock.process_time_of(Timestamp::from_millis(listed_ms), unix(), now()),
        };
        self.engine_starts.insert(index, EngineStart { listed_ms, started_at });
        Some(started_at)
    }

    /// Reads the wall clock and records its offset from the process's clock. Must be called about once per
    /// second or more often, so that every step of the wall clock is detected.
    pub fn observe_wall_clock(&mut self) {
        self.wall_clock.observe(unix(), now());
    }

    /// The policy's view of every engine, by index.
    pub fn engine_views(&self) -> Vec<EngineView> {
        self.policy.engine_views()
    }

    /// Passes a new request to the policy; returns the policy's commands.
    pub fn on_request(&mut self, now: Timestamp, request: &RequestSpec) -> Vec<PolicyCommand> {
        let event = Event::RequestArrived(Arrival {
            id: RequestId(request.id),
            class: ClassId(request.class),
            tenant: request.tenant,
            tables: request.tables,
            time_left: request.time_left,
            cost: request.cost_ms.map(|ms| ms / 1e3).filter(|cost| *cost > 0.0),
            memory_mb: request.memory_mb.filter(|mb| *mb > 0.0),
            // No ordering key is passed, although a request may carry an idempotency key. This program
            // therefore never uses the policy's order by key (`ordered_by_key`, `KeyOrder`,
            // `key_settle_time`), and a request in the queue does not wait for another request with the same
            // key. Only the simulator passes keys.
            key: None,
        });
        self.handle(now, event)
    }

    /// Passes an event to the policy; returns the policy's commands.
    pub fn on_event(&mut self, now: Timestamp, event: PolicyEvent) -> Vec<PolicyCommand> {
        let event = match event {
            PolicyEvent::EndpointList { list, is_cached } => self.list_event(list, is_cached),
            PolicyEvent::Progress { id, attempt, topic, value } => {
                Event::ProgressReported { id: RequestId(id), attempt, note: progress_note(topic, value) }
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
            PolicyEvent::FleetChanged { capacity_shares, spare_retries } => {
                Event::FleetChanged { gateways: capacity_shares, spare_retries }
            }
        };
        self.handle(now, event)
    }

    fn list_event(&mut self, list: &ListEvent, is_cached: bool) -> Event {
        let kind = match (is_cached, list.is_complete) {
            (true, true) => EndpointUpdate::Remembered,
            (false, true) => EndpointUpdate::Complete,
            (_, false) => EndpointUpdate::Changes,
        };
        let entries = list.endpoints.iter().map(|member| EngineEntry {
            engine: EngineId(self.engine_indices.get_or_assign(&member.id)),
            zone: index_of(&self.zones, &member.zone),
            kind: index_of(&self.kinds, &member.machine_kind),
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

    /// Fires every timer of the policy that is due; returns the policy's commands.
    pub fn fire_timers(&mut self, now: Timestamp) -> Vec<PolicyCommand> {
        let mut commands = Vec::new();
        while self.next_due().is_some_and(|due| due <= now) {
            let Some(Reverse((_, token))) = self.timers.pop() else { break };
            commands.extend(self.handle(now, Event::Timer { token }));
        }
        commands
    }

    /// Time at which the next timer of the policy is due; `None` if no timer is set.
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
        recorder.record_event(now, &self.policy, event, || self.engine_indices.entries());
        for change in self.engine_indices.take_changes() {
            recorder.record_engine_number(now, &change.id, change.index, change.is_freed);
        }
    }
}

/// Converts an action of the policy to a command; `None` if the action has no effect on the core.
fn command_of(action: Action) -> Option<PolicyCommand> {
    match action {
        Action::ForwardAttempt { id, engine, .. } => {
            Some(PolicyCommand::Send { id: id.0, engine: engine.0 as usize })
        }
        Action::SetExecutionTerms { id, grant_mb, level } => {
            Some(PolicyCommand::SetResources { id: id.0, memory_grant_mb: grant_mb, level: level.0 })
        }
        Action::Cancel { id, attempt } => Some(PolicyCommand::Cancel { id: id.0, attempt }),
        Action::Reject { id, retry_after } => {
            Some(PolicyCommand::Reject { id: id.0, retry_after: retry_after.unwrap_or_default() })
        }
        Action::Fail { id, retry_after } => {
            Some(PolicyCommand::Fail { id: id.0, retry_after: retry_after.unwrap_or_default() })
        }
        Action::Log(text) => Some(PolicyCommand::Log(text)),
        // `PolicyDriver::handle` carries out `StartTimer`. The other actions have no effect in this program:
        // - `WatchEndpoints`: the endpoint list is watched from the start to the end of the process.
        // - `Probe`: this program sends no load probes, so that no reply to a probe arrives. If
        //   `limits.probes` is on and engines report their load, the policy still spends its probe credit,
        //   and holds a request of several threads for `PROBE_WAIT` before it selects an engine.
        // - `BroadcastToPeers`: managers exchange their state by the membership's gossip instead.
        // - `Explain`: explanations are written to captures (the recorder already has them), not to the log.
        Action::StartTimer { .. }
        | Action::WatchEndpoints
        | Action::Probe { .. }
        | Action::BroadcastToPeers { .. }
        | Action::Explain(_) => None,
    }
}

/// Converts a progress note to the policy's type. The value of a `waiting` note is 1 if the query waits for
/// memory, and 2 if it waits for a load of its tables to end.
fn progress_note(topic: NoteTopic, value: f64) -> ProgressNote {
    match topic {
        NoteTopic::Progress => ProgressNote::Progress(value),
        NoteTopic::MissingMemory => ProgressNote::Spills(value),
        NoteTopic::Waiting if value >= 2.0 => ProgressNote::WaitsForLoad,
        NoteTopic::Waiting => ProgressNote::WaitsForMemory,
    }
}

/// Converts the cost of a query to the policy's type, with work in thread-seconds.
fn policy_query_cost(cost: QueryCost) -> sprucelink_policy::QueryCost {
    sprucelink_policy::QueryCost { work: cost.work_ms / 1e3, memory_mb: cost.memory_mb }
}

/// Converts a load report to the policy's type, in which utilization is the busy or granted fraction.
fn policy_report(report: &EngineLoadReport) -> LoadReport {
    LoadReport {
        queries_in_flight: report.in_flight,
        queries_waiting_for_memory: report.waiting_for_memory,
        busy_core_fraction: report.cpu_utilization,
        granted_memory_fraction: report.memory_utilization,
        busy_disk_fraction: report.disk_utilization,
    }
}

#[cfg(test)]
mod tests;
