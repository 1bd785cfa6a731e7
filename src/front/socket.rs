//! A client's socket as the fronts read it.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection whose end is seen by reading alone. A plain stream takes a read shorter than asked for as the
/// last there is, and waits for a new word from the system; an end that came together with those bytes is then told
/// by a flag of its own (a hang-up of the peer's writing side), which not every layer under a program passes on. Here
/// only a read that finds nothing counts as that.
#[derive(Debug)]
pub struct Socket(TcpStream);

impl Socket {
    /// A client's connection. Small writes leave at once: what the system held back would go with a reset.
    ///
    /// # Errors
    /// Where the connection has ended already.
    pub fn new(stream: TcpStream) -> io::Result<Socket> {
        stream.set_nodelay(true)?;
        Ok(Socket(stream))
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
