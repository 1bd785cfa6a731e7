//! What a publisher declares of a change beside its schema: the same that the options in `.proto` text say, for
//! schemas whose text is not the fleet's to mark.

use crate::bounds::{MAX_DECLARED, MAX_DECLARED_TEXT};
use crate::model::{Enum, Field, Message, Model};
use crate::schema::{bounded, Schema, SchemaError};

/// One declaration. Names are of the new schema, full ones for messages and enums.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Declared {
    /// A published message had another full name.
    MessageWas {
        /// The message.
        message: String,
        /// Its former full name.
        was: String,
    },
    /// A field had another name.
    FieldWas {
        /// The message.
        message: String,
        /// The field.
        field: String,
        /// Its former name.
        was: String,
    },
    /// A field had another number.
    FieldHadNumber {
        /// The message.
        message: String,
        /// The field.
        field: String,
        /// Its former number.
        number: u32,
    },
    /// Old readers of a removed field get this value.
    RemovedReadsAs {
        /// The message.
        message: String,
        /// The removed field.
        field: String,
        /// The value's text.
        value: String,
    },
    /// New readers get this value for a field in records older than it.
    OldReadsAs {
        /// The message.
        message: String,
        /// The field.
        field: String,
        /// The value's text.
        value: String,
    },
    /// Readers that do not know an enum's value, be it new or removed, get another.
    ValueReadsAs {
        /// The enum.
        enumeration: String,
        /// The value that they do not know.
        value: String,
        /// What they get.
        reads_as: String,
    },
}

impl Declared {
    fn texts(&self) -> [&str; 3] {
        match self {
            Self::MessageWas { message, was } => [message, was, ""],
            Self::FieldWas { message, field, was } => [message, field, was],
            Self::FieldHadNumber { message, field, .. } => [message, field, ""],
            Self::RemovedReadsAs { message, field, value } | Self::OldReadsAs { message, field, value } => {
                [message, field, value]
            }
            Self::ValueReadsAs { enumeration, value, reads_as } => [enumeration, value, reads_as],
        }
    }
}

impl Schema {
    /// The same schema, with what is declared beside it. Its digest stays: it names what publishers write.
    ///
    /// # Errors
    /// A declaration that names a message, field or enum that the schema does not have; more than [`MAX_DECLARED`], or
    /// a text longer than [`MAX_DECLARED_TEXT`] bytes.
    pub fn declare(mut self, declared: &[Declared]) -> Result<Self, SchemaError> {
        bounded("declarations", declared.len(), MAX_DECLARED)?;
        for one in declared {
            for text in one.texts() {
                bounded("bytes in a declaration", text.len(), MAX_DECLARED_TEXT)?;
            }
            self.model.declare(one)?;
        }
        Ok(self)
    }
}

impl Model {
    fn declare(&mut self, declared: &Declared) -> Result<(), SchemaError> {
        match declared {
            Declared::MessageWas { message, was } => self.told(message)?.former_names.push(was.clone()),
            Declared::FieldWas { message, field, was } => {
                self.told_field(message, field)?.former_names.push(was.clone());
            }
            Declared::FieldHadNumber { message, field, number } => {
                self.told_field(message, field)?.former_numbers.push(*number);
            }
            Declared::RemovedReadsAs { message, field, value } => {
                self.told(message)?.removed.insert(field.clone(), value.clone());
            }
            Declared::OldReadsAs { message, field, value } => {
                self.told_field(message, field)?.old_reads_as = Some(value.clone());
            }
            Declared::ValueReadsAs { enumeration, value, reads_as } => {
                let told = self.told_enum(enumeration)?;
                match told.values.iter_mut().find(|one| one.name == *value) {
                    Some(known) => known.reads_as = Some(reads_as.clone()),
                    None => _ = told.removed.insert(value.clone(), reads_as.clone()),
                }
            }
        }
        Ok(())
    }

    fn told(&mut self, name: &str) -> Result<&mut Message, SchemaError> {
        let at =
            self.message_named(name).ok_or_else(|| SchemaError::Declared(format!("no message {name}")))?;
        Ok(&mut self.messages[at])
    }

    fn told_field(&mut self, message: &str, name: &str) -> Result<&mut Field, SchemaError> {
        let missing = || SchemaError::Declared(format!("no field {name} in {message}"));
        self.told(message)?.field_named_mut(name).ok_or_else(missing)
    }

    fn told_enum(&mut self, name: &str) -> Result<&mut Enum, SchemaError> {
        let missing = || SchemaError::Declared(format!("no enum {name}"));
        self.enums.iter_mut().find(|one| one.name == name).ok_or_else(missing)
    }
}
