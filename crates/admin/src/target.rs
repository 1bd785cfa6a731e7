//! Parses the body that names an engine: `{"target":"ID"}`.

use crate::limits::MAX_TARGET_BYTES;
use serde::Deserialize;
use serde_json::Value;

/// Maximum number of characters of the JSON library's message in a response: the message may quote the
/// client's input.
const MAX_QUOTED_CHARS: usize = 120;

/// Reason why a body names no engine. Each message is one line with the field and the rule that it breaks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TargetError {
    /// The body is empty.
    #[error("body: empty, expected {{\"target\":\"ID\"}}")]
    EmptyBody,
    /// The body is not a JSON object, or contains the field twice.
    #[error("body: {0}")]
    InvalidJson(String),
    /// The field is absent or null.
    #[error("target: missing")]
    Missing,
    /// The field is an empty string.
    #[error("target: empty")]
    Empty,
    /// The field is longer than [`MAX_TARGET_BYTES`]. The value is the length of the field in bytes.
    #[error("target: {0} bytes, at most {MAX_TARGET_BYTES}")]
    TooLong(usize),
    /// The field is not a string.
    #[error("target: not a string")]
    NotAString,
}

/// The body of a request. Unknown fields are ignored: an operator's tool may add its user and a reason, and
/// an engine must not stay in use because of that.
#[derive(Deserialize)]
struct Body {
    target: Option<Value>,
}

/// The engine's id in the body of a request.
///
/// # Errors
/// A body that names no engine.
pub fn parse_target(body: &[u8]) -> Result<String, TargetError> {
    if body.is_empty() {
        return Err(TargetError::EmptyBody);
    }
    let body: Body = serde_json::from_slice(body)
        .map_err(|e| TargetError::InvalidJson(e.to_string().chars().take(MAX_QUOTED_CHARS).collect()))?;
    match body.target {
        None => Err(TargetError::Missing),
        Some(Value::String(id)) if id.is_empty() => Err(TargetError::Empty),
        Some(Value::String(id)) if id.len() > MAX_TARGET_BYTES => Err(TargetError::TooLong(id.len())),
        Some(Value::String(id)) => Ok(id),
        Some(_) => Err(TargetError::NotAString),
    }
}
