//! Converts headers, inputs and actions to the protobuf messages of the file format, and back.
//!
//! This module translates between the names of the format (`proto/capture.proto`) and the policy's terms.
//! Every number keeps its exact bits. A message that lacks a field, or holds a value that this build does not
//! know, gives a [`DecodeError`].

mod actions;
mod headers;
mod inputs;
mod values;

pub use actions::{decode_action, digest_actions, encode_action, encode_actions};
pub use headers::{decode_engine, decode_header, encode_engine, encode_header};
pub use inputs::{decode_input, encode_event, encode_input};

/// A message that does not decode to an event or action of this build.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field} is missing or holds a value that this build does not know")]
pub struct DecodeError {
    /// Name of the field in the file format.
    pub field: &'static str,
}
