//! Handles Execute messages, which run a portal, with an optional row limit.

use super::error::MessageError;
use super::state::{session_ended, Session};
use crate::core::now;
use crate::core::result_buffer::{ResultSet, RowPosition};
use crate::front::client_connection::{ClientConnection, ClientStream};
use crate::front::client_error::cancelled;
use crate::front::extended::prepared::PortalState;
use crate::front::extended::statement_kind::StatementKind;
use crate::front::result_rows::write_rows;
use crate::proto::pg;

/// Maximum number of output bytes of CommandComplete or PortalSuspended.
const COMPLETION_BYTES: usize = 64;

impl Session<'_> {
    /// Answers an Execute message.
    pub(super) async fn execute<S: ClientStream>(
        &mut self,
        connection: &mut ClientConnection<S>,
        name: &str,
        max_rows: u32,
    ) -> Result<(), MessageError> {
        let Some(portal) = self.objects.portals.get(name) else { return Ok(()) };
        match portal.prepared.kind {
            StatementKind::Empty => {
                connection.reserve_output(COMPLETION_BYTES).await?;
                pg::write_empty_message(connection.output(), pg::EMPTY_QUERY);
                return Ok(());
            }
            StatementKind::Set(setting) => {
                self.objects.apply(setting);
                connection.reserve_output(COMPLETION_BYTES).await?;
                pg::write_command_complete(connection.output(), "SET");
                return Ok(());
            }
            StatementKind::Query => {}
        }
        let is_cancelled = self.is_cancelled_before_submission(connection).await?;
        let Some((result, position)) = self.portal_result(connection, name, is_cancelled).await? else {
            connection.reserve_output(COMPLETION_BYTES).await?;
            pg::write_command_complete(connection.output(), "SELECT 0");
            return Ok(());
        };
        let written = write_rows(connection, &result, position, max_rows).await?;
        connection.reserve_output(COMPLETION_BYTES).await?;
        match written.next {
            None => pg::write_command_complete(connection.output(), &format!("SELECT {}", written.count)),
            Some(_) => pg::write_empty_message(connection.output(), pg::PORTAL_SUSPENDED),
        }
        self.objects.finish_execution(name, result, written.next)?;
        Ok(())
    }

    /// Returns a portal's result and the position of the next row to send; `None` if all rows have been sent.
    /// A portal that has not been run is first executed by an engine.
    async fn portal_result<S: ClientStream>(
        &mut self,
        connection: &mut ClientConnection<S>,
        name: &str,
        is_cancelled: bool,
    ) -> Result<Option<(ResultSet, RowPosition)>, MessageError> {
        let Some(portal) = self.objects.portals.get_mut(name) else { return Ok(None) };
        if is_cancelled && matches!(portal.state, PortalState::Suspended { .. }) {
            // The CancelRequest arrived during an earlier message of this batch. A suspended portal submits
            // no request that could be cancelled, so this message fails instead.
            return Err(cancelled().into());
        }
        match portal.take_state() {
            PortalState::Completed => return Ok(None),
            PortalState::Suspended { result, next, .. } => return Ok(Some((result, next))),
            PortalState::Ready => {}
        }
        let request_fields = portal.request_fields()?;
        // A time-out in the statement's comment counts from the arrival of the message. A time-out of the
        // session or the class counts from the start of this execution, so that earlier messages of the batch
        // do not shorten it.
        let started = if request_fields.timeout_ms.is_some() { connection.arrived() } else { now() };
        let timeout_ms = self.objects.statement_timeout_ms;
        let request = self.front.prepare_request(&request_fields, &portal.statement, timeout_ms)?;
        if connection.read_available().await? {
            return Err(session_ended(connection));
        }
        let request = self.front.submit(request, None, started, is_cancelled)?;
        let result = self.wait_for_response(connection, request).await?;
        Ok(Some((result, RowPosition::default())))
    }
}
