//! The fronts, which accept the clients' connections and run their sessions.
//!
//! Both fronts submit their requests to the same core. The platform's front supports simple queries only; the
//! operator's front (`extended`) also supports the extended query protocol and session settings, and
//! generates request ids.
//!
//! A connection runs through `accept`, `connection`, `startup` and `session`, in that order.

mod accept;
mod cancel_counters;
pub mod cancel_signal;
pub mod client_connection;
mod client_error;
pub mod config;
mod connection;
pub mod connection_slots;
mod count_guard;
pub mod extended;
pub mod read_ahead;
pub mod request;
mod result_rows;
pub mod session;
mod session_end;
pub mod sessionless;
mod startup;
#[cfg(test)]
mod test_support;
mod turn_time;
mod unknown_cancels;

use crate::core::buffer_pool::BUFFER_BYTES;
use crate::core::Core;
use cancel_counters::CancelCounters;
use cancel_signal::CancelSignal;
use connection_slots::ConnectionSlots;
use read_ahead::ReadAheadBudget;
use session_end::SessionEndCounters;
use sessionless::SessionlessConnections;
use sprucelink_time::TimeDelta;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio_rustls::TlsAcceptor;
use turn_time::TurnTimer;
use unknown_cancels::UnknownCancels;

pub use config::{ClassConfig, FrontConfig};
pub use unknown_cancels::UnknownCancel;

/// Buffers that a session of an `extended` front may read ahead, in addition to its input buffer: its clients
/// write complete batches before they read. The platform's clients write one query at a time, for which the
/// input buffer is enough.
const MAX_READ_AHEAD_BUFFERS: usize = 15;
/// The sessions of a front together read ahead at most the memory of the pool divided by this.
const READ_AHEAD_POOL_DIVISOR: usize = 8;

/// A front: it accepts clients' connections, runs their sessions, and submits their requests to the core.
pub struct Front {
    /// Core that the front submits requests to.
    pub core: Rc<Core>,
    /// Limits, classes and protocol options, unchanged while the front runs.
    pub config: FrontConfig,
    /// Cancel signals of the sessions, by the process id in BackendKeyData.
    sessions: RefCell<BTreeMap<u32, Rc<CancelSignal>>>,
    cancel_counters: CancelCounters,
    unknown_cancels: UnknownCancels,
    session_ends: SessionEndCounters,
    turn_timer: Rc<TurnTimer>,
    slots: Rc<ConnectionSlots>,
    sessionless: Rc<SessionlessConnections>,
    read_ahead: Rc<ReadAheadBudget>,
    /// Number of connections whose descriptors are open.
    open_connections: Cell<usize>,
    /// Notified when a connection's descriptor is closed, or a connection is counted among those without a
    /// slot, which can be evicted for a new one.
    descriptor_released: Notify,
    /// Number of connections that are being closed.
    closing_connections: Cell<usize>,
    open_requests: Cell<usize>,
    is_closing: Cell<bool>,
    /// Whether connections are left in the listener's queue, for another process to accept.
    is_paused: Cell<bool>,
    /// Whether sessions end after their next answer.
    end_after_answer: Cell<bool>,
    /// Notified when `is_closing` or `is_paused` changes.
    state_changed: Notify,
    /// Certificate for TLS handshakes; `None` until one is set.
    tls: RefCell<Option<TlsAcceptor>>,
}

impl Front {
    /// Creates a front that submits its requests to `core`.
    pub fn new(core: Rc<Core>, config: FrontConfig) -> Rc<Front> {
        let max_buffers = if config.allows_extended_queries { MAX_READ_AHEAD_BUFFERS } else { 0 };
        let total_buffers = core.pool().max_bytes() / BUFFER_BYTES / READ_AHEAD_POOL_DIVISOR;
        Rc::new(Front {
            sessions: RefCell::default(),
            cancel_counters: CancelCounters::new(core.metrics()),
            unknown_cancels: UnknownCancels::new(core.metrics()),
            session_ends: SessionEndCounters::new(core.metrics()),
            turn_timer: Rc::new(TurnTimer::new(core.metrics())),
            slots: ConnectionSlots::new(
                config.max_sessions,
                config.max_evicted,
                !config.allows_extended_queries,
            ),
            sessionless: SessionlessConnections::new(config.max_sessionless),
            read_ahead: ReadAheadBudget::new(max_buffers, total_buffers),
            core,
            config,
            open_connections: Cell::new(0),
            descriptor_released: Notify::new(),
            closing_connections: Cell::new(0),
            open_requests: Cell::new(0),
            is_closing: Cell::new(false),
            is_paused: Cell::new(false),
            end_after_answer: Cell::new(false),
            state_changed: Notify::new(),
            tls: RefCell::new(None),
        })
    }

    /// Sets whether new connections are accepted. If not, they are left in the listener's queue, for another
    /// process to accept.
    pub fn set_accepting(&self, is_accepting: bool) {
        if self.is_paused.replace(!is_accepting) == is_accepting {
            self.state_changed.notify_waiters();
        }
    }

    /// Ends the sessions that have had no open request for `min_idle`, and all other sessions after their
    /// next answer. A session ends directly after its answer, before its client can send another request.
    pub fn drain_sessions(&self, min_idle: TimeDelta) {
        self.end_after_answer.set(true);
        self.slots.evict_idle(min_idle);
    }

    /// Stops accepting connections, and ends each session as soon as it has no open request.
    pub fn close(&self) {
        self.is_closing.set(true);
        self.state_changed.notify_waiters();
    }

    /// Sets the certificate for TLS handshakes that begin after this call. Before the first call no handshake
    /// is accepted.
    pub fn set_certificate(&self, acceptor: TlsAcceptor) {
        self.tls.replace(Some(acceptor));
    }

    /// Number of connections that hold a slot, including evicted ones.
    pub fn occupied_slots(&self) -> usize {
        self.slots.occupied()
    }

    /// Number of connections that are being closed: their final message may not have arrived yet. If the
    /// process stopped now, they would be reset and the message might be lost.
    pub fn closing_connections(&self) -> usize {
        self.closing_connections.get()
    }

    /// Number of requests whose answer is not completely written.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }
}
