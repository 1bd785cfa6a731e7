//! The coordinator connects the parts of the core.
//!
//! Input: requests of the fronts, events of the endpoint list, events of connections, and timers. Output:
//! events for the policy, and the execution of the policy's commands on the request table, the engine table
//! and the connections. State: the parts, each of which owns its own state.
//!
//! The state of a request has one owner, [`PendingRequest`], and the state of an attempt has one owner,
//! [`InFlightAttempt`]. An event that arrives after the end of its request or attempt finds no owner and has
//! no effect.
//!
//! Attempts and requests end separately:
//! - An attempt ends in `end_attempt`, which takes it out of its request and releases its connection. It
//!   calls `report_end`, which notifies the policy; for an attempt that was never queued to a connection,
//!   only `report_end` is called. If the attempt was served and its client still waits, `complete` follows;
//!   the policy's commands are carried out last.
//! - A request ends in `complete`, the only place that gives a final response. It withdraws the attempt in
//!   flight if no byte of it was sent.
//! - `expire` acts at the deadline: it cancels the attempt, calls `end_attempt`, carries out the policy's
//!   commands, and calls `complete` if these commands gave no response.
//! - `abandon` acts when the client has disconnected or cancelled its request. There is no response: an
//!   unsent attempt is withdrawn, and the policy gets `RequestAbandoned`, upon which it cancels an attempt
//!   that was sent. `expire` and `complete_all` (the shutdown) also send `RequestAbandoned`, after
//!   `complete`.
//! - `remove_if_done` removes a request that has ended and whose last attempt has ended.
//!
//! [`InFlightAttempt`]: super::attempt::InFlightAttempt

use super::attempt::{AttemptOutcome, CANCELLATION_CHECK_INTERVAL};
use super::buffer_pool::BufferPool;
use super::clock::now;
use super::connection_runtime::ConnectionRuntime;
use super::engine_table::EngineTable;
use super::fleet_state::FleetState;
use super::id_generator::IdGenerator;
use super::invariants::InvariantMonitor;
use super::policy_driver::{PolicyCommand, PolicyDriver, PolicyEvent};
use super::request::{Request, Response, UnservedReason, MIN_RETRY_AFTER};
use super::request_statistics::RequestStatistics;
use super::request_table::{PendingRequest, RequestTable};
use super::send_guard::SendGuard;
use super::startup_control::StartupControl;
use sprucelink_capture::recorder::Recorder;
use sprucelink_cordon::{CordonLimits, CordonState};
use sprucelink_metrics::{ActiveRequest, Metrics};
use sprucelink_policy::{Settings, TimeDelta, Timestamp};
use sprucelink_startup::config::StartupConfig;
use std::collections::VecDeque;
use tokio::sync::oneshot;
use tracing::info;

mod attempts;
mod cordons;
mod engines;
mod fleet;
mod responses;

/// The policy's settings, the seed and the names of zones and machine kinds, from which a coordinator is
/// created.
pub(super) struct CoordinatorConfig {
    /// Settings of the policy, and of the send guard and the invariant monitor, which check the same rules.
    pub(super) settings: Settings,
    /// Seed of the policy, of start-up control and of generated ids.
    pub(super) seed: u64,
    /// Names of the zones, in the order of their indices.
    pub(super) zones: Vec<String>,
    /// Names of the machine kinds, in the order of their indices.
    pub(super) kinds: Vec<String>,
}

/// The parts of the core, and the calls between them.
pub(super) struct Coordinator {
    pub(super) requests: RequestTable,
    pub(super) engines: EngineTable,
    pub(super) policy: PolicyDriver,
    send_guard: SendGuard,
    /// Checks at run time, with its own records, that the other parts obey the rules.
    pub(super) monitor: InvariantMonitor,
    statistics: RequestStatistics,
    fleet: FleetState,
    cordons: CordonState,
    /// Start-up control: paces dials, limits the pending requests during warm-up, checks endpoint lists for
    /// staleness and reports readiness. `None` if it is off.
    startup: Option<StartupControl>,
    /// Seed of start-up control.
    seed: u64,
    ids: IdGenerator,
}

impl Coordinator {
    /// Creates a coordinator without engines.
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
            statistics: RequestStatistics::new(metrics, now()),
            fleet,
            cordons: CordonState::new(CordonLimits::default()),
            startup: None,
            seed,
            ids: IdGenerator::new(seed),
        }
    }

    /// Enables start-up control. `name`: this manager's configured name.
    pub(super) fn enable_startup_control(&mut self, settings: &StartupConfig, name: &str) {
        let listed = self.engines.listed_count();
        self.startup = Some(StartupControl::new(settings, name, self.seed, listed, now()));
    }

    /// Start-up control; `None` if it is off.
    pub(super) fn startup_mut(&mut self) -> Option<&mut StartupControl> {
        self.startup.as_mut()
    }

    /// Generates a pseudorandom id, which is not compared with earlier ones.
    pub(super) fn generate_id(&mut self) -> u64 {
        self.ids.next_id(now())
    }

    /// Replaces the recorder of the policy's events and actions; returns the previous one.
    pub(super) fn set_recorder(&mut self, recorder: Option<Recorder>) -> Option<Recorder> {
        self.statistics.reset_capture_losses();
        self.policy.set_recorder(recorder)
    }

    /// Sets the time from which this process rejects all requests and sends nothing to an engine.
    pub(super) fn set_shutdown_deadline(&mut self, deadline: Timestamp) {
        self.send_guard.set_shutdown_deadline(deadline);
    }

    /// Adds a request whose id is reserved; returns the receiver of its final response. `accounting` creates the
    /// request's entry in the metrics.
    pub(super) fn submit(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        mut request: Request,
        accounting: impl FnOnce() -> ActiveRequest,
    ) -> oneshot::Receiver<Response> {
        let id = request.spec.id;
        let arrived_at = now();
        let deadline = self.send_guard.response_deadline(arrived_at + request.spec.time_left);
        request.spec.time_left = deadline - arrived_at;
        self.send_guard.record_request(arrived_at);
        self.monitor.record_request(arrived_at);
        let pending = self.requests.len();
        let spec = request.spec.clone();
        let (responder, response) = oneshot::channel();
        let entry = PendingRequest::new(request, arrived_at, deadline, responder, accounting());
        self.requests.insert(id, entry);
        self.statistics.record_submission();
        self.fleet.record_request(arrived_at);
        // The policy gets only the requests that it decides on.
        let commands = match self.rejection_before_policy(arrived_at, pending) {
            Some(retry_after) => vec![PolicyCommand::Reject { id, retry_after }],
            None => self.policy.on_request(arrived_at, &spec),
        };
        self.execute(runtime, commands);
        runtime.wake();
        response
    }

    /// The Retry-After of a request that is rejected because this process is shutting down, or still warming
    /// up after its start; `None` if the policy decides.
    fn rejection_before_policy(&mut self, now: Timestamp, pending: usize) -> Option<TimeDelta> {
        if self.send_guard.is_closed(now) {
            return Some(MIN_RETRY_AFTER);
        }
        self.startup.as_mut()?.admit(now, pending).err()
    }

    /// Abandons a request whose client has disconnected or, if `was_cancelled`, has cancelled it. The front,
    /// not the core, responds to a client that has cancelled its request.
    pub(super) fn abandon(&mut self, runtime: &dyn ConnectionRuntime, id: u64, was_cancelled: bool) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.responder.take().is_none() {
            return;
        }
        self.statistics.record_abandonment(request.accounting.take(), was_cancelled);
        let mut commands = self.withdraw_attempt(id);
        commands.extend(self.policy.on_event(now(), PolicyEvent::RequestAbandoned { id }));
        self.execute(runtime, commands);
        self.remove_if_done(id);
    }

    /// Carries out commands of the policy, and the commands with which the policy reacts to their effects.
    pub(super) fn execute(&mut self, runtime: &dyn ConnectionRuntime, commands: Vec<PolicyCommand>) {
        let mut queue = VecDeque::from(commands);
        while let Some(command) = queue.pop_front() {
            match command {
                PolicyCommand::SetResources { id, memory_grant_mb, level } => {
                    self.set_resources(runtime.pool(), id, memory_grant_mb, level);
                }
                PolicyCommand::Send { id, engine } => queue.extend(self.start_attempt(runtime, id, engine)),
                PolicyCommand::Cancel { id, attempt } => {
                    if self.cancel_attempt(runtime.pool(), id, attempt) {
                        let check_at = now() + CANCELLATION_CHECK_INTERVAL;
                        self.requests.schedule_cancellation_check(check_at, id, attempt);
                        runtime.wake();
                    }
                }
                PolicyCommand::Reject { id, retry_after } => queue.extend(self.reject(id, retry_after)),
                PolicyCommand::Fail { id, retry_after } => queue.extend(self.fail(id, retry_after)),
                PolicyCommand::Log(text) => info!(text, "policy event"),
            }
        }
        if self.requests.has_due_cancellation_check(now()) {
            runtime.wake();
        }
    }

    fn set_resources(&mut self, pool: &BufferPool, id: u64, memory_grant_mb: Option<f64>, level: u8) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.level != level {
            if let Some(attempt) = &request.in_flight {
                attempt.set_level(pool, id, level);
            }
        }
        request.memory_grant_mb = memory_grant_mb;
        request.level = level;
    }

    /// Removes a request that has its final response and no attempt in flight.
    fn remove_if_done(&mut self, id: u64) {
        if self.requests.remove_if_done(id) {
            self.monitor.forget(id);
        }
    }

    /// Time at which [`Coordinator::process_due`] or [`Coordinator::check_zones`] must be called next; `None`
    /// if nothing is due.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        let timer = self.policy.next_due();
        let request = self.requests.next_due();
        let zone_check = self.fleet.next_zone_check();
        timer.into_iter().chain(request).chain(zone_check).min()
    }

    /// Processes all work that is due: the log line, timers of the policy, checks of cancellations, and
    /// deadlines. Also reads the wall clock, to detect its steps.
    pub(super) fn process_due(&mut self, runtime: &dyn ConnectionRuntime) {
        self.policy.observe_wall_clock();
        if self.statistics.is_log_due(now()) {
            let capture_losses = self.policy.recorder_counters().map_or(0, |counters| counters.lost);
            let memory = runtime.pool().usage();
            self.statistics.log(now(), self.requests.len(), memory, capture_losses);
        }
        let commands = self.policy.fire_timers(now());
        self.execute(runtime, commands);
        while let Some((id, attempt)) = self.requests.pop_due_cancellation_check(now()) {
            self.check_cancellation(runtime, id, attempt);
        }
        while let Some(id) = self.requests.pop_expired(now()) {
            self.expire(runtime, id);
        }
    }

    /// Responds to a request whose deadline has passed without a response. Usually the policy has rejected or
    /// failed the request before its deadline.
    fn expire(&mut self, runtime: &dyn ConnectionRuntime, id: u64) {
        if let Some(attempt) = self.requests.in_flight(id).map(|attempt| attempt.number) {
            self.cancel_attempt(runtime.pool(), id, attempt);
            let commands = self.end_attempt(id, AttemptOutcome::Expired);
            self.execute(runtime, commands);
        }
        if self.requests.get(id).is_some_and(PendingRequest::is_awaited) {
            let reason = UnservedReason::DeadlineExceeded;
            let mut commands = self.complete(id, Response::Failed { reason, retry_after: MIN_RETRY_AFTER });
            commands.extend(self.policy.on_event(now(), PolicyEvent::RequestAbandoned { id }));
            self.execute(runtime, commands);
        }
    }
}

#[cfg(test)]
mod sending_tests;
#[cfg(test)]
mod tests;
