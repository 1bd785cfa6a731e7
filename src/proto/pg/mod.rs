//! The clients' protocol: PostgreSQL's frontend/backend protocol, version 3.0 ("Message Formats" in its
//! documentation).

mod backend;
mod cursor;
mod error;
mod message;
mod startup_packet;

pub use backend::{
    column_length, columns, data_row_header, data_row_size, write_authentication_ok, write_backend_key_data,
    write_command_complete, write_data_row, write_empty_message, write_error_response,
    write_negotiate_protocol_version, write_parameter_description, write_parameter_status,
    write_ready_for_query, write_row_description, BIND_COMPLETE, CLOSE_COMPLETE, EMPTY_QUERY, NO_DATA,
    PARSE_COMPLETE, PORTAL_SUSPENDED,
};
pub use error::{ErrorResponse, PgError};
pub use message::{is_simple_query, read_message, MalformedMessage, Message, ObjectKind};
pub use startup_packet::{read_startup_packet, StartupPacket};

/// Object id of PostgreSQL's type `text`, which all columns of a result have.
pub const TEXT: u32 = 25;
