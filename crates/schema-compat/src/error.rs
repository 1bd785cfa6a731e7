//! Errors of building a [`Schema`](crate::Schema).

use thiserror::Error;

/// Why a text or a descriptor set is not a valid schema.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SchemaError {
    /// The compiler's message: file, line and cause.
    #[error("schema does not compile: {0}")]
    Compile(String),
    /// The bytes are not a valid descriptor set.
    #[error("schema's descriptors are invalid: {0}")]
    Descriptor(String),
    /// A limit of [`crate::limits`] is exceeded.
    #[error("schema has {actual} {what}, at most {limit} are taken")]
    LimitExceeded {
        /// What there is too much of.
        what: &'static str,
        /// How much there is.
        actual: usize,
        /// How much there may be.
        limit: usize,
    },
    /// The schema has no message that could be published.
    #[error("schema has no message")]
    Empty,
    /// A declaration names something that the schema does not have.
    #[error("schema's declarations: {0}")]
    Declaration(#[from] DeclarationError),
}

/// What a [`MigrationDeclaration`](crate::MigrationDeclaration) names although the schema does not have it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeclarationError {
    /// No message of this full name.
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
    /// No enum of this full name.
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
