//! The range check of settings, with the text form of its error that scenarios use.

use sprucelink_settings::check_range;

/// Checks that a number is finite and lies within `min` and `max`, both included.
///
/// # Errors
/// The field, its bounds and the number.
pub(crate) fn within(field: &str, value: f64, min: f64, max: f64) -> Result<(), String> {
    check_range(field, value, min, max).map_err(|invalid| invalid.to_string())
}
