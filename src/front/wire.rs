//! A client's connection with its buffers, which it holds only while there are bytes in them.
//!
//! Reading never pauses while a request is open or an answer is written: the client's end may stand behind what it
//! still sent. So what is read ahead is kept up to a bound, and beyond that thrown away, only to learn of the end; the
//! session is then overrun, and ends behind what it holds whole.

use crate::core::buffer_pool::{Buffer, BufferPool, BUFFER_BYTES};
use crate::core::now;
use sprucelink_policy::Micros;
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
const STUCK: Duration = Duration::from_secs(10);
/// Bytes read at a time, off the stack: most messages are shorter.
const PIECE: usize = 8 * 1024;
/// Bytes that a client may have read before the others get their turn. Guards them against floods.
const TURN: usize = 128 * 1024;
/// Bytes thrown away behind open requests before a session is ended at once, and what is open with it. Guards the
/// process against clients that write for ever.
const MOST_THROWN: usize = 16 << 20;
/// Read and thrown away behind a last word, at most, in pieces of so much; for how long in all, and for
/// how long with nothing coming. Closing on unread input would send a reset, which may overtake the last
/// word where a client writes before it reads; but no client is read for ever.
const DRAIN_MOST: usize = 64 << 20;
const DRAIN_PIECE: usize = 32 * 1024;
/// The bounds on time of a drain.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// In all.
    pub whole: Duration,
    /// With nothing coming.
    pub quiet: Duration,
}

/// What the sessions of a front may read ahead, beyond one buffer each.
#[derive(Debug)]
pub struct Ahead {
    /// Buffers that a session may hold.
    most: usize,
    /// Buffers left to all of them.
    left: Cell<usize>,
}

impl Ahead {
    /// So many buffers a session, and in all.
    pub fn new(most: usize, in_all: usize) -> Rc<Ahead> {
        Rc::new(Ahead { most, left: Cell::new(in_all) })
    }
    /// Bytes that a session may hold.
    pub fn bound(&self) -> usize {
        BUFFER_BYTES * (1 + self.most)
    }
}

/// Which bound a session has overrun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overrun {
    /// Its own.
    Own,
    /// That of all sessions, or of the pool.
    All,
}

/// A buffer of what was read ahead, and how much of it has moved on.
struct Kept {
    buf: Buffer,
    moved: usize,
    of: Rc<Ahead>,
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.of.left.set(self.of.left.get() + 1);
    }
}

/// Appends as much as fits; the rest.
fn append<'a>(buf: &mut Buffer, bytes: &'a [u8]) -> &'a [u8] {
    let (fits, rest) = bytes.split_at(bytes.len().min(BUFFER_BYTES.saturating_sub(buf.len())));
    buf.extend_from_slice(fits);
    rest
}

/// A stream and what was read from it, and is to be written to it.
pub struct Wire<S> {
    /// The connection.
    pub stream: S,
    pool: BufferPool,
    input: Option<Buffer>,
    /// Bytes at the input's front that are consumed.
    consumed: usize,
    /// Read behind the input, in order.
    ahead: VecDeque<Kept>,
    may: Rc<Ahead>,
    overrun: Option<Overrun>,
    thrown: usize,
    /// The stream's end was read, or its error.
    ended: bool,
    /// Bytes read since the others had their turn.
    read: usize,
    output: Option<Buffer>,
    arrived: Micros,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Wire<S> {
    /// A connection from which nothing was read, and what may be read ahead on it.
    pub fn new(stream: S, pool: BufferPool, may: Rc<Ahead>) -> Wire<S> {
        Wire {
            stream,
            pool,
            input: None,
            consumed: 0,
            ahead: VecDeque::new(),
            may,
            overrun: None,
            thrown: 0,
            ended: false,
            read: 0,
            output: None,
            arrived: now(),
        }
    }
    /// What was read and not consumed, as far as it is in one piece.
    pub fn input(&self) -> &[u8] {
        self.input.as_ref().map_or(&[], |buf| &buf[self.consumed..])
    }
    /// When the last came that was kept.
    pub fn arrived(&self) -> Micros {
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
    fn extend<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let input = self.input.get_or_insert_with(|| self.pool.get_beyond_limit());
        if !input.has_room(bytes.len()) {
            input.drain(..std::mem::take(&mut self.consumed));
        }
        append(input, bytes)
    }
    /// Moves what was read ahead behind the input, as far as it fits; whether any was.
    pub fn gather(&mut self) -> bool {
        let mut any = false;
        while let Some(mut kept) = self.ahead.pop_front() {
            let rest = self.extend(&kept.buf[kept.moved..]).len();
            any |= kept.buf.len() - rest > kept.moved;
            if rest > 0 {
                kept.moved = kept.buf.len() - rest;
                self.ahead.push_front(kept);
                break;
            }
        }
        any
    }
    /// Whether bytes were thrown away, and over which bound. What is held was read before them.
    pub fn overrun(&self) -> Option<Overrun> {
        self.overrun
    }
    /// Bytes that may be held at a time.
    pub fn bound(&self) -> usize {
        self.may.bound()
    }
    /// Whether more was thrown away than any session may send behind its open requests.
    pub fn floods(&self) -> bool {
        self.thrown > MOST_THROWN
    }
    /// Reads what there is and fits the input; 0 at the end of the stream.
    ///
    /// # Errors
    /// Those of the connection, which has ended then; and a full input is one.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.turn().await;
        poll_fn(|cx| match self.room() {
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
    pub async fn read_on(&mut self) -> io::Result<usize> {
        self.turn().await;
        poll_fn(|cx| self.poll_read(cx, PIECE)).await
    }
    /// Reads on to the last byte that is there, as while a request is open; whether the stream has ended, or floods.
    ///
    /// # Errors
    /// Those of the connection, which has ended then.
    pub async fn catch_up(&mut self) -> io::Result<bool> {
        while !self.ended && !self.floods() {
            self.turn().await;
            // Guards against a task out of budget, to which every stream says that nothing is there.
            consume_budget().await;
            match poll_fn(|cx| Poll::Ready(self.poll_read(cx, PIECE))).await {
                Poll::Ready(read) => drop(read?),
                Poll::Pending => return Ok(false),
            }
        }
        Ok(true)
    }
    /// Whether the stream is known to have ended: reads what is there already and fits the input, without waiting.
    ///
    /// # Errors
    /// Those of the connection, which has ended then.
    pub async fn look(&mut self) -> io::Result<bool> {
        while !self.ended && self.overrun.is_none() && self.room() > 0 {
            match poll_fn(|cx| Poll::Ready(self.poll_read(cx, self.room()))).await {
                Poll::Ready(read) => drop(read?),
                Poll::Pending => break,
            }
        }
        Ok(self.ended)
    }
    /// Bytes that fit the input, where nothing was read ahead of it.
    fn room(&self) -> usize {
        if self.ahead.is_empty() {
            BUFFER_BYTES.saturating_sub(self.input().len())
        } else {
            0
        }
    }
    /// Gives the others their turn, if it is due.
    async fn turn(&mut self) {
        if self.read >= TURN {
            self.read = 0;
            yield_now().await;
        }
    }
    fn poll_read(&mut self, cx: &mut Context<'_>, most: usize) -> Poll<io::Result<usize>> {
        if self.ended {
            return Poll::Ready(Ok(0));
        }
        let mut piece = [0; PIECE];
        let mut read = ReadBuf::new(&mut piece[..most.min(PIECE)]);
        let done = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read));
        let n = read.filled().len();
        self.ended = done.is_err() || n == 0;
        done?;
        self.read += n;
        self.keep(read.filled());
        Poll::Ready(Ok(n))
    }
    /// Keeps what was read, within the bounds. Behind the first byte that was not kept none is: a message must not be
    /// put together of what stood apart.
    fn keep(&mut self, mut bytes: &[u8]) {
        if bytes.is_empty() || self.overrun.is_some() {
            self.thrown += bytes.len();
            return;
        }
        self.arrived = now();
        if self.ahead.is_empty() {
            bytes = self.extend(bytes);
        }
        while !bytes.is_empty() {
            if let Some(kept) = self.ahead.back_mut().filter(|k| k.buf.has_room(1)) {
                bytes = append(&mut kept.buf, bytes);
                continue;
            }
            match self.further() {
                Ok(kept) => self.ahead.push_back(kept),
                Err(overrun) => {
                    self.overrun = Some(overrun);
                    self.thrown += bytes.len();
                    return;
                }
            }
        }
    }
    /// One buffer more to read ahead into.
    fn further(&self) -> Result<Kept, Overrun> {
        if self.ahead.len() >= self.may.most {
            return Err(Overrun::Own);
        }
        let left = self.may.left.get().checked_sub(1).ok_or(Overrun::All)?;
        let buf = self.pool.get().ok_or(Overrun::All)?;
        self.may.left.set(left);
        Ok(Kept { buf, moved: 0, of: Rc::clone(&self.may) })
    }
    /// What is to be written.
    pub fn output(&mut self) -> &mut Vec<u8> {
        self.output.get_or_insert_with(|| self.pool.get_beyond_limit())
    }
    /// Writes all that is to be written, and reads on where that has to wait: a client that has gone meanwhile must
    /// not have its next request taken.
    ///
    /// # Errors
    /// Those of the connection; and a client that takes nothing for [`STUCK`].
    pub async fn flush(&mut self) -> io::Result<()> {
        let Some(output) = self.output.take() else { return Ok(()) };
        let (mut rest, mut by) = (&output[..], Instant::now() + STUCK);
        while !rest.is_empty() {
            self.turn().await;
            match timeout_at(by, poll_fn(|cx| self.poll_write(cx, rest))).await?? {
                Some(0) => return Err(io::ErrorKind::WriteZero.into()),
                Some(n) => (rest, by) = (&rest[n..], Instant::now() + STUCK),
                None => {}
            }
        }
        timeout(STUCK, self.stream.flush()).await?
    }
    /// Writes some, or reads what is there where nothing can be written.
    fn poll_write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<Option<usize>>> {
        if let Poll::Ready(written) = Pin::new(&mut self.stream).poll_write(cx, bytes) {
            return Poll::Ready(written.map(Some));
        }
        if self.ended || self.floods() {
            return Poll::Pending;
        }
        ready!(self.poll_read(cx, PIECE))?;
        Poll::Ready(Ok(None))
    }
    /// Makes room for so many bytes more, by writing if need be.
    pub async fn make_room(&mut self, n: usize) -> io::Result<()> {
        if self.output.as_ref().is_none_or(|buf| buf.has_room(n)) {
            return Ok(());
        }
        self.flush().await
    }
    /// Ends the connection so that its last word arrives: half-closes it and throws away what the
    /// client still sends, within bounds.
    pub async fn part(mut self, within: Drain) {
        (self.input, self.ahead) = (None, VecDeque::new());
        drop(
            timeout(within.whole, async {
                // An error here is the end of the connection: nobody is left to tell.
                self.stream.shutdown().await?;
                let (mut bytes, mut left) = (vec![0; DRAIN_PIECE], DRAIN_MOST);
                while left > 0 && !self.ended {
                    match timeout(within.quiet, self.stream.read(&mut bytes)).await?? {
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
