//! Why the handling of a message stops early.

use crate::proto::pg::Fault;
use std::io;
use thiserror::Error;

/// Why the handling of a message stops early.
#[derive(Debug, Error)]
pub(super) enum MessageError {
    /// The client gets the error as its answer, and the session goes on.
    #[error("message rejected: {}", .0.message)]
    Rejected(Fault),
    /// The session ends, after the error if there is one.
    #[error("session ended")]
    SessionEnded(Option<Fault>),
    /// The connection has failed.
    #[error("client connection failed")]
    Connection(#[from] io::Error),
}

impl From<Fault> for MessageError {
    fn from(error: Fault) -> MessageError {
        MessageError::Rejected(error)
    }
}
