//! Headers, inputs and actions to the messages of the file format, and back.
//!
//! Here the format's names (`proto/capture.proto`) become the policy's terms, and go no deeper. Every number is kept to
//! the bit. A message that lacks a field, or holds a value that this build does not know, is a [`DecodeError`].

mod actions;
mod headers;
mod inputs;
mod values;

pub use actions::{decode_action, digest_actions, encode_action, encode_actions};
pub use headers::{decode_engine, decode_header, encode_engine, encode_header};
pub use inputs::{decode_input, encode_event, encode_input};

/// A message that is no event or action of this build.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field} is missing or holds what this build does not know")]
pub struct DecodeError {
    /// The field, as the format names it.
    pub field: &'static str,
}
