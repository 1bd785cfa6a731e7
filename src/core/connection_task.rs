//! The task of one connection to an engine.
//!
//! Input: the commands queued on an [`EngineConnection`], and the bytes that its engine sends. Output: the
//! commands, in order, and calls of the [`ConnectionOwner`] for each answer and for the end of the
//! connection. State: the buffer that is being written and the answer that is being read.

use super::buffer_pool::{Buffer, BufferPool, BUFFER_BYTES};
use super::clock::{now, to_duration};
use super::engine_connection::{ConnectionLimits, EngineConnection, QueuedBuffer};
use super::socket::{retry_interrupted, SocketReader};
use super::system_error::is_local_dial_failure;
use crate::proto::engine_answer::EngineAnswerError;
use crate::proto::resp;
use bytes::BufMut;
use socket2::SockRef;
use sprucelink_policy::{TimeDelta, Timestamp};
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Time for which a dial that fails for a local reason is repeated. After this time, the attempts that wait
/// for the connection end and may be retried at another engine.
const MAX_LOCAL_FAILURE: Duration = Duration::from_millis(300);
/// Backoff before a dial that failed for a local reason is repeated.
const DIAL_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time between two checks of whether a connection has been idle for too long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a further byte of an incomplete answer after which the connection is closed. Engines write an
/// answer in one piece, so the rest of a stalled answer will not arrive.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes that are read of an answer even if the pool is exhausted: the longest answer that the protocol allows,
/// a page of 6,000 bytes with its fields and framing, fits.
const ANSWER_BYTES: usize = 8 * 1024;
/// Size of the stack buffer of the first read, in bytes; most answers are shorter. A buffer is taken from the
/// pool only if the read returns bytes.
const FIRST_READ_BYTES: usize = 2_048;
/// Time from the first byte of an answer until the answer must be complete, because all other answers on the
/// connection wait behind it.
const ANSWER_TIMEOUT: TimeDelta = TimeDelta::from_secs(2);

/// The owner of the attempts on a connection.
pub trait ConnectionOwner: 'static {
    /// The pool from which received bytes take their buffers.
    fn pool(&self) -> &BufferPool;
    /// Limits and timeouts that apply to every connection.
    fn limits(&self) -> &ConnectionLimits;
    /// Applies one complete answer of the engine. `parts`: the elements of the answer's array.
    ///
    /// # Errors
    /// If the answer violates the protocol; the caller then closes the connection.
    fn on_answer(
        self: &Rc<Self>,
        connection: &EngineConnection,
        parts: &[&[u8]],
    ) -> Result<(), EngineAnswerError>;
    /// Handles the end of the connection. `reason`: text for the log, empty if the end is not a fault;
    /// `is_local`: whether this process closed the connection or could not make it.
    fn on_connection_down(self: &Rc<Self>, connection: &Rc<EngineConnection>, reason: &str, is_local: bool);
    /// Authorizes the sending of an attempt just before its first byte: the state may have changed since the
    /// engine was selected, while the attempt waited for a dial or behind a slow peer. Returns false if the
    /// attempt may not be sent; the owner has then withdrawn it or queued it again.
    fn authorize_send(self: &Rc<Self>, _connection: &EngineConnection, _id: u64, _attempt: u32) -> bool {
        true
    }
    /// Counts `attempts` attempts whose last byte was sent.
    fn on_attempts_sent(&self, _attempts: u64) {}
    /// Handles the opening of the connection.
    fn on_connection_up(self: &Rc<Self>, _connection: &EngineConnection) {}
}

/// The end of a connection.
struct ConnectionEnd {
    /// Reason for the log; empty if the end is not a fault.
    reason: String,
    /// Whether this process closed the connection, or could not make it.
    is_local: bool,
}

impl ConnectionEnd {
    /// An end that is not attributed to this process: the engine or the network ended the connection, a dial
    /// timed out, or an option of the new socket could not be set. Also the end of a connection that is idle
    /// or already closed, which has no attempts.
    fn remote(reason: impl ToString) -> ConnectionEnd {
        ConnectionEnd { reason: reason.to_string(), is_local: false }
    }

    /// An end that is attributed to this process, which closed the connection or could not make it.
    fn local(reason: impl ToString) -> ConnectionEnd {
        ConnectionEnd { reason: reason.to_string(), is_local: true }
    }

    /// An end because the received bytes violate the protocol: no further byte on the connection can be
    /// trusted.
    fn unreadable(error: impl std::fmt::Display) -> ConnectionEnd {
        ConnectionEnd::local(format!("unreadable: {error}"))
    }
}

/// Dials a connection and serves it until it ends.
pub async fn run<O: ConnectionOwner>(owner: Rc<O>, connection: Rc<EngineConnection>) {
    let delay = connection.dial_time() - now();
    if delay > TimeDelta::ZERO {
        sleep(to_duration(delay)).await;
    }
    let dial_timeout = to_duration(owner.limits().dial_timeout);
    // A cancelled dial releases its file descriptor at once.
    let dial_result = tokio::select! {
        result = dial(connection.address(), dial_timeout) => result,
        () = connection.wait_closed() => return owner.on_connection_down(&connection, "", true),
    };
    let end = match dial_result {
        Ok(stream) if connection.is_dialing() => serve(&owner, &connection, stream).await,
        Ok(_) => ConnectionEnd::remote("closed before it opened"),
        Err(end) => end,
    };
    owner.on_connection_down(&connection, &end.reason, end.is_local);
}

/// Makes a connection. A failure for a local reason is transient and says nothing about the engine, so the
/// dial is repeated for [`MAX_LOCAL_FAILURE`].
async fn dial(address: SocketAddr, dial_timeout: Duration) -> Result<TcpStream, ConnectionEnd> {
    let started_at = Instant::now();
    let deadline = started_at + dial_timeout;
    loop {
        let error = match timeout_at(deadline, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) => error,
            Err(_) => return Err(ConnectionEnd::remote("no connection in time")),
        };
        if !is_local_dial_failure(&error) {
            return Err(ConnectionEnd::remote(format!("no connection: {error}")));
        }
        if started_at.elapsed() >= MAX_LOCAL_FAILURE.min(dial_timeout) {
            return Err(ConnectionEnd::local(format!("no connection for a local reason: {error}")));
        }
        sleep(DIAL_RETRY_DELAY).await;
    }
}

async fn serve<O: ConnectionOwner>(
    owner: &Rc<O>,
    connection: &EngineConnection,
    stream: TcpStream,
) -> ConnectionEnd {
    if let Err(error) = stream.set_nodelay(true) {
        return ConnectionEnd::remote(error);
    }
    connection.mark_open();
    owner.on_connection_up(connection);
    let (reader, writer) = stream.into_split();
    tokio::select! {
        // Reads are polled before writes: if the engine has closed the connection, no queued attempt is
        // written any more, so that these attempts count as never sent.
        biased;
        end = read(owner, connection, SocketReader::new(reader)) => end,
        end = write(owner, connection, writer) => end,
    }
}

/// Writes the queued commands. The next bytes to write are determined before each write and never kept across
/// a wait, because their attempt may be withdrawn during the wait.
async fn write<O: ConnectionOwner>(
    owner: &Rc<O>,
    connection: &EngineConnection,
    writer: OwnedWriteHalf,
) -> ConnectionEnd {
    let mut current_buffer: Option<QueuedBuffer> = None;
    loop {
        if connection.is_closed() {
            return ConnectionEnd::remote("closed by this process");
        }
        let limit = connection.skip_withdrawn();
        let offset = connection.written_end();
        current_buffer = current_buffer.filter(|buffer| buffer.end() > offset);
        let Some(buffer) = &current_buffer else {
            current_buffer = connection.next_buffer();
            if current_buffer.is_none() {
                connection.wait_for_work().await;
            }
            continue;
        };
        let bytes = buffer.slice(offset, limit);
        let end = offset + bytes.len() as u64;
        if connection.has_nothing_in_flight()
            && connection.next_attempt(offset, end).is_some()
            && is_closed_by_peer(writer.as_ref())
        {
            return ConnectionEnd::remote("closed by the engine");
        }
        if !authorize_all(owner, connection, offset, end) {
            // The next iteration skips the withdrawn commands.
            continue;
        }
        match retry_interrupted(|| writer.try_write(bytes)) {
            Ok(0) => return ConnectionEnd::remote("closed by the engine"),
            Ok(written) => owner.on_attempts_sent(connection.record_written(written)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => tokio::select! {
                ready = writer.writable() => if let Err(error) = ready {
                    return ConnectionEnd::remote(error);
                },
                () = connection.wait_for_work() => {}
            },
            Err(error) => return ConnectionEnd::remote(error),
        }
    }
}

/// Whether the peer has closed a connection with nothing in flight. Peeks into the socket itself, because the
/// runtime sees the close only at its next poll: an attempt that is written to a connection that its engine
/// has just closed as idle would count as one that may have run.
fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    match retry_interrupted(|| SockRef::from(stream).peek(&mut byte)) {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Authorizes the sending of each attempt whose command begins between two offsets of the stream; returns
/// whether all of them may be sent. The owner withdraws or requeues the commands of the other attempts.
fn authorize_all<O: ConnectionOwner>(
    owner: &Rc<O>,
    connection: &EngineConnection,
    from: u64,
    to: u64,
) -> bool {
    let mut offset = from;
    let mut may_send_all = true;
    while let Some(command) = connection.next_attempt(offset, to) {
        may_send_all &= owner.authorize_send(connection, command.id, command.attempt);
        offset = command.end;
    }
    may_send_all
}

async fn read<O: ConnectionOwner>(
    owner: &Rc<O>,
    connection: &EngineConnection,
    mut reader: SocketReader,
) -> ConnectionEnd {
    let mut received = None;
    // Time at which the first byte of the incomplete answer arrived, if there is an incomplete answer.
    let mut answer_began_at: Option<Timestamp> = None;
    loop {
        let read_timeout = match answer_began_at {
            Some(began_at) => STALL_TIMEOUT.min(to_duration(began_at + ANSWER_TIMEOUT - now())),
            None => IDLE_CHECK_INTERVAL,
        };
        match timeout(read_timeout, read_into(owner.pool(), &mut reader, &mut received)).await {
            Ok(Ok(0)) => return ConnectionEnd::remote("closed by the engine"),
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return ConnectionEnd::remote(error),
            Err(_) if received.is_some() => {
                return ConnectionEnd::unreadable("incomplete answer timed out");
            }
            Err(_) if connection.is_idle(owner.limits()) => return ConnectionEnd::remote(""),
            Err(_) => continue,
        }
        connection.record_activity(now());
        let Some(buffer) = &mut received else { continue };
        let consumed = match process_answers(owner, connection, buffer) {
            Ok(consumed) => consumed,
            Err(end) => return end,
        };
        buffer.drain(..consumed);
        if buffer.is_empty() {
            received = None;
            answer_began_at = None;
        } else if buffer.len() >= BUFFER_BYTES {
            return ConnectionEnd::unreadable("answer exceeds the maximum length");
        } else if consumed > 0 || answer_began_at.is_none() {
            answer_began_at = Some(now());
        }
    }
}

/// Reads the bytes that have arrived and returns their number, 0 at the end of the stream. A buffer is taken
/// from the pool only once there are bytes: idle connections would occupy many buffers otherwise.
///
/// # Errors
/// The errors of the stream, and `StorageFull` if the buffer is full and cannot be enlarged: a reader that
/// paused would never see the end of the stream.
async fn read_into<S: AsyncRead + Unpin>(
    pool: &BufferPool,
    stream: &mut S,
    buffer: &mut Option<Buffer>,
) -> io::Result<usize> {
    if let Some(buffer) = buffer {
        if !buffer.reserve_beyond_limit(1, ANSWER_BYTES) {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the buffer is full"));
        }
        let free_bytes = buffer.free_bytes();
        return stream.read_buf(&mut (&mut **buffer).limit(free_bytes)).await;
    }
    poll_fn(|cx| {
        let mut stack_buffer = [0; FIRST_READ_BYTES];
        let mut read = ReadBuf::new(&mut stack_buffer);
        ready!(Pin::new(&mut *stream).poll_read(cx, &mut read))?;
        if !read.filled().is_empty() {
            buffer.insert(pool.get_beyond_limit()).extend_from_slice(read.filled());
        }
        Poll::Ready(Ok(read.filled().len()))
    })
    .await
}

/// Passes the complete answers in a buffer to the owner; returns their total length in bytes.
fn process_answers<O: ConnectionOwner>(
    owner: &Rc<O>,
    connection: &EngineConnection,
    buffer: &Buffer,
) -> Result<usize, ConnectionEnd> {
    let mut consumed = 0;
    while let Some(array) =
        resp::read_array(&buffer[consumed..], BUFFER_BYTES).map_err(ConnectionEnd::unreadable)?
    {
        owner.on_answer(connection, &array.parts).map_err(ConnectionEnd::unreadable)?;
        consumed += array.length;
    }
    Ok(consumed)
}
