//! A pool of reusable buffers of one size.
//!
//! The pool is bounded: a request that finds it empty is rejected, so that overload leads to rejections and
//! does not exhaust the memory of the process.

use bytes::BufMut;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::ops::{Deref, DerefMut};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};

/// Size of every buffer in bytes. The largest result and its framing fit into one buffer.
pub const BUFFER_BYTES: usize = 64 * 1024;

/// Size of the stack buffer of the first read, in bytes; most messages are shorter. A buffer is taken from
/// the pool only if the read returns bytes.
const FIRST_READ_BYTES: usize = 2_048;

#[derive(Debug)]
struct PoolState {
    free: RefCell<Vec<Vec<u8>>>,
    in_use: Cell<usize>,
    max_buffers: usize,
}

/// A handle to a pool of buffers; clones share the pool.
#[derive(Clone, Debug)]
pub struct BufferPool(Rc<PoolState>);

/// A buffer that returns to its pool when dropped. Writers must not exceed [`BUFFER_BYTES`]: a buffer that
/// has grown is freed instead.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    pool: Rc<PoolState>,
}

impl BufferPool {
    /// Creates a pool with at most `max_buffers` in use at a time.
    pub fn new(max_buffers: usize) -> BufferPool {
        BufferPool(Rc::new(PoolState { free: RefCell::new(Vec::new()), in_use: Cell::new(0), max_buffers }))
    }

    /// An empty buffer, or `None` if the limit on buffers in use is reached.
    pub fn get(&self) -> Option<Buffer> {
        if self.0.in_use.get() >= self.0.max_buffers {
            return None;
        }
        Some(self.get_beyond_limit())
    }

    /// An empty buffer, even if the limit on buffers in use is reached: for data that cannot be rejected,
    /// such as a cancellation, an error to a client or received bytes. Each connection and each session has
    /// at most two of these buffers, so the limits on connections and sessions also bound their number. They
    /// count as in use, so that new requests are rejected until buffers are returned.
    pub fn get_beyond_limit(&self) -> Buffer {
        self.0.in_use.set(self.0.in_use.get() + 1);
        let bytes = self.0.free.borrow_mut().pop().unwrap_or_else(|| Vec::with_capacity(BUFFER_BYTES));
        Buffer { bytes, pool: Rc::clone(&self.0) }
    }

    /// Limit on the buffers in use at a time, beyond which [`BufferPool::get`] returns `None`.
    pub fn max_buffers(&self) -> usize {
        self.0.max_buffers
    }

    /// The number of buffers in use, including those beyond the limit.
    pub fn in_use(&self) -> usize {
        self.0.in_use.get()
    }
}

impl Buffer {
    /// Whether `bytes` more bytes fit into [`BUFFER_BYTES`].
    pub fn has_capacity(&self, bytes: usize) -> bool {
        self.bytes.len() + bytes <= BUFFER_BYTES
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.pool.in_use.set(self.pool.in_use.get() - 1);
        let mut bytes = std::mem::take(&mut self.bytes);
        // A buffer that grew beyond its size is freed, so that the pool's memory stays bounded.
        if bytes.capacity() <= BUFFER_BYTES {
            bytes.clear();
            self.pool.free.borrow_mut().push(bytes);
        }
    }
}

impl Deref for Buffer {
    type Target = Vec<u8>;
    fn deref(&self) -> &Vec<u8> {
        &self.bytes
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }
}

/// Reads the bytes that have arrived and returns their number, 0 at the end of the stream. A buffer is taken
/// from the pool only once there are bytes: idle connections would occupy every buffer otherwise.
///
/// # Errors
/// The errors of the stream, and a full buffer: a reader that paused on a full buffer would never see the end
/// of the stream.
pub async fn read_into<S: AsyncRead + Unpin>(
    pool: &BufferPool,
    stream: &mut S,
    buffer: &mut Option<Buffer>,
) -> io::Result<usize> {
    if let Some(buffer) = buffer {
        let capacity = BUFFER_BYTES.saturating_sub(buffer.len());
        if capacity == 0 {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the buffer is full"));
        }
        return stream.read_buf(&mut (&mut **buffer).limit(capacity)).await;
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
