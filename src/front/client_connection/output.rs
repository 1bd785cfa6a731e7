//! Writes output to a client, and closes its connection.

use super::input::READ_CHUNK_BYTES;
use super::{ClientConnection, ClientStream};
use crate::core::buffer_pool::{Buffer, SMALL_BUFFER_BYTES};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, ReadBuf};
use tokio::time::{timeout, timeout_at, Instant};

/// Maximum time in which a client accepts no bytes; after it the client is disconnected, since its answer
/// occupies memory.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of bytes that are read and discarded after the final message, so that no client is read
/// forever.
const MAX_LINGER_BYTES: usize = 64 << 20;

/// How long a connection lingers after its final message: its input is read and discarded until the client
/// closes its side. A socket that is closed with unread input sends a reset, and the client may lose a
/// message that it has not read yet.
#[derive(Clone, Copy, Debug)]
pub struct LingerTimeouts {
    /// Maximum time from the end of the output to the close.
    pub total: Duration,
    /// Maximum time without any input.
    pub idle: Duration,
}

impl<S: ClientStream> ClientConnection<S> {
    /// The output buffer; its bytes are sent by [`ClientConnection::flush`]. At most as many bytes may be
    /// appended as were reserved by [`ClientConnection::reserve_output`].
    pub fn output(&mut self) -> &mut Vec<u8> {
        self.output_buffer()
    }

    fn output_buffer(&mut self) -> &mut Buffer {
        self.output.get_or_insert_with(|| self.pool.get_beyond_limit())
    }

    /// Enlarges the output buffer so that `count` more bytes fit; returns whether they do.
    pub fn try_reserve_output(&mut self, count: usize) -> bool {
        self.output_buffer().reserve(count)
    }

    /// Appends bytes of any length to the output. Whenever the buffer is full and cannot be enlarged, it is
    /// flushed.
    ///
    /// # Errors
    /// As [`ClientConnection::flush`].
    pub async fn write_output(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        // An empty output takes no buffer.
        while !bytes.is_empty() {
            bytes = self.output_buffer().append(bytes);
            if !bytes.is_empty() {
                self.flush().await?;
            }
        }
        Ok(())
    }

    /// Writes all output. While the write has to wait, further input is read ahead and CancelRequests are taken, so
    /// that a close or a CancelRequest of the client is noticed before the client's next pipelined request is
    /// admitted.
    ///
    /// # Errors
    /// An error of the stream; or `TimedOut` if the client accepts no bytes for 10 s.
    pub async fn flush(&mut self) -> io::Result<()> {
        let Some(output) = self.output.take() else { return Ok(()) };
        let mut rest = &output[..];
        let mut deadline = Instant::now() + WRITE_TIMEOUT;
        while !rest.is_empty() {
            self.yield_if_due().await;
            let cancel_requested = Self::cancel_requested(self.cancel_signal.clone());
            let written = tokio::select! {
                biased;
                written = timeout_at(deadline, poll_fn(|context| self.poll_write(context, rest))) => written??,
                () = cancel_requested => {
                    self.take_cancel().await?;
                    continue;
                }
            };
            match written {
                Some(0) => return Err(io::ErrorKind::WriteZero.into()),
                Some(written) => {
                    rest = &rest[written..];
                    deadline = Instant::now() + WRITE_TIMEOUT;
                }
                None => {}
            }
        }
        timeout(WRITE_TIMEOUT, self.stream.flush()).await?
    }

    /// Ensures that `count` more bytes, at most [`SMALL_BUFFER_BYTES`], fit the output buffer, by flushing
    /// the buffer if it cannot be enlarged.
    ///
    /// # Errors
    /// As [`ClientConnection::flush`].
    pub async fn reserve_output(&mut self, count: usize) -> io::Result<()> {
        debug_assert!(count <= SMALL_BUFFER_BYTES, "a longer message is written by write_output");
        if self.try_reserve_output(count) {
            return Ok(());
        }
        self.flush().await
    }

    /// Closes the connection without reading further input. To be used only where no final message could be
    /// lost by a reset.
    ///
    /// # Errors
    /// An error of the stream, which has then ended.
    pub async fn close_unread(mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Closes the connection so that its final message arrives: closes the writing half, and discards further
    /// input, within bounds.
    pub async fn close(mut self, linger: LingerTimeouts) {
        self.input = None;
        self.read_ahead.clear();
        // An error means that the connection has ended, and an elapsed timeout that it ends now.
        drop(timeout(linger.total, self.linger(linger.idle)).await);
    }

    async fn linger(&mut self, max_idle: Duration) -> io::Result<()> {
        self.stream.shutdown().await?;
        let mut remaining = MAX_LINGER_BYTES;
        while remaining > 0 && !self.is_at_end {
            match timeout(max_idle, poll_fn(|context| self.poll_discard(context))).await?? {
                0 => break,
                count => remaining = remaining.saturating_sub(count),
            }
        }
        Ok(())
    }

    /// Reads and discards available input; returns the number of bytes, 0 at the end of the stream. The chunk
    /// is on the stack: hundreds of connections may linger at a time.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut read = ReadBuf::new(&mut chunk);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut read))?;
        Poll::Ready(Ok(read.filled().len()))
    }

    /// Writes some bytes (`Some`), or reads available input if none can be written (`None`).
    fn poll_write(&mut self, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<Option<usize>>> {
        if let Poll::Ready(written) = Pin::new(&mut self.stream).poll_write(context, bytes) {
            return Poll::Ready(written.map(Some));
        }
        if self.is_at_end || self.is_flooding() {
            return Poll::Pending;
        }
        ready!(self.poll_read(context, READ_CHUNK_BYTES))?;
        Poll::Ready(Ok(None))
    }
}
