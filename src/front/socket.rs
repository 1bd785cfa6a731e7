//! A client's TCP socket, read so that the end of the stream is always seen.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection that sees the end of the stream by reading alone. tokio's own stream takes a read that is shorter
/// than asked for as a sign that no more is available, and waits for the next readiness event. An end that came with
/// those bytes is then reported by a flag of its own (a hang-up of the peer's writing side), which not every layer
/// below a program passes on. Here only a read that would block counts as "no more available".
#[derive(Debug)]
pub struct Socket(TcpStream);

impl Socket {
    /// Wraps a client's connection and turns Nagle's algorithm off: what it held back would be lost with a reset.
    ///
    /// # Errors
    /// If the connection has ended already.
    pub fn new(stream: TcpStream) -> io::Result<Socket> {
        stream.set_nodelay(true)?;
        Ok(Socket(stream))
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
