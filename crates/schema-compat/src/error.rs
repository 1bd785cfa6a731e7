//! Errors of building a [`Schema`](crate::Schema).

use thiserror::Error;

/// Why a text or a descriptor set is not a valid schema.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SchemaError {
    /// The text does not compile; the value is the compiler's message with file, line and cause.
    #[error("schema does not compile: {0}")]
    Compile(String),
    /// The bytes are not a valid descriptor set.
    #[error("schema's descriptors are invalid: {0}")]
    Descriptor(String),
    /// A limit of [`crate::limits`] is exceeded.
    #[error("schema has {actual} {what}, at most {limit} are allowed")]
    LimitExceeded {
        /// The counted quantity, in the plural: `fields`, `bytes of text`.
        what: &'static str,
        /// The schema's count.
        actual: usize,
        /// The largest count allowed.
        limit: usize,
    },
    /// The schema declares no message, so that there is nothing to publish.
    #[error("schema has no message")]
    Empty,
    /// A migration declaration names something that the schema does not have.
    #[error("invalid migration declaration: {0}")]
    Declaration(#[from] DeclarationError),
}

/// A name in a [`MigrationDeclaration`](crate::MigrationDeclaration) that the schema does not have.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeclarationError {
    /// The schema has no message of this full name.
    #[error("no message {0}")]
    UnknownMessage(String),
    /// The message has no such field.
    #[error("no field {field} in {message}")]
    UnknownField {
        /// Full name of the message.
        message: String,
        /// Name of the field.
        field: String,
    },
    /// The schema has no enum of this full name.
    #[error("no enum {0}")]
    UnknownEnum(String),
}

/// Checks a size against its limit.
///
/// # Errors
/// [`SchemaError::LimitExceeded`] if `actual` is greater than `limit`.
pub(crate) fn check_limit(what: &'static str, actual: usize, limit: usize) -> Result<(), SchemaError> {
    if actual > limit {
        return Err(SchemaError::LimitExceeded { what, actual, limit });
    }
    Ok(())
}
