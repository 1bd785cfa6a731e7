//! Waits for a session's next message.

use super::state::{Session, SessionFlow};
use crate::core::now;
use crate::front::cancel_counters::CancelEffect;
use crate::front::client_connection::{ClientConnection, ClientStream};
use crate::front::client_error::{incomplete_in_time, read_ahead_overrun, too_many_sessions};
use crate::front::read_ahead::ReadAheadOverrun;
use crate::front::session_end::{SessionEnd, SessionEndReason};
use crate::proto::pg::ErrorResponse;
use sprucelink_time::TimeDelta;
use std::io;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Maximum time from a message's first byte until it is complete. The platform requires an answer within 3 s.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time by which a CancelRequest may overtake its request, which travels on another connection.
const MAX_OVERTAKING_TIME: Duration = Duration::from_millis(50);
/// Time within which the platform sends a request again that crosses the close of its connection.
const MAX_CLOSE_CROSSING_TIME: TimeDelta = TimeDelta::from_millis(50);
/// Longest time after an answer at which a CancelRequest for the answered request arrives.
const MAX_CROSSING_TIME: TimeDelta = TimeDelta::from_millis(100);

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
                let end = SessionFlow::End(SessionEnd::silent(SessionEndReason::Evicted));
                return self.end_unless_input_arrived(connection, end).await;
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
        let cancel_waits_until = self.cancel_waits_until.unwrap_or_else(Instant::now);
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
            () = std::future::ready(()), if ends_now => {
                self.end_unless_input_arrived(connection, self.end_for_stop()).await
            }
            () = state_changed => Ok(SessionFlow::Continue),
            // An incomplete message does not let an evicted connection keep its slot.
            () = self.slot.evicted(), if deadline.is_some() => {
                let error = too_many_sessions();
                Ok(SessionFlow::End(SessionEnd::with_error(SessionEndReason::Evicted, error)))
            }
            () = self.slot.evicted() => Ok(SessionFlow::Continue),
            () = self.cancel.requested(), if self.cancel_waits_until.is_none() => {
                self.await_request_of_cancel(connection).await
            }
            () = sleep_until(cancel_waits_until), if self.cancel_waits_until.is_some() => {
                self.take_cancel_without_request(connection).await
            }
            () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                let error = incomplete_in_time("length", MESSAGE_TIMEOUT);
                Ok(SessionFlow::End(SessionEnd::with_error(SessionEndReason::TimedOut, error)))
            }
        }
    }

    /// Ends an idle session, unless bytes of its next message have arrived: the runtime may not know of them yet.
    /// Directly after an answer they are left unread, as those that cross the close.
    async fn end_unless_input_arrived<S: ClientStream>(
        &self,
        connection: &mut ClientConnection<S>,
        end: SessionFlow,
    ) -> io::Result<SessionFlow> {
        let has_just_answered = self.answered_at.is_some_and(|at| now() - at <= MAX_CLOSE_CROSSING_TIME);
        if !has_just_answered && connection.fill_arrived().await? {
            return Ok(SessionFlow::Continue);
        }
        Ok(end)
    }

    /// Ends an idle session because the process stops. Clients of the platform's front expect no message.
    fn end_for_stop(&self) -> SessionFlow {
        let error = ErrorResponse::new("57P01", "the server is stopping").hint("Connect again.");
        let error = self.front.config.allows_extended_queries.then_some(error);
        SessionFlow::End(SessionEnd { reason: SessionEndReason::Stopping, error })
    }

    /// Handles a CancelRequest that comes while no request is open. One that comes shortly after an answer has crossed
    /// it. Any other is for a request that was sent before it, even if no byte of that request has arrived: it waits
    /// for [`MAX_OVERTAKING_TIME`].
    async fn await_request_of_cancel<S: ClientStream>(
        &mut self,
        connection: &mut ClientConnection<S>,
    ) -> io::Result<SessionFlow> {
        let has_input = !connection.input().is_empty() || connection.fill_arrived().await?;
        let crosses_answer = self.answered_at.is_some_and(|at| now() - at <= MAX_CROSSING_TIME);
        if has_input || crosses_answer {
            return self.take_cancel_without_request(connection).await;
        }
        self.cancel_waits_until = Some(Instant::now() + MAX_OVERTAKING_TIME);
        Ok(SessionFlow::Continue)
    }

    /// Takes a CancelRequest while no request is open. The request to cancel may have arrived, and still be unread or
    /// incomplete.
    async fn take_cancel_without_request<S: ClientStream>(
        &mut self,
        connection: &mut ClientConnection<S>,
    ) -> io::Result<SessionFlow> {
        self.cancel_waits_until = None;
        connection.take_cancel().await?;
        if !connection.has_cancelled_input() {
            self.front.cancel_counters.record(self.process_id, CancelEffect::Nothing);
        }
        Ok(SessionFlow::Continue)
    }
}
