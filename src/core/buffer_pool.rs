//! Buffers of one size, used again. The pool has a bound: what finds it empty is refused, so that
//! a flood costs answers and not the process.

use bytes::BufMut;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::ops::{Deref, DerefMut};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};

/// Size of every buffer: the largest result (48,000 bytes) and its framing fit one.
pub const SIZE: usize = 64 * 1024;

/// Bytes read at first, off the stack: most messages are shorter.
const FIRST_READ: usize = 2_048;

#[derive(Debug)]
struct RequestTable {
    free: RefCell<Vec<Vec<u8>>>,
    out: Cell<usize>,
    most: usize,
}

/// A pool of buffers.
#[derive(Clone, Debug)]
pub struct BufferPool(Rc<RequestTable>);

/// A buffer that goes back to its pool when dropped. Writers keep within [`SIZE`].
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    pool: Rc<RequestTable>,
}

impl BufferPool {
    /// A pool that hands out at most so many buffers at a time.
    pub fn new(most: usize) -> BufferPool {
        BufferPool(Rc::new(RequestTable { free: RefCell::new(Vec::new()), out: Cell::new(0), most }))
    }
    /// An empty buffer, or `None` when all are out.
    pub fn get(&self) -> Option<Buffer> {
        if self.0.out.get() >= self.0.most {
            return None;
        }
        Some(self.must())
    }
    /// An empty buffer, also when all are out: for what cannot be put off, such as an attempt's undo, an
    /// error to a client or bytes that have come. Each link and each session has two at most, so their
    /// numbers bound it; it counts like any other, so that new work is refused meanwhile.
    pub fn must(&self) -> Buffer {
        self.0.out.set(self.0.out.get() + 1);
        let bytes = self.0.free.borrow_mut().pop().unwrap_or_else(|| Vec::with_capacity(SIZE));
        Buffer { bytes, pool: Rc::clone(&self.0) }
    }
    /// Buffers that may be out at a time.
    pub fn most(&self) -> usize {
        self.0.most
    }
    /// Buffers that are out.
    pub fn out(&self) -> usize {
        self.0.out.get()
    }
}

impl Buffer {
    /// Whether so many bytes more fit.
    pub fn has_room(&self, n: usize) -> bool {
        self.bytes.len() + n <= SIZE
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.pool.out.set(self.pool.out.get() - 1);
        let mut bytes = std::mem::take(&mut self.bytes);
        // Guards the bound on memory: a buffer that outgrew its size is not kept.
        if bytes.capacity() <= SIZE {
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

/// Reads what there is into a buffer that is taken from the pool only once there are bytes; 0 at the
/// end of the stream. Guards the pool against connections that say nothing: hundreds of them would hold
/// every buffer.
///
/// # Errors
/// Those of the stream; and a full buffer is one: who pauses there never learns of the stream's end.
pub async fn read_into<S: AsyncRead + Unpin>(
    pool: &BufferPool,
    stream: &mut S,
    held: &mut Option<Buffer>,
) -> io::Result<usize> {
    if let Some(buf) = held {
        let room = SIZE.saturating_sub(buf.len());
        if room == 0 {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the buffer is full"));
        }
        return stream.read_buf(&mut (&mut **buf).limit(room)).await;
    }
    poll_fn(|cx| {
        let mut first = [0; FIRST_READ];
        let mut read = ReadBuf::new(&mut first);
        ready!(Pin::new(&mut *stream).poll_read(cx, &mut read))?;
        if !read.filled().is_empty() {
            held.insert(pool.must()).extend_from_slice(read.filled());
        }
        Poll::Ready(Ok(read.filled().len()))
    })
    .await
}
