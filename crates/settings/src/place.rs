//! A place in a settings text, as errors name it.

use std::fmt;

/// The path by which `serde_path_to_error` names a text as a whole.
pub const ROOT: &str = ".";

/// A place in a settings text; shown as `line 2, column 5: lists.burst: `, or as nothing where nothing is known of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Line and column, from 1 (column 0: before the first character); `None` where the text has no lines.
    pub position: Option<(usize, usize)>,
    /// The field's path; empty or [`ROOT`] where the text as a whole is at fault.
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
