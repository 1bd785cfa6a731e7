//! The clients' protocol: PostgreSQL's frontend/backend protocol, version 3.0 ("Message Formats" in its documentation).

mod backend;
mod cursor;
mod error;
mod message;
mod opening;

pub use backend::*;
pub use error::{ErrorResponse, PgError};
pub use message::{is_simple_query, read_message, MalformedMessage, Message, ObjectKind};
pub use opening::{read_opening, Opening};

/// Object id of the type `text`.
pub const TEXT: u32 = 25;
