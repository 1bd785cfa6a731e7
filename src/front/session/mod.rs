//! Runs one client's session: the greeting, the message loop, simple queries, and the execution of portals.

mod error;
mod execute;
mod input;
mod simple_query;
mod state;
mod waiting_ids;

use super::cancel_signal::CancelSignal;
use super::client_connection::{ClientConnection, ClientStream};
use super::connection_slots::ConnectionSlot;
use super::count_guard::CountGuard;
use super::extended::objects::ExtendedAction;
use super::request::PreparedRequest;
use super::session_end::{check_request_end, SessionEnd, SessionEndReason};
use super::startup::SessionStart;
use super::Front;
use crate::core::buffer_pool::BUFFER_BYTES;
use crate::core::now;
use crate::proto::pg::{self, ErrorResponse, MalformedMessage, Message};
use error::MessageError;
use state::{Session, SessionFlow, CONTROL_MESSAGE_BYTES};
use std::io;
use std::rc::Rc;
use tokio::task::coop::consume_budget;

/// Server parameters that a session reports at its start.
const SERVER_PARAMETERS: [(&str, &str); 7] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
    ("integer_datetimes", "on"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
];

/// Remaining work for a message that was parsed.
enum MessageAction {
    /// No further work.
    None,
    /// Submit the request of a simple query, and answer with its result.
    Query(Box<PreparedRequest>),
    /// End a batch.
    Sync,
    /// Write all output now.
    Flush,
    /// Complete the handling of a message of the extended query protocol.
    Extended(ExtendedAction),
}

/// The next message of the input.
enum NextMessage {
    /// A complete message of `length` bytes, and the remaining work for it.
    Complete { action: Result<MessageAction, ErrorResponse>, length: usize },
    /// A part of a message, or no input.
    Incomplete,
    /// No further message: the client sent Terminate, or a malformed message after which the start of the
    /// next message is unknown. The session ends.
    End(SessionEnd),
}

/// Removes a session's cancel signal when the session ends. A CancelRequest that it has not taken concerns nothing
/// any more.
struct SessionRegistration<'a> {
    front: &'a Front,
    process_id: u32,
}

impl Drop for SessionRegistration<'_> {
    fn drop(&mut self) {
        let signal = self.front.sessions.borrow_mut().remove(&self.process_id);
        if let Some(signal) = signal {
            signal.take();
        }
    }
}

/// Serves a session to its end, and returns the final error for the client, if there is one. Once its slot is
/// evicted, the session ends as soon as no request is open.
///
/// # Errors
/// An error of the connection.
pub(super) async fn serve<S: ClientStream>(
    front: Rc<Front>,
    connection: &mut ClientConnection<S>,
    start: SessionStart,
    slot: &ConnectionSlot,
) -> io::Result<Option<ErrorResponse>> {
    let process_id = front.core.generate_id() as u32 >> 1;
    let secret = front.core.generate_id() as u32;
    let cancel = CancelSignal::new(secret);
    front.sessions.borrow_mut().insert(process_id, Rc::clone(&cancel));
    connection.set_cancel_signal(Rc::clone(&cancel));
    let _registration = SessionRegistration { front: &front, process_id };
    let statement_timeout_ms = if front.config.allows_extended_queries {
        match start.statement_timeout_ms {
            Ok(timeout_ms) => timeout_ms,
            Err(error) => return Ok(Some(error)),
        }
    } else {
        None
    };
    slot.set_executing(false);
    connection.write_output(&greeting(start.minor, start.unknown_options, process_id, secret)).await?;
    connection.flush().await?;
    let mut session = Session::new(Rc::clone(&front), process_id, cancel, slot, statement_timeout_ms);
    let end = session.run(connection).await;
    let reason = end.as_ref().map_or(SessionEndReason::ConnectionFailed, |end| end.reason);
    front.session_ends.record(process_id, reason);
    end.map(|end| end.error)
}

/// The messages from the start of a session to its first ReadyForQuery.
fn greeting(minor: u16, unknown_options: Vec<String>, process_id: u32, secret: u32) -> Vec<u8> {
    let mut output = Vec::new();
    if minor > 0 || !unknown_options.is_empty() {
        let names: Vec<&str> = unknown_options.iter().map(String::as_str).collect();
        pg::write_negotiate_protocol_version(&mut output, &names);
    }
    pg::write_authentication_ok(&mut output);
    for (name, value) in SERVER_PARAMETERS {
        pg::write_parameter_status(&mut output, name, value);
    }
    pg::write_backend_key_data(&mut output, process_id, secret);
    pg::write_ready_for_query(&mut output);
    output
}

impl Session<'_> {
    /// Handles messages up to the end of the session.
    async fn run<S: ClientStream>(&mut self, connection: &mut ClientConnection<S>) -> io::Result<SessionEnd> {
        loop {
            // Many short messages that were sent at once are handled without waiting for input. Consuming the
            // budget lets other tasks run in between.
            consume_budget().await;
            connection.yield_if_due().await;
            match self.handle_message(connection).await? {
                SessionFlow::Continue => {}
                SessionFlow::End(end) => return Ok(end),
            }
        }
    }

    /// Handles one message, or waits for more input.
    async fn handle_message<S: ClientStream>(
        &mut self,
        connection: &mut ClientConnection<S>,
    ) -> io::Result<SessionFlow> {
        let mut reply = std::mem::take(&mut self.scratch);
        let next = self.parse_next(connection.input(), &mut reply);
        let (action, length) = match next {
            NextMessage::Complete { action, length } => (action, length),
            NextMessage::Incomplete => {
                self.keep_scratch(reply);
                return self.await_input(connection).await;
            }
            NextMessage::End(end) => return Ok(SessionFlow::End(end)),
        };
        self.partial_since = None;
        self.cancel_waits_until = None;
        self.slot.set_executing(true);
        let is_simple = pg::is_simple_query(connection.input());
        connection.consume(length);
        connection.write_output(&reply).await?;
        self.keep_scratch(reply);
        // The request is counted until its answer is written: a graceful shutdown waits for it.
        let front = Rc::clone(&self.front);
        let _open_request = CountGuard::new(&front.open_requests);
        match self.perform(connection, action).await {
            Ok(()) => {}
            Err(MessageError::SessionEnded(end)) => return Ok(SessionFlow::End(*end)),
            Err(MessageError::Connection(error)) => {
                check_request_end(&front.core, self.process_id, &error);
                return Err(error);
            }
            Err(MessageError::Rejected(error)) => {
                connection.reserve_output(CONTROL_MESSAGE_BYTES).await?;
                pg::write_error_response(connection.output(), &error);
                // After an error in a batch the protocol skips all messages up to the next Sync.
                self.skips_to_sync |= !is_simple;
            }
        }
        if is_simple && !self.skips_to_sync {
            self.write_ready(connection).await?;
            self.has_answered = true;
        }
        Ok(SessionFlow::Continue)
    }

    /// Reads the next message of `input`. A message that needs neither an engine nor the connection is
    /// answered in `reply`.
    fn parse_next(&mut self, input: &[u8], reply: &mut Vec<u8>) -> NextMessage {
        let (message, length) = match pg::read_message(input, BUFFER_BYTES) {
            Ok(Some(read)) => read,
            Ok(None) => return NextMessage::Incomplete,
            Err(MalformedMessage { length: Some(length), .. }) if self.skips_to_sync => {
                return NextMessage::Complete { action: Ok(MessageAction::None), length };
            }
            Err(MalformedMessage { error, length: Some(length) }) => {
                return NextMessage::Complete { action: Err(error.into()), length };
            }
            Err(MalformedMessage { error, length: None }) => {
                let end = SessionEnd::with_error(SessionEndReason::Malformed, error.into());
                return NextMessage::End(end);
            }
        };
        let action = match message {
            Message::Terminate => {
                return NextMessage::End(SessionEnd::silent(SessionEndReason::ClientClosed));
            }
            Message::Sync => Ok(MessageAction::Sync),
            Message::Flush => Ok(MessageAction::Flush),
            _ if self.skips_to_sync => Ok(MessageAction::None),
            Message::Query(text) => self.read_simple_query(reply, text),
            message if self.front.config.allows_extended_queries => {
                self.objects.handle_message(reply, message).map(MessageAction::Extended)
            }
            _ => Err(ErrorResponse::new("0A000", "only simple queries are spoken here")),
        };
        NextMessage::Complete { action, length }
    }

    async fn perform<S: ClientStream>(
        &mut self,
        connection: &mut ClientConnection<S>,
        action: Result<MessageAction, ErrorResponse>,
    ) -> Result<(), MessageError> {
        match action? {
            MessageAction::None | MessageAction::Extended(ExtendedAction::None) => {}
            MessageAction::Sync => {
                self.skips_to_sync = false;
                self.write_ready(connection).await?;
            }
            MessageAction::Flush => connection.flush().await?,
            MessageAction::Query(request) => self.answer_simple_query(connection, *request).await?,
            MessageAction::Extended(ExtendedAction::Execute { portal, max_rows }) => {
                self.execute(connection, &portal, max_rows).await?;
            }
        }
        Ok(())
    }

    /// Appends ReadyForQuery and writes all output. A CancelRequest that arrived before is taken first: the client
    /// may send its next request once it has ReadyForQuery.
    async fn write_ready<S: ClientStream>(&mut self, connection: &mut ClientConnection<S>) -> io::Result<()> {
        connection.reserve_output(CONTROL_MESSAGE_BYTES).await?;
        pg::write_ready_for_query(connection.output());
        connection.take_cancel().await?;
        self.answered_at = Some(now());
        connection.flush().await
    }
}

#[cfg(test)]
mod tests;
