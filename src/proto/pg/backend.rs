//! Encodes the messages to clients. Each function appends one message to a buffer.

use super::error::ErrorResponse;
use super::TEXT;

/// Bytes of a DataRow before its columns: type, length and number of columns.
const DATA_ROW_HEADER_BYTES: usize = 7;
/// Bytes of the length field before each column of a DataRow.
const COLUMN_LENGTH_BYTES: usize = 4;
/// Bytes of a message's type, which its length field does not count.
const MESSAGE_TYPE_BYTES: usize = 1;
/// Separates the columns in a line of a result page.
const COLUMN_SEPARATOR: u8 = b'\t';

/// Type bytes of the messages to clients.
mod message_type {
    /// AuthenticationOk.
    pub(super) const AUTHENTICATION: u8 = b'R';
    pub(super) const PARAMETER_STATUS: u8 = b'S';
    pub(super) const BACKEND_KEY_DATA: u8 = b'K';
    pub(super) const NEGOTIATE_PROTOCOL_VERSION: u8 = b'v';
    pub(super) const READY_FOR_QUERY: u8 = b'Z';
    pub(super) const ROW_DESCRIPTION: u8 = b'T';
    pub(super) const PARAMETER_DESCRIPTION: u8 = b't';
    pub(super) const DATA_ROW: u8 = b'D';
    pub(super) const COMMAND_COMPLETE: u8 = b'C';
    pub(super) const ERROR_RESPONSE: u8 = b'E';
}

/// Type bytes of the fields of an ErrorResponse.
mod error_field {
    /// Severity, possibly localized.
    pub(super) const SEVERITY: u8 = b'S';
    /// Severity, never localized.
    pub(super) const SEVERITY_NONLOCALIZED: u8 = b'V';
    /// SQLSTATE.
    pub(super) const CODE: u8 = b'C';
    pub(super) const MESSAGE: u8 = b'M';
    pub(super) const DETAIL: u8 = b'D';
    pub(super) const HINT: u8 = b'H';
}

/// Transaction status of ReadyForQuery: outside any transaction.
const IDLE: u8 = b'I';

/// Appends a message: its type, its length, and the body that `write_body` writes.
fn write_message(output: &mut Vec<u8>, message_type: u8, write_body: impl FnOnce(&mut Vec<u8>)) {
    output.push(message_type);
    let length_start = output.len();
    output.extend_from_slice(&[0; 4]);
    write_body(output);
    let length = (output.len() - length_start) as u32;
    output[length_start..length_start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a string and its terminating zero byte. Zero bytes in the string are omitted: they would end it
/// early.
fn write_text(output: &mut Vec<u8>, string: &str) {
    output.extend(string.bytes().filter(|byte| *byte != 0));
    output.push(0);
}

/// Appends AuthenticationOk.
pub fn write_authentication_ok(output: &mut Vec<u8>) {
    write_message(output, message_type::AUTHENTICATION, |body| body.extend_from_slice(&[0; 4]));
}

/// Appends ParameterStatus: a server parameter and its value.
pub fn write_parameter_status(output: &mut Vec<u8>, name: &str, value: &str) {
    write_message(output, message_type::PARAMETER_STATUS, |body| {
        write_text(body, name);
        write_text(body, value);
    });
}

/// Appends BackendKeyData: the process id and secret key that a CancelRequest must carry.
pub fn write_backend_key_data(output: &mut Vec<u8>, process_id: u32, secret: u32) {
    write_message(output, message_type::BACKEND_KEY_DATA, |body| {
        body.extend_from_slice(&process_id.to_be_bytes());
        body.extend_from_slice(&secret.to_be_bytes());
    });
}

/// Appends NegotiateProtocolVersion: the newest supported version is 3.0, and `unknown_options` are not
/// recognized.
pub fn write_negotiate_protocol_version(output: &mut Vec<u8>, unknown_options: &[&str]) {
    write_message(output, message_type::NEGOTIATE_PROTOCOL_VERSION, |body| {
        body.extend_from_slice(&[0; 4]);
        body.extend_from_slice(&(unknown_options.len() as u32).to_be_bytes());
        unknown_options.iter().for_each(|name| write_text(body, name));
    });
}

/// Appends ReadyForQuery, outside any transaction.
pub fn write_ready_for_query(output: &mut Vec<u8>) {
    write_message(output, message_type::READY_FOR_QUERY, |body| body.push(IDLE));
}

/// Appends a message without a body.
pub fn write_empty_message(output: &mut Vec<u8>, message_type: u8) {
    write_message(output, message_type, |_| {});
}

/// Type of EmptyQueryResponse, for [`write_empty_message`].
pub const EMPTY_QUERY: u8 = b'I';
/// Type of ParseComplete, for [`write_empty_message`].
pub const PARSE_COMPLETE: u8 = b'1';
/// Type of BindComplete, for [`write_empty_message`].
pub const BIND_COMPLETE: u8 = b'2';
/// Type of CloseComplete, for [`write_empty_message`].
pub const CLOSE_COMPLETE: u8 = b'3';
/// Type of NoData, for [`write_empty_message`].
pub const NO_DATA: u8 = b'n';
/// Type of PortalSuspended, for [`write_empty_message`].
pub const PORTAL_SUSPENDED: u8 = b's';

/// Appends RowDescription of `columns` text columns named c1, c2 and so on. `formats` holds no format code
/// (all columns are sent as text), one for all columns, or one per column.
pub fn write_row_description(output: &mut Vec<u8>, columns: usize, formats: &[u16]) {
    write_message(output, message_type::ROW_DESCRIPTION, |body| {
        body.extend_from_slice(&(columns as u16).to_be_bytes());
        for index in 0..columns {
            write_text(body, &format!("c{}", index + 1));
            // Table id and column number are 0: the column belongs to no table.
            body.extend_from_slice(&[0; 6]);
            body.extend_from_slice(&TEXT.to_be_bytes());
            // Variable length, and no type modifier.
            body.extend_from_slice(&(-1i16).to_be_bytes());
            body.extend_from_slice(&(-1i32).to_be_bytes());
            let format = formats.get(index).or(formats.first().filter(|_| formats.len() == 1));
            body.extend_from_slice(&format.copied().unwrap_or(0).to_be_bytes());
        }
    });
}

/// Appends ParameterDescription with the object ids of the parameters' types.
pub fn write_parameter_description(output: &mut Vec<u8>, types: &[u32]) {
    write_message(output, message_type::PARAMETER_DESCRIPTION, |body| {
        body.extend_from_slice(&(types.len() as u16).to_be_bytes());
        types.iter().for_each(|oid| body.extend_from_slice(&oid.to_be_bytes()));
    });
}

/// Appends DataRow for one line of a result page; tabs separate the columns of the line.
pub fn write_data_row(output: &mut Vec<u8>, line: &[u8]) {
    output.extend_from_slice(&data_row_header(line));
    for column in columns(line) {
        output.extend_from_slice(&column_length(column));
        output.extend_from_slice(column);
    }
}

/// Number of bytes that [`write_data_row`] appends.
pub fn data_row_size(line: &[u8]) -> usize {
    let separators = columns(line).count() - 1;
    DATA_ROW_HEADER_BYTES + line.len() - separators + COLUMN_LENGTH_BYTES * (separators + 1)
}

/// The beginning of DataRow for one line of a result page: its type, its length, and the number of columns.
pub fn data_row_header(line: &[u8]) -> [u8; DATA_ROW_HEADER_BYTES] {
    let length = (data_row_size(line) - MESSAGE_TYPE_BYTES) as u32;
    let mut header = [0; DATA_ROW_HEADER_BYTES];
    header[0] = message_type::DATA_ROW;
    header[1..5].copy_from_slice(&length.to_be_bytes());
    header[5..].copy_from_slice(&(columns(line).count() as u16).to_be_bytes());
    header
}

/// The columns of one line of a result page.
pub fn columns(line: &[u8]) -> impl Iterator<Item = &[u8]> {
    line.split(|byte| *byte == COLUMN_SEPARATOR)
}

/// The length field before a column in DataRow.
pub fn column_length(column: &[u8]) -> [u8; COLUMN_LENGTH_BYTES] {
    (column.len() as u32).to_be_bytes()
}

/// Appends CommandComplete with a command tag such as `SELECT 3`.
pub fn write_command_complete(output: &mut Vec<u8>, tag: &str) {
    write_message(output, message_type::COMMAND_COMPLETE, |body| write_text(body, tag));
}

/// Appends ErrorResponse; an absent detail or hint is omitted.
pub fn write_error_response(output: &mut Vec<u8>, error: &ErrorResponse) {
    write_message(output, message_type::ERROR_RESPONSE, |body| {
        let severity = if error.fatal { "FATAL" } else { "ERROR" };
        let fields = [
            (error_field::SEVERITY, Some(severity)),
            (error_field::SEVERITY_NONLOCALIZED, Some(severity)),
            (error_field::CODE, Some(error.code)),
            (error_field::MESSAGE, Some(error.message.as_str())),
            (error_field::DETAIL, error.detail.as_deref()),
            (error_field::HINT, error.hint.as_deref()),
        ];
        for (tag, value) in fields {
            if let Some(value) = value {
                body.push(tag);
                write_text(body, value);
            }
        }
        body.push(0);
    });
}
