//! May a publisher change its schema, given who reads it now?
//!
//! A schema is a set of protobuf descriptors. [`check`](check::check) compares two of them for readers that use all or
//! part of one; the verdict is *compatible*, *translatable* with a [`Translation`] that turns records of the writer's
//! version into the reader's, or *rejected* with path, rule and who would break. [`Registry`] is replicated state: it
//! judges a proposed schema against every subscriber in lease, and an arriving subscriber against every schema in
//! force, each in the one journal entry that changes the state.
//!
//! Decides only: no input or output, time is an argument, one journal gives one state everywhere.
//!
//! Compatibility as here understood follows the public protobuf language guide ("Updating A Message Type", wire types of
//! the encoding page) and goes beyond it where the wire is indifferent and the meaning is not.

pub mod bounds;
pub mod check;
mod convert;
pub mod declared;
mod enums;
pub mod explain;
mod field;
mod judge;
mod kind;
mod ledger;
mod model;
mod options;
mod pair;
pub mod registry;
pub mod rules;
pub mod sample;
pub mod schema;
pub mod translate;
pub mod uses;

pub use check::{check, check_findings, Directions, Verdict};
pub use declared::Declared;
pub use explain::{explain, Report};
pub use registry::{Op, Outcome, Registry};
pub use rules::{Finding, Reason, Rule};
pub use schema::{Digest, Schema, SchemaError};
pub use translate::{TranslateError, Translation};
pub use uses::{Form, Uses};
