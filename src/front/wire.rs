//! A client's connection with its two buffers, which it holds only while there are bytes in them.

use crate::core::now;
use crate::core::pool::{read_into, Buf, Pool};
use sprucelink_policy::interface::Micros;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// A client that takes none of what it is sent for so long is let go: its answer holds memory.
const STUCK: Duration = Duration::from_secs(10);
/// Read and thrown away behind a last word, at most, in pieces of so much; for how long in all, and for
/// how long with nothing coming. Closing on unread input would send a reset, which may overtake the last
/// word where a client writes before it reads; but no client is read for ever.
const DRAIN_MOST: usize = 64 << 20;
const DRAIN_PIECE: usize = 32 * 1024;
const DRAIN_FOR: Duration = Duration::from_secs(4);
const DRAIN_QUIET: Duration = Duration::from_millis(500);

/// A stream and what was read from it, and is to be written to it.
pub struct Wire<S> {
    /// The connection.
    pub stream: S,
    pool: Pool,
    input: Option<Buf>,
    output: Option<Buf>,
    arrived: Micros,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Wire<S> {
    /// A connection from which nothing was read.
    pub fn new(stream: S, pool: Pool) -> Wire<S> {
        Wire { stream, pool, input: None, output: None, arrived: now() }
    }
    /// What was read and not consumed.
    pub fn input(&self) -> &[u8] {
        self.input.as_ref().map_or(&[], |buf| buf.as_slice())
    }
    /// When the last of it came.
    pub fn arrived(&self) -> Micros {
        self.arrived
    }
    /// Consumes so many bytes of the input.
    pub fn consume(&mut self, n: usize) {
        if let Some(buf) = &mut self.input {
            buf.drain(..n);
            self.input.take_if(|buf| buf.is_empty());
        }
    }
    /// What is to be written.
    pub fn output(&mut self) -> &mut Vec<u8> {
        self.output.get_or_insert_with(|| self.pool.must())
    }
    /// Reads what there is; 0 at the end of the stream. Never returns while the input is full.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let n = read_into(&self.pool, &mut self.stream, &mut self.input).await?;
        self.arrived = now();
        Ok(n)
    }
    /// Writes all that is to be written.
    pub async fn flush(&mut self) -> io::Result<()> {
        let Some(output) = self.output.take() else { return Ok(()) };
        let mut rest = &output[..];
        while !rest.is_empty() {
            match timeout(STUCK, self.stream.write(rest)).await?? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                n => rest = &rest[n..],
            }
        }
        timeout(STUCK, self.stream.flush()).await?
    }
    /// Makes room for so many bytes more, by writing if need be.
    pub async fn room(&mut self, n: usize) -> io::Result<()> {
        if self.output.as_ref().is_none_or(|buf| buf.has_room(n)) {
            return Ok(());
        }
        self.flush().await
    }
    /// Ends the connection so that its last word arrives: half-closes it and throws away what the
    /// client still sends, within bounds.
    pub async fn part(mut self) {
        self.input = None;
        drop(
            timeout(DRAIN_FOR, async {
                // An error here is the end of the connection: nobody is left to tell.
                self.stream.shutdown().await?;
                let (mut bytes, mut left) = (vec![0; DRAIN_PIECE], DRAIN_MOST);
                while left > 0 {
                    match timeout(DRAIN_QUIET, self.stream.read(&mut bytes)).await?? {
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
