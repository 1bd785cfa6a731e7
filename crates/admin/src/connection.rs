//! Serves one connection, from its admission to its close.

use crate::admission::{ConnectionId, Stage};
use crate::limits::{MAX_DISCARDED_BYTES, MAX_HEAD_BYTES};
use crate::observed_stream::{ObservedStream, RequestProgress};
use crate::operations::{LimitReached, Operations};
use crate::response::AdminResponse;
use crate::shared_state::SharedState;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout};
use tracing::debug;

/// Size in bytes of the buffer for input that is discarded after a response.
const DISCARD_BUFFER_BYTES: usize = 2 * 1024;

/// Signals between the accept loop and the task of a connection: `requested` asks the task to end the
/// connection because of an eviction, and `completed` reports that the connection has ended.
#[derive(Debug, Default)]
pub(crate) struct EvictionSignals {
    pub(crate) requested: Notify,
    pub(crate) completed: Notify,
}

/// A connection with a slot; dropping it releases the slot.
pub(crate) struct Connection<O> {
    pub(crate) shared: Rc<SharedState<O>>,
    pub(crate) id: ConnectionId,
    pub(crate) eviction_signals: Rc<EvictionSignals>,
}

impl<O> Drop for Connection<O> {
    fn drop(&mut self) {
        self.shared.admission.borrow_mut().remove(self.id);
        self.eviction_signals.completed.notify_one();
    }
}

/// How the HTTP library's part of a connection ended.
enum HttpEnd {
    /// The library has finished serving the connection.
    Finished(hyper::Result<()>),
    /// The connection timed out in this stage.
    TimedOut(Stage),
    /// Another connection needed the slot.
    Evicted,
}

/// How to close a connection after the HTTP library's part.
enum CloseAction {
    /// Send this response, then close the connection.
    Respond(AdminResponse),
    /// The response is sent: close the connection once the client has closed its side.
    Close,
    /// Close the connection at once.
    Drop,
    /// Reset the connection: otherwise the kernel would keep unsent bytes long after the close.
    Reset,
    /// Write the response of an eviction without waiting, then close: another connection needs the slot.
    Evict,
}

impl HttpEnd {
    fn close_action(self, progress: &RequestProgress) -> CloseAction {
        match self {
            HttpEnd::Finished(Ok(())) if progress.is_parsed() => CloseAction::Close,
            // Port checks connect and send nothing.
            HttpEnd::Finished(Ok(())) => CloseAction::Drop,
            HttpEnd::Finished(Err(error)) => close_action_after_error(&error, progress),
            HttpEnd::TimedOut(Stage::ReadingRequest) => {
                CloseAction::Respond(AdminResponse::request_timeout())
            }
            HttpEnd::TimedOut(_) => CloseAction::Reset,
            HttpEnd::Evicted => CloseAction::Evict,
        }
    }
}

fn close_action_after_error(error: &hyper::Error, progress: &RequestProgress) -> CloseAction {
    if progress.is_parsed() {
        debug!(%error, "admin response not written");
        return CloseAction::Drop;
    }
    if error.is_parse_too_large() {
        return CloseAction::Respond(AdminResponse::head_too_long());
    }
    if error.is_parse() {
        return CloseAction::Respond(AdminResponse::not_http());
    }
    if error.is_incomplete_message() && progress.has_bytes() {
        return CloseAction::Respond(AdminResponse::incomplete_request());
    }
    CloseAction::Drop
}

impl<O: Operations> Connection<O> {
    /// Serves the client's one request, and closes the connection.
    pub(crate) async fn serve(&self, stream: TcpStream) {
        let progress = Rc::new(RequestProgress::default());
        let (stream, end) = self.serve_http(stream, &progress).await;
        match end.close_action(&progress) {
            CloseAction::Respond(response) => self.send(stream, &response).await,
            CloseAction::Close => self.linger(stream).await,
            CloseAction::Drop => {}
            CloseAction::Reset => {
                self.shared.count_limit(Some(LimitReached::ResponseTimeout));
                let _ = stream.set_zero_linger();
            }
            CloseAction::Evict => self.evict(&stream, &progress),
        }
    }

    /// Lets the HTTP library serve until it has finished, the current stage times out, or the connection is
    /// evicted.
    async fn serve_http(&self, stream: TcpStream, progress: &Rc<RequestProgress>) -> (TcpStream, HttpEnd) {
        let handle = |request: Request<Incoming>| self.handle(request, progress);
        let on_bytes = || self.shared.admission.borrow_mut().on_request_bytes(self.shared.now(), self.id);
        let observed = TokioIo::new(ObservedStream::new(stream, Rc::clone(progress), on_bytes));
        let mut http = http1::Builder::new();
        // One request per connection. A client that closes its side after its request still gets the
        // response.
        http.keep_alive(false).half_close(true).header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
        let mut connection = http.serve_connection(observed, service_fn(handle));
        let end = loop {
            select! {
                // Bytes that have arrived are read before the clock is checked: a request must not time out
                // because the event loop was late.
                biased;
                result = &mut connection => break HttpEnd::Finished(result),
                _ = self.eviction_signals.requested.notified() => break HttpEnd::Evicted,
                _ = self.stage_timeout() => {
                    // A stage that began meanwhile has its own deadline.
                    if let Some(stage) = self.timed_out() {
                        break HttpEnd::TimedOut(stage);
                    }
                }
            }
        };
        (connection.into_parts().io.into_inner().into_stream(), end)
    }

    /// Handles a request; the HTTP library calls this once the head is parsed.
    async fn handle(
        &self,
        request: Request<Incoming>,
        progress: &RequestProgress,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        progress.set_parsed();
        let response = self.shared.respond(request).await;
        self.shared.count_limit(response.limit);
        self.shared.admission.borrow_mut().on_response_begin(self.shared.now(), self.id);
        Ok(response.into_http())
    }

    /// Waits until the current stage times out.
    async fn stage_timeout(&self) {
        let deadline = self.shared.admission.borrow().deadline(self.id);
        match deadline {
            Some(deadline) => sleep_until(self.shared.started + deadline).await,
            // The connection was evicted, which `EvictionSignals::requested` reports.
            None => pending().await,
        }
    }

    fn timed_out(&self) -> Option<Stage> {
        self.shared.admission.borrow().timed_out(self.shared.now(), self.id)
    }

    /// Time left until the current stage times out.
    fn remaining(&self) -> Duration {
        let deadline = self.shared.admission.borrow().deadline(self.id);
        deadline.unwrap_or(Duration::ZERO).saturating_sub(self.shared.now())
    }

    /// Sends a response without the HTTP library, then closes the connection.
    async fn send(&self, mut stream: TcpStream, response: &AdminResponse) {
        self.shared.count_limit(response.limit);
        debug!(status = response.status.as_u16(), text = response.text, "admin response sent");
        self.shared.admission.borrow_mut().on_response_begin(self.shared.now(), self.id);
        let bytes = response.to_bytes();
        select! {
            biased;
            written = timeout(self.remaining(), stream.write_all(&bytes)) => match written {
                Ok(Ok(())) => {}
                _ => return,
            },
            _ = self.eviction_signals.requested.notified() => return,
        }
        self.linger(stream).await;
    }

    /// Writes the response of an eviction without waiting. A client that sent nothing gets no response.
    fn evict(&self, stream: &TcpStream, progress: &RequestProgress) {
        let response = AdminResponse::evicted();
        self.shared.count_limit(response.limit);
        if progress.has_bytes() && !progress.is_parsed() {
            let _ = stream.try_write(&response.to_bytes());
        }
    }

    /// Closes this side, and waits up to [`crate::Limits::linger`] for the client to close its side. The
    /// kernel resets a connection that is closed with unread bytes, and the client could lose the response.
    async fn linger(&self, mut stream: TcpStream) {
        self.shared.admission.borrow_mut().on_response_sent(self.shared.now(), self.id);
        if stream.shutdown().await.is_err() {
            return;
        }
        select! {
            _ = timeout(self.remaining(), discard(&mut stream)) => {}
            _ = self.eviction_signals.requested.notified() => {}
        }
    }
}

/// Reads and discards bytes until the client closes its side, up to [`MAX_DISCARDED_BYTES`].
async fn discard(stream: &mut TcpStream) {
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => discarded += count,
            _ => return,
        }
    }
}
