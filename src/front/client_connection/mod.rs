//! A client's connection with its buffers, which are taken from the pool only while they hold bytes.
//!
//! Reading never pauses while a request is open or an answer is written: the end of the stream, which cancels
//! the request, may follow further input. Input that is read ahead is buffered up to a bound. Beyond it bytes
//! are discarded, so that the end of the stream is still noticed; the session then ends after the messages
//! that are buffered completely.

mod arrivals;
mod cancellation;
mod input;
mod output;

use super::cancel_signal::CancelSignal;
use super::read_ahead::{ReadAheadBudget, ReadAheadBuffer, ReadAheadOverrun};
use crate::core::buffer_pool::{Buffer, BufferPool};
use crate::core::now;
use crate::core::socket::ReadArrived;
use arrivals::Arrivals;
use sprucelink_time::Timestamp;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};

pub use output::LingerTimeouts;

/// A stream to a client, with or without TLS.
pub trait ClientStream: AsyncRead + AsyncWrite + ReadArrived + Unpin {}

impl<S: AsyncRead + AsyncWrite + ReadArrived + Unpin> ClientStream for S {}

/// A client's stream with its input and output.
pub struct ClientConnection<S> {
    stream: S,
    pool: BufferPool,
    input: Option<Buffer>,
    /// Number of consumed bytes at the front of `input`.
    consumed: usize,
    /// Input that follows `input`, in order.
    read_ahead: VecDeque<ReadAheadBuffer>,
    budget: Rc<ReadAheadBudget>,
    /// Read-ahead limit that was exceeded last; `None` if no bytes were discarded.
    overrun: Option<ReadAheadOverrun>,
    /// Number of input bytes that were discarded because a read-ahead limit was exceeded.
    discarded_bytes: usize,
    /// Whether the stream has ended or failed.
    is_at_end: bool,
    /// Number of bytes that were read and consumed since this connection last yielded to other tasks.
    bytes_this_turn: usize,
    output: Option<Buffer>,
    arrivals: Arrivals,
    cancel_signal: Option<Rc<CancelSignal>>,
    /// Position in the stream up to which bytes are cancelled.
    cancelled_end: u64,
}

impl<S: ClientStream> ClientConnection<S> {
    /// Creates a connection. No bytes may have been read from `stream` before. Buffers are taken from `pool`,
    /// and those for reading ahead are counted in `budget`.
    pub fn new(stream: S, pool: BufferPool, budget: Rc<ReadAheadBudget>) -> ClientConnection<S> {
        ClientConnection {
            stream,
            pool,
            input: None,
            consumed: 0,
            read_ahead: VecDeque::new(),
            budget,
            overrun: None,
            discarded_bytes: 0,
            is_at_end: false,
            bytes_this_turn: 0,
            output: None,
            arrivals: Arrivals::new(now()),
            cancel_signal: None,
            cancelled_end: 0,
        }
    }

    /// Returns the stream; buffered bytes are dropped.
    pub fn into_stream(self) -> S {
        self.stream
    }

    /// The unconsumed bytes of the input buffer, without bytes that were read ahead.
    pub fn input(&self) -> &[u8] {
        self.input.as_ref().map_or(&[], |buffer| &buffer[self.consumed..])
    }

    /// Time at which the last consumed byte arrived: the last byte of the message that is being answered.
    pub fn arrived(&self) -> Timestamp {
        self.arrivals.last_consumed_arrival()
    }

    /// Position in the stream of the end of the consumed bytes.
    pub fn consumed_end(&self) -> u64 {
        self.arrivals.consumed()
    }

    /// Position in the stream of the first byte of the message that was consumed last.
    pub fn message_start(&self) -> u64 {
        self.arrivals.message_start()
    }

    /// Marks `count` more bytes at the front of the input as consumed.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
        self.bytes_this_turn += count;
        self.arrivals.record_consumed(count);
        if self.input().is_empty() {
            self.input = None;
            self.consumed = 0;
        }
    }

    /// Moves bytes that were read ahead to the input buffer, as many as fit; returns whether any were moved.
    pub fn promote_read_ahead(&mut self) -> bool {
        let mut has_promoted = false;
        while let Some(mut ahead) = self.read_ahead.pop_front() {
            let rest = self.extend_input(ahead.pending()).len();
            let promoted = ahead.buffer.len() - rest;
            has_promoted |= promoted > ahead.promoted;
            if rest > 0 {
                ahead.promoted = promoted;
                self.read_ahead.push_front(ahead);
                break;
            }
        }
        has_promoted
    }

    /// The limit that was exceeded; `None` if no bytes were discarded. All buffered bytes were read before
    /// the discarded ones.
    pub fn overrun(&self) -> Option<ReadAheadOverrun> {
        self.overrun
    }

    /// Maximum number of input bytes that are buffered, including those that were read ahead.
    pub fn max_buffered(&self) -> usize {
        self.budget.max_buffered()
    }

    /// Whether bytes that were read ahead are left. After [`ClientConnection::promote_read_ahead`] has moved
    /// none, there is no memory for the message that they complete.
    pub fn has_read_ahead(&self) -> bool {
        !self.read_ahead.is_empty()
    }

    /// Appends the bytes that fit to the input buffer, and returns the remaining bytes. The buffer is enlarged
    /// as needed, as long as the pool permits.
    fn extend_input<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let input = self.input.get_or_insert_with(|| self.pool.get_beyond_limit());
        if !input.has_capacity(bytes.len()) {
            input.drain(..std::mem::take(&mut self.consumed));
        }
        input.append(bytes)
    }
}
