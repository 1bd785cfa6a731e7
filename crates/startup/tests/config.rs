//! Tests of the start-up settings file.

use sprucelink_settings::SettingsFile;
use sprucelink_startup::config::StartupConfig;
use sprucelink_startup::dial_pacer::DialPacerConfig;

#[test]
fn absent_fields_take_their_defaults() {
    let config = StartupConfig::parse("{ // on\n enabled: true, lists: { fleet_rate: 50 }, }")
        .expect("valid settings");
    assert!(config.enabled);
    assert_eq!(config.endpoint_poller.fleet_rate, 50.0);
    assert_eq!(config.dial_pacer, DialPacerConfig::default());
}

#[test]
fn unknown_fields_and_numbers_out_of_range_are_rejected_by_name() {
    let error = StartupConfig::parse("{ enabled: true, list: {} }").unwrap_err().to_string();
    assert!(error.contains("unknown field") && error.contains("list"), "{error}");
    let error = StartupConfig::parse("{ dials: { stage_ms: 900 } }").unwrap_err().to_string();
    assert!(error.contains("dials.stage_ms"), "{error}");
    let result = StartupConfig::parse(
        "{ lists: { refused: { initial_ms: 0, multiplier: 1.6, jitter: 0.2, max_ms: 9 } } }",
    );
    let error = result.unwrap_err().to_string();
    assert!(error.contains("lists.refused.initial_ms"), "{error}");
    let error = StartupConfig::parse("{ enabled: yes }").unwrap_err().to_string();
    assert!(error.starts_with("cold start:"), "{error}");
}
