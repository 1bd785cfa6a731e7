//! A caller's connection as the HTTP library sees it: what is heard is told on, and nothing is written before a call is
//! whole enough to have been understood.
//!
//! The library answers bytes that are no call by itself, without a word of what is wrong. Its bytes are dropped here, and
//! the caller is told by [`crate::answer`] instead.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is known of a connection, on both sides of the HTTP library.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// Something came.
    began: Cell<bool>,
    /// The head of a call was understood: what is written from now on is its answer.
    understood: Cell<bool>,
}

impl Progress {
    /// Whether the caller has said anything.
    pub(crate) fn began(&self) -> bool {
        self.began.get()
    }
    /// Whether a call's head was understood.
    pub(crate) fn is_understood(&self) -> bool {
        self.understood.get()
    }
    /// A call's head was understood.
    pub(crate) fn understand(&self) {
        self.understood.set(true);
    }
}

/// The connection. `heard` is called whenever something comes.
pub(crate) struct Line<F> {
    stream: TcpStream,
    progress: Rc<Progress>,
    heard: F,
}

impl<F: Fn()> Line<F> {
    pub(crate) fn new(stream: TcpStream, progress: Rc<Progress>, heard: F) -> Line<F> {
        Line { stream, progress, heard }
    }

    pub(crate) fn into_stream(self) -> TcpStream {
        self.stream
    }
}

impl<F: Fn() + Unpin> AsyncRead for Line<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.progress.began.set(true);
            (self.heard)();
        }
        read
    }
}

impl<F: Unpin> AsyncWrite for Line<F> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self.progress.is_understood() {
            true => Pin::new(&mut self.stream).poll_write(cx, buf),
            false => Poll::Ready(Ok(buf.len())),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.progress.is_understood() {
            true => Pin::new(&mut self.stream).poll_shutdown(cx),
            false => Poll::Ready(Ok(())),
        }
    }
}
