//! Rules that a setting must keep beyond its type: ranges, lengths, uniqueness.

/// A settings field whose value breaks a rule.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{path}: {violation}")]
pub struct InvalidField {
    /// The field's path within its file, such as `lists.refused.jitter`.
    pub path: String,
    /// The rule that the value breaks.
    pub violation: Violation,
}

/// A rule of settings, with the value that breaks it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// The number is not finite or lies outside its bounds.
    #[error("must lie within {min} and {max}, is {value}")]
    OutOfRange {
        /// Lower bound, included.
        min: f64,
        /// Upper bound, included.
        max: f64,
        /// The number found.
        value: f64,
    },
    /// The text is no IPv4 socket address.
    #[error("must be an IPv4 address and port, is {value:?}")]
    NotIpv4SocketAddress {
        /// The text found.
        value: String,
    },
    /// The text is too long.
    #[error("{max} bytes at most, is {length}")]
    TooLong {
        /// Longest length in bytes.
        max: usize,
        /// The length found, in bytes.
        length: usize,
    },
    /// A name that must be unique occurs twice.
    #[error("{item} {name:?} stands in two places")]
    Duplicate {
        /// What the name is of, such as `zone`.
        item: &'static str,
        /// The name.
        name: String,
    },
}

impl InvalidField {
    /// The field at `path` breaks a rule.
    pub fn new(path: impl Into<String>, violation: Violation) -> InvalidField {
        InvalidField { path: path.into(), violation }
    }

    /// The same violation as seen from the section that contains the field.
    #[must_use]
    pub fn in_section(self, section: &str) -> InvalidField {
        InvalidField { path: format!("{section}.{}", self.path), ..self }
    }
}

/// Checks that a number is finite and lies within `min` and `max`, both included.
///
/// # Errors
/// [`Violation::OutOfRange`] at `field`.
pub fn check_range(field: &str, value: f64, min: f64, max: f64) -> Result<(), InvalidField> {
    if value.is_finite() && (min..=max).contains(&value) {
        return Ok(());
    }
    Err(InvalidField::new(field, Violation::OutOfRange { min, max, value }))
}
