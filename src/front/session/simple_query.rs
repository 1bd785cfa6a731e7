//! Handles simple queries (PostgreSQL, "Message Flow", "Simple Query").

use super::error::MessageError;
use super::state::{session_ended, Session, CONTROL_MESSAGE_BYTES};
use super::MessageAction;
use crate::core::buffer_pool::BUFFER_BYTES;
use crate::core::result_buffer::RowPosition;
use crate::core::IdReservation;
use crate::front::client_connection::{ClientConnection, ClientStream};
use crate::front::request::PreparedRequest;
use crate::front::result_rows::{write_rows, COLUMNS};
use crate::proto::fields;
use crate::proto::pg::{self, ErrorResponse, MalformedMessage, Message};
use crate::proto::tables;

impl Session<'_> {
    /// Reads a simple query. One that needs no engine is answered in `reply`.
    ///
    /// # Errors
    /// The error for the client.
    pub(super) fn read_simple_query(
        &mut self,
        reply: &mut Vec<u8>,
        text: &str,
    ) -> Result<MessageAction, ErrorResponse> {
        let (fields, statement) = fields::split(text).map_err(ErrorResponse::from)?;
        if self.front.config.allows_extended_queries && self.objects.answer_simple_query(reply, statement)? {
            return Ok(MessageAction::None);
        }
        // The platform's health check is an empty text. A comment without a statement after it is a truncated
        // request, and must not be taken for a health check.
        if text.trim_matches(|c: char| c.is_whitespace() || c == ';').is_empty() {
            pg::write_empty_message(reply, pg::EMPTY_QUERY);
            return Ok(MessageAction::None);
        }
        check_statement(statement)?;
        let timeout_ms = self.objects.statement_timeout_ms;
        let request = self.front.prepare_request(&fields, statement, timeout_ms)?;
        Ok(MessageAction::Query(Box::new(request)))
    }

    /// Submits the request of a simple query, and writes its answer, up to ReadyForQuery.
    pub(super) async fn answer_simple_query<S: ClientStream>(
        &mut self,
        connection: &mut ClientConnection<S>,
        request: PreparedRequest,
    ) -> Result<(), MessageError> {
        let started = connection.arrived();
        if connection.read_available().await? {
            return Err(session_ended(connection));
        }
        let is_cancelled = self.is_cancelled_before_submission(connection).await?;
        self.reserve_waiting_ids(connection);
        let reservation = self.waiting_ids.take(connection.message_start());
        let request = self.front.submit(request, reservation, started, is_cancelled)?;
        self.slot.record_request();
        let result = self.wait_for_response(connection, request).await?;
        connection.reserve_output(CONTROL_MESSAGE_BYTES).await?;
        pg::write_row_description(connection.output(), COLUMNS, &[]);
        let written = write_rows(connection, &result, RowPosition::default(), 0).await?;
        connection.reserve_output(CONTROL_MESSAGE_BYTES).await?;
        pg::write_command_complete(connection.output(), &format!("SELECT {}", written.count));
        Ok(())
    }

    /// Reserves the ids of the requests that have arrived completely and wait behind the open one. On the extended
    /// front ids are generated when requests are submitted.
    pub(super) fn reserve_waiting_ids<S: ClientStream>(&mut self, connection: &ClientConnection<S>) {
        if self.front.config.allows_extended_queries {
            return;
        }
        let consumed = connection.consumed_end();
        while let Some(message_start) = self.waiting_ids.next_message(consumed) {
            let offset = (message_start - consumed) as usize;
            let input = connection.input().get(offset..).unwrap_or_default();
            let (text, length) = match pg::read_message(input, BUFFER_BYTES) {
                Ok(Some((Message::Query(text), length))) => (Some(text), length),
                Ok(Some((_, length))) | Err(MalformedMessage { length: Some(length), .. }) => (None, length),
                Ok(None) | Err(_) => return,
            };
            let reservation = text.and_then(|text| self.reserve_waiting_id(text));
            self.waiting_ids.record_message(length, reservation);
        }
    }

    fn reserve_waiting_id(&self, text: &str) -> Option<IdReservation> {
        let (fields, statement) = fields::split(text).ok()?;
        check_statement(statement).ok()?;
        self.front.reserve_waiting_id(&fields, statement)
    }
}

/// Checks that a text holds one statement: it gets one answer, and one engine runs it.
fn check_statement(statement: &str) -> Result<(), ErrorResponse> {
    if tables::is_empty(statement) {
        return Err(ErrorResponse::new("08P01", "field query holds no statement behind its comment"));
    }
    tables::check_single_statement(statement).map_err(|error| ErrorResponse::new("0A000", error.to_string()))
}
