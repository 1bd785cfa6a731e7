//! Wraps a connection for the HTTP library: observes arriving bytes, and writes nothing before the head of a
//! request is parsed.
//!
//! The library itself responds to bytes that are not a request, but gives no reason. This wrapper drops the
//! library's response, and the client gets one from [`crate::response`] instead.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Progress of a request, shared by the stream below the HTTP library and the handler above it.
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    has_bytes: Cell<bool>,
    is_parsed: Cell<bool>,
}

impl RequestProgress {
    /// Whether the client has sent anything.
    pub(crate) fn has_bytes(&self) -> bool {
        self.has_bytes.get()
    }

    /// Whether the head of a request was parsed; bytes written from then on are the response.
    pub(crate) fn is_parsed(&self) -> bool {
        self.is_parsed.get()
    }

    /// Marks the head of the request as parsed.
    pub(crate) fn set_parsed(&self) {
        self.is_parsed.set(true);
    }
}

/// A connection that calls `on_bytes` whenever bytes arrive.
pub(crate) struct ObservedStream<F> {
    stream: TcpStream,
    progress: Rc<RequestProgress>,
    on_bytes: F,
}

impl<F: Fn()> ObservedStream<F> {
    pub(crate) fn new(stream: TcpStream, progress: Rc<RequestProgress>, on_bytes: F) -> ObservedStream<F> {
        ObservedStream { stream, progress, on_bytes }
    }

    pub(crate) fn into_stream(self) -> TcpStream {
        self.stream
    }
}

impl<F: Fn() + Unpin> AsyncRead for ObservedStream<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > filled_before {
            self.progress.has_bytes.set(true);
            (self.on_bytes)();
        }
        result
    }
}

impl<F: Unpin> AsyncWrite for ObservedStream<F> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match self.progress.is_parsed() {
            true => Pin::new(&mut self.stream).poll_write(cx, bytes),
            false => Poll::Ready(Ok(bytes.len())),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.progress.is_parsed() {
            true => Pin::new(&mut self.stream).poll_shutdown(cx),
            false => Poll::Ready(Ok(())),
        }
    }
}
