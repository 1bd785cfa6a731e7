//! Decodes the messages of clients.

use super::cursor::Cursor;
use super::error::PgError;
use thiserror::Error;

/// Length in bytes of the type and the length field of a message.
const HEADER_BYTES: usize = 5;
/// Minimum value of a message's length field, which counts its own 4 bytes.
const MIN_LENGTH: usize = 4;

/// Type bytes of the messages of clients.
mod message_type {
    /// Query: a simple query.
    pub(super) const QUERY: u8 = b'Q';
    /// Parse: prepares a statement.
    pub(super) const PARSE: u8 = b'P';
    /// Bind: creates a portal from a statement and its parameters.
    pub(super) const BIND: u8 = b'B';
    /// Describe: requests the parameters and columns of a statement or portal.
    pub(super) const DESCRIBE: u8 = b'D';
    /// Close: closes a statement or portal.
    pub(super) const CLOSE: u8 = b'C';
    /// Execute: runs a portal.
    pub(super) const EXECUTE: u8 = b'E';
    /// Flush: requests the answers that are still buffered.
    pub(super) const FLUSH: u8 = b'H';
    /// Sync: ends a series of messages of the extended query protocol; after an error, messages up to it are
    /// skipped.
    pub(super) const SYNC: u8 = b'S';
    /// Terminate: ends the session.
    pub(super) const TERMINATE: u8 = b'X';
    /// FunctionCall, which is not supported.
    pub(super) const FUNCTION_CALL: u8 = b'F';
    /// CopyData: data of a COPY, which is not supported.
    pub(super) const COPY_DATA: u8 = b'd';
    /// CopyDone: the end of a COPY, which is not supported.
    pub(super) const COPY_DONE: u8 = b'c';
    /// CopyFail: the failure of a COPY, which is not supported.
    pub(super) const COPY_FAIL: u8 = b'f';
    /// PasswordMessage; the messages of other authentication methods have the same type byte.
    pub(super) const PASSWORD: u8 = b'p';
}

/// Kind of object that a Describe or Close refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectKind {
    /// A prepared statement.
    Statement,
    /// A portal.
    Portal,
}

/// One message of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Message<'a> {
    /// A simple query.
    Query(&'a str),
    /// Prepares a statement.
    Parse {
        /// The statement's name; empty for the unnamed statement.
        name: &'a str,
        /// The statement's text.
        sql: &'a str,
        /// Object ids of the parameters' types, 0 where not specified.
        types: Vec<u32>,
    },
    /// Creates a portal from a statement.
    Bind {
        /// The portal's name; empty for the unnamed portal.
        portal: &'a str,
        /// The name of the prepared statement; empty for the unnamed statement.
        statement: &'a str,
        /// Format codes of the parameters: none (all are text), one for all, or one per parameter.
        formats: Vec<u16>,
        /// Values of the parameters; `None` is NULL.
        values: Vec<Option<&'a [u8]>>,
        /// Format codes of the result's columns: none (all are text), one for all, or one per column.
        result_formats: Vec<u16>,
    },
    /// Requests the parameters and columns of the statement or portal with this name.
    Describe(ObjectKind, &'a str),
    /// Runs a portal.
    Execute {
        /// The portal's name; empty for the unnamed portal.
        portal: &'a str,
        /// Maximum number of rows to send; 0 means all rows.
        max_rows: u32,
    },
    /// Closes the statement or portal with this name.
    Close(ObjectKind, &'a str),
    /// Requests the answers that are still buffered.
    Flush,
    /// Ends a series of messages of the extended query protocol.
    Sync,
    /// Ends the session.
    Terminate,
    /// Data or the end of a COPY, which is not supported.
    Copy,
    /// A function call, which is not supported.
    FunctionCall,
    /// A password, which is never requested.
    Password,
}

/// A message that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{error}")]
pub struct MalformedMessage {
    /// Reason why the message cannot be read.
    pub error: PgError,
    /// Length of the message in bytes; `None` if the start of the next message is unknown.
    pub length: Option<usize>,
}

/// Whether the message at the front of `bytes` is a simple query.
pub fn is_simple_query(bytes: &[u8]) -> bool {
    bytes.first() == Some(&message_type::QUERY)
}

/// Reads one message from the front of `bytes`, and returns it with its length; `None` if more bytes are
/// needed.
///
/// # Errors
/// If the message is malformed, or its length field is `limit` or more.
pub fn read_message(bytes: &[u8], limit: usize) -> Result<Option<(Message<'_>, usize)>, MalformedMessage> {
    let Some(header) = bytes.get(..HEADER_BYTES) else { return Ok(None) };
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    if length < MIN_LENGTH || length >= limit {
        return Err(MalformedMessage { error: PgError::MessageLength, length: None });
    }
    let Some(body) = bytes.get(HEADER_BYTES..=length) else { return Ok(None) };
    let total = length + 1;
    // No message has the type zero: the client and this program disagree on where messages start, so the next
    // message cannot be located.
    let skippable = (header[0] != 0).then_some(total);
    let message =
        read_body(header[0], body).map_err(|error| MalformedMessage { error, length: skippable })?;
    Ok(Some((message, total)))
}

fn read_body(message_type: u8, body: &[u8]) -> Result<Message<'_>, PgError> {
    let mut cursor = Cursor(body);
    let message = match message_type {
        message_type::QUERY => Message::Query(cursor.text("query")?),
        message_type::PARSE => read_parse(&mut cursor)?,
        message_type::BIND => read_bind(&mut cursor)?,
        message_type::DESCRIBE => Message::Describe(cursor.object_kind()?, cursor.text("name")?),
        message_type::CLOSE => Message::Close(cursor.object_kind()?, cursor.text("name")?),
        message_type::EXECUTE => {
            Message::Execute { portal: cursor.text("portal name")?, max_rows: cursor.u32("row limit")? }
        }
        message_type::FLUSH => Message::Flush,
        message_type::SYNC => Message::Sync,
        message_type::TERMINATE => Message::Terminate,
        message_type::FUNCTION_CALL => return Ok(Message::FunctionCall),
        message_type::COPY_DATA | message_type::COPY_DONE | message_type::COPY_FAIL => {
            return Ok(Message::Copy)
        }
        message_type::PASSWORD => return Ok(Message::Password),
        unknown => return Err(PgError::UnknownType(unknown)),
    };
    if cursor.0.is_empty() {
        Ok(message)
    } else {
        Err(PgError::TrailingBytes)
    }
}

fn read_parse<'a>(cursor: &mut Cursor<'a>) -> Result<Message<'a>, PgError> {
    let name = cursor.text("statement name")?;
    let sql = cursor.text("query")?;
    let types = cursor.list("parameter type count", |cursor| cursor.u32("parameter type"))?;
    Ok(Message::Parse { name, sql, types })
}

fn read_bind<'a>(cursor: &mut Cursor<'a>) -> Result<Message<'a>, PgError> {
    let portal = cursor.text("portal name")?;
    let statement = cursor.text("statement name")?;
    let formats = cursor.list("parameter format count", |cursor| cursor.format("parameter format"))?;
    let values = cursor.list("parameter count", |cursor| cursor.value("parameter value"))?;
    let result_formats = cursor.list("result format count", |cursor| cursor.format("result format"))?;
    Ok(Message::Bind { portal, statement, formats, values, result_formats })
}
