//! Which connections are admitted, for how long, and which is evicted when all slots are taken. It does no I/O and reads
//! no clock: time is an argument, counted from any one point.
//!
//! Every new connection gets a slot. When all are taken, one is evicted: first the one that has had its response for
//! longest, then the one with an incomplete request that has been silent for longest, last the one that has been
//! reading its response for longest. Clients that connect and send nothing, or half a request, therefore evict one
//! another, however many there are, while one that sends its request at once is answered.

use crate::accept_pacer::AcceptPacer;
use crate::limits::{Limits, PEAK_ACCEPTS_PER_SECOND};
use std::collections::BTreeMap;
use std::time::Duration;

/// A connection, numbered in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// How far a connection is; lower stages are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The response is sent, and only the client's side is still open.
    Closing,
    /// The request is incomplete.
    ReadingRequest,
    /// The request is complete, and the response is being written.
    WritingResponse,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    stage: Stage,
    /// When bytes of the request last arrived, or the stage began.
    since: Duration,
    /// When the stage times out.
    deadline: Duration,
}

/// The slot of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The connection.
    pub id: ConnectionId,
    /// The connection that is evicted for it.
    pub evicted: Option<ConnectionId>,
}

/// The slots of all connections.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    connections: BTreeMap<ConnectionId, Connection>,
    next_id: u64,
    /// Bounds the rate over short spans.
    peak_pacer: AcceptPacer,
    /// Bounds the rate in the long run.
    sustained_pacer: AcceptPacer,
}

impl Admission {
    /// No connection yet.
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

    /// Number of connections; never more than [`Limits::max_connections`] (or 1, where that is 0).
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// When the next connection may be accepted: now, or later while they arrive faster than
    /// [`PEAK_ACCEPTS_PER_SECOND`] after a burst of half the slots, or than [`Limits::accepts_per_second`] after
    /// [`Limits::accept_burst`].
    pub fn accept_at(&self, now: Duration) -> Duration {
        now.max(self.peak_pacer.next_at()).max(self.sustained_pacer.next_at())
    }

    /// Gives a connection that was accepted its slot.
    pub fn admit(&mut self, now: Duration) -> Admitted {
        self.peak_pacer.count(now);
        self.sustained_pacer.count(now);
        let is_full = self.connections.len() >= self.limits.max_connections.max(1);
        let evicted = if is_full { self.evict() } else { None };
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let deadline = now + self.limits.request_timeout;
        self.connections.insert(id, Connection { stage: Stage::ReadingRequest, since: now, deadline });
        Admitted { id, evicted }
    }

    /// Evicts a connection, if there is any; its slot is free at once. Also for the case that the kernel has no
    /// descriptor for a new one.
    pub fn evict(&mut self) -> Option<ConnectionId> {
        let rank =
            |(id, connection): &(&ConnectionId, &Connection)| (connection.stage, connection.since, **id);
        let id = self.connections.iter().min_by_key(rank).map(|(id, _)| *id)?;
        self.connections.remove(&id);
        Some(id)
    }

    /// Bytes of a request arrived. The connection becomes the last to be evicted among those with incomplete requests,
    /// and gets no more time.
    pub fn on_request_bytes(&mut self, now: Duration, id: ConnectionId) {
        let reading = self.connections.get_mut(&id).filter(|c| c.stage == Stage::ReadingRequest);
        if let Some(connection) = reading {
            connection.since = now;
        }
    }

    /// The request is complete, or known to be invalid: its response is being written.
    pub fn on_response_begin(&mut self, now: Duration, id: ConnectionId) {
        let timeout = self.limits.response_timeout;
        self.advance(now, id, Stage::ReadingRequest, Stage::WritingResponse, timeout);
    }

    /// The kernel has taken the response.
    pub fn on_response_sent(&mut self, now: Duration, id: ConnectionId) {
        self.advance(now, id, Stage::WritingResponse, Stage::Closing, self.limits.linger);
    }

    fn advance(&mut self, now: Duration, id: ConnectionId, from: Stage, to: Stage, timeout: Duration) {
        if let Some(connection) = self.connections.get_mut(&id).filter(|c| c.stage == from) {
            *connection = Connection { stage: to, since: now, deadline: now + timeout };
        }
    }

    /// When the present stage of a connection times out; `None` once it has ended.
    pub fn deadline(&self, id: ConnectionId) -> Option<Duration> {
        self.connections.get(&id).map(|connection| connection.deadline)
    }

    /// The stage in which a connection has timed out, if it has.
    pub fn timed_out(&self, now: Duration, id: ConnectionId) -> Option<Stage> {
        let connection = self.connections.get(&id).filter(|connection| now >= connection.deadline)?;
        Some(connection.stage)
    }

    /// A connection has ended; one that was evicted has no slot any more.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }
}
