//! Reads input from a client.

use super::{ClientConnection, ClientStream, ReadAheadOverrun};
use crate::core::buffer_pool::BUFFER_BYTES;
use crate::core::now;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::ReadBuf;
use tokio::task::{coop::consume_budget, yield_now};

/// Maximum number of bytes of one read, into a buffer on the stack; most messages are shorter.
pub(super) const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Maximum number of bytes that are read and handled for one client before its task yields, so that a flood
/// does not delay other tasks.
const MAX_BYTES_PER_TURN: usize = 16 * 1024;
/// Maximum number of input bytes that are discarded in one session. Beyond it the session ends together with
/// its open request: otherwise a client that never stops writing would keep the session forever.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

impl<S: ClientStream> ClientConnection<S> {
    /// Whether the client has sent so much that more than [`MAX_DISCARDED_BYTES`] were discarded.
    pub fn is_flooding(&self) -> bool {
        self.discarded_bytes > MAX_DISCARDED_BYTES
    }

    /// Waits for input, reads the available bytes that fit the input buffer, and returns their number; 0 at
    /// the end of the stream.
    ///
    /// # Errors
    /// An error of the stream, which has then ended; or `StorageFull` if no byte fits the input buffer.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.yield_if_due().await;
        poll_fn(|context| match self.free_input_bytes() {
            0 => Poll::Ready(Err(io::Error::new(io::ErrorKind::StorageFull, "the input is full"))),
            free_bytes => self.poll_read(context, free_bytes),
        })
        .await
    }

    /// Waits for input while a request is open, and returns the number of bytes read; 0 at the end of the
    /// stream. Bytes beyond the read-ahead limits are discarded, so that the end of the stream is noticed
    /// whatever precedes it.
    ///
    /// # Errors
    /// An error of the stream, which has then ended.
    pub async fn read_ahead(&mut self) -> io::Result<usize> {
        self.yield_if_due().await;
        poll_fn(|context| self.poll_read(context, READ_CHUNK_BYTES)).await
    }

    /// Reads ahead all bytes that are available, without waiting for more; returns whether the stream has
    /// ended or the client is flooding.
    ///
    /// # Errors
    /// An error of the stream, which has then ended.
    pub async fn read_available(&mut self) -> io::Result<bool> {
        while !self.is_at_end && !self.is_flooding() {
            self.yield_if_due().await;
            // Without cooperative budget the runtime reports that no bytes are available, even if there are
            // some.
            consume_budget().await;
            match poll_fn(|context| Poll::Ready(self.poll_read(context, READ_CHUNK_BYTES))).await {
                Poll::Ready(read) => drop(read?),
                Poll::Pending => return Ok(false),
            }
        }
        Ok(true)
    }

    /// Reads the bytes that have arrived and fit the input buffer, even if the runtime does not know of them, without
    /// waiting; returns whether there were any.
    ///
    /// # Errors
    /// An error of the stream, which has then ended.
    pub async fn fill_arrived(&mut self) -> io::Result<bool> {
        let previous_length = self.input().len();
        self.stream.read_arrived();
        while !self.is_at_end && self.overrun.is_none() && self.free_input_bytes() > 0 {
            match poll_fn(|context| Poll::Ready(self.poll_read(context, self.free_input_bytes()))).await {
                Poll::Ready(read) => drop(read?),
                Poll::Pending => break,
            }
        }
        Ok(self.input().len() > previous_length)
    }

    /// Number of bytes that fit the input buffer; 0 while there are bytes that were read ahead, which precede
    /// further input.
    fn free_input_bytes(&self) -> usize {
        if self.read_ahead.is_empty() {
            BUFFER_BYTES.saturating_sub(self.input().len())
        } else {
            0
        }
    }

    /// Yields to other tasks when this connection has read and handled [`MAX_BYTES_PER_TURN`].
    pub async fn yield_if_due(&mut self) {
        if self.bytes_this_turn >= MAX_BYTES_PER_TURN {
            self.bytes_this_turn = 0;
            yield_now().await;
        }
    }

    pub(super) fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        max_bytes: usize,
    ) -> Poll<io::Result<usize>> {
        if self.is_at_end {
            return Poll::Ready(Ok(0));
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut read = ReadBuf::new(&mut chunk[..max_bytes.min(READ_CHUNK_BYTES)]);
        let result = ready!(Pin::new(&mut self.stream).poll_read(context, &mut read));
        let count = read.filled().len();
        self.is_at_end = result.is_err() || count == 0;
        result?;
        self.bytes_this_turn += count;
        self.store(read.filled());
        Poll::Ready(Ok(count))
    }

    /// Stores bytes that were read, within the limits. After a discarded byte all later ones are discarded: a
    /// message must not be assembled from parts that were not adjacent.
    fn store(&mut self, mut bytes: &[u8]) {
        if bytes.is_empty() || self.overrun.is_some() {
            self.discarded_bytes += bytes.len();
            return;
        }
        let received = bytes.len();
        if self.read_ahead.is_empty() {
            bytes = self.extend_input(bytes);
        }
        if bytes.is_empty() || !self.read_ahead.is_empty() || self.input().len() >= BUFFER_BYTES {
            bytes = self.store_ahead(bytes);
        } else {
            // The input buffer could not be enlarged.
            self.discard(bytes, ReadAheadOverrun::Shared);
        }
        self.arrivals.record_received(received - bytes.len(), now());
    }

    /// Stores the bytes that do not fit the input buffer as read ahead; returns the bytes that were discarded.
    fn store_ahead<'a>(&mut self, mut bytes: &'a [u8]) -> &'a [u8] {
        while !bytes.is_empty() {
            if let Some(last) = self.read_ahead.back_mut().filter(|buffer| buffer.has_capacity()) {
                bytes = last.append(bytes);
                continue;
            }
            match self.budget.allocate(&self.pool, self.read_ahead.len()) {
                Ok(buffer) => self.read_ahead.push_back(buffer),
                Err(overrun) => {
                    self.discard(bytes, overrun);
                    break;
                }
            }
        }
        bytes
    }

    fn discard(&mut self, bytes: &[u8], overrun: ReadAheadOverrun) {
        self.overrun = Some(overrun);
        self.discarded_bytes += bytes.len();
    }
}
