//! Why a line cannot be read.

use sprucelink_settings::ErrorReason;

/// A line that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("field {field} {reason} in line: {line}")]
pub struct WireError {
    /// The field's name.
    pub field: String,
    /// What is wrong with it.
    pub reason: FieldError,
    /// The beginning of the line.
    pub line: String,
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// It is absent or empty.
    #[error("is missing")]
    Missing,
    /// It is no finite number.
    #[error("is not a number")]
    NotANumber,
    /// It is no whole number of 0 or more.
    #[error("is not a whole number")]
    NotAWholeNumber,
    /// It is no truth value.
    #[error("is neither 1 nor 0")]
    NotAFlag,
    /// It is no request id.
    #[error("is not 16 hex digits")]
    NotARequestId,
    /// Its word has no meaning here.
    #[error("is unknown")]
    UnknownWord,
    /// An item of a list lacks its name or value.
    #[error("holds no name:value pair")]
    NotAPair,
    /// A value of a list is no finite number.
    #[error("holds no number")]
    ValueNotANumber,
    /// It is no sequence of bytes in hex.
    #[error("is not hex")]
    NotHex,
    /// A setting is invalid.
    #[error(transparent)]
    Setting(ErrorReason),
}
