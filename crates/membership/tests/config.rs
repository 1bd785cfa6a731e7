//! Tests of membership settings files.

use sprucelink_membership::MembershipConfig;
use sprucelink_settings::SettingsFile;

#[test]
fn settings_have_defaults_and_invalid_ones_are_rejected_by_name() {
    let config =
        MembershipConfig::parse("{ enabled: true, listen: '127.0.0.1:0', protocol: { period_ms: 500 } }");
    assert_eq!(config.expect("valid").protocol.indirect_probes, 3);
    let error_of = |text: &str| MembershipConfig::parse(text).unwrap_err().to_string();
    assert!(error_of("{ enabled: true }").contains("listen"));
    assert!(error_of("{ enabled: true, listen: '[::1]:7' }").contains("IPv4"));
    assert!(error_of("{ seeds: ['x'] }").contains("seeds[0]"));
    assert!(error_of("{ protocol: { timeout_ms: 2000 } }").contains("protocol.timeout_ms"));
    assert!(error_of("{ share: { rations: true } }").contains("rations"));
    assert!(MembershipConfig::parse("{}").is_ok(), "the default settings are valid");
}

/// Names in settings files differ from field names and must stay compatible.
#[test]
fn every_setting_is_read_by_its_name_in_files() {
    let text = "{ protocol: { indirect: 1, suspicion_least: 2, suspicion_most: 3, health_most: 4, retransmit: 5,
        gossip_ms: 60, fanout: 7, rejoin_ms: 800, keep_dead_s: 9 }, share: { ration: true, parts: true, every_ms: 300 } }";
    let config = MembershipConfig::parse(text).expect("valid");
    let protocol = config.protocol;
    assert_eq!((protocol.indirect_probes, protocol.max_local_health, protocol.gossip_fanout), (1, 4, 7));
    assert_eq!((protocol.suspicion_multiplier, protocol.max_suspicion_multiplier), (2.0, 3.0));
    assert_eq!((protocol.retransmit_multiplier, protocol.gossip_interval_ms), (5.0, 60.0));
    assert_eq!((protocol.anti_entropy_interval_ms, protocol.dead_retention_s), (800.0, 9.0));
    let share = config.share;
    assert!(share.pool_retry_budgets && share.divide_by_live_members);
    assert_eq!(share.payload_interval_ms, 300.0);
}
