//! Errors of the decoder, and the ErrorResponse that clients receive.

use thiserror::Error;

/// Reason why a client's bytes are not a message of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PgError {
    /// The length of a start-up packet is out of bounds.
    #[error("field length of the start-up packet is not a legal one")]
    StartupPacketLength,
    /// The client asks for an unsupported version of the protocol.
    #[error("field version is not 3.0 but {major}.{minor}")]
    Version {
        /// The major version that the client asks for.
        major: u16,
        /// The minor version that the client asks for.
        minor: u16,
    },
    /// The length of a message is out of bounds.
    #[error("field length of the message is not a legal one")]
    MessageLength,
    /// The message has bytes after its last field.
    #[error("field length counts more bytes than the message has fields")]
    TrailingBytes,
    /// The type byte is not defined by the protocol.
    #[error("field type is unknown: 0x{0:02x}")]
    UnknownType(u8),
    /// The message ends within the field.
    #[error("field {0} is cut short")]
    Truncated(&'static str),
    /// The field is a string without a terminating zero byte.
    #[error("field {0} is not ended by a zero byte")]
    Unterminated(&'static str),
    /// The field is not UTF-8.
    #[error("field {0} is not UTF-8")]
    NotUtf8(&'static str),
    /// The field is a format code that is neither text (0) nor binary (1).
    #[error("field {0} is neither 0 nor 1")]
    UnknownFormat(&'static str),
    /// A Describe or Close names neither a statement nor a portal.
    #[error("field kind is neither S nor P")]
    UnknownObjectKind,
}

/// Maximum length of an error's primary message in bytes. Some quote what the client wrote.
const MAX_MESSAGE_BYTES: usize = 1024;

/// An error as a client receives it, in an ErrorResponse message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{code}: {message}")]
pub struct ErrorResponse {
    /// SQLSTATE of five characters (PostgreSQL, appendix A).
    pub code: &'static str,
    /// Primary message, for people.
    pub message: String,
    /// Detail for programs, in the form `name=value`, if there is one.
    pub detail: Option<String>,
    /// Advice on what the client can do, if there is any.
    pub hint: Option<String>,
    /// Whether the session ends after this error.
    pub fatal: bool,
}

impl ErrorResponse {
    /// Creates an error without detail and hint, after which the session continues. A message that is too long
    /// is cut.
    pub fn new(code: &'static str, message: impl Into<String>) -> ErrorResponse {
        let mut message = message.into();
        if message.len() > MAX_MESSAGE_BYTES {
            let end = (0..=MAX_MESSAGE_BYTES).rev().find(|end| message.is_char_boundary(*end));
            message.truncate(end.unwrap_or(0));
            message.shrink_to_fit();
        }
        ErrorResponse { code, message, detail: None, hint: None, fatal: false }
    }

    /// Creates the error for a malformed message or field (SQLSTATE 08P01, protocol violation).
    pub fn malformed(reason: impl std::fmt::Display) -> ErrorResponse {
        ErrorResponse::new("08P01", format!("malformed message: {reason}"))
    }

    /// Returns the error with a hint.
    pub fn hint(self, hint: impl Into<String>) -> ErrorResponse {
        ErrorResponse { hint: Some(hint.into()), ..self }
    }

    /// Returns the error marked as fatal: the session ends after it.
    pub fn fatal(self) -> ErrorResponse {
        ErrorResponse { fatal: true, ..self }
    }
}

impl From<PgError> for ErrorResponse {
    fn from(error: PgError) -> ErrorResponse {
        ErrorResponse::malformed(error)
    }
}
