//! Decides which connections are admitted and for how long, and which connection is evicted when all slots
//! are taken. This module does no I/O and reads no clock: time is an argument, counted from a fixed origin of
//! the caller's choice.
//!
//! Every new connection gets a slot. When all slots are taken, a connection is evicted: if there are
//! connections with a complete response, the one that got its response the longest ago; otherwise, if there
//! are connections with an incomplete request, the one that has been silent the longest; otherwise the
//! connection that has been reading its response the longest. Any number of clients that connect and send
//! nothing, or a partial request, therefore evict each other, while a client that sends its request at once
//! is answered.

use crate::accept_pacer::AcceptPacer;
use crate::limits::{Limits, PEAK_ACCEPTS_PER_SECOND};
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifier of a connection; ids ascend in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// Progress of a connection, in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The response is sent, and the client has not closed its side of the connection yet.
    Closing,
    /// The request is incomplete.
    ReadingRequest,
    /// The request is complete, and the response is being written.
    WritingResponse,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    stage: Stage,
    /// Time at which bytes of the request last arrived, or the stage began.
    last_activity: Duration,
    /// Time at which the stage times out.
    deadline: Duration,
}

/// A connection that was admitted, and the connection that was evicted for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Id of the new connection, which has a slot.
    pub id: ConnectionId,
    /// The connection that was evicted to free its slot; `None` if a slot was free.
    pub evicted: Option<ConnectionId>,
}

/// The slots of all connections.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    connections: BTreeMap<ConnectionId, Connection>,
    next_id: u64,
    /// Limits the rate of accepting over short periods, to [`PEAK_ACCEPTS_PER_SECOND`].
    peak_pacer: AcceptPacer,
    /// Limits the rate of accepting in the long run, to [`Limits::accepts_per_second`].
    sustained_pacer: AcceptPacer,
}

impl Admission {
    /// Creates the slots for `limits`, all free.
    pub fn new(limits: Limits) -> Admission {
        let half_of_slots = u32::try_from(limits.max_connections / 2).unwrap_or(u32::MAX);
        Admission {
            limits,
            connections: BTreeMap::new(),
            next_id: 0,
            peak_pacer: AcceptPacer::new(PEAK_ACCEPTS_PER_SECOND, half_of_slots),
            sustained_pacer: AcceptPacer::new(limits.accepts_per_second, limits.accept_burst),
        }
    }

    /// Number of connections; at most [`Limits::max_connections`] (or 1 if that is 0).
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Time at which the next connection may be accepted: now, or later while connections arrive faster than
    /// [`PEAK_ACCEPTS_PER_SECOND`] after a burst of half the slots, or than [`Limits::accepts_per_second`]
    /// after [`Limits::accept_burst`].
    pub fn accept_at(&self, now: Duration) -> Duration {
        now.max(self.peak_pacer.next_at()).max(self.sustained_pacer.next_at())
    }

    /// Assigns a slot to a connection that was accepted.
    pub fn admit(&mut self, now: Duration) -> Admitted {
        self.peak_pacer.record_accept(now);
        self.sustained_pacer.record_accept(now);
        let is_full = self.connections.len() >= self.limits.max_connections.max(1);
        let evicted = if is_full { self.evict() } else { None };
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let deadline = now + self.limits.request_timeout;
        self.connections
            .insert(id, Connection { stage: Stage::ReadingRequest, last_activity: now, deadline });
        Admitted { id, evicted }
    }

    /// Evicts the first connection in the order of eviction, whose slot is free at once; `None` if there is
    /// no connection. Also called when the kernel has no descriptor for a new connection.
    pub fn evict(&mut self) -> Option<ConnectionId> {
        let eviction_rank = |(id, connection): &(&ConnectionId, &Connection)| {
            (connection.stage, connection.last_activity, **id)
        };
        let id = self.connections.iter().min_by_key(eviction_rank).map(|(id, _)| *id)?;
        self.connections.remove(&id);
        Some(id)
    }

    /// Records that bytes of a request arrived: the connection is now the last one to be evicted among those
    /// with incomplete requests. Its deadline does not change.
    pub fn on_request_bytes(&mut self, now: Duration, id: ConnectionId) {
        let reading = self.connections.get_mut(&id).filter(|c| c.stage == Stage::ReadingRequest);
        if let Some(connection) = reading {
            connection.last_activity = now;
        }
    }

    /// Records that the request is complete, or known to be invalid, and that its response is being written.
    pub fn on_response_begin(&mut self, now: Duration, id: ConnectionId) {
        let timeout = self.limits.response_timeout;
        self.advance(now, id, Stage::ReadingRequest, Stage::WritingResponse, timeout);
    }

    /// Records that the kernel has taken the whole response.
    pub fn on_response_sent(&mut self, now: Duration, id: ConnectionId) {
        self.advance(now, id, Stage::WritingResponse, Stage::Closing, self.limits.linger);
    }

    fn advance(&mut self, now: Duration, id: ConnectionId, from: Stage, to: Stage, timeout: Duration) {
        if let Some(connection) = self.connections.get_mut(&id).filter(|c| c.stage == from) {
            *connection = Connection { stage: to, last_activity: now, deadline: now + timeout };
        }
    }

    /// Time at which the current stage of a connection times out; `None` once the connection has ended or was
    /// evicted.
    pub fn deadline(&self, id: ConnectionId) -> Option<Duration> {
        self.connections.get(&id).map(|connection| connection.deadline)
    }

    /// The stage in which a connection has timed out; `None` if its deadline has not passed or it has no
    /// slot.
    pub fn timed_out(&self, now: Duration, id: ConnectionId) -> Option<Stage> {
        let connection = self.connections.get(&id).filter(|connection| now >= connection.deadline)?;
        Some(connection.stage)
    }

    /// Releases the slot of a connection that has ended; without effect after an eviction.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }
}
