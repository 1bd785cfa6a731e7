//! Capture and replay of the policy: the events that the policy was given and the actions that it answered
//! with, in order, in a ring of files, each of which can be replayed without the others.
//!
//! | module | purpose | input and output |
//! | --- | --- | --- |
//! | [`input`], [`engine_numbers`], [`segment`] | the types of a capture | none |
//! | [`codec`] | converts inputs and actions to protobuf and back | none |
//! | [`frame`] | frames of a file: length, checksum, search for the next frame after damage | none |
//! | [`ring`] | decides when a segment ends, which records are dropped and which files are removed | none |
//! | [`settings`] | the recorder's settings, JSON5 | none |
//! | [`recorder`] | the recorder on the serving path, and its writer's thread | files |
//! | [`reader`] | reads files, reports damage | files |
//! | [`segment_writer`] | writes a segment as a file | none |
//! | [`replay`] | feeds a segment to the policy and compares its actions | none |
//! | [`rules`] | rules that a replay must hold | none |
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
