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

pub mod check;
mod comparison;
mod convert;
pub mod declaration;
pub mod error;
pub mod explain;
mod field_type;
mod findings;
pub mod limits;
mod model;
pub mod registry;
pub mod rules;
pub mod sample;
pub mod schema;
mod schema_options;
mod symbol_history;
pub mod translate;
pub mod usage;

pub use check::{check, check_findings, Compatibility, Directions};
pub use declaration::MigrationDeclaration;
pub use error::{DeclarationError, SchemaError};
pub use explain::{explain, CompatibilityReport, ExplainError};
pub use registry::{CommandOutcome, Registry, RegistryCommand};
pub use rules::{Finding, Rule, Violation};
pub use schema::{Digest, Schema};
pub use translate::{TranslateError, Translation};
pub use usage::{ReaderUsage, RecordEncoding, UsageError};
