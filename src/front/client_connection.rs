//! A client's connection with its buffers, which it holds only while there are bytes in them.
//!
//! Reading never pauses while a request is open or an answer is written: the client's end may stand behind what it
//! still sent. So what is read ahead is kept up to a bound, and beyond that thrown away, only to learn of the end; the
//! session is then overrun, and ends behind what it holds whole.

use crate::core::buffer_pool::{Buffer, BufferPool, SIZE};
use crate::core::now;
use sprucelink_time::Timestamp;
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::task::{coop::consume_budget, yield_now};
use tokio::time::{timeout, timeout_at, Instant};

/// A client that takes none of what it is sent for so long is let go: its answer holds memory.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes read at a time, off the stack: most messages are shorter.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Bytes that a client may have read before the others get their turn. Guards them against floods.
const MAX_BYTES_PER_TURN: usize = 128 * 1024;
/// Bytes thrown away behind open requests before a session is ended at once, and what is open with it. Guards the
/// process against clients that write for ever.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Read and thrown away behind a last word, at most, in pieces of so much; for how long in all, and for
/// how long with nothing coming. Closing on unread input would send a reset, which may overtake the last
/// word where a client writes before it reads; but no client is read for ever.
const MAX_LINGER_BYTES: usize = 64 << 20;
const LINGER_CHUNK_BYTES: usize = 32 * 1024;
/// The bounds on time of a drain.
#[derive(Clone, Copy, Debug)]
pub struct LingerTimeouts {
    /// In all.
    pub total: Duration,
    /// With nothing coming.
    pub idle: Duration,
}

/// What the sessions of a front may read ahead, beyond one buffer each.
#[derive(Debug)]
pub struct ReadAheadBudget {
    /// Buffers that a session may hold.
    max_buffers: usize,
    /// Buffers left to all of them.
    free_buffers: Cell<usize>,
}

impl ReadAheadBudget {
    /// So many buffers a session, and in all.
    pub fn new(max_buffers: usize, in_all: usize) -> Rc<ReadAheadBudget> {
        Rc::new(ReadAheadBudget { max_buffers, free_buffers: Cell::new(in_all) })
    }
    /// Bytes that a session may hold.
    pub fn max_buffered(&self) -> usize {
        SIZE * (1 + self.max_buffers)
    }
}

/// Which bound a session has overrun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAheadOverrun {
    /// Its own.
    Session,
    /// That of all sessions, or of the pool.
    Shared,
}

/// A buffer of what was read ahead, and how much of it has promoted on.
struct ReadAheadBuffer {
    buf: Buffer,
    promoted: usize,
    budget: Rc<ReadAheadBudget>,
}

impl Drop for ReadAheadBuffer {
    fn drop(&mut self) {
        self.budget.free_buffers.set(self.budget.free_buffers.get() + 1);
    }
}

/// Appends as much as fits; the rest.
fn append<'a>(buf: &mut Buffer, bytes: &'a [u8]) -> &'a [u8] {
    let (fits, rest) = bytes.split_at(bytes.len().min(SIZE.saturating_sub(buf.len())));
    buf.extend_from_slice(fits);
    rest
}

/// A stream and what was read from it, and is to be written to it.
pub struct ClientConnection<S> {
    /// The connection.
    pub stream: S,
    pool: BufferPool,
    input: Option<Buffer>,
    /// Bytes at the input's front that are consumed.
    consumed: usize,
    /// Read behind the input, in order.
    read_ahead: VecDeque<ReadAheadBuffer>,
    budget: Rc<ReadAheadBudget>,
    overrun: Option<ReadAheadOverrun>,
    discarded_bytes: usize,
    /// The stream's end was read, or its error.
    is_at_end: bool,
    /// Bytes read since the others had their turn.
    bytes_this_turn: usize,
    output: Option<Buffer>,
    arrived: Timestamp,
}

impl<S: AsyncRead + AsyncWrite + Unpin> ClientConnection<S> {
    /// A connection from which nothing was read, and what may be read ahead on it.
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
            arrived: now(),
        }
    }
    /// What was read and not consumed, as far as it is in one piece.
    pub fn input(&self) -> &[u8] {
        self.input.as_ref().map_or(&[], |buf| &buf[self.consumed..])
    }
    /// When the last came that was kept.
    pub fn arrived(&self) -> Timestamp {
        self.arrived
    }
    /// Consumes so many bytes of the input.
    pub fn consume(&mut self, n: usize) {
        self.consumed += n;
        if self.input().is_empty() {
            (self.input, self.consumed) = (None, 0);
        }
    }
    /// Appends as much as fits to the input; the rest.
    fn extend_input<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let input = self.input.get_or_insert_with(|| self.pool.must());
        if !input.has_room(bytes.len()) {
            input.drain(..std::mem::take(&mut self.consumed));
        }
        append(input, bytes)
    }
    /// Moves what was read ahead behind the input, as far as it fits; whether any was.
    pub fn promote_read_ahead(&mut self) -> bool {
        let mut any = false;
        while let Some(mut kept) = self.read_ahead.pop_front() {
            let rest = self.extend_input(&kept.buf[kept.promoted..]).len();
            any |= kept.buf.len() - rest > kept.promoted;
            if rest > 0 {
                kept.promoted = kept.buf.len() - rest;
                self.read_ahead.push_front(kept);
                break;
            }
        }
        any
    }
    /// Whether bytes were thrown away, and over which bound. What is held was read before them.
    pub fn overrun(&self) -> Option<ReadAheadOverrun> {
        self.overrun
    }
    /// Bytes that may be held at a time.
    pub fn max_buffered(&self) -> usize {
        self.budget.max_buffered()
    }
    /// Whether more was thrown away than any session may send behind its open requests.
    pub fn is_flooding(&self) -> bool {
        self.discarded_bytes > MAX_DISCARDED_BYTES
    }
    /// Reads what there is and fits the input; 0 at the end of the stream.
    ///
    /// # Errors
    /// Those of the connection, which has ended then; and a full input is one.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.yield_if_due().await;
        poll_fn(|cx| match self.input_room() {
            0 => Poll::Ready(Err(io::Error::new(io::ErrorKind::StorageFull, "the input is full"))),
            room => self.poll_read(cx, room),
        })
        .await
    }
    /// Reads on while a request is open; 0 at the end of the stream. Where nothing more may be kept it is thrown away,
    /// so that the end is learnt of whatever stands before it.
    ///
    /// # Errors
    /// Those of the connection, which has ended then.
    pub async fn read_ahead(&mut self) -> io::Result<usize> {
        self.yield_if_due().await;
        poll_fn(|cx| self.poll_read(cx, READ_CHUNK_BYTES)).await
    }
    /// Reads on to the last byte that is there, as while a request is open; whether the stream has is_at_end, or floods.
    ///
    /// # Errors
    /// Those of the connection, which has ended then.
    pub async fn read_available(&mut self) -> io::Result<bool> {
        while !self.is_at_end && !self.is_flooding() {
            self.yield_if_due().await;
            // Guards against a task out of budget, to which every stream says that nothing is there.
            consume_budget().await;
            match poll_fn(|cx| Poll::Ready(self.poll_read(cx, READ_CHUNK_BYTES))).await {
                Poll::Ready(read) => drop(read?),
                Poll::Pending => return Ok(false),
            }
        }
        Ok(true)
    }
    /// Whether the stream is known to have is_at_end: reads what is there already and fits the input, without waiting.
    ///
    /// # Errors
    /// Those of the connection, which has ended then.
    pub async fn probe_end(&mut self) -> io::Result<bool> {
        while !self.is_at_end && self.overrun.is_none() && self.input_room() > 0 {
            match poll_fn(|cx| Poll::Ready(self.poll_read(cx, self.input_room()))).await {
                Poll::Ready(read) => drop(read?),
                Poll::Pending => break,
            }
        }
        Ok(self.is_at_end)
    }
    /// Bytes that fit the input, where nothing was read ahead of it.
    fn input_room(&self) -> usize {
        if self.read_ahead.is_empty() {
            SIZE.saturating_sub(self.input().len())
        } else {
            0
        }
    }
    /// Gives the others their turn, if it is due.
    async fn yield_if_due(&mut self) {
        if self.bytes_this_turn >= MAX_BYTES_PER_TURN {
            self.bytes_this_turn = 0;
            yield_now().await;
        }
    }
    fn poll_read(&mut self, cx: &mut Context<'_>, max_bytes: usize) -> Poll<io::Result<usize>> {
        if self.is_at_end {
            return Poll::Ready(Ok(0));
        }
        let mut piece = [0; READ_CHUNK_BYTES];
        let mut read = ReadBuf::new(&mut piece[..max_bytes.min(READ_CHUNK_BYTES)]);
        let done = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read));
        let n = read.filled().len();
        self.is_at_end = done.is_err() || n == 0;
        done?;
        self.bytes_this_turn += n;
        self.store(read.filled());
        Poll::Ready(Ok(n))
    }
    /// Keeps what was read, within the bounds. Behind the first byte that was not kept none is: a message must not be
    /// put together of what stood apart.
    fn store(&mut self, mut bytes: &[u8]) {
        if bytes.is_empty() || self.overrun.is_some() {
            self.discarded_bytes += bytes.len();
            return;
        }
        self.arrived = now();
        if self.read_ahead.is_empty() {
            bytes = self.extend_input(bytes);
        }
        while !bytes.is_empty() {
            if let Some(kept) = self.read_ahead.back_mut().filter(|k| k.buf.has_room(1)) {
                bytes = append(&mut kept.buf, bytes);
                continue;
            }
            match self.allocate_read_ahead() {
                Ok(kept) => self.read_ahead.push_back(kept),
                Err(overrun) => {
                    self.overrun = Some(overrun);
                    self.discarded_bytes += bytes.len();
                    return;
                }
            }
        }
    }
    /// One buffer more to read ahead into.
    fn allocate_read_ahead(&self) -> Result<ReadAheadBuffer, ReadAheadOverrun> {
        if self.read_ahead.len() >= self.budget.max_buffers {
            return Err(ReadAheadOverrun::Session);
        }
        let left = self.budget.free_buffers.get().checked_sub(1).ok_or(ReadAheadOverrun::Shared)?;
        let buf = self.pool.get().ok_or(ReadAheadOverrun::Shared)?;
        self.budget.free_buffers.set(left);
        Ok(ReadAheadBuffer { buf, promoted: 0, budget: Rc::clone(&self.budget) })
    }
    /// What is to be written.
    pub fn output(&mut self) -> &mut Vec<u8> {
        self.output.get_or_insert_with(|| self.pool.must())
    }
    /// Writes all that is to be written, and reads on where that has to wait: a client that has gone meanwhile must
    /// not have its next request taken.
    ///
    /// # Errors
    /// Those of the connection; and a client that takes nothing for [`WRITE_TIMEOUT`].
    pub async fn flush(&mut self) -> io::Result<()> {
        let Some(output) = self.output.take() else { return Ok(()) };
        let (mut rest, mut by) = (&output[..], Instant::now() + WRITE_TIMEOUT);
        while !rest.is_empty() {
            self.yield_if_due().await;
            match timeout_at(by, poll_fn(|cx| self.poll_write(cx, rest))).await?? {
                Some(0) => return Err(io::ErrorKind::WriteZero.into()),
                Some(n) => (rest, by) = (&rest[n..], Instant::now() + WRITE_TIMEOUT),
                None => {}
            }
        }
        timeout(WRITE_TIMEOUT, self.stream.flush()).await?
    }
    /// Writes some, or reads what is there where nothing can be written.
    fn poll_write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<Option<usize>>> {
        if let Poll::Ready(written) = Pin::new(&mut self.stream).poll_write(cx, bytes) {
            return Poll::Ready(written.map(Some));
        }
        if self.is_at_end || self.is_flooding() {
            return Poll::Pending;
        }
        ready!(self.poll_read(cx, READ_CHUNK_BYTES))?;
        Poll::Ready(Ok(None))
    }
    /// Makes room for so many bytes more, by writing if need be.
    pub async fn reserve_output(&mut self, n: usize) -> io::Result<()> {
        if self.output.as_ref().is_none_or(|buf| buf.has_room(n)) {
            return Ok(());
        }
        self.flush().await
    }
    /// Ends the connection so that its last word arrives: half-closes it and throws away what the
    /// client still sends, within bounds.
    pub async fn close(mut self, linger: LingerTimeouts) {
        (self.input, self.read_ahead) = (None, VecDeque::new());
        drop(
            timeout(linger.total, async {
                // An error here is the end of the connection: nobody is left to tell.
                self.stream.shutdown().await?;
                let (mut bytes, mut left) = (vec![0; LINGER_CHUNK_BYTES], MAX_LINGER_BYTES);
                while left > 0 && !self.is_at_end {
                    match timeout(linger.idle, self.stream.read(&mut bytes)).await?? {
                        0 => break,
                        n => left = left.saturating_sub(n),
                    }
                }
                io::Result::Ok(())
            })
            .await,
        );
    }
}
