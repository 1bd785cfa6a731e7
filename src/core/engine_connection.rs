//! The state of one connection to an engine.
//!
//! Input: commands, and attempts with the command that sends each. Output: the buffers to write, and on close
//! the attempts that were interrupted. State: the attempts on the connection with the offsets of their
//! commands, and the requests whose attempts ended unserved on the connection.
//!
//! A connection carries many attempts. It belongs to an engine's id and not to its address, because addresses
//! are reused. When a connection breaks, each attempt on it ends once. The `connection_task` module dials and
//! serves connections.

use super::buffer_pool::{Buffer, BufferPool};
use super::clock::now;
use send_queue::SendQueue;
use sprucelink_policy::{TimeDelta, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

mod send_queue;

pub(super) use send_queue::{QueuedBuffer, UnsentCommand};

/// Fraction of the engines' idle timeout after which this process closes an idle connection. Engines close an
/// idle connection at the full timeout, and an attempt that is sent while the close is on its way would count
/// as one that may have run.
const IDLE_FRACTION: f64 = 0.8;
/// Number of consecutive missing progress notes after which a connection accepts no further attempts. The
/// limit applies to one connection; the policy has shorter limits of its own for engines and zones that do
/// not answer (`outlier_detection`, `engine_health`).
const MAX_MISSED_NOTES: i64 = 3;
/// Number of requests with an attempt that ended unserved on one connection at which the connection is
/// retired, which bounds the memory for their ids.
const MAX_UNSERVED: usize = 512;

/// Limits and timeouts of connections to engines, from the program's settings.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Limit on the attempts on one connection at a time.
    pub max_streams: usize,
    /// Time after which a dial fails.
    pub dial_timeout: TimeDelta,
    /// Time after which an engine closes an idle connection; this process closes it earlier.
    pub idle_timeout: TimeDelta,
    /// Time between two progress notes on an attempt; zero if engines send none.
    pub note_interval: TimeDelta,
    /// Limit on the connections to one engine at a time.
    pub max_per_engine: usize,
    /// Limit on the connections to all engines at a time.
    pub max_total: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Dialing,
    Up,
    Closed,
}

/// An attempt on a connection, and the offsets of its command in the stream, in bytes.
#[derive(Clone, Copy, Debug)]
struct CarriedAttempt {
    /// Number of the attempt among its request's attempts, from 0.
    attempt: u32,
    start: u64,
    end: u64,
    queued_at: Timestamp,
    /// Whether the attempt was withdrawn before its first byte was sent.
    is_withdrawn: bool,
}

/// The result of a request to withdraw an attempt before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// No byte of the attempt's command was sent, and none will be.
    Complete,
    /// A part of the command was sent: the rest can only be stopped by closing the connection.
    Partial,
    /// The whole command was sent, or the attempt is not on the connection.
    TooLate,
}

/// An attempt that was on a connection when it was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterruptedAttempt {
    /// Id of the request.
    pub id: u64,
    /// Number of the attempt among its request's attempts, from 0.
    pub attempt: u32,
    /// Whether the command was not sent completely. An engine runs only complete commands, so the attempt
    /// never ran.
    pub is_unsent: bool,
}

/// The state of one connection to an engine, shared by the task that serves it and the coordinator.
#[derive(Debug)]
pub struct EngineConnection {
    /// Index of the engine in the engine table.
    pub engine: usize,
    address: SocketAddr,
    state: Cell<State>,
    is_retired: Cell<bool>,
    send_queue: RefCell<SendQueue>,
    /// Attempts by request id.
    attempts: RefCell<BTreeMap<u64, CarriedAttempt>>,
    /// Ids of the requests with an attempt that ended unserved on this connection: the engine may still
    /// answer that attempt.
    unserved: RefCell<BTreeSet<u64>>,
    /// Time at which the engine last sent bytes or the connection's last attempt ended, whichever is later.
    last_active_at: Cell<Timestamp>,
    /// Time from which the connection may be dialed.
    dial_time: Cell<Timestamp>,
    wake: Notify,
}

impl EngineConnection {
    /// Creates a connection that is about to be dialed.
    pub fn new(engine: usize, address: SocketAddr) -> Rc<EngineConnection> {
        Rc::new(EngineConnection {
            engine,
            address,
            state: Cell::new(State::Dialing),
            is_retired: Cell::new(false),
            send_queue: RefCell::default(),
            attempts: RefCell::default(),
            unserved: RefCell::default(),
            last_active_at: Cell::new(now()),
            dial_time: Cell::new(Timestamp::ZERO),
            wake: Notify::new(),
        })
    }

    /// Whether the connection may carry an attempt of request `id`: it is not closed, retired, unresponsive
    /// or at its limit of attempts, and no earlier attempt of the request ended unserved on it. A late answer
    /// to such an earlier attempt could not be distinguished from an answer to the new attempt.
    pub fn accepts(&self, id: u64, limits: &ConnectionLimits) -> bool {
        !self.is_closed()
            && !self.is_retired.get()
            && !self.is_unresponsive(limits)
            && self.attempt_count() < limits.max_streams
            && !self.has_ended_unserved(id)
    }

    /// Whether [`MAX_MISSED_NOTES`] consecutive progress notes on an attempt are missing: the connection to a
    /// machine that has failed stays open and silent.
    fn is_unresponsive(&self, limits: &ConnectionLimits) -> bool {
        let max_silence = TimeDelta::from_micros(limits.note_interval.as_micros() * MAX_MISSED_NOTES);
        let is_overdue =
            |attempt: &CarriedAttempt| now() - attempt.queued_at.max(self.last_active_at.get()) > max_silence;
        limits.note_interval > TimeDelta::ZERO && self.attempts.borrow().values().any(is_overdue)
    }

    /// Sets the time from which the connection may be dialed; commands queued before that time wait.
    pub fn set_dial_time(&self, at: Timestamp) {
        self.dial_time.set(at);
    }

    /// Makes the connection accept no further attempts, because its engine has restarted, moved or gone.
    pub fn retire(&self) {
        self.is_retired.set(true);
    }

    /// Time from which the connection may be dialed.
    pub(super) fn dial_time(&self) -> Timestamp {
        self.dial_time.get()
    }

    /// Address of the engine that is dialed.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records that the connection is open.
    pub(super) fn mark_open(&self) {
        self.state.set(State::Up);
    }

    /// Records that the engine sent bytes, which restarts the idle time.
    pub(super) fn record_activity(&self, now: Timestamp) {
        self.last_active_at.set(now);
    }

    /// Waits until a command is queued or the connection is closed.
    pub(super) async fn wait_for_work(&self) {
        self.wake.notified().await;
    }

    /// Whether [`EngineConnection::close`] was called.
    pub(super) fn is_closed(&self) -> bool {
        self.state.get() == State::Closed
    }

    /// Whether the connection is still being dialed.
    pub fn is_dialing(&self) -> bool {
        self.state.get() == State::Dialing
    }

    /// The number of attempts on the connection, queued or sent.
    pub fn attempt_count(&self) -> usize {
        self.attempts.borrow().len()
    }

    /// The attempts on the connection: request id and attempt number of each.
    pub fn attempts(&self) -> Vec<(u64, u32)> {
        self.attempts.borrow().iter().map(|(id, carried)| (*id, carried.attempt)).collect()
    }

    /// The number of a request's attempt on the connection; `None` if there is none.
    pub fn attempt_of(&self, id: u64) -> Option<u32> {
        self.attempts.borrow().get(&id).map(|carried| carried.attempt)
    }

    /// Queues a command that concerns an attempt (such as a cancellation), unless the connection is closed.
    /// The command may take a buffer beyond the limit of the pool: without its cancellation, an attempt would
    /// run concurrently with the request's next attempt.
    pub fn command(&self, pool: &BufferPool, parts: &[&[u8]]) {
        if !self.is_closed() {
            self.queue_command(parts, |_| Some(pool.get_beyond_limit()));
        }
    }

    fn queue_command(&self, parts: &[&[u8]], take_buffer: impl FnOnce(usize) -> Option<Buffer>) -> bool {
        let is_queued = self.send_queue.borrow_mut().push_command(parts, take_buffer);
        if is_queued {
            self.wake.notify_one();
        }
        is_queued
    }

    /// Queues the command that sends an attempt; returns false if the pool has no buffer for it.
    pub fn send(&self, pool: &BufferPool, id: u64, attempt: u32, parts: &[&[u8]]) -> bool {
        let start = self.queued_end();
        if !self.queue_command(parts, |bytes| pool.get(bytes)) {
            return false;
        }
        let end = self.queued_end();
        self.send_queue.borrow_mut().push_attempt(UnsentCommand { id, attempt, start, end });
        let carried = CarriedAttempt { attempt, start, end, queued_at: now(), is_withdrawn: false };
        self.attempts.borrow_mut().insert(id, carried);
        true
    }

    /// Replaces the command of an attempt by a new command at the end of the queue; returns false if the
    /// connection is closed, a byte of the old command was sent, or the pool has no buffer for the new one.
    /// The attempt is then withdrawn unless a byte of it was sent.
    pub fn requeue(&self, pool: &BufferPool, id: u64, attempt: u32, parts: &[&[u8]]) -> bool {
        if self.is_closed() || self.withdraw(id) != Withdrawal::Complete {
            return false;
        }
        let start = self.queued_end();
        if !self.queue_command(parts, |bytes| pool.get(bytes)) {
            return false;
        }
        let end = self.queued_end();
        self.send_queue.borrow_mut().push_attempt(UnsentCommand { id, attempt, start, end });
        if let Some(carried) = self.attempts.borrow_mut().get_mut(&id) {
            *carried = CarriedAttempt { start, end, is_withdrawn: false, ..*carried };
        }
        true
    }

    /// Offset in the stream at which the last queued command ends, in bytes.
    pub fn queued_end(&self) -> u64 {
        self.send_queue.borrow().queued_end()
    }

    /// Offset up to which the stream was sent or skipped, in bytes.
    pub fn written_end(&self) -> u64 {
        self.send_queue.borrow().written_end()
    }

    /// Whether the stream was sent or skipped up to an offset in bytes, or the connection is closed.
    pub fn has_passed(&self, offset: u64) -> bool {
        self.written_end() >= offset || self.is_closed()
    }

    /// Whether the command that sends a request's attempt is neither sent completely nor withdrawn.
    pub fn is_unsent(&self, id: u64) -> bool {
        let written = self.written_end();
        let attempts = self.attempts.borrow();
        !self.is_closed()
            && attempts.get(&id).is_some_and(|attempt| !attempt.is_withdrawn && attempt.end > written)
    }

    /// The ids of the requests whose attempts are neither sent completely nor withdrawn.
    pub fn unsent_ids(&self) -> Vec<u64> {
        self.send_queue.borrow().unsent_ids()
    }

    /// Withdraws the command that sends a request's attempt, if no byte of the command was sent; its bytes
    /// are then skipped. Without withdrawal, a connection that opens late would send requests that already
    /// have their final response.
    pub fn withdraw(&self, id: u64) -> Withdrawal {
        if self.attempts.borrow().get(&id).is_some_and(|attempt| attempt.is_withdrawn) {
            return Withdrawal::Complete;
        }
        if !self.is_unsent(id) {
            return Withdrawal::TooLate;
        }
        let written = self.written_end();
        let mut attempts = self.attempts.borrow_mut();
        let Some(attempt) = attempts.get_mut(&id).filter(|attempt| attempt.start >= written) else {
            return Withdrawal::Partial;
        };
        attempt.is_withdrawn = true;
        self.send_queue.borrow_mut().withdraw(attempt.start, attempt.end);
        Withdrawal::Complete
    }

    /// Removes an attempt that has ended. `is_unserved`: whether it ended without a result, so that the
    /// engine may still answer it.
    pub fn release(&self, id: u64, is_unserved: bool) {
        let was_carried = self.attempts.borrow_mut().remove(&id).is_some();
        if was_carried && is_unserved {
            let mut unserved = self.unserved.borrow_mut();
            unserved.insert(id);
            // Retiring the connection bounds the set: a new connection replaces this one.
            if unserved.len() >= MAX_UNSERVED {
                self.is_retired.set(true);
            }
        }
        if self.attempts.borrow().is_empty() {
            self.last_active_at.set(now());
        }
    }

    /// Whether an attempt of a request ended unserved on the connection.
    pub fn has_ended_unserved(&self, id: u64) -> bool {
        self.unserved.borrow().contains(&id)
    }

    /// Marks the connection as closed, drops its unsent commands and wakes its task, which then ends. Returns
    /// the attempts that were on the connection.
    pub fn close(&self) -> Vec<InterruptedAttempt> {
        self.state.set(State::Closed);
        self.send_queue.borrow_mut().clear();
        self.wake.notify_one();
        let written = self.written_end();
        let attempts = std::mem::take(&mut *self.attempts.borrow_mut());
        let interrupted = attempts.into_iter().map(|(id, carried)| InterruptedAttempt {
            id,
            attempt: carried.attempt,
            is_unsent: carried.is_withdrawn || carried.end > written,
        });
        interrupted.collect()
    }

    /// Waits until this process closes the connection.
    pub(super) async fn wait_closed(&self) {
        while !self.is_closed() {
            self.wake.notified().await;
        }
    }

    /// Whether no byte of any attempt on the connection was sent.
    pub(super) fn has_nothing_in_flight(&self) -> bool {
        let written = self.written_end();
        self.attempts.borrow().values().all(|attempt| attempt.is_withdrawn || attempt.start >= written)
    }

    /// Takes the next buffer to be sent off the queue; `None` if the queue is empty.
    pub(super) fn next_buffer(&self) -> Option<QueuedBuffer> {
        self.send_queue.borrow_mut().pop_buffer()
    }

    /// The first unsent attempt whose command begins at offset `from` or later and before offset `to`.
    pub(super) fn next_attempt(&self, from: u64, to: u64) -> Option<UnsentCommand> {
        self.send_queue.borrow().next_attempt(from, to)
    }

    /// Skips withdrawn bytes at the head of the stream; returns the offset at which the next withdrawn part
    /// begins, up to which bytes may be written, or `None` if nothing else is withdrawn.
    pub(super) fn skip_withdrawn(&self) -> Option<u64> {
        self.send_queue.borrow_mut().skip_withdrawn()
    }

    /// Records that the next `bytes` bytes of the stream were sent; returns the number of attempts whose
    /// commands are now sent completely.
    pub(super) fn record_written(&self, bytes: usize) -> u64 {
        self.send_queue.borrow_mut().record_written(bytes)
    }

    /// Whether the connection has no attempt, and is retired or has been inactive for longer than
    /// [`IDLE_FRACTION`] of the idle timeout.
    pub(super) fn is_idle(&self, limits: &ConnectionLimits) -> bool {
        let max_idle =
            TimeDelta::from_micros((limits.idle_timeout.as_micros() as f64 * IDLE_FRACTION) as i64);
        let is_overdue = || now() - self.last_active_at.get() > max_idle;
        self.attempts.borrow().is_empty() && (self.is_retired.get() || is_overdue())
    }
}

#[cfg(test)]
mod tests;
