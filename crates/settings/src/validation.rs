//! Rules for settings that their types do not enforce: ranges, lengths, uniqueness.

/// A settings field whose value breaks a rule.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{path}: {violation}")]
pub struct InvalidField {
    /// The field's path within its file, such as `lists.refused.jitter`.
    pub path: String,
    /// The rule that the value breaks.
    pub violation: Violation,
}

/// A rule for settings, with the value that breaks the rule.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// The number is not finite or lies outside its bounds.
    #[error("must lie within {min} and {max}, is {value}")]
    OutOfRange {
        /// Lower bound, inclusive.
        min: f64,
        /// Upper bound, inclusive.
        max: f64,
        /// The configured number.
        value: f64,
    },
    /// The value is not an IPv4 socket address.
    #[error("must be an IPv4 address and port, is {value:?}")]
    NotIpv4SocketAddress {
        /// The configured value.
        value: String,
    },
    /// The value is too long.
    #[error("{max} bytes at most, is {length}")]
    TooLong {
        /// Maximum length in bytes.
        max: usize,
        /// Length of the configured value in bytes.
        length: usize,
    },
    /// A name that must be unique occurs more than once.
    #[error("{item} {name:?} stands in two places")]
    Duplicate {
        /// Kind of item that has the name, such as `zone`.
        item: &'static str,
        /// The name that occurs more than once.
        name: String,
    },
}

impl InvalidField {
    /// Creates an error for the field at `path`.
    pub fn new(path: impl Into<String>, violation: Violation) -> InvalidField {
        InvalidField { path: path.into(), violation }
    }

    /// Returns the error with `section` put before the field's path.
    #[must_use]
    pub fn in_section(self, section: &str) -> InvalidField {
        InvalidField { path: format!("{section}.{}", self.path), ..self }
    }
}

/// Checks that a number is finite and lies between `min` and `max`, both inclusive.
///
/// # Errors
/// [`Violation::OutOfRange`] at `field`.
pub fn check_range(field: &str, value: f64, min: f64, max: f64) -> Result<(), InvalidField> {
    if value.is_finite() && (min..=max).contains(&value) {
        return Ok(());
    }
    Err(InvalidField::new(field, Violation::OutOfRange { min, max, value }))
}
