//! Schema compatibility: whether a publisher may change its schema while subscribers read it.
//!
//! A schema is a set of protobuf descriptors. [`check`](check::check) compares two of them for readers that
//! use all or part of one; the result is *compatible*, *translatable* with a [`Translation`] of the writer's
//! records into the reader's version, or *rejected* with path, rule and affected readers. [`Registry`] is a
//! replicated state machine: it checks a proposed schema against every subscriber that holds a lease, and a
//! new subscriber against every schema in force, within the journal entry that changes the state.
//!
//! The crate performs no input or output; time is an argument, and equal journals give equal states.
//!
//! The rules follow the public protobuf language guide ("Updating A Message Type", wire types of
//! the encoding page) and extend it where the encoding stays valid but the meaning changes.

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
