//! Waits for a session's next message.

use super::state::{Session, SessionFlow};
use crate::front::cancel_counters::CancelEffect;
use crate::front::client_connection::{ClientConnection, ClientStream};
use crate::front::client_error::{incomplete_in_time, read_ahead_overrun, too_many_sessions};
use crate::front::read_ahead::ReadAheadOverrun;
use crate::front::session_end::{SessionEnd, SessionEndReason};
use crate::proto::pg::ErrorResponse;
use std::io;
use std::time::Duration;
use tokio::task::coop::consume_budget;
use tokio::time::{sleep_until, Instant};

/// Maximum time from a message's first byte until it is complete. The platform requires an answer within 3 s.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

impl Session<'_> {
    /// Extends the input buffer by bytes that were read ahead, or else waits for the next bytes from the
    /// client. The session ends instead if no more input is accepted.
    pub(super) async fn await_input<S: ClientStream>(
        &mut self,
        connection: &mut ClientConnection<S>,
    ) -> io::Result<SessionFlow> {
        if connection.promote_read_ahead() {
            return Ok(SessionFlow::Continue);
        }
        // Bytes that were read ahead and cannot be moved to the input belong to a message for which there is no
        // memory.
        let exhausted = connection.has_read_ahead().then_some(ReadAheadOverrun::Shared);
        if let Some(overrun) = connection.overrun().or(exhausted) {
            let error = read_ahead_overrun(overrun, connection.max_buffered());
            return Ok(SessionFlow::End(SessionEnd::with_error(SessionEndReason::Overrun, error)));
        }
        connection.flush().await?;
        if connection.input().is_empty() {
            self.slot.set_executing(false);
            self.partial_since = None;
            let has_answered = std::mem::take(&mut self.has_answered);
            let ends_after_answer = has_answered && self.front.end_after_answer.get();
            // No request is open, and the client can send its next request on another connection.
            if self.slot.is_evicted() || ends_after_answer {
                return Ok(SessionFlow::End(SessionEnd::silent(SessionEndReason::Evicted)));
            }
        } else {
            self.slot.set_receiving();
            self.partial_since.get_or_insert_with(Instant::now);
        }
        self.wait_for_input(connection).await
    }

    async fn wait_for_input<S: ClientStream>(
        &mut self,
        connection: &mut ClientConnection<S>,
    ) -> io::Result<SessionFlow> {
        let deadline = self.partial_since.map(|since| since + MESSAGE_TIMEOUT);
        let state_changed = self.front.state_changed.notified();
        let ends_now = self.front.is_closing.get() && connection.input().is_empty();
        tokio::select! {
            // Available input is read first: it was accepted and must be answered, even if the process was
            // not scheduled for so long that the stop or the eviction of the slot is already due.
            biased;
            read = connection.fill() => {
                Ok(match read? {
                    0 => SessionFlow::End(SessionEnd::silent(SessionEndReason::ClientClosed)),
                    _ => SessionFlow::Continue,
                })
            }
            () = std::future::ready(()), if ends_now => Ok(self.end_for_stop()),
            () = state_changed => Ok(SessionFlow::Continue),
            // An incomplete message does not let an evicted connection keep its slot.
            () = self.slot.evicted(), if deadline.is_some() => {
                let error = too_many_sessions();
                Ok(SessionFlow::End(SessionEnd::with_error(SessionEndReason::Evicted, error)))
            }
            () = self.slot.evicted() => Ok(SessionFlow::Continue),
            () = self.cancel.requested() => self.handle_early_cancel(connection).await,
            () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                let error = incomplete_in_time("length", MESSAGE_TIMEOUT);
                Ok(SessionFlow::End(SessionEnd::with_error(SessionEndReason::TimedOut, error)))
            }
        }
    }

    /// Ends an idle session because the process stops. Clients of the platform's front expect no message.
    fn end_for_stop(&self) -> SessionFlow {
        let error = ErrorResponse::new("57P01", "the server is stopping").hint("Connect again.");
        let error = self.front.config.allows_extended_queries.then_some(error);
        SessionFlow::End(SessionEnd { reason: SessionEndReason::Stopping, error })
    }

    /// Handles a CancelRequest while no request is open. The request to cancel may have been sent before the
    /// CancelRequest and still be unread, so available input is read first. If there is none, the
    /// CancelRequest is for a completed request, and must not cancel the next request.
    async fn handle_early_cancel<S: ClientStream>(
        &self,
        connection: &mut ClientConnection<S>,
    ) -> io::Result<SessionFlow> {
        consume_budget().await;
        let previous_length = connection.input().len();
        if !connection.probe_end().await? && connection.input().len() == previous_length {
            self.take_cancel(CancelEffect::Nothing);
        }
        Ok(SessionFlow::Continue)
    }
}
