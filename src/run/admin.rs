//! The admin address: implements its operations on the core. `sprucelink_admin` speaks HTTP and bounds the
//! clients.

use super::hot_restart_driver::HotRestartDriver;
use super::listen::listen;
use crate::core::Core;
use sprucelink_admin::{LimitReached, Limits, OperationError, OperationOutcome, Operations};
use sprucelink_cordon::{Cause, CordonError, CordonOutcome, CordonRequest};
use sprucelink_metrics::Counter;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tracing::{info, warn};

/// Origin in the record of a cordon that an operator set.
const CORDON_ORIGIN: &str = "by the operators' address";

/// The limit on admin connections is the limit on descriptors divided by this, but at least
/// [`MIN_CONNECTIONS`] and at most [`MAX_CONNECTIONS`].
const CONNECTIONS_DIVISOR: usize = 16;
/// Lowest limit on admin connections.
const MIN_CONNECTIONS: usize = 4;
/// Highest limit on admin connections.
const MAX_CONNECTIONS: usize = 32;
/// Longest time that an admin request may take to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time that a client may take to read its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time that a connection is kept after its response, so that the client can read it.
const LINGER: Duration = Duration::from_millis(500);
/// Maximum rate of accepting admin connections in the long run, per second.
const ACCEPTS_PER_SECOND: u32 = 500;
/// Maximum number of admin connections accepted at once after an idle period.
const ACCEPT_BURST: u32 = 256;

/// Limits of the admin address in a process that may hold `sockets` descriptors. Operators, health checks and
/// scrapers need few connections, and each connection takes a descriptor that clients and engines cannot use.
pub fn limits(sockets: usize) -> Limits {
    Limits {
        max_connections: (sockets / CONNECTIONS_DIVISOR).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS),
        request_timeout: REQUEST_TIMEOUT,
        response_timeout: RESPONSE_TIMEOUT,
        linger: LINGER,
        accepts_per_second: ACCEPTS_PER_SECOND,
        accept_burst: ACCEPT_BURST,
    }
}

/// Error for an admin address that cannot be listened on.
#[derive(Debug, thiserror::Error)]
#[error("operators: listen on {address}")]
pub struct AdminListenError {
    /// The admin address as configured.
    pub address: String,
    /// The operating system's reason.
    pub source: io::Error,
}

/// A limit of the admin address, and the counter of how often clients reach it.
struct LimitCounter {
    limit: LimitReached,
    counter: Counter,
}

/// The operations of the admin address, which act on the core of this process.
pub struct AdminOperations {
    core: Rc<Core>,
    is_ready: Cell<bool>,
    /// This process's part in hot restarts, if the platform passed on the listening socket.
    hot_restart: Option<Rc<HotRestartDriver>>,
    limit_counters: Vec<LimitCounter>,
}

impl AdminOperations {
    /// Creates the operations on `core`; health checks fail until [`AdminOperations::set_ready`].
    pub fn new(core: Rc<Core>, hot_restart: Option<Rc<HotRestartDriver>>) -> Rc<AdminOperations> {
        let counter = |limit: &LimitReached| {
            let counter = core.metrics().counter(limit.counter_name());
            LimitCounter { limit: *limit, counter: counter.unwrap_or_else(|_| Counter::noop()) }
        };
        let limit_counters = LimitReached::ALL.iter().map(counter).collect();
        Rc::new(AdminOperations { core, is_ready: Cell::new(false), hot_restart, limit_counters })
    }

    /// Marks this process as ready: health checks succeed, unless a hot restart makes them fail.
    pub fn set_ready(&self) {
        self.is_ready.set(true);
    }

    /// Listens on `address` and serves admin requests within `limits`, in a task of the current `LocalSet`.
    ///
    /// # Errors
    /// If `address` cannot be listened on.
    pub async fn listen(self: &Rc<Self>, address: &str, limits: Limits) -> Result<(), AdminListenError> {
        let listen_error = |source| AdminListenError { address: address.to_owned(), source };
        let listener = listen(address).await.map_err(listen_error)?;
        let local_address = listener.local_addr().map_err(listen_error)?;
        spawn_local(sprucelink_admin::serve(listener, Rc::clone(self), limits));
        info!(address = %local_address, "admin server listening");
        Ok(())
    }

    /// Records the outcome of a request that sets or ends a cordon for a hot restart, and returns the
    /// response to the request.
    fn complete_cordon_request(
        &self,
        engine: &str,
        outcome: Result<CordonOutcome, CordonError>,
    ) -> Result<OperationOutcome, OperationError> {
        let outcome = outcome.map_err(|error| {
            warn!(engine_id = engine, %error, "cordon call rejected");
            rejection(&error)
        });
        // The cordons are written before the response is sent: a confirmed cordon must survive the exit of
        // this process.
        if let (Ok(_), Some(hot_restart)) = (&outcome, &self.hot_restart) {
            hot_restart.record_cordons().map_err(|error| {
                OperationError::Unavailable(format!("it holds here and is not on record: {error}"))
            })?;
        }
        match outcome? {
            CordonOutcome::Cordoned | CordonOutcome::Uncordoned => Ok(OperationOutcome::Changed),
            CordonOutcome::AlreadyCordoned
            | CordonOutcome::NotCordoned
            | CordonOutcome::StillCordoned { .. } => Ok(OperationOutcome::Unchanged),
        }
    }
}

/// The response to a request for a cordon that the core rejected.
fn rejection(error: &CordonError) -> OperationError {
    match error {
        CordonError::NeverListed | CordonError::InvalidTarget => OperationError::Unknown,
        CordonError::TooManyCordons | CordonError::InvalidLease => {
            OperationError::Unavailable(error.to_string())
        }
    }
}

impl Operations for AdminOperations {
    fn is_healthy(&self) -> bool {
        self.is_ready.get() && self.hot_restart.as_ref().is_none_or(|hot_restart| hot_restart.is_healthy())
    }

    fn stats(&self) -> String {
        let engines = self.core.engine_counts();
        let metrics = self.core.metrics();
        metrics.set_discovered(engines.listed);
        metrics.set_ejected(engines.avoided);
        metrics.render()
    }

    fn cordon(&self, target: &str) -> Result<OperationOutcome, OperationError> {
        self.complete_cordon_request(
            target,
            self.core.cordon_engine(target, CordonRequest::Operator, CORDON_ORIGIN),
        )
    }

    fn uncordon(&self, target: &str) -> Result<OperationOutcome, OperationError> {
        self.complete_cordon_request(target, self.core.uncordon_engine(target, Cause::Operator))
    }

    fn on_limit_reached(&self, limit: LimitReached) {
        if let Some(entry) = self.limit_counters.iter().find(|entry| entry.limit == limit) {
            entry.counter.increment(1);
        }
    }
}
