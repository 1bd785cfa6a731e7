//! State of a session, and the wait for the response to a request.

use super::error::MessageError;
use super::waiting_ids::WaitingIds;
use crate::core::result_buffer::ResultSet;
use crate::core::{RequestHandle, Response};
use crate::front::cancel_counters::CancelEffect;
use crate::front::cancel_signal::CancelSignal;
use crate::front::client_connection::{ClientConnection, ClientStream};
use crate::front::client_error::{cancelled, failed, read_ahead_overrun, rejected};
use crate::front::connection_slots::ConnectionSlot;
use crate::front::extended::objects::SessionObjects;
use crate::front::session_end::{SessionEnd, SessionEndReason};
use crate::front::Front;
use sprucelink_time::Timestamp;
use std::io;
use std::rc::Rc;
use tokio::time::Instant;

/// Maximum number of output bytes of a message other than a row: an error, or a description.
pub(super) const CONTROL_MESSAGE_BYTES: usize = 2048;
/// Largest allocation of [`Session::scratch`] that is kept between messages, in bytes.
const MAX_SCRATCH_BYTES: usize = 1024;

/// State of a session.
pub(super) struct Session<'a> {
    pub(super) front: Rc<Front>,
    /// Process id of the session in BackendKeyData; the field `session` of log lines.
    pub(super) process_id: u32,
    pub(super) cancel: Rc<CancelSignal>,
    pub(super) slot: &'a ConnectionSlot,
    /// Time at which an incomplete message was first found at the end of the input; `None` if there is none.
    pub(super) partial_since: Option<Instant>,
    /// Whether messages are skipped up to the next Sync, since a message of the batch failed.
    pub(super) skips_to_sync: bool,
    /// Prepared statements and portals, and the session's settings.
    pub(super) objects: SessionObjects,
    /// Buffer for the reply to a message before it is moved to the output; empty between messages, and kept
    /// for its allocation.
    pub(super) scratch: Vec<u8>,
    /// Time at which the last answer was complete; `None` if there was none.
    pub(super) answered_at: Option<Timestamp>,
    /// Time until which a CancelRequest that found no request waits for one; `None` if there is none that waits.
    pub(super) cancel_waits_until: Option<Instant>,
    /// Whether an answer was written since the input was last empty.
    pub(super) has_answered: bool,
    /// Reserved ids of the requests that wait behind the open one.
    pub(super) waiting_ids: WaitingIds,
}

/// Whether a session continues.
pub(super) enum SessionFlow {
    /// The session continues.
    Continue,
    /// The session ends.
    End(SessionEnd),
}

impl<'a> Session<'a> {
    /// Creates a session that has not received a message.
    pub(super) fn new(
        front: Rc<Front>,
        process_id: u32,
        cancel: Rc<CancelSignal>,
        slot: &'a ConnectionSlot,
        statement_timeout_ms: Option<u64>,
    ) -> Session<'a> {
        let pool = front.core.pool().clone();
        Session {
            front,
            process_id,
            cancel,
            slot,
            partial_since: None,
            skips_to_sync: false,
            objects: SessionObjects::new(pool, statement_timeout_ms),
            scratch: Vec::new(),
            answered_at: None,
            cancel_waits_until: None,
            has_answered: false,
            waiting_ids: WaitingIds::default(),
        }
    }

    /// Keeps a buffer for the reply to the next message, unless it is large.
    pub(super) fn keep_scratch(&mut self, mut reply: Vec<u8>) {
        reply.clear();
        if reply.capacity() <= MAX_SCRATCH_BYTES {
            self.scratch = reply;
        }
    }

    /// Takes the CancelRequest, if there is one; returns whether the message that was consumed last, which is not
    /// submitted yet, is cancelled.
    ///
    /// # Errors
    /// An error of the connection.
    pub(super) async fn is_cancelled_before_submission<S: ClientStream>(
        &self,
        connection: &mut ClientConnection<S>,
    ) -> io::Result<bool> {
        connection.take_cancel().await?;
        let is_cancelled = connection.is_cancelled();
        if is_cancelled {
            self.front.cancel_counters.record(self.process_id, CancelEffect::WaitingRequest);
        }
        Ok(is_cancelled)
    }

    /// Waits for a request's response, a CancelRequest, or the end of the connection. Input is read ahead
    /// meanwhile, since the end of the stream may follow further input. A client of which too many
    /// bytes were discarded (`is_flooding`) is disconnected with an error.
    ///
    /// # Errors
    /// The request was rejected, has failed or was cancelled, or the session ends.
    pub(super) async fn wait_for_response<S: ClientStream>(
        &mut self,
        connection: &mut ClientConnection<S>,
        mut request: RequestHandle,
    ) -> Result<ResultSet, MessageError> {
        let extended = self.front.config.allows_extended_queries;
        loop {
            tokio::select! {
                biased;
                response = request.wait() => return match response {
                    Response::Served(result) => Ok(result),
                    Response::Rejected { reason, retry_after } => Err(rejected(reason, retry_after, extended).into()),
                    Response::Failed { reason, retry_after } => Err(failed(reason, retry_after).into()),
                },
                () = self.cancel.requested() => {
                    connection.take_cancel().await?;
                    if connection.is_cancelled() {
                        self.front.cancel_counters.record(self.process_id, CancelEffect::OpenRequest);
                        request.cancel();
                        return Err(cancelled().into());
                    }
                }
                read = connection.read_ahead() => {
                    if read? == 0 {
                        return Err(client_closed());
                    }
                    if connection.is_flooding() {
                        request.cancel();
                        return Err(session_ended(connection));
                    }
                    self.reserve_waiting_ids(connection);
                }
            }
        }
    }
}

/// The end of a session whose client closed its side, or floods; a flooding client gets a final error.
/// Buffered requests are not admitted.
pub(super) fn session_ended<S: ClientStream>(connection: &ClientConnection<S>) -> MessageError {
    let overrun = connection.overrun().filter(|_| connection.is_flooding());
    let end = match overrun {
        Some(overrun) => {
            let error = read_ahead_overrun(overrun, connection.max_buffered());
            SessionEnd::with_error(SessionEndReason::Overrun, error)
        }
        None => SessionEnd::silent(SessionEndReason::ClientClosed),
    };
    MessageError::SessionEnded(Box::new(end))
}

/// The end of a session whose client has closed its side.
fn client_closed() -> MessageError {
    MessageError::SessionEnded(Box::new(SessionEnd::silent(SessionEndReason::ClientClosed)))
}
