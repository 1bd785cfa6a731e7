//! Helpers of the core's tests: a core with listeners in place of engines.

use super::buffer_pool::{BufferPool, BUFFER_BYTES};
use super::connection_task::ConnectionOwner;
use super::engine_connection::{ConnectionLimits, EngineConnection};
use super::{Core, CoreConfig, Request, RequestHandle, RequestSpec};
use crate::proto::engine_answer::EngineAnswerError;
use crate::proto::events::{Endpoint, EndpointPhase, ListEvent};
use sprucelink_metrics::Metrics;
use sprucelink_policy::{ClassSettings, DedupGroup, Effect, Settings, TimeDelta};
use std::rc::Rc;
use tokio::net::TcpListener;

/// Settings with one idempotent class, cancellation and at most 6 attempts. `cores`: cores of each engine.
fn settings(cores: f64) -> Settings {
    let class = ClassSettings {
        value: 1.0,
        late_value_fraction: 0.5,
        latency_objective: TimeDelta::from_millis(1),
        objective_per_work: 0.0,
        deadline: TimeDelta::from_secs(20),
        effect: Effect::Safe,
        group: DedupGroup::All,
        repeat_window: TimeDelta::ZERO,
        ordered_by_key: false,
        threads: 1.0,
        loads_tables: false,
        kinds: None,
        zones: None,
    };
    Settings {
        classes: vec![class],
        kind_cores: vec![cores],
        cancel: true,
        max_attempts: 6,
        ..Settings::default()
    }
}

/// A core with two engines of 8 cores that accept connections and send nothing, and their listeners.
pub(crate) async fn core() -> (Rc<Core>, Vec<TcpListener>) {
    let listen = || TcpListener::bind("127.0.0.1:0");
    let listeners = vec![listen().await.expect("a port"), listen().await.expect("a port")];
    core_with(listeners, 32, 8.0)
}

/// A core with an engine of `cores` cores behind each listener, and at most `max_streams` attempts on a
/// connection at a time. The engine behind listener `i` has the id `s-(i + 1)`.
pub(super) fn core_with(
    listeners: Vec<TcpListener>,
    max_streams: usize,
    cores: f64,
) -> (Rc<Core>, Vec<TcpListener>) {
    let limits = ConnectionLimits {
        max_streams,
        dial_timeout: TimeDelta::from_secs(5),
        idle_timeout: TimeDelta::from_secs(15),
        note_interval: TimeDelta::ZERO,
        max_per_engine: 4,
        max_total: 8,
    };
    let core = Core::new(CoreConfig {
        settings: settings(cores),
        seed: 7,
        zones: Vec::new(),
        kinds: Vec::new(),
        limits,
        pool: BufferPool::new(2 * max_streams * BUFFER_BYTES),
        metrics: Metrics::try_new(&["c".into()]).expect("metrics"),
    });
    let member_of = |(i, listener): (usize, &TcpListener)| {
        let address = listener.local_addr().expect("an address").to_string();
        member(&format!("s-{}", i + 1), address, EndpointPhase::Ready, 0)
    };
    let members = listeners.iter().enumerate().map(member_of).collect();
    core.on_endpoint_list(&ListEvent { number: 1, revision: 0, is_complete: true, endpoints: members }, true);
    (core, listeners)
}

/// An entry of the endpoint list, without zone and machine kind.
pub(super) fn member(id: &str, address: String, phase: EndpointPhase, up_since_ms: i64) -> Endpoint {
    Endpoint {
        id: id.into(),
        address,
        zone: String::new(),
        machine_kind: String::new(),
        cell: 0,
        phase,
        up_since_ms,
    }
}

/// An owner of connections that authorizes every attempt and ignores every answer.
pub(super) struct PermissiveOwner {
    pub(super) pool: BufferPool,
    pub(super) limits: ConnectionLimits,
}

impl ConnectionOwner for PermissiveOwner {
    fn pool(&self) -> &BufferPool {
        &self.pool
    }
    fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }
    fn on_answer(self: &Rc<Self>, _: &EngineConnection, _: &[&[u8]]) -> Result<(), EngineAnswerError> {
        Ok(())
    }
    fn on_connection_down(self: &Rc<Self>, _: &Rc<EngineConnection>, _: &str, _: bool) {}
}

/// A request with an empty statement.
pub(super) fn request(core: &Core, id: u64) -> Request {
    let spec = RequestSpec {
        id,
        class: 0,
        tenant: 0,
        tables: 1,
        time_left: TimeDelta::from_secs(20),
        cost_ms: Some(1.0),
        memory_mb: None,
    };
    let statement = core.pool().get(0).expect("a buffer");
    Request { spec, class_name: "c".into(), idempotency_key: None, statement }
}

/// Reserves the id of a request and submits it; `None` if the id may not be used.
pub(super) fn submit(core: &Rc<Core>, request: Request) -> Option<RequestHandle> {
    let reservation = core.reserve_id(request.spec.id, &request.statement)?;
    Some(core.submit(request, reservation))
}

/// Runs a test on a single-threaded runtime of its own.
pub(crate) fn run_local<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}
