//! One client's connection from accept to close: start-up, TLS, the slot for its session, and the final
//! error.

use super::accept::OpenConnection;
use super::client_connection::{ClientConnection, ClientStream, LingerTimeouts};
use super::client_error::too_many_sessions;
use super::connection_slots::{ConnectionSlot, EvictionScope};
use super::count_guard::CountGuard;
use super::session;
use super::sessionless::{ConnectionGuard, SessionlessConnection, SessionlessPhase};
use super::startup::{SessionStart, StartupOutcome, Transport};
use super::Front;
use crate::core::socket::Socket;
use crate::core::{now, to_duration};
use crate::proto::pg::{self, ErrorResponse};
use sprucelink_time::TimeDelta;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::server::TlsStream;
use tokio_rustls::TlsAcceptor;

/// Maximum duration of the TLS handshake, which takes some round trips and a signature.
const TLS_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a new connection waits for the slot of a connection that has sent no request. After that, a
/// session that has sent requests is evicted.
const SLOT_WAIT: TimeDelta = TimeDelta::from_millis(500);
/// How long a connection lingers after its final message.
const LINGER: LingerTimeouts =
    LingerTimeouts { total: Duration::from_secs(4), idle: Duration::from_millis(500) };
/// How long a connection lingers after its final message if it keeps its slot meanwhile, since too many
/// connections are being closed. Input that the client sent before it received the message arrives within
/// 50 ms.
const SHORT_LINGER: LingerTimeouts =
    LingerTimeouts { total: Duration::from_millis(200), idle: Duration::from_millis(50) };
/// Time after which a written answer counts as delivered: a later reset of its connection loses nothing.
const ANSWER_DELIVERY_TIME: TimeDelta = TimeDelta::from_millis(200);
/// Maximum time for writing a final message; after it the message is dropped.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

impl Front {
    /// Serves a connection to its end.
    pub(super) async fn handle_connection(
        self: Rc<Self>,
        stream: TcpStream,
        _open_connection: OpenConnection,
    ) {
        let mut connection = self.buffered(Socket::new(stream));
        // A CancelRequest needs no slot, and must be handled even when all slots are in use. So the first
        // packet of a connection is read even if there is no slot for the connection.
        let slot = self.slots.acquire(EvictionScope::WithoutRequest);
        let guard =
            slot.map_or_else(|| self.enter_sessionless(SessionlessPhase::Handshaking), ConnectionGuard::Slot);
        match self.start(&mut connection, &guard, Transport::Plain).await {
            StartupOutcome::StartTls(acceptor) => {
                // In an allocation of its own, since it is several times larger than a session without TLS.
                Box::pin(self.handle_tls(acceptor, connection.into_stream(), guard)).await;
            }
            outcome => self.finish_startup(connection, outcome, guard).await,
        }
    }

    /// Serves a connection from its TLS handshake on.
    async fn handle_tls(self: &Rc<Self>, acceptor: TlsAcceptor, stream: Socket, guard: ConnectionGuard) {
        let Some(stream) = accept_tls(&acceptor, stream, &guard).await else { return };
        let mut connection = self.buffered(stream);
        let outcome = self.start(&mut connection, &guard, Transport::Tls).await;
        self.finish_startup(connection, outcome, guard).await;
    }

    /// Runs the session that was started, or closes the connection.
    async fn finish_startup<S: ClientStream>(
        self: &Rc<Self>,
        connection: ClientConnection<S>,
        outcome: StartupOutcome,
        guard: ConnectionGuard,
    ) {
        match outcome {
            StartupOutcome::Session(start) => self.run_session(connection, start, guard).await,
            StartupOutcome::Cancel(key) => {
                tokio::select! {
                    biased;
                    () = self.request_cancel(key) => {}
                    () = guard.evicted() => {}
                }
                self.close_connection(connection, None, guard).await;
            }
            StartupOutcome::Close(error) => self.close_connection(connection, error, guard).await,
            // A TLS handshake within TLS is never accepted.
            StartupOutcome::StartTls(_) => {}
        }
    }

    fn buffered<S: ClientStream>(&self, stream: S) -> ClientConnection<S> {
        ClientConnection::new(stream, self.core.pool().clone(), Rc::clone(&self.read_ahead))
    }

    /// Counts a connection among those without a slot.
    fn enter_sessionless(&self, phase: SessionlessPhase) -> ConnectionGuard {
        self.descriptor_released.notify_one();
        ConnectionGuard::Sessionless(self.sessionless.add(phase))
    }

    async fn run_session<S: ClientStream>(
        self: &Rc<Self>,
        mut connection: ClientConnection<S>,
        start: SessionStart,
        guard: ConnectionGuard,
    ) {
        let slot = match guard {
            ConnectionGuard::Slot(slot) => slot,
            ConnectionGuard::Sessionless(sessionless) => match self.acquire_slot(&sessionless).await {
                Some(slot) => slot,
                None => {
                    let guard = ConnectionGuard::Sessionless(sessionless);
                    return self.close_connection(connection, Some(too_many_sessions()), guard).await;
                }
            },
        };
        // An error means that the connection has ended.
        if let Ok(error) = session::serve(Rc::clone(self), &mut connection, start, &slot).await {
            self.close_connection(connection, error, ConnectionGuard::Slot(slot)).await;
        }
    }

    /// Acquires a slot for a connection that asked for a session; `None` if no slot becomes free and no
    /// connection can be evicted. Waits up to [`SLOT_WAIT`] for a free slot, or for an evictable connection
    /// of which no request has been admitted (a new connection is protected for a short time). After that, or
    /// at once if there is no such connection and the hard limit allows an eviction, a session without an
    /// open request is evicted.
    async fn acquire_slot(&self, sessionless: &SessionlessConnection) -> Option<ConnectionSlot> {
        let deadline = now() + SLOT_WAIT;
        loop {
            let released = self.slots.released();
            if let Some(slot) = self.slots.acquire(EvictionScope::WithoutRequest) {
                return Some(slot);
            }
            if sessionless.is_evicted() {
                return None;
            }
            let evictable_in = self.slots.time_until_evictable();
            let remaining = deadline - now();
            // Waiting is useless if no connection without a request will become evictable and the hard limit
            // allows an eviction now.
            let is_wait_useless = evictable_in.is_none() && !self.slots.is_at_hard_limit();
            if remaining <= TimeDelta::ZERO || is_wait_useless {
                return self.slots.acquire(EvictionScope::WithoutOpenRequest);
            }
            let wait = evictable_in.map_or(remaining, |evictable_in| evictable_in.min(remaining));
            tokio::select! {
                () = tokio::time::sleep(to_duration(wait)) => {}
                () = released => {}
                () = sessionless.evicted() => {}
            }
        }
    }

    /// Closes a connection, after a final error if there is one.
    async fn close_connection<S: ClientStream>(
        &self,
        mut connection: ClientConnection<S>,
        error: Option<ErrorResponse>,
        guard: ConnectionGuard,
    ) {
        if error.is_none() && guard.idle_time().is_some_and(|idle| idle >= ANSWER_DELIVERY_TIME) {
            // A request that arrives now must stay unread: closing a socket with unread input resets the
            // connection, and the client sends the request again on another connection.
            drop(timeout(FINAL_WRITE_TIMEOUT, connection.close_unread()).await);
            return;
        }
        let _closing = CountGuard::new(&self.closing_connections);
        let (guard, linger) = self.guard_for_closing(guard);
        let close = async {
            let message = error.map(final_message).unwrap_or_default();
            let write = async {
                connection.write_output(&message).await?;
                connection.flush().await
            };
            if matches!(timeout(FINAL_WRITE_TIMEOUT, write).await, Ok(Ok(()))) {
                connection.close(linger).await;
            }
        };
        match guard {
            ConnectionGuard::Sessionless(sessionless) => tokio::select! {
                // The write is attempted once in any case: most final messages fit the socket's buffer.
                biased;
                () = close => {}
                () = sessionless.evicted() => {}
            },
            ConnectionGuard::Slot(_slot) => close.await,
        }
    }

    /// Returns the guard that a connection holds while it is being closed, and how long it may linger. If the
    /// number of connections without a slot is below its maximum, the connection becomes one of them, which
    /// can be evicted, and its slot is released at once. Otherwise it keeps the slot and lingers for a
    /// shorter time.
    fn guard_for_closing(&self, guard: ConnectionGuard) -> (ConnectionGuard, LingerTimeouts) {
        match guard {
            // The front is closing, so no new connection needs the descriptor.
            guard if self.is_closing.get() => (guard, LINGER),
            ConnectionGuard::Sessionless(sessionless) => {
                sessionless.set_closing();
                (ConnectionGuard::Sessionless(sessionless), LINGER)
            }
            ConnectionGuard::Slot(slot) if self.sessionless.has_capacity() => {
                drop(slot);
                (self.enter_sessionless(SessionlessPhase::Closing), LINGER)
            }
            slot => (slot, SHORT_LINGER),
        }
    }
}

/// The ErrorResponse that ends a session.
fn final_message(error: ErrorResponse) -> Vec<u8> {
    let mut message = Vec::new();
    pg::write_error_response(&mut message, &error.fatal());
    message
}

/// Runs the server's side of a TLS handshake; `None` if it fails, takes too long, or the connection is
/// evicted.
async fn accept_tls<S: ClientStream>(
    acceptor: &TlsAcceptor,
    stream: S,
    guard: &ConnectionGuard,
) -> Option<TlsStream<S>> {
    tokio::select! {
        biased;
        accepted = timeout(TLS_HANDSHAKE_TIMEOUT, acceptor.accept(stream)) => accepted.ok()?.ok(),
        () = guard.evicted() => None,
    }
}
