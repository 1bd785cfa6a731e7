//! Tests of the failover settings file.

use sprucelink_settings::SettingsFile;
use sprucelink_zone_failover::config::FailoverConfig;

#[test]
fn valid_settings_are_read_and_invalid_settings_are_rejected_by_name() {
    let text = "{ enabled: true, regions: { north: ['hall-a', 'hall-b'], south: ['hall-c'] } }";
    let config = FailoverConfig::parse(text).expect("valid settings");
    let zones: Vec<String> = ["hall-a", "hall-c", "hall-b", "hall-d"].map(str::to_owned).to_vec();
    let regions: Vec<u32> = (0..4).map(|zone| config.region(&zones, zone)).collect();
    assert_eq!(regions, [0, 1, 0, 5]);
    let error = |text: &str| FailoverConfig::parse(text).unwrap_err().to_string();
    assert!(error("{ overprovison: 1 }").contains("overprovison"));
    assert!(error("{ quorum: 0.2 }").contains("quorum"));
    assert!(error("{ regions: { a: ['x'], b: ['x'] } }").contains("two places"));
    assert!(error("{ back_ms: 40000 }").contains("back_most_ms"));
}
