//! The admin address: what its calls do in this program. `sprucelink_admin` speaks HTTP and bounds the callers.

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

/// Who asked for a cordon, as its record says.
const CORDON_ORIGIN: &str = "by the operators' address";

/// Limits of the admin address in a process that may hold this many descriptors. Operators, health checks and scrapers
/// are a handful, and each connection is a descriptor that clients and engines go without.
pub fn limits(sockets: usize) -> Limits {
    Limits {
        max_connections: (sockets / 16).clamp(4, 32),
        request_timeout: Duration::from_secs(2),
        response_timeout: Duration::from_secs(2),
        linger: Duration::from_millis(500),
        accepts_per_second: 500,
        accept_burst: 256,
    }
}

/// An admin address that cannot be listened on.
#[derive(Debug, thiserror::Error)]
#[error("operators: listen on {address}")]
pub struct AdminListenError {
    /// The address as configured.
    pub address: String,
    /// The operating system's reason.
    pub source: io::Error,
}

/// The counter of a limit that callers reach.
struct LimitCounter {
    limit: LimitReached,
    counter: Counter,
}

/// The program, as admin calls see it.
pub struct AdminOperations {
    core: Rc<Core>,
    is_ready: Cell<bool>,
    /// This process's side of a hot restart, where there may be one.
    hot_restart: Option<Rc<HotRestartDriver>>,
    limit_counters: Vec<LimitCounter>,
}

impl AdminOperations {
    /// Operations on a core; health checks fail until [`AdminOperations::set_ready`].
    pub fn new(core: Rc<Core>, hot_restart: Option<Rc<HotRestartDriver>>) -> Rc<AdminOperations> {
        let counter = |limit: &LimitReached| {
            let counter = core.metrics().counter(limit.counter_name());
            LimitCounter { limit: *limit, counter: counter.unwrap_or_else(|_| Counter::noop()) }
        };
        let limit_counters = LimitReached::ALL.iter().map(counter).collect();
        Rc::new(AdminOperations { core, is_ready: Cell::new(false), hot_restart, limit_counters })
    }

    /// From now on this process can serve.
    pub fn set_ready(&self) {
        self.is_ready.set(true);
    }

    /// Listens for admin calls within these limits.
    ///
    /// # Errors
    /// An address that cannot be listened on.
    pub async fn listen(self: &Rc<Self>, address: &str, limits: Limits) -> Result<(), AdminListenError> {
        let failed = |source| AdminListenError { address: address.to_owned(), source };
        let listener = listen(address).await.map_err(failed)?;
        let local_address = listener.local_addr().map_err(failed)?;
        spawn_local(sprucelink_admin::serve(listener, Rc::clone(self), limits));
        info!(address = %local_address, "admin server listening");
        Ok(())
    }

    /// Answers a call that changed, or was to change, a cordon.
    fn complete(
        &self,
        engine: &str,
        outcome: Result<CordonOutcome, CordonError>,
    ) -> Result<OperationOutcome, OperationError> {
        let outcome = outcome.map_err(|error| {
            warn!(engine_id = engine, %error, "cordon call rejected");
            refusal(&error)
        });
        // Written before the answer: a cordon has to hold in the process that follows this one.
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

/// The answer to a call that the cordons rejected.
fn refusal(error: &CordonError) -> OperationError {
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
        self.complete(target, self.core.cordon_engine(target, CordonRequest::Operator, CORDON_ORIGIN))
    }

    fn uncordon(&self, target: &str) -> Result<OperationOutcome, OperationError> {
        self.complete(target, self.core.uncordon_engine(target, Cause::Operator))
    }

    fn on_limit_reached(&self, limit: LimitReached) {
        if let Some(entry) = self.limit_counters.iter().find(|entry| entry.limit == limit) {
            entry.counter.increment(1);
        }
    }
}
