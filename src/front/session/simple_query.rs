//! Handles simple queries (PostgreSQL, "Message Flow", "Simple Query").

use super::error::MessageError;
use super::state::{session_ended, Session, CONTROL_MESSAGE_BYTES};
use super::MessageAction;
use crate::core::result_buffer::RowPosition;
use crate::front::client_connection::{ClientConnection, ClientStream};
use crate::front::request::PreparedRequest;
use crate::front::result_rows::{write_rows, COLUMNS};
use crate::proto::fields;
use crate::proto::pg::{self, ErrorResponse};
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
        if tables::is_empty(statement) {
            return Err(ErrorResponse::new("08P01", "field query holds no statement behind its comment"));
        }
        // One request is one statement: it gets one answer, and one engine runs it.
        tables::check_single_statement(statement)
            .map_err(|error| ErrorResponse::new("0A000", error.to_string()))?;
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
        let request = self.front.submit(request, started, is_cancelled)?;
        self.slot.record_request();
        let result = self.wait_for_response(connection, request).await?;
        connection.reserve_output(CONTROL_MESSAGE_BYTES).await?;
        pg::write_row_description(connection.output(), COLUMNS, &[]);
        let written = write_rows(connection, &result, RowPosition::default(), 0).await?;
        connection.reserve_output(CONTROL_MESSAGE_BYTES).await?;
        pg::write_command_complete(connection.output(), &format!("SELECT {}", written.count));
        Ok(())
    }
}
