//! TCP connections that wait for readiness only after a call that would block.
//!
//! tokio's own streams treat a read or write of fewer bytes than requested as evidence that the socket is
//! empty or full, and wait for the next readiness event. If the socket is neither, that event never arrives,
//! and the reader or writer waits until its timeout. A call may transfer fewer bytes for two other reasons: a
//! signal may shorten it, and the end of a stream that arrives with the last bytes may be reported by a
//! separate flag, which not every layer below a program passes on. A call that a signal interrupts before it
//! has transferred a byte is repeated. State: only the socket.

use socket2::SockRef;
use std::io::{self, Read};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::server::TlsStream;

/// A stream whose reads can be made independent of the runtime's readiness.
pub trait ReadArrived {
    /// Lets the following reads return all bytes that have arrived, whether the runtime knows of them or not, up to
    /// the first read that finds none.
    fn read_arrived(&mut self);
}

/// A TCP connection that waits for readiness only after a read or write that would block.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Whether reads ask the system without regard to the runtime's readiness.
    reads_arrived: bool,
}

/// The reading half of a TCP connection, with the same behaviour as [`Socket`].
#[derive(Debug)]
pub struct SocketReader(OwnedReadHalf);

impl Socket {
    /// Wraps a connection and disables Nagle's algorithm, which delays bytes that a reset would then discard.
    pub fn new(stream: TcpStream) -> Socket {
        // The call fails only if the connection has ended, which the next read reports.
        let _ = stream.set_nodelay(true);
        Socket { stream, reads_arrived: false }
    }
}

impl ReadArrived for Socket {
    fn read_arrived(&mut self) {
        self.reads_arrived = true;
    }
}

impl<S: ReadArrived> ReadArrived for TlsStream<S> {
    fn read_arrived(&mut self) {
        self.get_mut().0.read_arrived();
    }
}

impl SocketReader {
    /// Wraps the reading half of a connection, on which Nagle's algorithm is left unchanged.
    pub fn new(reader: OwnedReadHalf) -> SocketReader {
        SocketReader(reader)
    }
}

/// Repeats a system call until it ends without being interrupted by a signal.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Accepts a connection from the listener's queue, whether the runtime knows of it or not; `None` if there is none.
///
/// # Errors
/// The system's error for the accept.
pub fn accept_queued(listener: &TcpListener) -> io::Result<Option<TcpStream>> {
    match retry_interrupted(|| SockRef::from(listener).accept()) {
        Ok((socket, _)) => {
            socket.set_nonblocking(true)?;
            TcpStream::from_std(socket.into()).map(Some)
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}

/// Reads the available bytes into `buffer`; reads none at the end of the stream.
fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match retry_interrupted(|| stream.try_read(buffer.initialize_unfilled())) {
            Ok(count) => {
                buffer.advance(count);
                return Poll::Ready(Ok(()));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Writes as many bytes as the socket accepts; returns their number.
fn poll_write(stream: &TcpStream, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match retry_interrupted(|| stream.try_write(bytes)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Reads the bytes that have arrived into `buffer`; returns false if there are none.
fn read_now(stream: &TcpStream, buffer: &mut ReadBuf<'_>) -> io::Result<bool> {
    let socket = SockRef::from(stream);
    match retry_interrupted(|| (&*socket).read(buffer.initialize_unfilled())) {
        Ok(count) => {
            buffer.advance(count);
            Ok(true)
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(error) => Err(error),
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads_arrived {
            self.reads_arrived = read_now(&self.stream, buffer)?;
            if self.reads_arrived {
                return Poll::Ready(Ok(()));
            }
        }
        poll_read(&self.stream, context, buffer)
    }
}

impl AsyncRead for SocketReader {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(self.0.as_ref(), context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        poll_write(&self.stream, context, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
