//! A client's connection with its two buffers.

use crate::core::now;
use crate::core::pool::{Buf, SIZE};
use crate::interface::Micros;
use bytes::BufMut;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// A stream and what was read from it, and is to be written to it.
pub struct Wire<S> {
    /// The connection.
    pub stream: S,
    input: Buf,
    output: Buf,
    arrived: Micros,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Wire<S> {
    /// A connection from which nothing was read.
    pub fn new(stream: S, input: Buf, output: Buf) -> Wire<S> {
        Wire { stream, input, output, arrived: now() }
    }
    /// The connection and its two buffers.
    pub fn into_parts(self) -> (S, Buf, Buf) {
        (self.stream, self.input, self.output)
    }
    /// What was read and not consumed.
    pub fn input(&self) -> &[u8] {
        &self.input
    }
    /// When the last of it came.
    pub fn arrived(&self) -> Micros {
        self.arrived
    }
    /// Consumes so many bytes of the input.
    pub fn consume(&mut self, n: usize) {
        self.input.drain(..n);
    }
    /// What is to be written.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }
    /// Reads what there is; 0 at the end of the stream. Never returns while the input is full.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let room = SIZE.saturating_sub(self.input.len());
        if room == 0 {
            std::future::pending::<()>().await;
        }
        let n = self.stream.read_buf(&mut (&mut *self.input).limit(room)).await?;
        self.arrived = now();
        Ok(n)
    }
    /// Writes all that is to be written.
    pub async fn flush(&mut self) -> io::Result<()> {
        self.stream.write_all(&self.output).await?;
        self.output.clear();
        self.stream.flush().await
    }
    /// Makes room for so many bytes more, by writing if need be.
    pub async fn room(&mut self, n: usize) -> io::Result<()> {
        if self.output.has_room(n) {
            return Ok(());
        }
        self.flush().await
    }
}
