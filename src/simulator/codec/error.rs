//! Errors of lines that cannot be parsed.

use sprucelink_settings::ErrorReason;

/// Error for a line that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field} {reason} in line: {line}")]
pub struct WireError {
    /// Name of the first invalid field.
    pub field: String,
    /// Reason why the field is invalid.
    pub reason: FieldError,
    /// The beginning of the line, which the message quotes.
    pub line: String,
}

/// Reason why a field is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// The field is absent or empty.
    #[error("is missing")]
    Missing,
    /// The field is not a finite number.
    #[error("is not a number")]
    NotANumber,
    /// The field is not a whole number of 0 or more.
    #[error("is not a whole number")]
    NotAWholeNumber,
    /// The field is not a Boolean.
    #[error("is neither 1 nor 0")]
    NotAFlag,
    /// The field is not a request id.
    #[error("is not 16 hex digits")]
    NotARequestId,
    /// The field's value is not one of those defined for it.
    #[error("is unknown")]
    UnknownWord,
    /// An item of a list lacks its name or value.
    #[error("holds no name:value pair")]
    NotAPair,
    /// A value of a list is not a finite number.
    #[error("holds no number")]
    ValueNotANumber,
    /// The field is not a sequence of bytes in hex.
    #[error("is not hex")]
    NotHex,
    /// A setting is invalid.
    #[error(transparent)]
    Setting(ErrorReason),
}
