//! A connection to an engine: what it carries and what has still to be sent on it.
//!
//! A connection carries many attempts. It belongs to an engine's id and not to its address, for addresses are reused. When
//! it breaks, each attempt on it ends once. The `connection_task` module dials and serves it.

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

/// Fraction of the idle time after which this side closes: engines close at the whole of it, and a request that crosses
/// their close would count as one that may have run.
const IDLE_FRACTION: f64 = 0.8;
/// Progress notes missed in a row after which a connection with old attempts accepts no new ones.
const MAX_MISSED_NOTES: i64 = 3;
/// Attempts that ended unserved on one connection before it is retired.
const MAX_UNSERVED: usize = 512;

/// Bounds and timeouts of connections to engines.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Attempts that one connection carries at a time.
    pub max_streams: usize,
    /// A connection that is not up by then has failed.
    pub dial_timeout: TimeDelta,
    /// An idle connection is closed by its engine after this.
    pub idle_timeout: TimeDelta,
    /// Time between progress notes on an attempt; zero where there are none.
    pub note_interval: TimeDelta,
    /// Connections to one engine at a time.
    pub max_per_engine: usize,
    /// Connections to all engines at a time.
    pub max_total: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Dialing,
    Up,
    Closed,
}

/// An attempt on a connection, and where its command stands in the stream, in bytes.
#[derive(Clone, Copy, Debug)]
struct CarriedAttempt {
    number: u32,
    start: u64,
    end: u64,
    queued_at: Timestamp,
    /// It was withdrawn before its first byte was sent.
    is_withdrawn: bool,
}

/// How far an attempt was sent when it was to be withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// No byte of it was sent, and none will be.
    Complete,
    /// A part of it was sent: only closing the connection keeps the rest back.
    Partial,
    /// It was sent.
    TooLate,
}

/// An attempt that was on a connection when it was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InterruptedAttempt {
    /// Its request.
    pub id: u64,
    /// Its number.
    pub attempt: u32,
    /// Its command was not sent completely. An engine runs complete commands only, so it never ran.
    pub is_unsent: bool,
}

/// One connection to an engine.
#[derive(Debug)]
pub struct EngineConnection {
    /// The engine, by number.
    pub engine: usize,
    address: SocketAddr,
    state: Cell<State>,
    is_retired: Cell<bool>,
    send_queue: RefCell<SendQueue>,
    /// By request.
    attempts: RefCell<BTreeMap<u64, CarriedAttempt>>,
    /// Requests whose attempt ended here unserved: their engine may still answer.
    unserved: RefCell<BTreeSet<u64>>,
    /// When the engine was last heard, or the connection last fell idle.
    last_heard_at: Cell<Timestamp>,
    /// When it may be dialled.
    dial_time: Cell<Timestamp>,
    wake: Notify,
}

impl EngineConnection {
    /// A connection that is about to be dialled.
    pub fn new(engine: usize, address: SocketAddr) -> Rc<EngineConnection> {
        Rc::new(EngineConnection {
            engine,
            address,
            state: Cell::new(State::Dialing),
            is_retired: Cell::new(false),
            send_queue: RefCell::default(),
            attempts: RefCell::default(),
            unserved: RefCell::default(),
            last_heard_at: Cell::new(now()),
            dial_time: Cell::new(Timestamp::ZERO),
            wake: Notify::new(),
        })
    }

    /// Whether request `id` may be sent on it. Not where an attempt of it ended unserved: a late answer to the old attempt
    /// could not be told from one to the new.
    pub fn accepts(&self, id: u64, limits: &ConnectionLimits) -> bool {
        !self.is_closed()
            && !self.is_retired.get()
            && !self.is_unresponsive(limits)
            && self.attempt_count() < limits.max_streams
            && !self.has_ended_unserved(id)
    }

    /// Whether progress notes on an attempt are missing. The connection of a machine that vanished stays open and silent.
    fn is_unresponsive(&self, limits: &ConnectionLimits) -> bool {
        let patience = TimeDelta::from_micros(limits.note_interval.as_micros() * MAX_MISSED_NOTES);
        let is_overdue =
            |attempt: &CarriedAttempt| now() - attempt.queued_at.max(self.last_heard_at.get()) > patience;
        limits.note_interval > TimeDelta::ZERO && self.attempts.borrow().values().any(is_overdue)
    }

    /// Sets when it may be dialled; what is sent on it before waits.
    pub fn set_dial_time(&self, at: Timestamp) {
        self.dial_time.set(at);
    }

    /// Keeps new attempts off it: its engine has started anew, moved or gone.
    pub fn retire(&self) {
        self.is_retired.set(true);
    }

    /// When it may be dialled.
    pub(super) fn dial_time(&self) -> Timestamp {
        self.dial_time.get()
    }

    /// Where its engine listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Notes that it has come up.
    pub(super) fn set_up(&self) {
        self.state.set(State::Up);
    }

    /// Notes that the engine was heard.
    pub(super) fn record_heard(&self, now: Timestamp) {
        self.last_heard_at.set(now);
    }

    /// Returns when something is queued, or it is closed.
    pub(super) async fn wait_for_work(&self) {
        self.wake.notified().await;
    }

    /// Whether it is closed by this process.
    pub(super) fn is_closed(&self) -> bool {
        self.state.get() == State::Closed
    }

    /// Whether it is still being dialled.
    pub fn is_dialing(&self) -> bool {
        self.state.get() == State::Dialing
    }

    /// Attempts on it.
    pub fn attempt_count(&self) -> usize {
        self.attempts.borrow().len()
    }

    /// The attempts on it: request and attempt number.
    pub fn attempts(&self) -> Vec<(u64, u32)> {
        self.attempts.borrow().iter().map(|(id, attempt)| (*id, attempt.number)).collect()
    }

    /// The number of a request's attempt that is on it.
    pub fn attempt_of(&self, id: u64) -> Option<u32> {
        self.attempts.borrow().get(&id).map(|attempt| attempt.number)
    }

    /// Queues a command on an attempt; on a closed connection there is none any more. It takes a buffer whatever the pool
    /// has left: a cancellation that is not sent would let the attempt run beside the next one.
    pub fn command(&self, pool: &BufferPool, parts: &[&[u8]]) {
        if !self.is_closed() {
            self.queue_command(parts, || Some(pool.get_beyond_limit()));
        }
    }

    fn queue_command(&self, parts: &[&[u8]], buffer: impl FnOnce() -> Option<Buffer>) -> bool {
        let is_queued = self.send_queue.borrow_mut().push_command(parts, buffer);
        if is_queued {
            self.wake.notify_one();
        }
        is_queued
    }

    /// Queues the command that sends an attempt; false if the pool has no buffer for it.
    pub fn send(&self, pool: &BufferPool, id: u64, attempt: u32, parts: &[&[u8]]) -> bool {
        let start = self.queued();
        if !self.queue_command(parts, || pool.get()) {
            return false;
        }
        let end = self.queued();
        self.send_queue.borrow_mut().push_attempt(UnsentCommand { id, attempt, start, end });
        let carried = CarriedAttempt { number: attempt, start, end, queued_at: now(), is_withdrawn: false };
        self.attempts.borrow_mut().insert(id, carried);
        true
    }

    /// Queues the command that sends an attempt anew, behind all others, in place of one of which no byte was sent; false if
    /// a byte was sent. It takes a buffer whatever the pool has left: that of the old command is free as soon as it is skipped.
    pub fn requeue(&self, pool: &BufferPool, id: u64, attempt: u32, parts: &[&[u8]]) -> bool {
        if self.is_closed() || self.withdraw(id) != Withdrawal::Complete {
            return false;
        }
        let start = self.queued();
        if !self.queue_command(parts, || Some(pool.get_beyond_limit())) {
            return false;
        }
        let end = self.queued();
        self.send_queue.borrow_mut().push_attempt(UnsentCommand { id, attempt, start, end });
        if let Some(carried) = self.attempts.borrow_mut().get_mut(&id) {
            *carried = CarriedAttempt { start, end, is_withdrawn: false, ..*carried };
        }
        true
    }

    /// Bytes queued so far.
    pub fn queued(&self) -> u64 {
        self.send_queue.borrow().queued()
    }

    /// Bytes sent so far, or skipped because they were withdrawn.
    pub fn written(&self) -> u64 {
        self.send_queue.borrow().written()
    }

    /// Whether all bytes up to an offset in the stream were sent, or never will be.
    pub fn has_passed(&self, offset: u64) -> bool {
        self.written() >= offset || self.is_closed()
    }

    /// Whether some of the command that sends a request's attempt has still to be sent.
    pub fn is_unsent(&self, id: u64) -> bool {
        let written = self.written();
        let attempts = self.attempts.borrow();
        !self.is_closed()
            && attempts.get(&id).is_some_and(|attempt| !attempt.is_withdrawn && attempt.end > written)
    }

    /// The requests whose attempts have still to be sent, or a part of them.
    pub fn unsent_ids(&self) -> Vec<u64> {
        self.send_queue.borrow().unsent_ids()
    }

    /// Withdraws the command that sends a request's attempt, if no byte of it was sent: its bytes are skipped. A connection
    /// that comes up late must not send a request that has its final response.
    pub fn withdraw(&self, id: u64) -> Withdrawal {
        if self.attempts.borrow().get(&id).is_some_and(|attempt| attempt.is_withdrawn) {
            return Withdrawal::Complete;
        }
        if !self.is_unsent(id) {
            return Withdrawal::TooLate;
        }
        let written = self.written();
        let mut attempts = self.attempts.borrow_mut();
        let Some(attempt) = attempts.get_mut(&id).filter(|attempt| attempt.start >= written) else {
            return Withdrawal::Partial;
        };
        attempt.is_withdrawn = true;
        self.send_queue.borrow_mut().withdraw(attempt.start, attempt.end);
        Withdrawal::Complete
    }

    /// Removes an attempt that has ended. `is_unserved`: the engine may still answer it, or answer it again as a duplicate.
    pub fn release(&self, id: u64, is_unserved: bool) {
        let was_carried = self.attempts.borrow_mut().remove(&id).is_some();
        if was_carried && is_unserved {
            let mut unserved = self.unserved.borrow_mut();
            unserved.insert(id);
            // Bounds what a connection remembers: a new one replaces it.
            if unserved.len() >= MAX_UNSERVED {
                self.is_retired.set(true);
            }
        }
        if self.attempts.borrow().is_empty() {
            self.last_heard_at.set(now());
        }
    }

    /// Whether an attempt of a request was on it and ended unserved.
    pub fn has_ended_unserved(&self, id: u64) -> bool {
        self.unserved.borrow().contains(&id)
    }

    /// Closes it: the attempts that were on it.
    pub fn close(&self) -> Vec<InterruptedAttempt> {
        self.state.set(State::Closed);
        self.send_queue.borrow_mut().clear();
        self.wake.notify_one();
        let written = self.written();
        let attempts = std::mem::take(&mut *self.attempts.borrow_mut());
        let interrupted = attempts.into_iter().map(|(id, attempt)| InterruptedAttempt {
            id,
            attempt: attempt.number,
            is_unsent: attempt.is_withdrawn || attempt.end > written,
        });
        interrupted.collect()
    }

    /// Returns once it is closed by this process.
    pub(super) async fn wait_closed(&self) {
        while !self.is_closed() {
            self.wake.notified().await;
        }
    }

    /// Whether no attempt on it was sent, or begun to be.
    pub(super) fn has_nothing_in_flight(&self) -> bool {
        let written = self.written();
        self.attempts.borrow().values().all(|attempt| attempt.is_withdrawn || attempt.start >= written)
    }

    /// The next buffer to be sent.
    pub(super) fn next_buffer(&self) -> Option<QueuedBuffer> {
        self.send_queue.borrow_mut().pop_buffer()
    }

    /// The first attempt whose command begins in this part of the stream.
    pub(super) fn next_attempt(&self, from: u64, to: u64) -> Option<UnsentCommand> {
        self.send_queue.borrow().next_attempt(from, to)
    }

    /// Skips withdrawn bytes at the head of the stream; up to where may be written then.
    pub(super) fn skip_withdrawn(&self) -> Option<u64> {
        self.send_queue.borrow_mut().skip_withdrawn()
    }

    /// Counts bytes that were written; the attempts that were sent completely by them.
    pub(super) fn record_written(&self, bytes: usize) -> u64 {
        self.send_queue.borrow_mut().record_written(bytes)
    }

    pub(super) fn is_idle(&self, limits: &ConnectionLimits) -> bool {
        let patience =
            TimeDelta::from_micros((limits.idle_timeout.as_micros() as f64 * IDLE_FRACTION) as i64);
        let is_idle_for_long = || now() - self.last_heard_at.get() > patience;
        self.attempts.borrow().is_empty() && (self.is_retired.get() || is_idle_for_long())
    }
}

#[cfg(test)]
mod tests;
