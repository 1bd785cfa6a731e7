//! [`Core`]: the interface of the core for the fronts and the drivers of the program.

use super::buffer_pool::BufferPool;
use super::clock::{now, to_duration};
use super::connection_runtime::ConnectionRuntime;
use super::connection_task::{self, ConnectionOwner};
use super::coordinator::{Coordinator, CoordinatorConfig};
use super::engine_connection::{ConnectionLimits, EngineConnection};
use super::engine_table::EngineCounts;
use super::gossip_facts::GossipWindows;
use super::invariants::Invariant;
use super::request::{Request, Response, UnservedReason, MIN_RETRY_AFTER};
use super::request_ids::IdReservation;
use super::zone_routing::{Observer, ZoneRouting};
use crate::proto::engine_answer::EngineAnswerError;
use crate::proto::events::ListEvent;
use sprucelink_capture::recorder::Recorder;
use sprucelink_cordon::{Cause, CordonError, CordonOutcome, CordonRecord, CordonRequest, MergeResult};
use sprucelink_membership::GossipPayload;
use sprucelink_metrics::Metrics;
use sprucelink_policy::{Settings, Timestamp};
use sprucelink_startup::config::StartupConfig;
use sprucelink_zone_failover::config::FailoverConfig;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};

/// Longest time for which [`Core::run`] sleeps when nothing is due, in real time.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Settings and shared resources of a new [`Core`].
#[derive(Debug)]
pub struct CoreConfig {
    /// Settings of the policy, and of the send guard and the invariant monitor, which check the same rules.
    pub settings: Settings,
    /// Seed of the policy, of start-up control and of generated ids.
    pub seed: u64,
    /// Names of the zones, in the order of their indices.
    pub zones: Vec<String>,
    /// Names of the machine kinds, in the order of their indices.
    pub kinds: Vec<String>,
    /// Limits and timeouts of connections to engines.
    pub limits: ConnectionLimits,
    /// Pool of the buffers for statements, results and the bytes of connections.
    pub pool: BufferPool,
    /// Metrics in which requests, attempts and violations of invariants are counted.
    pub metrics: Metrics,
}

/// The core of the program: pending requests, engines and the policy, for one thread.
pub struct Core {
    pub(super) coordinator: RefCell<Coordinator>,
    pool: BufferPool,
    limits: ConnectionLimits,
    wake: Notify,
    metrics: Metrics,
}

/// A submitted request. Dropping it before its final response abandons the request.
pub struct RequestHandle {
    core: Rc<Core>,
    id: u64,
    response: oneshot::Receiver<Response>,
    was_cancelled: bool,
}

impl RequestHandle {
    /// Cancels the request on behalf of its client. In the metrics, the request counts as failed and not as
    /// abandoned.
    pub fn cancel(mut self) {
        self.was_cancelled = true;
    }

    /// Waits for the final response, which arrives by the request's deadline at the latest.
    pub async fn wait(&mut self) -> Response {
        // The sender stays in the request table until it has sent the response, so the receiver never fails.
        // `lost` is a fallback.
        let lost = Response::Failed { reason: UnservedReason::ConnectionLost, retry_after: MIN_RETRY_AFTER };
        (&mut self.response).await.unwrap_or(lost)
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        let core = &self.core;
        core.coordinator.borrow_mut().abandon(core, self.id, self.was_cancelled);
    }
}

impl Core {
    /// Creates a core without engines.
    pub fn new(config: CoreConfig) -> Rc<Core> {
        let CoreConfig { settings, seed, zones, kinds, limits, pool, metrics } = config;
        let coordinator = Coordinator::new(CoordinatorConfig { settings, seed, zones, kinds }, &metrics);
        Rc::new(Core { coordinator: RefCell::new(coordinator), pool, limits, wake: Notify::new(), metrics })
    }

    /// Enables start-up control, which paces dials, limits admission, checks endpoint lists and reports
    /// readiness. `name` is this manager's configured name. Must be called before the first endpoint list, so
    /// that the list guard sees every list.
    pub fn enable_startup_control(&self, settings: &StartupConfig, name: &str) {
        self.coordinator.borrow_mut().enable_startup_control(settings, name);
        self.wake.notify_one();
    }

    /// Records that the control feed has answered a poll, which is one of the conditions of readiness.
    pub fn on_control_feed_answered(&self) {
        if let Some(startup) = self.coordinator.borrow_mut().startup_mut() {
            startup.record_feed_answer();
        }
    }

    /// Starts counting the facts that are gossiped to other managers, in windows of the given lengths.
    pub fn enable_gossip(&self, windows: GossipWindows) {
        self.coordinator.borrow_mut().enable_gossip(windows);
    }

    /// The current gossip payload; `None` if gossip is off.
    pub fn gossip_payload(&self) -> Option<GossipPayload> {
        self.coordinator.borrow_mut().gossip_payload()
    }

    /// Sets the number of managers, this one included, and the number of retries that this manager may make
    /// in the retry budget's window beyond its own budget, because the other managers have not used theirs.
    pub fn set_fleet(self: &Rc<Self>, managers: u32, spare_retries: f64) {
        self.coordinator.borrow_mut().set_fleet(self, managers, spare_retries);
    }

    /// Sets the number of this manager's processes, among which its share of the fleet's capacity and budgets
    /// is divided. There are several during a hot restart.
    pub fn set_process_count(self: &Rc<Self>, processes: u32) {
        self.coordinator.borrow_mut().set_process_count(self, processes);
    }

    /// Enables failover between zones. `home`: the index of this manager's zone in `zones`, the names of all
    /// zones; `None` if the zone is not configured.
    pub fn enable_zone_failover(&self, config: &FailoverConfig, home: Option<u32>, zones: Vec<String>) {
        self.coordinator.borrow_mut().enable_zone_routing(ZoneRouting::new(config, home, zones));
        self.wake.notify_one();
    }

    /// Replaces the other managers and their observations; `observers` is called only if failover is on.
    pub fn set_observers(&self, observers: impl FnOnce() -> Vec<Observer>) {
        self.coordinator.borrow_mut().set_observers(observers);
    }

    /// The pool of buffers, which the core shares with the fronts.
    pub fn pool(&self) -> &BufferPool {
        &self.pool
    }

    /// The metrics of requests, and the counters that other modules have registered.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The number of requests without a final response or with an attempt that has not ended.
    pub fn pending_requests(&self) -> usize {
        self.coordinator.borrow().requests.len()
    }

    /// The number of the last event of the endpoint list that was applied or skipped, after which the next
    /// poll continues; 0 before the first event.
    pub fn last_event(&self) -> u64 {
        self.coordinator.borrow().engines.last_event()
    }

    /// Records the number of an event that changes nothing in this process, so that the next poll starts
    /// after it.
    pub fn skip_event(&self, event: u64) {
        self.coordinator.borrow_mut().engines.skip_event(event);
    }

    /// Applies an event of the endpoint list. `is_cached`: whether the list was stored before this process
    /// started and may be out of date.
    pub fn on_endpoint_list(self: &Rc<Self>, list: &ListEvent, is_cached: bool) {
        self.coordinator.borrow_mut().on_endpoint_list(self, list, is_cached);
    }

    /// Generates a pseudorandom 64-bit id, for a request, a session or an idempotency key. Ids are not
    /// compared with earlier ones.
    pub fn generate_id(&self) -> u64 {
        self.coordinator.borrow_mut().generate_id()
    }

    /// Sets the recorder for the policy's events and actions from now on. `None` stops the recording and
    /// waits for the writer, for a limited time.
    pub fn set_recorder(&self, recorder: Option<Recorder>) {
        let previous = self.coordinator.borrow_mut().set_recorder(recorder);
        // Dropped after the borrow has ended, because the drop waits for the writer.
        drop(previous);
    }

    /// Submits a request whose id is reserved.
    pub fn submit(self: &Rc<Self>, request: Request, reservation: IdReservation) -> RequestHandle {
        let id = request.spec.id;
        debug_assert_eq!(reservation.id(), id, "the reservation is of another request");
        let class = request.spec.class;
        let mut coordinator = self.coordinator.borrow_mut();
        reservation.into_submitted();
        let response = coordinator.submit(self, request, || self.metrics.start_request(class));
        RequestHandle { core: Rc::clone(self), id, response, was_cancelled: false }
    }

    /// Sets the time from which this process rejects all requests and sends nothing to an engine.
    pub fn set_shutdown_deadline(&self, deadline: Timestamp) {
        self.coordinator.borrow_mut().set_shutdown_deadline(deadline);
    }

    /// Gives every request that has no final response yet its response now, because this process is shutting
    /// down; `shutdown_response` chooses the response. Returns the number of these requests.
    pub fn complete_all(self: &Rc<Self>) -> usize {
        self.coordinator.borrow_mut().complete_all(self)
    }

    /// Counts and logs a violation that was detected outside the core. `detail`: ids and values for the log.
    pub fn record_violation(&self, rule: Invariant, detail: &str) {
        self.coordinator.borrow().monitor.record_violation(now(), rule, detail);
    }

    /// Counts each request that a client still waits for as a violation, because the process is about to end.
    pub fn check_nothing_pending(&self) {
        self.coordinator.borrow().check_nothing_pending();
    }

    /// Cordons the engine with this id; `Ok` also if it is already cordoned.
    ///
    /// # Errors
    /// If the id is invalid or was never listed, the lease is invalid, or the number of active cordons has
    /// reached its limit.
    pub fn cordon_engine(
        self: &Rc<Self>,
        id: &str,
        request: CordonRequest,
        reason: &str,
    ) -> Result<CordonOutcome, CordonError> {
        self.coordinator.borrow_mut().cordon_engine(self, id, request, reason)
    }

    /// Ends the engine's cordon by this cause; `Ok` also if there is none. Cordons by other causes stay.
    ///
    /// # Errors
    /// If the id is invalid or was never listed.
    pub fn uncordon_engine(self: &Rc<Self>, id: &str, cause: Cause) -> Result<CordonOutcome, CordonError> {
        self.coordinator.borrow_mut().uncordon_engine(self, id, cause)
    }

    /// The records of all cordons and at most `max_ids` hashes of engine ids ever listed, for the process
    /// that replaces this one in a hot restart.
    pub fn export_cordons(&self, max_ids: usize) -> (Vec<CordonRecord>, Vec<u64>) {
        self.coordinator.borrow().export_cordons(max_ids)
    }

    /// Merges the cordon records and engine ids of another process.
    pub fn merge_cordons(self: &Rc<Self>, records: &[CordonRecord], ids: &[u64]) -> MergeResult {
        self.coordinator.borrow_mut().merge_cordons(self, records, ids)
    }

    /// Ends cordons whose lease has expired. Must be called about once per second.
    pub fn expire_cordons(self: &Rc<Self>) {
        self.coordinator.borrow_mut().expire_cordons(self);
    }

    /// The number of listed engines, and how many of them get no requests.
    pub fn engine_counts(&self) -> EngineCounts {
        self.coordinator.borrow().engine_counts()
    }

    /// Processes timers, cancellations and deadlines as they become due; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(self.time_to_next_due()) => {}
                () = self.wake.notified() => {}
            }
            self.coordinator.borrow_mut().process_due(&self);
            self.coordinator.borrow_mut().check_zones(&self);
        }
    }

    fn time_to_next_due(&self) -> Duration {
        let mut coordinator = self.coordinator.borrow_mut();
        let readiness_check = coordinator.startup_mut().and_then(|startup| startup.check_readiness(now()));
        let next_due = coordinator.next_due().into_iter().chain(readiness_check).min();
        next_due.map_or(MAX_SLEEP, |at| to_duration(at - now()))
    }
}

impl ConnectionRuntime for Rc<Core> {
    fn pool(&self) -> &BufferPool {
        &self.pool
    }

    fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    fn start_connection(&self, connection: Rc<EngineConnection>) {
        tokio::task::spawn_local(connection_task::run(Rc::clone(self), connection));
    }

    fn wake(&self) {
        self.wake.notify_one();
    }
}

impl ConnectionOwner for Core {
    fn pool(&self) -> &BufferPool {
        &self.pool
    }

    fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    fn authorize_send(self: &Rc<Self>, connection: &EngineConnection, id: u64, attempt: u32) -> bool {
        let is_authorized = self.coordinator.borrow_mut().authorize_send(&self.pool, connection, id, attempt);
        if !is_authorized {
            // The end of a withdrawn attempt is reported by `process_due`.
            self.wake.notify_one();
        }
        is_authorized
    }

    fn on_attempts_sent(&self, attempts: u64) {
        (0..attempts).for_each(|_| self.metrics.record_forward());
    }

    fn on_connection_up(self: &Rc<Self>, connection: &EngineConnection) {
        self.coordinator.borrow_mut().on_connection_up(connection);
    }

    fn on_answer(
        self: &Rc<Self>,
        connection: &EngineConnection,
        parts: &[&[u8]],
    ) -> Result<(), EngineAnswerError> {
        self.coordinator.borrow_mut().on_answer(self, connection, parts)
    }

    fn on_connection_down(self: &Rc<Self>, connection: &Rc<EngineConnection>, reason: &str, is_local: bool) {
        self.coordinator.borrow_mut().on_connection_down(self, connection, reason, is_local);
    }
}
