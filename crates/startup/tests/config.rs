//! The start-up settings file.

use sprucelink_settings::SettingsFile;
use sprucelink_startup::config::StartupConfig;
use sprucelink_startup::dial_pacer::DialPacerConfig;

#[test]
fn absent_fields_take_defaults() {
    let config = StartupConfig::parse("{ // on\n enabled: true, lists: { fleet_rate: 50 }, }").expect("read");
    assert!(config.enabled);
    assert_eq!(config.endpoint_poller.fleet_rate, 50.0);
    assert_eq!(config.dial_pacer, DialPacerConfig::default());
}

#[test]
fn unknown_fields_and_numbers_out_of_range_are_rejected_by_name() {
    let e = StartupConfig::parse("{ enabled: true, list: {} }").unwrap_err().to_string();
    assert!(e.contains("unknown field") && e.contains("list"), "{e}");
    let e = StartupConfig::parse("{ dials: { stage_ms: 900 } }").unwrap_err().to_string();
    assert!(e.contains("dials.stage_ms"), "{e}");
    let e = StartupConfig::parse(
        "{ lists: { refused: { initial_ms: 0, multiplier: 1.6, jitter: 0.2, max_ms: 9 } } }",
    );
    let e = e.unwrap_err().to_string();
    assert!(e.contains("lists.refused.initial_ms"), "{e}");
    let e = StartupConfig::parse("{ enabled: yes }").unwrap_err().to_string();
    assert!(e.starts_with("cold start:"), "{e}");
}
