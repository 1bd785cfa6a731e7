//! Parser of the operator's settings files, such as `deploy/failover.json5`: JSON5 in which unknown fields
//! are errors and the values are validated.

use crate::{InvalidField, Place};
use serde::de::DeserializeOwned;

/// Settings that are read from a JSON5 file of the operator.
pub trait SettingsFile: DeserializeOwned {
    /// Name of what the settings configure, such as `failover`; each error message begins with it.
    const SUBJECT: &'static str;

    /// Checks the rules that the types do not enforce: ranges, and rules between fields.
    ///
    /// # Errors
    /// The first field that breaks a rule.
    fn validate(&self) -> Result<(), InvalidField>;

    /// Parses and validates the text of a file.
    ///
    /// # Errors
    /// A text that is not JSON5, a field that is unknown or of the wrong type, or a value that breaks a rule.
    fn parse(text: &str) -> Result<Self, SettingsFileError> {
        let settings: Self = deserialize(text)?;
        settings
            .validate()
            .map_err(|invalid| SettingsFileError::InvalidField { subject: Self::SUBJECT, invalid })?;
        Ok(settings)
    }
}

/// Reason why a settings file was rejected. The caller adds the file's name.
#[derive(Debug, thiserror::Error)]
pub enum SettingsFileError {
    /// The text is not JSON5, or a field is unknown or of the wrong type.
    #[error("{subject}: {place}{message}")]
    Json5 {
        /// [`SettingsFile::SUBJECT`] of the settings.
        subject: &'static str,
        /// Location of the error in the text.
        place: Place,
        /// The JSON5 library's message.
        message: String,
    },
    /// A value breaks a rule of the settings.
    #[error("{subject}: {invalid}")]
    InvalidField {
        /// [`SettingsFile::SUBJECT`] of the settings.
        subject: &'static str,
        /// The field, and the rule that it breaks.
        invalid: InvalidField,
    },
}

fn deserialize<T: SettingsFile>(text: &str) -> Result<T, SettingsFileError> {
    let mut deserializer =
        json5::Deserializer::from_str(text).map_err(|e| json5_error::<T>(String::new(), e))?;
    serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| json5_error::<T>(e.path().to_string(), e.into_inner()))
}

fn json5_error<T: SettingsFile>(path: String, error: json5::Error) -> SettingsFileError {
    let json5::Error::Message { msg, location } = error;
    let position = location.map(|at| (at.line, at.column));
    SettingsFileError::Json5 { subject: T::SUBJECT, place: Place { position, path }, message: msg }
}
