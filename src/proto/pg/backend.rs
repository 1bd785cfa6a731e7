//! The messages to clients, each appended to a buffer.

use super::error::ErrorResponse;
use super::TEXT;

/// Bytes of a DataRow before its columns: type, length and number of columns.
const DATA_ROW_HEADER_BYTES: usize = 7;
/// Parts the columns of a page's line.
const COLUMN_SEPARATOR: u8 = b'\t';

/// Appends a message: its type, its length, and what `write_body` writes.
fn framed(output: &mut Vec<u8>, message_type: u8, write_body: impl FnOnce(&mut Vec<u8>)) {
    output.push(message_type);
    let start = output.len();
    output.extend_from_slice(&[0; 4]);
    write_body(output);
    let length = (output.len() - start) as u32;
    output[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a string with a zero byte at its end, and none in it.
fn text(output: &mut Vec<u8>, string: &str) {
    output.extend(string.bytes().filter(|byte| *byte != 0));
    output.push(0);
}

/// AuthenticationOk.
pub fn authentication_ok(output: &mut Vec<u8>) {
    framed(output, b'R', |body| body.extend_from_slice(&[0; 4]));
}

/// ParameterStatus.
pub fn parameter_status(output: &mut Vec<u8>, name: &str, value: &str) {
    framed(output, b'S', |body| {
        text(body, name);
        text(body, value);
    });
}

/// BackendKeyData: what a CancelRequest must carry.
pub fn backend_key(output: &mut Vec<u8>, session: u32, secret: u32) {
    framed(output, b'K', |body| {
        body.extend_from_slice(&session.to_be_bytes());
        body.extend_from_slice(&secret.to_be_bytes());
    });
}

/// NegotiateProtocolVersion: the version is 3.0, and these options are unknown.
pub fn negotiate_version(output: &mut Vec<u8>, unknown: &[&str]) {
    framed(output, b'v', |body| {
        body.extend_from_slice(&[0; 4]);
        body.extend_from_slice(&(unknown.len() as u32).to_be_bytes());
        unknown.iter().for_each(|name| text(body, name));
    });
}

/// ReadyForQuery, outside any transaction.
pub fn ready(output: &mut Vec<u8>) {
    framed(output, b'Z', |body| body.push(b'I'));
}

/// A message without a body.
pub fn bare(output: &mut Vec<u8>, message_type: u8) {
    framed(output, message_type, |_| {});
}

/// EmptyQueryResponse.
pub const EMPTY_QUERY: u8 = b'I';
/// ParseComplete.
pub const PARSE_COMPLETE: u8 = b'1';
/// BindComplete.
pub const BIND_COMPLETE: u8 = b'2';
/// CloseComplete.
pub const CLOSE_COMPLETE: u8 = b'3';
/// NoData.
pub const NO_DATA: u8 = b'n';
/// PortalSuspended.
pub const PORTAL_SUSPENDED: u8 = b's';

/// RowDescription of `columns` text columns named c1, c2 and so on; formats are none, one for all, or one each.
pub fn row_description(output: &mut Vec<u8>, columns: usize, formats: &[u16]) {
    framed(output, b'T', |body| {
        body.extend_from_slice(&(columns as u16).to_be_bytes());
        for index in 0..columns {
            text(body, &format!("c{}", index + 1));
            // No table, and no column of one.
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

/// ParameterDescription.
pub fn parameter_description(output: &mut Vec<u8>, types: &[u32]) {
    framed(output, b't', |body| {
        body.extend_from_slice(&(types.len() as u16).to_be_bytes());
        types.iter().for_each(|t| body.extend_from_slice(&t.to_be_bytes()));
    });
}

/// DataRow of one line of a page, whose columns are separated by tabs.
pub fn data_row(output: &mut Vec<u8>, line: &[u8]) {
    framed(output, b'D', |body| {
        let columns = line.split(|byte| *byte == COLUMN_SEPARATOR).count() as u16;
        body.extend_from_slice(&columns.to_be_bytes());
        for column in line.split(|byte| *byte == COLUMN_SEPARATOR) {
            body.extend_from_slice(&(column.len() as u32).to_be_bytes());
            body.extend_from_slice(column);
        }
    });
}

/// Upper bound of the bytes that [`data_row`] appends.
pub fn data_row_size(line: &[u8]) -> usize {
    DATA_ROW_HEADER_BYTES + line.len() + 4 * line.split(|byte| *byte == COLUMN_SEPARATOR).count()
}

/// CommandComplete.
pub fn command_complete(output: &mut Vec<u8>, tag: &str) {
    framed(output, b'C', |body| text(body, tag));
}

/// ErrorResponse.
pub fn error(output: &mut Vec<u8>, error: &ErrorResponse) {
    framed(output, b'E', |body| {
        let severity = if error.fatal { "FATAL" } else { "ERROR" };
        let fields = [
            (b'S', Some(severity)),
            (b'V', Some(severity)),
            (b'C', Some(error.code)),
            (b'M', Some(error.message.as_str())),
            (b'D', error.detail.as_deref()),
            (b'H', error.hint.as_deref()),
        ];
        for (tag, value) in fields {
            if let Some(value) = value {
                body.push(tag);
                text(body, value);
            }
        }
        body.push(0);
    });
}
