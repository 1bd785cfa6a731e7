//! Commands whose schema is decoded before they are applied.

use super::RegistryCommand;
use crate::declaration::MigrationDeclaration;
use crate::error::SchemaError;
use crate::schema::Schema;
use std::sync::Arc;

/// A proposal's schema with its declarations applied.
pub(super) type SchemaResult = Result<Arc<Schema>, SchemaError>;

pub(super) fn decode_schema(set: &[u8], declared: &[MigrationDeclaration]) -> SchemaResult {
    let schema = Schema::from_set(set).and_then(|schema| schema.declare(declared));
    schema.map(Arc::new)
}

/// A command whose schema, if it has one, is already decoded. Decoding takes most of a proposal's time and
/// needs no state, so that it can be done on another thread, and once for several registries.
#[derive(Clone, Debug)]
pub struct PreparedCommand {
    pub(super) command: RegistryCommand,
    pub(super) schema: Option<SchemaResult>,
}

impl RegistryCommand {
    /// Decodes the command's schema.
    #[must_use]
    pub fn prepare(self) -> PreparedCommand {
        let schema = match &self {
            RegistryCommand::Propose { schema, declarations, .. } => {
                Some(decode_schema(schema, declarations))
            }
            _ => None,
        };
        PreparedCommand { command: self, schema }
    }
}
