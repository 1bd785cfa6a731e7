//! Handles the packets before a session: SSLRequest, GSSENCRequest, CancelRequest and StartupMessage
//! (PostgreSQL, "Message Flow", "Start-up").

use super::client_connection::{ClientConnection, ClientStream};
use super::client_error::{incomplete_in_time, too_many_sessions};
use super::extended::statement_timeout::timeout_of_startup;
use super::sessionless::ConnectionGuard;
use super::Front;
use crate::proto::pg::{self, ErrorResponse, StartupPacket};
use std::io;
use std::time::Duration;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;

/// Maximum time until a connection starts its session; after it the connection is closed. The platform
/// requires an answer within 3 s.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(2);
/// Answer to an SSLRequest that is accepted.
const ENCRYPTION_ACCEPTED: u8 = b'S';
/// Answer to a request for encryption that is not offered.
const ENCRYPTION_REJECTED: u8 = b'N';

/// Start-up parameters with this prefix are protocol options, none of which is supported.
const PROTOCOL_OPTION_PREFIX: &str = "_pq_.";

/// What a session uses of its StartupMessage.
pub struct SessionStart {
    /// The minor version of the protocol that the client asks for; only 0 is supported.
    pub minor: u16,
    /// Names of the protocol options that the client asks for; none is supported.
    pub unknown_options: Vec<String>,
    /// The session's time-out in milliseconds, if the parameters set one; or the error of its value.
    pub statement_timeout_ms: Result<Option<u64>, ErrorResponse>,
}

impl SessionStart {
    fn new(minor: u16, parameters: &[(String, String)]) -> SessionStart {
        let names = parameters.iter().map(|(name, _)| name);
        let unknown_options =
            names.filter(|name| name.starts_with(PROTOCOL_OPTION_PREFIX)).cloned().collect();
        SessionStart { minor, unknown_options, statement_timeout_ms: timeout_of_startup(parameters) }
    }
}

/// The key that a session's BackendKeyData holds, and a CancelRequest repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SessionKey {
    /// The session's process id.
    pub(super) process_id: u32,
    /// The session's secret key.
    pub(super) secret: u32,
}

/// How the packets of a connection are transported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transport {
    /// Without encryption.
    Plain,
    /// Within TLS.
    Tls,
}

/// Result of handling the packets before a session.
pub(super) enum StartupOutcome {
    /// The client starts a session.
    Session(SessionStart),
    /// A TLS handshake follows.
    StartTls(TlsAcceptor),
    /// The client cancels a request of another session.
    Cancel(SessionKey),
    /// The connection must be closed, after sending the error if there is one.
    Close(Option<ErrorResponse>),
}

impl StartupOutcome {
    fn reject(error: ErrorResponse) -> StartupOutcome {
        StartupOutcome::Close(Some(error))
    }
}

impl Front {
    /// Reads the packets before a session, until the time-out or the connection's eviction.
    pub(super) async fn start<S: ClientStream>(
        &self,
        connection: &mut ClientConnection<S>,
        guard: &ConnectionGuard,
        transport: Transport,
    ) -> StartupOutcome {
        let rejection = || guard.is_sessionless().then(too_many_sessions);
        tokio::select! {
            biased;
            outcome = timeout(STARTUP_TIMEOUT, self.read_startup(connection, transport)) => match outcome {
                Ok(Ok(outcome)) => outcome,
                Ok(Err(_)) => StartupOutcome::Close(None),
                Err(_) => {
                    let timed_out = || incomplete_in_time("start-up packet", STARTUP_TIMEOUT);
                    StartupOutcome::Close(Some(rejection().unwrap_or_else(timed_out)))
                }
            },
            () = guard.evicted() => StartupOutcome::Close(rejection()),
        }
    }

    async fn read_startup<S: ClientStream>(
        &self,
        connection: &mut ClientConnection<S>,
        transport: Transport,
    ) -> io::Result<StartupOutcome> {
        loop {
            let packet = match pg::read_startup_packet(connection.input()) {
                Ok(Some((packet, length))) => {
                    connection.consume(length);
                    packet
                }
                Ok(None) => {
                    if connection.fill().await? == 0 {
                        return Ok(StartupOutcome::Close(None));
                    }
                    continue;
                }
                Err(malformed) => return Ok(StartupOutcome::reject(malformed.into())),
            };
            let acceptor = self.tls.borrow().clone();
            match (packet, acceptor) {
                (StartupPacket::Ssl, Some(acceptor)) if transport == Transport::Plain => {
                    return accept_tls_request(connection, acceptor).await;
                }
                (StartupPacket::Ssl | StartupPacket::Gssenc, _) => {
                    connection.output().push(ENCRYPTION_REJECTED);
                    connection.flush().await?;
                }
                (StartupPacket::Cancel { process_id, secret }, _) => {
                    return Ok(StartupOutcome::Cancel(SessionKey { process_id, secret }));
                }
                (StartupPacket::Startup { .. }, acceptor)
                    if self.config.require_tls && transport == Transport::Plain =>
                {
                    return Ok(StartupOutcome::reject(tls_required(acceptor.is_some())));
                }
                (StartupPacket::Startup { minor, parameters }, _) => {
                    return Ok(StartupOutcome::Session(SessionStart::new(minor, &parameters)));
                }
            }
        }
    }
}

/// Accepts an SSLRequest. Bytes that arrive before the handshake are rejected: an attacker could have
/// injected them, and they would be read as if they had been encrypted.
async fn accept_tls_request<S: ClientStream>(
    connection: &mut ClientConnection<S>,
    acceptor: TlsAcceptor,
) -> io::Result<StartupOutcome> {
    if !connection.input().is_empty() {
        let error = ErrorResponse::new("08P01", "field SSLRequest: data came behind it");
        return Ok(StartupOutcome::reject(error));
    }
    connection.output().push(ENCRYPTION_ACCEPTED);
    connection.flush().await?;
    if !connection.input().is_empty() {
        return Ok(StartupOutcome::Close(None));
    }
    Ok(StartupOutcome::StartTls(acceptor))
}

fn tls_required(has_certificate: bool) -> ErrorResponse {
    if has_certificate {
        ErrorResponse::new("28000", "sessions must use TLS").hint("Set sslmode=require.")
    } else {
        ErrorResponse::new("57P03", "there is no certificate yet").hint("Come back in 5000 ms.")
    }
}
