//! A pool of reusable buffers, bounded by the bytes that they hold together.
//!
//! A request that finds the pool exhausted is rejected, so that overload leads to rejections and does not
//! exhaust the memory of the process. Everything that a client can make the process hold is charged to the
//! pool: input, statements, commands for engines, results, output, and prepared statements. Only short buffers
//! are available beyond the limit, a fixed number for each connection; `run::memory_budget` sets the memory for
//! them aside.

use std::cell::{Cell, RefCell};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// Size of the largest buffer in bytes. The longest message and the largest result fit into one buffer.
pub const BUFFER_BYTES: usize = 64 * 1024;
/// Size of the smallest buffer in bytes; most messages and answers are shorter.
pub const SMALL_BUFFER_BYTES: usize = 4 * 1024;
/// Length in bytes up to which a buffer counts as short.
const MAX_SHORT_BYTES: usize = 8 * 1024;
/// Sizes of buffers in bytes, in ascending order. There are few, because free memory between buffers of one size
/// does not always serve another.
const SIZES: [usize; 3] = [SMALL_BUFFER_BYTES, MAX_SHORT_BYTES, BUFFER_BYTES];
/// Fraction of the pool that only buffers of up to [`MAX_SHORT_BYTES`] may use: requests of usual length find
/// memory while long ones wait for engines.
const SHORT_FRACTION: usize = 8;
/// Fraction of the pool that sessions may hold between requests: prepared statements and portals.
const RETAINED_FRACTION: usize = 4;
/// Maximum number of bytes in free buffers that are kept for reuse.
const MAX_FREE_BYTES: usize = 1 << 20;

#[derive(Debug)]
struct PoolState {
    /// Free buffers, by the position of their size in [`SIZES`].
    free: RefCell<[Vec<Vec<u8>>; SIZES.len()]>,
    free_bytes: Cell<usize>,
    /// Number of bytes that are charged to the pool.
    used_bytes: Cell<usize>,
    /// Number of bytes, of those that are charged, that sessions hold between requests.
    retained_bytes: Cell<usize>,
    /// Number of buffers beyond the limit.
    beyond_limit: Cell<usize>,
    /// Number of times that the pool was exhausted.
    refusals: Cell<u64>,
    max_bytes: usize,
}

/// A handle to a pool of buffers; clones share the pool.
#[derive(Clone, Debug)]
pub struct BufferPool(Rc<PoolState>);

/// A buffer that returns to its pool when dropped. Writers must not exceed [`Buffer::free_bytes`]: a buffer
/// that has grown otherwise than by [`Buffer::reserve`] is freed instead.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    size: usize,
    /// The memory that the buffer is charged for; `None` for a buffer beyond the limit.
    charge: Option<MemoryCharge>,
    pool: Rc<PoolState>,
}

/// A number of bytes that are charged to the pool until this value is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    bytes: usize,
    /// Whether a session holds the memory between requests.
    is_retained: bool,
    pool: Rc<PoolState>,
}

/// How a pool is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolUsage {
    /// Number of bytes that are charged to the pool.
    pub used_bytes: usize,
    /// Number of buffers beyond the limit that are in use.
    pub buffers_beyond_limit: usize,
    /// Number of times that the pool was exhausted so far.
    pub refusals: u64,
}

impl BufferPool {
    /// Creates a pool whose buffers hold at most `max_bytes` together.
    pub fn new(max_bytes: usize) -> BufferPool {
        BufferPool(Rc::new(PoolState {
            free: RefCell::default(),
            free_bytes: Cell::new(0),
            used_bytes: Cell::new(0),
            retained_bytes: Cell::new(0),
            beyond_limit: Cell::new(0),
            refusals: Cell::new(0),
            max_bytes,
        }))
    }

    /// An empty buffer for at least `bytes` bytes; `None` if the pool is exhausted, or no buffer is that
    /// large.
    pub fn get(&self, bytes: usize) -> Option<Buffer> {
        let size = fitting_size(bytes)?;
        let charge = self.charge(size)?;
        Some(Buffer { bytes: self.0.take(size), size, charge: Some(charge), pool: Rc::clone(&self.0) })
    }

    /// An empty buffer of [`SMALL_BUFFER_BYTES`], even if the pool is exhausted: for data that cannot be
    /// rejected, such as a cancellation, an error to a client or received bytes. Each connection has at most
    /// two of these buffers, so the limits on connections also bound their number.
    pub fn get_beyond_limit(&self) -> Buffer {
        self.0.get_beyond_limit(SMALL_BUFFER_BYTES)
    }

    /// Charges `bytes` to the pool; `None` if it is exhausted.
    pub fn charge(&self, bytes: usize) -> Option<MemoryCharge> {
        let state = &self.0;
        let reserved = if bytes > MAX_SHORT_BYTES { state.max_bytes / SHORT_FRACTION } else { 0 };
        let used = state.used_bytes.get() + bytes;
        if used > state.max_bytes - reserved {
            state.refusals.set(state.refusals.get() + 1);
            return None;
        }
        state.used_bytes.set(used);
        Some(MemoryCharge { bytes, is_retained: false, pool: Rc::clone(state) })
    }

    /// As [`BufferPool::charge`], for memory that a session holds between requests. All sessions together may
    /// hold a fraction of the pool, so that requests always find some.
    pub fn charge_retained(&self, bytes: usize) -> Option<MemoryCharge> {
        let retained = self.0.retained_bytes.get() + bytes;
        if retained > self.0.max_bytes / RETAINED_FRACTION {
            self.0.refusals.set(self.0.refusals.get() + 1);
            return None;
        }
        let mut charge = self.charge(bytes)?;
        charge.is_retained = true;
        self.0.retained_bytes.set(retained);
        Some(charge)
    }

    /// Limit on the bytes that are charged to the pool.
    pub fn max_bytes(&self) -> usize {
        self.0.max_bytes
    }

    /// How the pool is used now.
    pub fn usage(&self) -> PoolUsage {
        PoolUsage {
            used_bytes: self.0.used_bytes.get(),
            buffers_beyond_limit: self.0.beyond_limit.get(),
            refusals: self.0.refusals.get(),
        }
    }
}

impl PoolState {
    fn get_beyond_limit(self: &Rc<Self>, size: usize) -> Buffer {
        self.beyond_limit.set(self.beyond_limit.get() + 1);
        Buffer { bytes: self.take(size), size, charge: None, pool: Rc::clone(self) }
    }

    /// Takes a free buffer of a size, or allocates one.
    fn take(&self, size: usize) -> Vec<u8> {
        let free = self.free.borrow_mut()[position_of(size)].pop();
        match free {
            Some(bytes) => {
                self.free_bytes.set(self.free_bytes.get() - size);
                bytes
            }
            None => Vec::with_capacity(size),
        }
    }

    /// Keeps a buffer for reuse, or frees it if enough buffers are free.
    fn put_back(&self, mut bytes: Vec<u8>, size: usize) {
        if bytes.capacity() == size && self.free_bytes.get() + size <= MAX_FREE_BYTES {
            bytes.clear();
            self.free_bytes.set(self.free_bytes.get() + size);
            self.free.borrow_mut()[position_of(size)].push(bytes);
        }
    }
}

/// The smallest size that holds `bytes` bytes; `None` if there is none.
fn fitting_size(bytes: usize) -> Option<usize> {
    SIZES.into_iter().find(|size| *size >= bytes)
}

fn position_of(size: usize) -> usize {
    SIZES.iter().position(|other| *other == size).unwrap_or(SIZES.len() - 1)
}

impl Buffer {
    /// Number of bytes that still fit the buffer.
    pub fn free_bytes(&self) -> usize {
        self.size.saturating_sub(self.bytes.len())
    }

    /// Whether `bytes` more bytes fit the buffer as it is.
    pub fn has_capacity(&self, bytes: usize) -> bool {
        bytes <= self.free_bytes()
    }

    /// Enlarges the buffer so that `bytes` more bytes fit; returns false if they don't, because the pool is
    /// exhausted or no buffer is that large.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        if self.has_capacity(bytes) {
            return true;
        }
        let pool = BufferPool(Rc::clone(&self.pool));
        let Some(larger) = pool.get(self.bytes.len() + bytes) else { return false };
        self.move_to(larger);
        true
    }

    /// As [`Buffer::reserve`], and if the pool is exhausted, the buffer is enlarged beyond its limit to
    /// `max_bytes` at most. To be used only where the number of these buffers is bounded.
    pub fn reserve_beyond_limit(&mut self, bytes: usize, max_bytes: usize) -> bool {
        if self.reserve(bytes) {
            return true;
        }
        let Some(size) = fitting_size(self.bytes.len() + bytes).filter(|size| *size <= max_bytes) else {
            return false;
        };
        let larger = self.pool.get_beyond_limit(size);
        self.move_to(larger);
        true
    }

    /// Moves the content to a larger buffer, and returns this one to the pool.
    fn move_to(&mut self, mut larger: Buffer) {
        larger.extend_from_slice(&self.bytes);
        *self = larger;
    }

    /// Appends the bytes that fit, enlarging the buffer if possible, and returns the remaining bytes.
    pub fn append<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let wanted = bytes.len().min(BUFFER_BYTES.saturating_sub(self.bytes.len()));
        self.reserve(wanted);
        let (fitting, rest) = bytes.split_at(wanted.min(self.free_bytes()));
        self.bytes.extend_from_slice(fitting);
        rest
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        if self.charge.is_none() {
            self.pool.beyond_limit.set(self.pool.beyond_limit.get() - 1);
        }
        self.pool.put_back(std::mem::take(&mut self.bytes), self.size);
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.pool.used_bytes.set(self.pool.used_bytes.get() - self.bytes);
        if self.is_retained {
            self.pool.retained_bytes.set(self.pool.retained_bytes.get() - self.bytes);
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

#[cfg(test)]
mod tests;
