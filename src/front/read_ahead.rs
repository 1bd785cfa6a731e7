//! Buffers for the bytes that clients send while their request is open, with a limit per session and one for
//! all sessions.

use crate::core::buffer_pool::{Buffer, BufferPool, BUFFER_BYTES};
use std::cell::Cell;
use std::rc::Rc;

/// Limit on the bytes that the sessions of a front may read ahead, beyond one buffer each.
#[derive(Debug)]
pub struct ReadAheadBudget {
    /// Maximum number of buffers of one session, in addition to its input buffer.
    max_buffers: usize,
    /// Number of buffers that the sessions of the front may still allocate.
    free_buffers: Cell<usize>,
}

/// Limit on read-ahead buffers that a session has exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAheadOverrun {
    /// The limit of a single session.
    Session,
    /// The limit of all sessions, or of the buffer pool.
    Shared,
}

/// A buffer of bytes that were read ahead; it is returned to the budget on drop.
pub(super) struct ReadAheadBuffer {
    pub(super) buffer: Buffer,
    /// Number of bytes at the front of the buffer that were moved to the input.
    pub(super) promoted: usize,
    budget: Rc<ReadAheadBudget>,
}

impl ReadAheadBudget {
    /// Creates a budget of `max_buffers` per session, in addition to its input buffer, and `total_buffers`
    /// for all sessions of the front.
    pub fn new(max_buffers: usize, total_buffers: usize) -> Rc<ReadAheadBudget> {
        Rc::new(ReadAheadBudget { max_buffers, free_buffers: Cell::new(total_buffers) })
    }

    /// Maximum number of bytes that a session buffers, its input buffer included.
    pub fn max_buffered(&self) -> usize {
        BUFFER_BYTES * (1 + self.max_buffers)
    }

    /// Allocates one more buffer for a session that has `session_buffers`.
    ///
    /// # Errors
    /// The limit that the buffer would exceed.
    pub(super) fn allocate(
        self: &Rc<Self>,
        pool: &BufferPool,
        session_buffers: usize,
    ) -> Result<ReadAheadBuffer, ReadAheadOverrun> {
        if session_buffers >= self.max_buffers {
            return Err(ReadAheadOverrun::Session);
        }
        let free_buffers = self.free_buffers.get().checked_sub(1).ok_or(ReadAheadOverrun::Shared)?;
        let buffer = pool.get(BUFFER_BYTES).ok_or(ReadAheadOverrun::Shared)?;
        self.free_buffers.set(free_buffers);
        Ok(ReadAheadBuffer { buffer, promoted: 0, budget: Rc::clone(self) })
    }
}

impl ReadAheadBuffer {
    /// Appends the bytes that fit the buffer, and returns the remaining bytes.
    pub(super) fn append<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        self.buffer.append(bytes)
    }

    /// Whether one more byte fits.
    pub(super) fn has_capacity(&self) -> bool {
        self.buffer.has_capacity(1)
    }

    /// The bytes that were not moved to the input.
    pub(super) fn pending(&self) -> &[u8] {
        &self.buffer[self.promoted..]
    }
}

impl Drop for ReadAheadBuffer {
    fn drop(&mut self) {
        let free_buffers = self.budget.free_buffers.get();
        self.budget.free_buffers.set(free_buffers + 1);
    }
}
