//! Connections without a session slot: new connections, whose first packet may be a CancelRequest, which
//! needs no slot, and connections that are being closed with a final error.
//!
//! When their number exceeds its maximum, one of them is evicted: a connection that is already being closed
//! if there is one, and within a phase the oldest connection.

use super::connection_slots::ConnectionSlot;
use sprucelink_time::TimeDelta;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// What a connection without a slot is doing. The order is the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SessionlessPhase {
    /// The connection is being closed; its final error may not have arrived yet.
    Closing,
    /// The connection has not sent its start-up packet, or waits for a slot.
    Handshaking,
}

/// Table of a front's connections without a slot.
#[derive(Debug)]
pub struct SessionlessConnections {
    states: RefCell<BTreeMap<u64, Rc<SessionlessState>>>,
    next_number: Cell<u64>,
    max_connections: usize,
}

#[derive(Debug)]
struct SessionlessState {
    phase: Cell<SessionlessPhase>,
    evicted: CancellationToken,
}

/// Entry of one connection; it is removed on drop.
#[derive(Debug)]
pub struct SessionlessConnection {
    connections: Rc<SessionlessConnections>,
    number: u64,
    state: Rc<SessionlessState>,
}

impl SessionlessConnections {
    /// Creates a table of at most `max_connections` entries, at least one.
    pub fn new(max_connections: usize) -> Rc<SessionlessConnections> {
        Rc::new(SessionlessConnections {
            states: RefCell::default(),
            next_number: Cell::new(0),
            max_connections: max_connections.max(1),
        })
    }

    /// Adds a connection, evicting one if necessary, which may be the new one.
    pub fn add(self: &Rc<Self>, phase: SessionlessPhase) -> SessionlessConnection {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let state = Rc::new(SessionlessState { phase: Cell::new(phase), evicted: CancellationToken::new() });
        self.states.borrow_mut().insert(number, Rc::clone(&state));
        if self.states.borrow().len() > self.max_connections {
            self.evict_one();
        }
        SessionlessConnection { connections: Rc::clone(self), number, state }
    }

    /// Whether one more connection can be added without an eviction.
    pub fn has_capacity(&self) -> bool {
        self.states.borrow().len() < self.max_connections
    }

    /// Evicts the connection that is first in the order of eviction; false if there is no connection.
    pub fn evict_one(&self) -> bool {
        let mut states = self.states.borrow_mut();
        let candidate = states.iter().min_by_key(|(number, state)| (state.phase.get(), **number));
        let Some(number) = candidate.map(|(number, _)| *number) else { return false };
        let Some(state) = states.remove(&number) else { return false };
        state.evicted.cancel();
        true
    }
}

impl SessionlessConnection {
    /// Records that the connection is being closed, so that it is evicted before new connections.
    pub fn set_closing(&self) {
        self.state.phase.set(SessionlessPhase::Closing);
    }

    /// Whether the connection has been evicted, so that it must be closed at once.
    pub fn is_evicted(&self) -> bool {
        self.state.evicted.is_cancelled()
    }

    /// Completes when the connection has been evicted.
    pub async fn evicted(&self) {
        self.state.evicted.cancelled().await;
    }
}

impl Drop for SessionlessConnection {
    fn drop(&mut self) {
        self.connections.states.borrow_mut().remove(&self.number);
    }
}

/// Counts a connection against a limit: every connection holds either a slot, or an entry among the
/// connections without a slot.
#[derive(Debug)]
pub enum ConnectionGuard {
    /// A slot for a session.
    Slot(ConnectionSlot),
    /// An entry among the connections without a slot.
    Sessionless(SessionlessConnection),
}

impl ConnectionGuard {
    /// Completes when the connection is evicted.
    pub async fn evicted(&self) {
        match self {
            ConnectionGuard::Slot(slot) => slot.evicted().await,
            ConnectionGuard::Sessionless(sessionless) => sessionless.evicted().await,
        }
    }

    /// How long the connection's session has had no open request; `None` if it has one, or there is no
    /// session.
    pub fn idle_time(&self) -> Option<TimeDelta> {
        match self {
            ConnectionGuard::Slot(slot) => slot.idle_time(),
            ConnectionGuard::Sessionless(_) => None,
        }
    }

    /// Whether the connection has no slot.
    pub fn is_sessionless(&self) -> bool {
        matches!(self, ConnectionGuard::Sessionless(_))
    }
}

#[cfg(test)]
mod tests;
