//! The location of an error in a settings text.

use std::fmt;

/// Path by which `serde_path_to_error` refers to a text as a whole.
pub const ROOT: &str = ".";

/// A location in a settings text. It is displayed as `line 2, column 5: lists.burst: `, or as the empty
/// string if the location is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Line and column, from 1 (column 0: before the first character); `None` if the text has no lines.
    pub position: Option<(usize, usize)>,
    /// The field's path; empty or [`ROOT`] if the text as a whole is invalid.
    pub path: String,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((line, column)) = self.position {
            write!(f, "line {line}, column {column}: ")?;
        }
        if !self.path.is_empty() && self.path != ROOT {
            write!(f, "{}: ", self.path)?;
        }
        Ok(())
    }
}
