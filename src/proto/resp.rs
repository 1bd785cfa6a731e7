//! Framing of the engines' protocol: arrays of bulk strings, as in RESP version 2 (the Redis serialization
//! protocol).

use thiserror::Error;

/// Maximum number of parts of an answer: the four of the engines' protocol, and a few more that are ignored.
const MAX_PARTS: usize = 8;
/// Maximum number of digits of a length.
const MAX_LENGTH_DIGITS: usize = 7;
/// Type byte of an array.
const ARRAY_TYPE: u8 = b'*';
/// Type byte of a bulk string.
const BULK_STRING_TYPE: u8 = b'$';
/// Line break that ends a length, and a bulk string.
const LINE_END: &[u8] = b"\r\n";

/// Reason why bytes are not an array of bulk strings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RespError {
    /// The array is empty, or has more parts than an answer can have.
    #[error("field array has no legal number of parts")]
    PartCount,
    /// The array would be longer than allowed.
    #[error("field bulk is longer than allowed")]
    TooLong,
    /// A bulk string does not end where its length says.
    #[error("field bulk does not end with a line break")]
    NoLineEnd,
    /// The type byte of an array or of a bulk string is missing before a length.
    #[error("field length does not begin with its type byte")]
    UnexpectedType,
    /// A length has too many digits.
    #[error("field length is too long")]
    LengthTooLong,
    /// A length has no digits, or no line break after them.
    #[error("field length is not a number")]
    LengthNotNumber,
}

/// An array at the front of the bytes that were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Array<'a> {
    /// Bulk strings of the array.
    pub parts: Vec<&'a [u8]>,
    /// Length of the encoded array in bytes.
    pub length: usize,
}

/// A decoded length, and the position after it.
struct Length {
    value: usize,
    end: usize,
}

/// Appends one array of bulk strings.
pub fn write_command(output: &mut Vec<u8>, parts: &[&[u8]]) {
    output.extend_from_slice(format!("*{}\r\n", parts.len()).as_bytes());
    for part in parts {
        output.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        output.extend_from_slice(part);
        output.extend_from_slice(LINE_END);
    }
}

/// Reads one array from the front of `bytes`; `None` if more bytes are needed.
///
/// # Errors
/// If the bytes are not an array of bulk strings, or the array is longer than `limit` bytes.
pub fn read_array(bytes: &[u8], limit: usize) -> Result<Option<Array<'_>>, RespError> {
    let Some(count) = read_length(bytes, 0, ARRAY_TYPE)? else { return Ok(None) };
    if count.value == 0 || count.value > MAX_PARTS {
        return Err(RespError::PartCount);
    }
    let mut parts = Vec::with_capacity(count.value);
    let mut position = count.end;
    for _ in 0..count.value {
        let Some(length) = read_length(bytes, position, BULK_STRING_TYPE)? else { return Ok(None) };
        let start = length.end;
        let end = start.saturating_add(length.value);
        if end.saturating_add(LINE_END.len()) > limit {
            return Err(RespError::TooLong);
        }
        match bytes.get(end..end + LINE_END.len()) {
            Some(LINE_END) => {}
            Some(_) => return Err(RespError::NoLineEnd),
            None => return Ok(None),
        }
        parts.push(&bytes[start..end]);
        position = end + LINE_END.len();
    }
    Ok(Some(Array { parts, length: position }))
}

/// Reads a type byte, digits and a line break at `position`; `None` if more bytes are needed.
fn read_length(bytes: &[u8], position: usize, type_byte: u8) -> Result<Option<Length>, RespError> {
    let Some(rest) = bytes.get(position..).filter(|rest| !rest.is_empty()) else { return Ok(None) };
    if rest[0] != type_byte {
        return Err(RespError::UnexpectedType);
    }
    let digits = rest[1..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    if digits > MAX_LENGTH_DIGITS {
        return Err(RespError::LengthTooLong);
    }
    match (rest.get(1 + digits), rest.get(2 + digits)) {
        (None, _) => Ok(None),
        (Some(b'\r'), None) if digits > 0 => Ok(None),
        (Some(b'\r'), Some(b'\n')) if digits > 0 => {
            let value =
                rest[1..=digits].iter().fold(0, |value, digit| value * 10 + usize::from(digit - b'0'));
            Ok(Some(Length { value, end: position + 1 + digits + LINE_END.len() }))
        }
        _ => Err(RespError::LengthNotNumber),
    }
}
