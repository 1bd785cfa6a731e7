use super::{avoidance_factor, health_factor, load_factor, price_as_load, price_of_use};
use crate::engine::Engine;
use crate::settings::Settings;
use sprucelink_time::{TimeDelta, Timestamp};

#[test]
fn twelfth_of_a_thread_per_core_halves_the_weight() {
    let ratio = load_factor(1.0 / 12.0) / load_factor(0.0);
    assert!((0.5..0.52).contains(&ratio), "{ratio}");
}

#[test]
fn health_factor_is_the_square_of_success_rate_over_slowness() {
    assert_eq!(health_factor(0.5, 1.0), 0.25);
    assert_eq!(health_factor(0.0, 2.0), 0.25);
    assert_eq!(health_factor(0.0, 0.5), 1.0, "a fast engine gets no bonus");
    assert!(health_factor(1.0, 1.0) > 0.0, "an engine that always fails can still be drawn");
}

#[test]
fn engine_of_the_last_attempt_is_nearly_excluded() {
    assert_eq!(avoidance_factor(false, false), 1.0);
    assert!(avoidance_factor(true, false) <= 0.001 && avoidance_factor(false, true) <= 0.001);
}

#[test]
fn price_counts_less_the_more_of_the_load_is_visible() {
    assert_eq!(price_as_load(0.1, 1.0), 0.0);
    assert_eq!(price_as_load(0.1, 0.5) * 4.0, price_as_load(0.1, 0.0));
}

#[test]
fn handshake_price_applies_where_no_connection_is_open() {
    let settings = Settings {
        zone: Some(0),
        cross_zone_price: 0.25,
        handshake_price: 0.5,
        idle_timeout: TimeDelta::from_secs(15),
        ..Settings::default()
    };
    let sent_at = Timestamp::from_millis(100_000);
    let mut engine = Engine::default();
    assert_eq!(price_of_use(sent_at, &settings, &engine), 0.5, "same zone, engine never used");
    engine.charge_send(sent_at, 1.0, 1.0, 0, &settings);
    let much_later = Timestamp::from_millis(200_000);
    assert_eq!(price_of_use(much_later, &settings, &engine), 0.0, "an attempt is in flight");
    engine.record_end(1.0);
    assert_eq!(price_of_use(Timestamp::from_millis(114_999), &settings, &engine), 0.0);
    assert_eq!(price_of_use(Timestamp::from_millis(115_000), &settings, &engine), 0.5, "idle for 15 s");
    let other_zone = Settings { zone: Some(1), ..settings };
    assert_eq!(price_of_use(much_later, &other_zone, &engine), 0.75);
}
