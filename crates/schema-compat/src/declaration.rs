//! Migration declarations that accompany a schema: equivalent to the options in `.proto` text, for schemas
//! whose text cannot be edited.

use crate::error::{check_limit, DeclarationError, SchemaError};
use crate::limits::{MAX_DECLARATIONS, MAX_DECLARATION_BYTES};
use crate::model::{Enum, Field, Message, Model};
use crate::schema::Schema;

/// A migration declaration. Names refer to the new schema; messages and enums have their full names.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum MigrationDeclaration {
    /// A published message had another full name.
    MessageRenamed {
        /// Full name of the message.
        message: String,
        /// Former full name of the message.
        former_name: String,
    },
    /// A field had another name.
    FieldRenamed {
        /// Full name of the message.
        message: String,
        /// Name of the field.
        field: String,
        /// Former name of the field.
        former_name: String,
    },
    /// A field had another number.
    FieldRenumbered {
        /// Full name of the message.
        message: String,
        /// Name of the field.
        field: String,
        /// Former number of the field.
        number: u32,
    },
    /// Old readers of a removed field get the given value.
    RemovedFieldDefault {
        /// Full name of the message.
        message: String,
        /// Name of the removed field.
        field: String,
        /// Text of the value that readers get, such as `12`, `true` or the name of an enum value.
        value: String,
    },
    /// New readers get the given value for a field that older records lack.
    AddedFieldDefault {
        /// Full name of the message.
        message: String,
        /// Name of the field.
        field: String,
        /// Text of the value that readers get, such as `12`, `true` or the name of an enum value.
        value: String,
    },
    /// Readers that do not know a new or removed enum value get another value.
    EnumValueFallback {
        /// Full name of the enum.
        enumeration: String,
        /// Name of the value that readers may not know.
        value: String,
        /// Name of the value that such readers get instead.
        reads_as: String,
    },
}

impl MigrationDeclaration {
    fn strings(&self) -> [&str; 3] {
        match self {
            Self::MessageRenamed { message, former_name } => [message, former_name, ""],
            Self::FieldRenamed { message, field, former_name } => [message, field, former_name],
            Self::FieldRenumbered { message, field, .. } => [message, field, ""],
            Self::RemovedFieldDefault { message, field, value }
            | Self::AddedFieldDefault { message, field, value } => [message, field, value],
            Self::EnumValueFallback { enumeration, value, reads_as } => [enumeration, value, reads_as],
        }
    }
}

impl Schema {
    /// The same schema with declarations applied. The digest does not change, since it identifies the schema
    /// that publishers write.
    ///
    /// # Errors
    /// A declaration names a message, field or enum that the schema does not have, there are more than
    /// [`MAX_DECLARATIONS`] declarations, or one has a text longer than [`MAX_DECLARATION_BYTES`] bytes.
    pub fn declare(mut self, declared: &[MigrationDeclaration]) -> Result<Self, SchemaError> {
        check_limit("declarations", declared.len(), MAX_DECLARATIONS)?;
        for declaration in declared {
            for text in declaration.strings() {
                check_limit("bytes in a declaration", text.len(), MAX_DECLARATION_BYTES)?;
            }
            self.model.declare(declaration)?;
        }
        Ok(self)
    }
}

impl Model {
    fn declare(&mut self, declared: &MigrationDeclaration) -> Result<(), SchemaError> {
        match declared {
            MigrationDeclaration::MessageRenamed { message, former_name } => {
                self.message_mut(message)?.former_names.push(former_name.clone())
            }
            MigrationDeclaration::FieldRenamed { message, field, former_name } => {
                self.field_mut(message, field)?.former_names.push(former_name.clone());
            }
            MigrationDeclaration::FieldRenumbered { message, field, number } => {
                self.field_mut(message, field)?.former_numbers.push(*number);
            }
            MigrationDeclaration::RemovedFieldDefault { message, field, value } => {
                self.message_mut(message)?.removed.insert(field.clone(), value.clone());
            }
            MigrationDeclaration::AddedFieldDefault { message, field, value } => {
                self.field_mut(message, field)?.old_reads_as = Some(value.clone());
            }
            MigrationDeclaration::EnumValueFallback { enumeration, value, reads_as } => {
                let enumeration = self.enum_mut(enumeration)?;
                match enumeration.values.iter_mut().find(|one| one.name == *value) {
                    Some(known) => known.reads_as = Some(reads_as.clone()),
                    None => _ = enumeration.removed.insert(value.clone(), reads_as.clone()),
                }
            }
        }
        Ok(())
    }

    fn message_mut(&mut self, name: &str) -> Result<&mut Message, SchemaError> {
        let index =
            self.message_named(name).ok_or_else(|| DeclarationError::UnknownMessage(name.to_string()))?;
        Ok(&mut self.messages[index])
    }

    fn field_mut(&mut self, message: &str, name: &str) -> Result<&mut Field, SchemaError> {
        let unknown =
            || DeclarationError::UnknownField { message: message.to_string(), field: name.to_string() };
        Ok(self.message_mut(message)?.field_named_mut(name).ok_or_else(unknown)?)
    }

    fn enum_mut(&mut self, name: &str) -> Result<&mut Enum, SchemaError> {
        let unknown = || DeclarationError::UnknownEnum(name.to_string());
        Ok(self.enums.iter_mut().find(|one| one.name == name).ok_or_else(unknown)?)
    }
}
