//! Changes settings of the policy before a replay.

use crate::run::cli::SettingChange;
use serde_json::Value;
use sprucelink_policy::Policy;

/// Why settings could not be changed.
#[derive(Debug, thiserror::Error)]
pub enum SettingChangeError {
    /// The current settings have no JSON form.
    #[error(transparent)]
    Serialize(serde_json::Error),
    /// There is no setting at this path.
    #[error("--set: {path}: no setting {field:?} there")]
    UnknownPath {
        /// The path as given.
        path: String,
        /// Its first part that does not exist.
        field: String,
    },
    /// A value has the wrong type.
    #[error("--set")]
    InvalidValue(#[source] serde_json::Error),
    /// The change would add or remove a class or a tenant.
    #[error("--set: classes and tenants stay as many as they are")]
    CountChanged,
}

/// Applies changes through the JSON form of the settings, so that paths and types are checked.
///
/// # Errors
/// The first change that does not fit.
pub fn apply(changes: &[SettingChange], policy: &mut Policy) -> Result<(), SettingChangeError> {
    if changes.is_empty() {
        return Ok(());
    }
    let mut settings = serde_json::to_value(policy.settings()).map_err(SettingChangeError::Serialize)?;
    for change in changes {
        let place = find(&mut settings, &change.path)?;
        // A value that is no JSON is a text without its quotes.
        *place = serde_json::from_str(&change.value).unwrap_or_else(|_| Value::String(change.value.clone()));
    }
    let settings = serde_json::from_value(settings).map_err(SettingChangeError::InvalidValue)?;
    match policy.replace_settings(settings) {
        true => Ok(()),
        false => Err(SettingChangeError::CountChanged),
    }
}

/// The value at a path of field names and list indices, joined by dots.
fn find<'a>(settings: &'a mut Value, path: &str) -> Result<&'a mut Value, SettingChangeError> {
    let mut place = settings;
    for field in path.split('.') {
        let next = match place {
            Value::Object(map) => map.get_mut(field),
            Value::Array(list) => field.parse().ok().and_then(|index: usize| list.get_mut(index)),
            _ => None,
        };
        place = next.ok_or_else(|| SettingChangeError::UnknownPath {
            path: path.to_owned(),
            field: field.to_owned(),
        })?;
    }
    Ok(place)
}
