//! Errors that stop the handling of a message.

use crate::front::session_end::SessionEnd;
use crate::proto::pg::ErrorResponse;
use std::io;
use thiserror::Error;

/// Reason why the handling of a message stops early.
#[derive(Debug, Error)]
pub(super) enum MessageError {
    /// The client gets the error as its answer, and the session continues.
    #[error("message rejected")]
    Rejected(#[source] ErrorResponse),
    /// The session ends, after the error if there is one.
    #[error("session ended: {:?}", .0.reason)]
    SessionEnded(Box<SessionEnd>),
    /// The connection has failed.
    #[error("client connection failed")]
    Connection(#[from] io::Error),
}

impl From<ErrorResponse> for MessageError {
    fn from(error: ErrorResponse) -> MessageError {
        MessageError::Rejected(error)
    }
}
