//! Accepts connections at the rate that [`Admission`] allows, and continues after a shortage of descriptors.

use crate::admission::{Admission, ConnectionId};
use crate::connection::{Connection, EvictionSignals};
use crate::limits::Limits;
use crate::operations::{LimitReached, Operations};
use crate::shared_state::SharedState;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{yield_now, JoinSet};
use tokio::time::{sleep, sleep_until, Instant};
use tracing::warn;

/// Pause after the kernel had no descriptor for a new connection; it is doubled on each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
/// Maximum pause after failures: operators expect a response within 1 s, and the new connection waits
/// meanwhile.
const MAX_BACKOFF: Duration = Duration::from_millis(160);

/// Serves admin requests on `listener` until the future is dropped, which closes the listener and all
/// connections at once. A response is produced in one turn of the event loop, so dropping loses only what
/// clients have not read yet.
///
/// # Panics
///
/// Panics outside a `tokio` runtime with time and I/O enabled, or outside a `LocalSet`: the tasks stay on
/// this thread.
pub async fn serve<O: Operations + 'static>(listener: TcpListener, operations: Rc<O>, limits: Limits) {
    let admission = RefCell::new(Admission::new(limits));
    let shared = Rc::new(SharedState { operations, admission, started: Instant::now() });
    let mut connections = Connections { shared, eviction_signals: BTreeMap::new(), tasks: JoinSet::new() };
    let mut backoff = INITIAL_BACKOFF;
    loop {
        connections.wait_for_pacing().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                backoff = INITIAL_BACKOFF;
                connections.admit(stream).await;
            }
            Err(error) if is_client_error(&error) => {}
            Err(error) => {
                if backoff == INITIAL_BACKOFF {
                    warn!(%error, "admin server cannot accept connections");
                }
                connections.free_descriptor().await;
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
        // Admitted connections run before the next one is accepted; otherwise many connections that arrive at
        // once could evict a connection whose complete request was not read yet.
        yield_now().await;
    }
}

/// The open connections and their tasks.
struct Connections<O> {
    shared: Rc<SharedState<O>>,
    /// Signals to the connections that may still be open, at most one entry per slot.
    eviction_signals: BTreeMap<ConnectionId, Rc<EvictionSignals>>,
    tasks: JoinSet<()>,
}

impl<O: Operations + 'static> Connections<O> {
    /// Waits until the next connection may be accepted.
    async fn wait_for_pacing(&self) {
        let accept_at = self.shared.admission.borrow().accept_at(self.shared.now());
        sleep_until(self.shared.started + accept_at).await;
    }

    /// Assigns a slot to a new connection, evicting another connection if necessary, and starts to serve it.
    async fn admit(&mut self, stream: TcpStream) {
        let admitted = self.shared.admission.borrow_mut().admit(self.shared.now());
        self.end_evicted(admitted.evicted).await;
        let signals = Rc::new(EvictionSignals::default());
        self.eviction_signals.insert(admitted.id, Rc::clone(&signals));
        let connection =
            Connection { shared: Rc::clone(&self.shared), id: admitted.id, eviction_signals: signals };
        self.tasks.spawn_local(async move { connection.serve(stream).await });
        // A task that panicked has also released its slot, by dropping its `Connection`.
        while self.tasks.try_join_next().is_some() {}
        let admission = self.shared.admission.borrow();
        self.eviction_signals.retain(|id, _| admission.deadline(*id).is_some());
    }

    /// Evicts a connection because the kernel has no descriptor for a new connection.
    async fn free_descriptor(&mut self) {
        self.shared.operations.on_limit_reached(LimitReached::OutOfDescriptors);
        let evicted = self.shared.admission.borrow_mut().evict();
        self.end_evicted(evicted).await;
    }

    /// Ends an evicted connection and waits until it has ended: its descriptor must be closed before another
    /// connection is accepted. The wait lasts only until the event loop runs the connection's task.
    async fn end_evicted(&mut self, evicted: Option<ConnectionId>) {
        if let Some(signals) = evicted.and_then(|id| self.eviction_signals.remove(&id)) {
            signals.requested.notify_one();
            signals.completed.notified().await;
        }
    }
}

/// Whether a failed accept concerns only its client, which had disconnected before it was accepted: the next
/// accept may succeed.
fn is_client_error(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted)
}
