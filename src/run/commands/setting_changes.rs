//! Changes settings of the policy before a replay.

use crate::run::cli::SettingChange;
use serde_json::Value;
use sprucelink_policy::Policy;

/// Reason why settings could not be changed.
#[derive(Debug, thiserror::Error)]
pub enum SettingChangeError {
    /// The current settings cannot be serialized as JSON.
    #[error(transparent)]
    Serialize(serde_json::Error),
    /// The path names a setting that does not exist.
    #[error("--set: {path}: unknown setting {field:?}")]
    UnknownPath {
        /// The path on the command line.
        path: String,
        /// The first part of the path that does not exist.
        field: String,
    },
    /// A value has the wrong type.
    #[error("--set")]
    InvalidValue(#[source] serde_json::Error),
    /// The change would add or remove a class or a tenant.
    #[error("--set: the number of classes and tenants cannot change")]
    CountChanged,
}

/// Applies changes through the JSON form of the settings, so that paths and types are checked.
///
/// # Errors
/// The first invalid change.
pub fn apply(changes: &[SettingChange], policy: &mut Policy) -> Result<(), SettingChangeError> {
    if changes.is_empty() {
        return Ok(());
    }
    let mut settings = serde_json::to_value(policy.settings()).map_err(SettingChangeError::Serialize)?;
    for change in changes {
        let setting = find_setting(&mut settings, &change.path)?;
        // A value that is not JSON is a string without quotes.
        *setting =
            serde_json::from_str(&change.value).unwrap_or_else(|_| Value::String(change.value.clone()));
    }
    let settings = serde_json::from_value(settings).map_err(SettingChangeError::InvalidValue)?;
    match policy.replace_settings(settings) {
        true => Ok(()),
        false => Err(SettingChangeError::CountChanged),
    }
}

/// The value at a path of field names and list indices, joined by dots.
fn find_setting<'a>(settings: &'a mut Value, path: &str) -> Result<&'a mut Value, SettingChangeError> {
    let mut current = settings;
    for field in path.split('.') {
        let next = match current {
            Value::Object(map) => map.get_mut(field),
            Value::Array(list) => field.parse().ok().and_then(|index: usize| list.get_mut(index)),
            _ => None,
        };
        current = next.ok_or_else(|| SettingChangeError::UnknownPath {
            path: path.to_owned(),
            field: field.to_owned(),
        })?;
    }
    Ok(current)
}
