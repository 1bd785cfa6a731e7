//! Capture and replay of the decision module: what it was told and what it answered, in order, kept in a
//! ring of files that each replay alone.
//!
//! | module | what it does | input and output |
//! | --- | --- | --- |
//! | [`wire`] | events and actions to protobuf and back | none |
//! | [`frame`] | frames of a file: length, checksum, search behind damage | none |
//! | [`ring`] | decides when a segment ends, what is dropped, which files go | none |
//! | [`settings`] | the recorder's settings, JSON5 | none |
//! | [`recorder`] | the recorder on the serving path, and its writer's thread | files |
//! | [`segment`] | a segment as it was read | none |
//! | [`reader`] | reads files, reports damage | files |
//! | [`segment_writer`] | writes a segment as a file | none |
//! | [`replay`] | gives a segment to the module and compares | none |
//! | [`rules`] | what must hold over a replay | none |
//! | [`explain`] | the story of a request, an engine, a moment | none |
//! | [`cut`] | makes a small case out of a capture | none |

pub mod cut;
mod error;
pub mod explain;
pub mod frame;
pub mod identity;
pub mod reader;
pub mod recorder;
pub mod replay;
pub mod ring;
pub mod rules;
pub mod segment;
pub mod segment_writer;
pub mod settings;
pub mod wire;

pub use error::{
    BoxError, CheckError, CutError, ParseError, ReadError, ReplayError, RuleError, SettingsError, StateError,
    UnknownTreatment, WriteError,
};

/// The messages of `proto/capture.proto`, as generated.
#[allow(missing_docs)]
pub mod pb {
    include!(concat!(env!("OUT_DIR"), "/sprucelink.capture.v1.rs"));
}
