//! Tests of operators' settings files: accepted and rejected input, and the location in the error.

use serde::Deserialize;
use sprucelink_settings::{check_range, InvalidField, SettingsFile, SettingsFileError, Violation};

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Limits {
    burst: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Example {
    enabled: bool,
    limits: Limits,
}

impl SettingsFile for Example {
    const SUBJECT: &'static str = "example";

    fn validate(&self) -> Result<(), InvalidField> {
        check_range("burst", self.limits.burst, 0.0, 10.0).map_err(|invalid| invalid.in_section("limits"))
    }
}

fn error_text(text: &str) -> String {
    Example::parse(text).expect_err(text).to_string()
}

#[test]
fn comments_and_trailing_commas_are_accepted() {
    let settings = Example::parse("{ // on\n enabled: true, limits: { burst: 3 }, }").expect("read");
    assert!(settings.enabled);
    assert_eq!(settings.limits.burst, 3.0);
}

#[test]
fn unknown_field_is_rejected_with_line_column_and_path() {
    let text = error_text("{\n  limits: { bursts: 3 } }");
    assert!(text.starts_with("example: line 2, column 13: limits.bursts: unknown field `bursts`"), "{text}");
}

#[test]
fn wrong_type_is_rejected_with_line_column_and_path() {
    let text = error_text("{ limits: { burst: 'many' } }");
    assert!(text.starts_with("example: line 1, column 20: limits.burst: error parsing number"), "{text}");
}

#[test]
fn text_that_is_not_json5_is_rejected_with_its_position() {
    let text = error_text("{ enabled: yes }");
    assert!(text.starts_with("example: line 1, column "), "{text}");
}

#[test]
fn number_out_of_range_is_rejected_with_field_bounds_and_value() {
    let error = Example::parse("{ limits: { burst: 11 } }").expect_err("out of range");
    assert_eq!(error.to_string(), "example: limits.burst: must lie within 0 and 10, is 11");
    let SettingsFileError::InvalidField { invalid, .. } = error else { panic!("{error:?}") };
    assert_eq!(invalid.violation, Violation::OutOfRange { min: 0.0, max: 10.0, value: 11.0 });
}

#[test]
fn bounds_are_inclusive_and_non_finite_numbers_are_rejected() {
    assert!(check_range("x", 0.0, 0.0, 1.0).is_ok());
    assert!(check_range("x", 1.0, 0.0, 1.0).is_ok());
    for value in [f64::NAN, f64::INFINITY, -0.1, 1.1] {
        assert!(check_range("x", value, 0.0, 1.0).is_err(), "{value}");
    }
}
