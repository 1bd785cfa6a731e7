//! The coordinator joins the parts of the core: it feeds events to the policy, carries out the policy's commands on the
//! request table, the engine table and the connections, and gives each request its one final response.
//!
//! Each request has one owner, [`PendingRequest`], and each attempt one, [`InFlightAttempt`]. An event that comes late
//! finds no owner and does nothing.

use super::attempt::{AttemptOutcome, InFlightAttempt, CANCELLATION_CHECK_INTERVAL};
use super::buffer_pool::BufferPool;
use super::clock::now;
use super::engine_connection::{ConnectionLimits, EngineConnection, Withdrawal};
use super::engine_table::EngineTable;
use super::fleet_state::FleetState;
use super::gossip_facts::GossipFacts;
use super::invariants::{Invariant, InvariantMonitor};
use super::policy_driver::{PolicyCommand, PolicyDriver, PolicyEvent};
use super::reason_counters::ReasonCounters;
use super::request::{RejectReason, Request, Response};
use super::request_counters::{RequestCounters, COUNTERS_LOG_INTERVAL};
use super::request_table::{PendingRequest, RequestTable};
use super::send_guard::SendGuard;
use super::startup_control::StartupControl;
use super::zone_routing::ZoneRouting;
use sprucelink_capture::recorder::Recorder;
use sprucelink_cordon::{CordonLimits, CordonState};
use sprucelink_metrics::{ActiveRequest, Metrics};
use sprucelink_policy::{Settings, TimeDelta, Timestamp};
use sprucelink_startup::config::StartupConfig;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::{debug, error, field, info, warn};

mod attempts;
mod cordons;
mod engines;
mod fleet;

/// A rejection closer to the deadline than this is reported as [`RejectReason::DeadlineExceeded`].
const DEADLINE_MARGIN: TimeDelta = TimeDelta::from_micros(60_000);
/// Shortest advice when to retry: a client that returns at once meets the same overload.
pub(super) const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_micros(100_000);

/// What the coordinator needs of the tasks around it.
pub(super) trait ConnectionRuntime {
    /// The pool of buffers.
    fn pool(&self) -> &BufferPool;
    /// Bounds and timeouts of connections.
    fn limits(&self) -> &ConnectionLimits;
    /// Starts the task that dials and serves a connection.
    fn start_connection(&self, connection: Rc<EngineConnection>);
    /// Wakes the task that calls [`Coordinator::process_due`].
    fn wake(&self);
}

/// What a coordinator starts with.
pub(super) struct CoordinatorConfig {
    /// Settings of the policy.
    pub(super) settings: Settings,
    /// Seed of the policy and of generated ids.
    pub(super) seed: u64,
    /// Names of the zones, in the order of their numbers.
    pub(super) zones: Vec<String>,
    /// Names of the machine kinds, in the order of their numbers.
    pub(super) kinds: Vec<String>,
}

/// The state of the core.
pub(super) struct Coordinator {
    pub(super) requests: RequestTable,
    pub(super) engines: EngineTable,
    pub(super) policy: PolicyDriver,
    send_guard: SendGuard,
    /// Checks the rules on records of its own.
    pub(super) monitor: InvariantMonitor,
    /// Why attempts and requests ended.
    reasons: ReasonCounters,
    counters: RequestCounters,
    next_counters_log: Timestamp,
    seed: u64,
    /// Events that the recorder had lost when that was last logged.
    logged_capture_losses: u64,
    /// Start-up control, where it is on.
    startup: Option<StartupControl>,
    /// What is gossiped to other managers, where they keep a view of the fleet.
    gossip: Option<GossipFacts>,
    fleet: FleetState,
    /// Engines that are cordoned.
    cordons: CordonState,
    /// Failover between zones, where it is on.
    zone_routing: Option<ZoneRouting>,
}

impl Coordinator {
    /// A coordinator that knows no engine yet.
    pub(super) fn new(config: CoordinatorConfig, metrics: &Metrics) -> Coordinator {
        let CoordinatorConfig { settings, seed, zones, kinds } = config;
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).max();
        let fleet = FleetState::new(settings.gateways, settings.spare_retries);
        let send_guard = SendGuard::new(&settings);
        let monitor = InvariantMonitor::new(&settings, metrics);
        Coordinator {
            requests: RequestTable::default(),
            engines: EngineTable::new(longest_deadline.unwrap_or_default()),
            policy: PolicyDriver::new(settings, seed, zones, kinds, now()),
            send_guard,
            monitor,
            reasons: ReasonCounters::new(metrics),
            counters: RequestCounters::default(),
            next_counters_log: now() + COUNTERS_LOG_INTERVAL,
            seed,
            logged_capture_losses: 0,
            startup: None,
            gossip: None,
            fleet,
            cordons: CordonState::new(CordonLimits::default()),
            zone_routing: None,
        }
    }

    /// Switches start-up control on.
    pub(super) fn enable_startup_control(&mut self, settings: &StartupConfig, name: &str) {
        let listed = self.engines.listed_count();
        self.startup = Some(StartupControl::new(settings, name, self.seed, listed, now()));
    }

    /// Start-up control, where it is on.
    pub(super) fn startup_mut(&mut self) -> Option<&mut StartupControl> {
        self.startup.as_mut()
    }

    /// A number that is unique within this process's life, short of chance (the mixing step of SplitMix64).
    pub(super) fn generate_id(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.seed ^ (now().as_micros() as u64).rotate_left(32);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Replaces the recorder of the policy's events and actions; the one before.
    pub(super) fn set_recorder(&mut self, recorder: Option<Recorder>) -> Option<Recorder> {
        self.logged_capture_losses = 0;
        self.policy.set_recorder(recorder)
    }

    /// Sets when this process gives its last responses.
    pub(super) fn set_shutdown_deadline(&mut self, deadline: Timestamp) {
        self.send_guard.set_shutdown_deadline(deadline);
    }

    /// Adds a request; `None` if its id is pending, or was another statement's of late. The final response comes through
    /// the receiver.
    pub(super) fn submit(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        mut request: Request,
        accounting: impl FnOnce() -> ActiveRequest,
    ) -> Option<oneshot::Receiver<Response>> {
        let id = request.spec.id;
        let arrived_at = now();
        if !self.requests.reserve_id(id, &request.statement, arrived_at) {
            return None;
        }
        let deadline = self.send_guard.response_deadline(arrived_at + request.spec.time_left);
        request.spec.time_left = deadline - arrived_at;
        self.send_guard.record_request(arrived_at);
        self.monitor.record_request(arrived_at);
        let pending = self.requests.len();
        let spec = request.spec.clone();
        let (responder, response) = oneshot::channel();
        let entry = PendingRequest::new(request, arrived_at, deadline, responder, accounting());
        self.requests.insert(id, entry);
        self.counters.submitted += 1;
        if let Some(gossip) = &mut self.gossip {
            gossip.record_request(arrived_at);
        }
        // The policy is told of no request that it does not decide on.
        let commands = match self.rejection_before_policy(arrived_at, pending) {
            Some(retry_after) => vec![PolicyCommand::Reject { id, retry_after }],
            None => self.policy.on_request(arrived_at, &spec),
        };
        self.execute(runtime, commands);
        runtime.wake();
        Some(response)
    }

    /// When to retry, if a request is rejected because this process shuts down or engines still warm up.
    fn rejection_before_policy(&mut self, now: Timestamp, pending: usize) -> Option<TimeDelta> {
        if self.send_guard.is_closed(now) {
            return Some(MIN_RETRY_AFTER);
        }
        self.startup.as_mut()?.admission.admit(now, pending).err()
    }

    /// The client of a request has gone, or has cancelled it (`was_cancelled`: it hears so as its response).
    pub(super) fn abandon(&mut self, runtime: &dyn ConnectionRuntime, id: u64, was_cancelled: bool) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.responder.take().is_none() {
            return;
        }
        if let Some(accounting) = request.accounting.take() {
            if was_cancelled {
                accounting.abort();
            } else {
                accounting.abandon();
            }
        }
        self.counters.abandoned += 1;
        let mut commands = self.withdraw_attempt(id);
        commands.extend(self.policy.on_event(now(), PolicyEvent::RequestAbandoned { id }));
        self.execute(runtime, commands);
        self.remove_if_done(id);
    }

    /// Gives every pending request its final response, because this process shuts down: those that cannot have run are
    /// rejected, the others failed. How many.
    pub(super) fn complete_all(&mut self, runtime: &dyn ConnectionRuntime) -> usize {
        let ids = self.requests.awaited_ids();
        for id in &ids {
            let Some(request) = self.requests.get(*id) else { continue };
            let response = shutdown_response(request, *id);
            let mut commands = self.complete(*id, response);
            commands.extend(self.policy.on_event(now(), PolicyEvent::RequestAbandoned { id: *id }));
            self.execute(runtime, commands);
        }
        ids.len()
    }

    /// Carries out commands of the policy, and those that follow from them.
    pub(super) fn execute(&mut self, runtime: &dyn ConnectionRuntime, commands: Vec<PolicyCommand>) {
        let mut queue = VecDeque::from(commands);
        while let Some(command) = queue.pop_front() {
            match command {
                PolicyCommand::SetResources { id, memory_grant_mb, priority } => {
                    self.set_resources(runtime.pool(), id, memory_grant_mb, priority);
                }
                PolicyCommand::Send { id, engine } => queue.extend(self.send(runtime, id, engine)),
                PolicyCommand::Cancel { id, attempt } => {
                    if self.cancel_attempt(runtime.pool(), id, attempt) {
                        let check_at = now() + CANCELLATION_CHECK_INTERVAL;
                        self.requests.schedule_cancellation(check_at, id, attempt);
                        runtime.wake();
                    }
                }
                PolicyCommand::Reject { id, retry_after } => queue.extend(self.reject(id, retry_after)),
                PolicyCommand::Fail { id, retry_after } => queue.extend(self.fail(id, retry_after)),
                PolicyCommand::Log(text) => info!(text, "policy event"),
            }
        }
        if self.requests.has_due_cancellation(now()) {
            runtime.wake();
        }
    }

    fn set_resources(&mut self, pool: &BufferPool, id: u64, memory_grant_mb: Option<f64>, priority: u8) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.priority != priority {
            if let Some(attempt) = &request.in_flight {
                attempt.set_priority(pool, id, priority);
            }
        }
        request.memory_grant_mb = memory_grant_mb;
        request.priority = priority;
    }

    fn reject(&mut self, id: u64, retry_after: TimeDelta) -> Vec<PolicyCommand> {
        let Some(request) = self.requests.get(id) else { return Vec::new() };
        let is_late = request.deadline - now() < DEADLINE_MARGIN;
        let reason = if is_late { RejectReason::DeadlineExceeded } else { RejectReason::Overloaded };
        self.complete(id, Response::Rejected { reason, retry_after: retry_after.max(MIN_RETRY_AFTER) })
    }

    fn fail(&mut self, id: u64, retry_after: TimeDelta) -> Vec<PolicyCommand> {
        let reason = self.requests.get(id).map_or(RejectReason::Overloaded, failure_reason);
        self.complete(id, Response::Failed { reason, retry_after: retry_after.max(MIN_RETRY_AFTER) })
    }

    /// Gives a request its final response. This is the only place that does; a second response has nowhere to go. An
    /// attempt that was not sent by then is withdrawn.
    pub(super) fn complete(&mut self, id: u64, response: Response) -> Vec<PolicyCommand> {
        let commands = self.withdraw_attempt(id);
        let Some(request) = self.requests.get_mut(id) else { return commands };
        match request.responder.take() {
            Some(responder) => {
                let arrived_at = request.arrived_at;
                let accounting = request.accounting.take();
                log_response(id, request, &response);
                self.count_response(&response, arrived_at, accounting);
                drop(responder.send(response));
            }
            None => {
                let request = super::attempt::format_id(id);
                error!(request, "second response dropped");
                self.monitor.record_violation(now(), Invariant::SecondResponse, &request);
            }
        }
        self.remove_if_done(id);
        commands
    }

    /// Removes a request that has its final response and no attempt in flight.
    fn remove_if_done(&mut self, id: u64) {
        if self.requests.remove_if_done(id) {
            self.monitor.forget(id);
        }
    }

    /// Counts what clients still wait for, once the process ends.
    pub(super) fn check_nothing_pending(&self) {
        for id in self.requests.awaited_ids() {
            let name = super::attempt::format_id(id);
            self.monitor.record_violation(now(), Invariant::PendingAtExit, &name);
        }
    }

    fn count_response(
        &mut self,
        response: &Response,
        arrived_at: Timestamp,
        accounting: Option<ActiveRequest>,
    ) {
        self.reasons.record_response(response);
        match response {
            Response::Served(_) => {
                accounting.into_iter().for_each(ActiveRequest::succeed);
                self.counters.served += 1;
                if let Some(startup) = &mut self.startup {
                    startup.admission.record_served(now() - arrived_at);
                }
            }
            Response::Rejected { .. } => {
                accounting.into_iter().for_each(ActiveRequest::reject);
                self.counters.rejected += 1;
            }
            Response::Failed { .. } => {
                accounting.into_iter().for_each(ActiveRequest::abort);
                self.counters.failed += 1;
            }
        }
    }

    /// When [`Coordinator::process_due`] is to be called next.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        let zones = self.zone_routing.as_ref().map(ZoneRouting::next_check);
        self.policy.next_due().into_iter().chain(self.requests.next_due()).chain(zones).min()
    }

    /// Does what is due by now: log lines, timers of the policy, cancellations and deadlines.
    pub(super) fn process_due(&mut self, runtime: &dyn ConnectionRuntime) {
        self.policy.observe_wall_clock();
        if now() >= self.next_counters_log {
            self.next_counters_log = now() + COUNTERS_LOG_INTERVAL;
            self.log_counters(runtime.pool());
        }
        let commands = self.policy.fire_timers(now());
        self.execute(runtime, commands);
        while let Some((id, attempt)) = self.requests.pop_due_cancellation(now()) {
            self.check_cancellation(runtime, id, attempt);
        }
        while let Some(id) = self.requests.pop_expired(now()) {
            self.expire(runtime, id);
        }
    }

    fn log_counters(&mut self, pool: &BufferPool) {
        let lost_in_all = self.policy.recorder_counters().map_or(0, |counters| counters.lost);
        if lost_in_all > self.logged_capture_losses {
            let lost = lost_in_all - self.logged_capture_losses;
            self.logged_capture_losses = lost_in_all;
            let interval_s = COUNTERS_LOG_INTERVAL.as_micros() / 1_000_000;
            warn!(lost, interval_s, "capture lost events");
        }
        let counters = std::mem::take(&mut self.counters);
        counters.log(self.requests.len(), pool.in_use());
    }

    /// The deadline of a request has passed. The policy responds before that; this is for when it did not.
    fn expire(&mut self, runtime: &dyn ConnectionRuntime, id: u64) {
        if let Some(attempt) = self.requests.in_flight(id).map(|attempt| attempt.number) {
            self.cancel_attempt(runtime.pool(), id, attempt);
            let commands = self.end_attempt(id, AttemptOutcome::Expired);
            self.execute(runtime, commands);
        }
        if self.requests.get(id).is_some_and(PendingRequest::is_awaited) {
            let reason = RejectReason::DeadlineExceeded;
            let mut commands = self.complete(id, Response::Failed { reason, retry_after: MIN_RETRY_AFTER });
            commands.extend(self.policy.on_event(now(), PolicyEvent::RequestAbandoned { id }));
            self.execute(runtime, commands);
        }
    }
}

/// The response to a request that is pending when this process shuts down.
fn shutdown_response(request: &PendingRequest, id: u64) -> Response {
    let is_unsent = |attempt: &InFlightAttempt| attempt.connection.withdraw(id) == Withdrawal::Complete;
    let was_withdrawn = request.in_flight.as_ref().is_some_and(is_unsent);
    let reason = RejectReason::Overloaded;
    let retry_after = MIN_RETRY_AFTER;
    match request.attempts {
        0 => Response::Rejected { reason, retry_after },
        1 if was_withdrawn => Response::Rejected { reason, retry_after },
        _ => Response::Failed { reason, retry_after },
    }
}

fn log_response(id: u64, request: &PendingRequest, response: &Response) {
    let (kind, reason) = match response {
        Response::Served(_) => ("served", None),
        Response::Rejected { reason, .. } => ("rejected", Some(reason)),
        Response::Failed { reason, .. } => ("failed", Some(reason)),
    };
    debug!(
        request = super::attempt::format_id(id),
        response = kind,
        reason = reason.map(field::debug),
        class = request.class_name,
        attempts = request.attempts,
        elapsed_ms = (now() - request.arrived_at).as_millis(),
        time_left_ms = (request.deadline - now()).as_millis(),
        last_outcome = request.last_outcome.map(field::debug),
        "request completed"
    );
}

/// Why a request fails, by its last attempt.
fn failure_reason(request: &PendingRequest) -> RejectReason {
    if request.deadline - now() < DEADLINE_MARGIN {
        return RejectReason::DeadlineExceeded;
    }
    match request.last_outcome {
        Some(AttemptOutcome::EngineError) => RejectReason::EngineError,
        Some(AttemptOutcome::ConnectionBroken | AttemptOutcome::ConnectionClosed) => {
            RejectReason::ConnectionLost
        }
        Some(AttemptOutcome::Unreachable) => RejectReason::Unreachable,
        Some(AttemptOutcome::Expired) => RejectReason::DeadlineExceeded,
        _ => RejectReason::Overloaded,
    }
}

#[cfg(test)]
mod sending_tests;
#[cfg(test)]
mod tests;
