//! Capture and replay of the decision module: what the policy was given and what it answered, in order, in a ring of
//! files that each replay alone.
//!
//! | module | what it does | input and output |
//! | --- | --- | --- |
//! | [`input`], [`engine_numbers`], [`segment`] | a capture as types | none |
//! | [`codec`] | inputs and actions to protobuf and back | none |
//! | [`frame`] | frames of a file: length, checksum, search behind damage | none |
//! | [`ring`] | decides when a segment ends, what is dropped, which files are removed | none |
//! | [`settings`] | the recorder's settings, JSON5 | none |
//! | [`recorder`] | the recorder on the serving path, and its writer's thread | files |
//! | [`reader`] | reads files, reports damage | files |
//! | [`segment_writer`] | writes a segment as a file | none |
//! | [`replay`] | feeds a segment to the policy and compares its actions | none |
//! | [`rules`] | what must hold over a replay | none |
//! | [`explain`] | explains a request, an engine, a moment | none |
//! | [`cut`] | cuts a small case out of a capture | none |

pub mod codec;
pub mod cut;
pub mod engine_numbers;
mod error;
pub mod explain;
mod file_name;
pub mod frame;
pub mod identity;
pub mod input;
pub mod reader;
pub mod recorder;
pub mod replay;
pub mod ring;
pub mod rules;
pub mod segment;
pub mod segment_writer;
pub mod settings;

pub use error::{
    BoxError, CheckError, CutError, ParseError, ReadError, ReplayError, RuleError, SettingsError, StateError,
    UnknownOutcomePolicy, WriteError,
};

/// The messages of `proto/capture.proto`, as generated.
#[allow(missing_docs)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/sprucelink.capture.v1.rs"));
}
