//! Tests of platform configurations with unusual names, effects of classes (whether a retry is safe) and
//! limits: names have no influence on the converted settings, and parsing one configuration leaves no state
//! for the next one.

use serde_json::{json, Value};
use sprucelink_policy::{DedupGroup, Effect, TimeDelta};
use sprucelink_settings::{pairs, PlatformConfig};

fn read(settings: &Value) -> PlatformConfig<Value> {
    let text = json!({"listen": "10.0.0.4:7001", "seed": "a", "settings": settings}).to_string();
    PlatformConfig::parse(&text).unwrap_or_else(|e| panic!("{e}"))
}

/// A site whose names need quoting, are prefixes of each other, or equal values of other settings.
fn unusual_site() -> Value {
    let class = |name: &str, effect: &str, scope: &str, window: f64| json!({"name": name, "effect": effect, "dedupScope": scope, "repeatWindow": window, "deadline": 3.0});
    json!({
        "profiles": [
            class("rate", "read_like", "all", 0.0),
            class("rate-2", "idempotency_key", "zone", 0.0),
            class("ra\"te\\\n,=\u{e9}", "idempotency_key", "cell", 1.0),
            class("all", "non_idempotent", "all", 5.0),
            class("-", "idempotency_key", "all", 30.0),
            class("true", "brand_new", "everywhere", 1.0),
        ],
        "customers": [{"name": "a"}, {"name": "ab", "quotaPerS": 0}, {"name": "a\"b", "quotaPerS": 0.5}],
        "zones": ["z", "z1", "z\"1"],
        "specifics": {"classThreads": [1], "loads": [false, true]},
        "limits": {"maxAttempts": 2, "maxStreams": 1, "connIdle": 0, "connectTimeout": 0.1},
        "invariants": {"ratioSpan": 0, "drainGrace": 0},
    })
}

#[test]
fn classes_of_an_unusual_site_are_converted_by_their_own_values() {
    let wire = read(&unusual_site()).settings;
    let settings = wire.to_policy_settings();
    let effects: Vec<Effect> = settings.classes.iter().map(|c| c.effect).collect();
    use Effect::{Keyed, Safe, Unsafe};
    assert_eq!(effects, [Safe, Keyed, Keyed, Unsafe, Keyed, Unsafe], "an unknown effect is not retried");
    let groups: Vec<DedupGroup> = settings.classes.iter().map(|c| c.group).collect();
    use DedupGroup::{All, Cell, Zone};
    assert_eq!(groups, [All, Zone, Cell, All, All, Cell], "an unknown scope is the narrowest");
    let windows: Vec<i64> = settings.classes.iter().map(|c| c.repeat_window.as_micros()).collect();
    // Windows shorter than the deadline, zero, and longer are used as configured.
    assert_eq!(windows, [0, 0, 1_000_000, 5_000_000, 30_000_000, 1_000_000]);
    let names: Vec<&str> = wire.classes.iter().map(|p| p.name.0.as_str()).collect();
    assert_eq!(
        names,
        ["rate", "rate-2", "ra\"te\\\n,=\u{e9}", "all", "-", "true"],
        "names are not interpreted"
    );
    assert!(
        !settings.classes[0].loads_tables
            && settings.classes[1].loads_tables
            && !settings.classes[5].loads_tables
    );
    assert!(settings.classes.iter().all(|c| c.threads == 1.0));
    let quotas: Vec<f64> = settings.tenants.iter().map(|t| t.quota_per_s).collect();
    assert_eq!(quotas, [f64::MAX, 0.0, 0.5]);
    assert_eq!(wire.zone_names.iter().map(|z| z.0.as_str()).collect::<Vec<_>>(), ["z", "z1", "z\"1"]);
    // A limit of zero differs from an absent limit.
    assert_eq!((settings.idle_timeout, settings.drain_grace), (TimeDelta::ZERO, TimeDelta::ZERO));
    let retry_budget = settings.retry_budget.expect("configured");
    assert_eq!(
        (retry_budget.window, retry_budget.free_retries, retry_budget.retries_per_request),
        (TimeDelta::ZERO, 0.0, 0.0)
    );
}

/// The configuration of the site has no tenants, zones, limits and load reports.
#[test]
fn site_without_optional_sections_gets_defaults() {
    let settings = read(&json!({"profiles": [{"name": "only"}], "customers": [], "zones": []}))
        .settings
        .to_policy_settings();
    assert!(settings.tenants.is_empty() && settings.retry_budget.is_none() && settings.zone.is_none());
    assert_eq!(
        (settings.classes.len(), settings.classes[0].effect, settings.gateways),
        (1, Effect::Unsafe, 1)
    );
    assert_eq!((settings.max_attempts, settings.classes[0].repeat_window), (1, TimeDelta::ZERO));
    assert!(settings.classes[0].zones.is_none() && settings.classes[0].kinds.is_none());
}

/// Guards against state that is shared between parses: configurations are reloaded, and the simulator runs
/// many instances in one process.
#[test]
fn parsing_one_configuration_leaves_no_state_for_the_next() {
    let (unusual, empty) = (unusual_site(), json!({}));
    let (unusual_config, empty_config) = (read(&unusual), read(&empty));
    for _ in 0..3 {
        assert_eq!(read(&unusual), unusual_config);
        assert_eq!(read(&empty), empty_config);
        let wire = pairs::parse(["customers.count=1", "customers.0.name=x", "siblings=3"].into_iter());
        assert_eq!(wire.expect("read").to_policy_settings().gateways, 3);
        let wire = pairs::parse(std::iter::empty()).expect("read");
        assert_eq!(
            (wire.to_policy_settings(), wire.tenants.len()),
            (empty_config.settings.to_policy_settings(), 0)
        );
    }
}

/// A sequence number without the events up to it is ignored. Otherwise the feed would be polled from after
/// that number and would never send its first event, which contains the complete list.
#[test]
fn event_number_without_events_is_ignored() {
    let known = |text: &str| {
        let text = format!(r#"{{"listen":"10.0.0.4:1","seed":"a","settings":{{}},"known":{text}}}"#);
        let known = PlatformConfig::<Value>::parse(&text).unwrap_or_else(|e| panic!("{e}")).known_events;
        (known.last_event.0, known.events.len())
    };
    assert_eq!(known(r#"{"n":41,"events":[]}"#), (None, 0));
    assert_eq!(known(r#"{"n":41}"#), (None, 0));
    assert_eq!(known(r#"{"n":41,"events":null}"#), (None, 0));
    assert_eq!(known(r#"{"n":41,"events":[{}]}"#), (Some(41), 1));
    assert_eq!(known(r#"{"events":[{},{}]}"#), (None, 2));
}
