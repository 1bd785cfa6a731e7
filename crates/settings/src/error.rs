//! Why something told could not be used.

use std::fmt;

/// Why settings could not be read: where, by path and in JSON by line and column, and what is wrong there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The path of the field at fault, such as `settings.profiles[0].aim`, or the variable's name; empty where
    /// the text as a whole is at fault.
    pub path: String,
    /// Line and column, from 1; `None` where the text has no lines.
    pub at: Option<(usize, usize)>,
    /// What is wrong.
    pub why: String,
}

impl Error {
    /// A fault at a path of a text without lines.
    pub fn new(path: &str, why: impl fmt::Display) -> Error {
        Error { path: path.to_owned(), at: None, why: why.to_string() }
    }

    /// A fault of a JSON text, at a path.
    pub(crate) fn json(path: String, e: &serde_json::Error) -> Error {
        let said = e.to_string();
        // The position stands at the end of the text that the library gives: here it comes first.
        let tail = format!(" at line {} column {}", e.line(), e.column());
        let why = said.strip_suffix(&tail).unwrap_or(&said).to_owned();
        let at = (e.line() > 0).then(|| (e.line(), e.column()));
        Error { path, at, why }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((line, column)) = self.at {
            write!(f, "line {line}, column {column}: ")?;
        }
        if !self.path.is_empty() && self.path != "." {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.why)
    }
}

impl std::error::Error for Error {}
