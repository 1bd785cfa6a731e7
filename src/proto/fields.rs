//! Reads the comment before a statement, which carries the request's fields:
//! `/* name=value,name=value */ SELECT ...`.

use super::pg::ErrorResponse;
use std::collections::HashSet;
use thiserror::Error;

/// Names of the fields on the wire.
pub mod name {
    /// Name of the request's class.
    pub const CLASS: &str = "kind";
    /// The request's id: 16 hexadecimal digits.
    pub const REQUEST_ID: &str = "req";
    /// How long the client waits after its request has arrived, in milliseconds.
    pub const TIMEOUT: &str = "timeout";
    /// Name of the tenant.
    pub const TENANT: &str = "owner";
    /// Whether the request is a client's retry.
    pub const RETRY: &str = "resent";
    /// The idempotency key.
    pub const IDEMPOTENCY_KEY: &str = "opkey";
    /// The estimated work, in milliseconds on one core.
    pub const WORK_MS: &str = "ms";
    /// The estimated memory, in MB.
    pub const MEMORY_MB: &str = "heap_mb";
}

/// The names of all fields that are used; any other name is ignored.
const KNOWN_NAMES: [&str; 8] = [
    name::CLASS,
    name::REQUEST_ID,
    name::TIMEOUT,
    name::TENANT,
    name::RETRY,
    name::IDEMPOTENCY_KEY,
    name::WORK_MS,
    name::MEMORY_MB,
];

/// The only valid value of the field [`name::RETRY`].
const IS_RETRY: &str = "1";
/// Number of hexadecimal digits of a request's id.
const ID_DIGITS: usize = 16;
/// Maximum number of characters of an idempotency key.
const MAX_KEY_CHARACTERS: usize = 128;
/// Maximum time-out, in milliseconds: one day.
const MAX_TIMEOUT_MS: u64 = 86_400_000;
/// Maximum work of an estimate, in milliseconds on one core: eleven days.
const MAX_WORK_MS: f64 = 1e9;
/// Maximum memory of an estimate, in MB: a hundred terabytes.
const MAX_MEMORY_MB: f64 = 1e8;

/// Reason why the fields of a statement cannot be used.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FieldError {
    /// The comment is not closed.
    #[error("field comment is not closed")]
    OpenComment,
    /// A field is given twice.
    #[error("field {0} stands there twice")]
    Duplicate(String),
    /// The request's id is not 16 hexadecimal digits.
    #[error("field req is not 16 hex digits")]
    InvalidId,
    /// The value of [`name::RETRY`] is not 1.
    #[error("field resent is not 1")]
    InvalidRetry,
    /// The idempotency key is empty, too long, or has characters that the engines' list of fields cannot
    /// hold.
    #[error("field opkey is not 1 to 128 plain characters")]
    InvalidKey,
    /// The field is not a number of milliseconds of at most a day.
    #[error("field {0} is not a number of milliseconds")]
    InvalidTimeout(&'static str),
    /// The field is not a number within its range.
    #[error("field {field} is not a number from 0 to {max:.0}")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Maximum value of the field; the minimum is 0.
        max: f64,
    },
}

impl From<FieldError> for ErrorResponse {
    fn from(error: FieldError) -> ErrorResponse {
        ErrorResponse::malformed(error)
    }
}

/// The fields of a request; fields that the comment omits are `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fields {
    /// Name of the request's class, not checked against the configured classes.
    pub class: Option<String>,
    /// The request's id, which the client chose.
    pub request_id: Option<u64>,
    /// How long the client waits after its request has arrived, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Name of the request's tenant, not checked against the configured tenants.
    pub tenant: Option<String>,
    /// Whether the request is a client's retry.
    pub is_retry: bool,
    /// The idempotency key, 1 to 128 characters that need no quoting.
    pub idempotency_key: Option<String>,
    /// The client's estimate of the work, in milliseconds on one core.
    pub work_ms: Option<f64>,
    /// The client's estimate of the memory, in MB.
    pub memory_mb: Option<f64>,
}

/// Splits a text into its leading comment and the statement after the comment. If the comment does not
/// consist of fields, or something other than white space precedes it, the first part is empty and the second
/// is the whole text.
///
/// # Errors
/// If the comment is not closed.
pub fn split_comment(text: &str) -> Result<(&str, &str), FieldError> {
    let trimmed = text.trim_start();
    let Some(rest) = trimmed.strip_prefix("/*") else { return Ok(("", text)) };
    let Some((comment, statement)) = rest.split_once("*/") else {
        return Err(FieldError::OpenComment);
    };
    if !comment.split(',').all(is_pair) {
        return Ok(("", text));
    }
    Ok((comment, statement.trim_start()))
}

/// Reads the fields of a text, and returns them with the statement after their comment.
///
/// # Errors
/// If the comment is not closed, or a field is invalid or duplicated.
pub fn split(text: &str) -> Result<(Fields, &str), FieldError> {
    let (comment, statement) = split_comment(text)?;
    Ok((read(pairs(comment))?, statement))
}

/// Splits a comment into the names and values of its fields.
pub fn pairs(comment: &str) -> impl Iterator<Item = (&str, &str)> {
    comment.split(',').filter_map(|pair| pair.trim().split_once('='))
}

/// Whether a field of this name is used, rather than ignored.
pub fn is_known(name: &str) -> bool {
    KNOWN_NAMES.contains(&name)
}

/// Whether a part of a comment is `name=value`, with no white space in the name. A comment with any other
/// part holds no fields.
fn is_pair(part: &str) -> bool {
    let part = part.trim();
    let name = part.split_once('=').map_or("", |(name, _)| name);
    !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_')
}

/// Reads names and values; unknown names are ignored.
///
/// # Errors
/// If a value is invalid for its field, or a field is given twice, since it is unknown which of the two
/// values is meant.
pub fn read<'a>(pairs: impl Iterator<Item = (&'a str, &'a str)>) -> Result<Fields, FieldError> {
    let mut fields = Fields::default();
    // A set, because a client chooses how many names there are: the cost must stay proportional to the text.
    let mut names_read = HashSet::new();
    for (name, value) in pairs {
        if !names_read.insert(name) {
            return Err(FieldError::Duplicate(name.to_owned()));
        }
        match name {
            name::CLASS => fields.class = Some(value.to_owned()),
            name::REQUEST_ID => fields.request_id = Some(read_id(value)?),
            name::TIMEOUT => fields.timeout_ms = Some(read_timeout(name::TIMEOUT, value)?),
            name::TENANT => fields.tenant = Some(value.to_owned()),
            name::RETRY if value == IS_RETRY => fields.is_retry = true,
            name::RETRY => return Err(FieldError::InvalidRetry),
            name::IDEMPOTENCY_KEY => fields.idempotency_key = Some(read_key(value)?),
            name::WORK_MS => fields.work_ms = Some(read_amount(name::WORK_MS, value, MAX_WORK_MS)?),
            name::MEMORY_MB => fields.memory_mb = Some(read_amount(name::MEMORY_MB, value, MAX_MEMORY_MB)?),
            _ => {}
        }
    }
    Ok(fields)
}

fn read_id(value: &str) -> Result<u64, FieldError> {
    let has_id_format = value.len() == ID_DIGITS && value.bytes().all(|byte| byte.is_ascii_hexdigit());
    let id = has_id_format.then(|| u64::from_str_radix(value, 16).ok()).flatten();
    id.ok_or(FieldError::InvalidId)
}

/// Checks an idempotency key. It is forwarded in the engines' list of fields, which has no quoting: the key
/// must not hold the list's separators.
fn read_key(value: &str) -> Result<String, FieldError> {
    let has_valid_length = (1..=MAX_KEY_CHARACTERS).contains(&value.len());
    let is_plain = value.bytes().all(|byte| byte.is_ascii_graphic()) && !value.contains([',', '=']);
    if has_valid_length && is_plain {
        Ok(value.to_owned())
    } else {
        Err(FieldError::InvalidKey)
    }
}

fn read_timeout(field: &'static str, value: &str) -> Result<u64, FieldError> {
    let millis = value.parse::<u64>().ok().filter(|millis| *millis <= MAX_TIMEOUT_MS);
    millis.ok_or(FieldError::InvalidTimeout(field))
}

/// Reads a number from 0 to `max`. An engine that receives a number it cannot use closes the connection, with
/// all attempts in flight on it.
fn read_amount(field: &'static str, value: &str, max: f64) -> Result<f64, FieldError> {
    let amount = value.parse::<f64>().ok().filter(|amount| (0.0..=max).contains(amount));
    amount.ok_or(FieldError::OutOfRange { field, max })
}
