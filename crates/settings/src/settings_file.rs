//! Reader of the operator's own settings files, such as `deploy/failover.json5`: JSON5, strict, checked as a whole.

use crate::InvalidField;
use serde::de::DeserializeOwned;
use std::fmt;

/// Settings that an operator keeps in a JSON5 file of their own.
pub trait SettingsFile: DeserializeOwned {
    /// What the file configures; each error text begins with it.
    const SUBJECT: &'static str;

    /// Checks what the types alone do not: ranges, and rules between fields.
    ///
    /// # Errors
    /// The first field that breaks a rule.
    fn validate(&self) -> Result<(), InvalidField>;

    /// Reads and validates the text of a file.
    ///
    /// # Errors
    /// Where the text is no JSON5, a field is unknown or of the wrong type, or a value breaks a rule.
    fn parse(text: &str) -> Result<Self, SettingsFileError> {
        let settings: Self = deserialize(text)?;
        settings
            .validate()
            .map_err(|invalid| SettingsFileError::InvalidField { subject: Self::SUBJECT, invalid })?;
        Ok(settings)
    }
}

/// Why a settings file was refused. The caller adds the file's name.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// The text is no JSON5, or a field is unknown or of the wrong type.
    #[error("{subject}: {place}{message}")]
    Json5 {
        /// What the file configures.
        subject: &'static str,
        /// Where in the text.
        place: Place,
        /// The JSON5 library's message.
        message: String,
    },
    /// A value breaks a rule of the settings.
    #[error("{subject}: {invalid}")]
    InvalidField {
        /// What the file configures.
        subject: &'static str,
        /// The field and the rule.
        invalid: InvalidField,
    },
}

/// A place in a settings text; shown as `line 2, column 5: lists.burst: `.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Line and column, from 1, where the library tells them.
    pub position: Option<(usize, usize)>,
    /// The field's path; empty where the text as a whole is at fault.
    pub path: String,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((line, column)) = self.position {
            write!(f, "line {line}, column {column}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        Ok(())
    }
}

fn deserialize<T: SettingsFile>(text: &str) -> Result<T, SettingsFileError> {
    let mut deserializer =
        json5::Deserializer::from_str(text).map_err(|e| json5_error::<T>(String::new(), e))?;
    serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
        let path = match e.path().to_string() {
            // The library's name for the root.
            path if path == "." => String::new(),
            path => path,
        };
        json5_error::<T>(path, e.into_inner())
    })
}

fn json5_error<T: SettingsFile>(path: String, error: json5::Error) -> SettingsFileError {
    let json5::Error::Message { msg, location } = error;
    let position = location.map(|at| (at.line, at.column));
    SettingsFileError::Json5 { subject: T::SUBJECT, place: Place { position, path }, message: msg }
}
