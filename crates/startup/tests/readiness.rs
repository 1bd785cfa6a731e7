//! Tests of the readiness of a starting manager.

use sprucelink_startup::readiness::{BecameReady, Readiness, ReadinessConfig};
use sprucelink_startup::{TimeDelta, Timestamp};

const MICROS_PER_SEC: i64 = 1_000_000;

fn new_readiness() -> Readiness {
    Readiness::new(ReadinessConfig::default(), Timestamp::ZERO)
}

fn at_micros(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

#[test]
fn ready_is_reported_once_with_a_list_a_feed_answer_and_a_connection() {
    let mut readiness = new_readiness();
    readiness.record_endpoint_list(8);
    assert_eq!(readiness.check(at_micros(100)), None);
    readiness.record_feed_answer();
    readiness.record_connection();
    let expected = BecameReady {
        after: TimeDelta::from_micros(200),
        feed_answered: true,
        is_connected: true,
        engines: 8,
    };
    assert_eq!(readiness.check(at_micros(200)), Some(expected));
    assert_eq!(readiness.check(at_micros(300)), None, "readiness is reported once");
    assert!(readiness.is_ready());
}

#[test]
fn feed_that_is_down_delays_readiness_by_no_more_than_its_longest_wait() {
    let mut readiness = new_readiness();
    readiness.record_endpoint_list(3);
    readiness.record_connection();
    assert_eq!(readiness.next_check_at(), Some(at_micros(2 * MICROS_PER_SEC)));
    assert_eq!(readiness.check(at_micros(2 * MICROS_PER_SEC - 1)), None);
    let ready = readiness.check(at_micros(2 * MICROS_PER_SEC)).expect("ready after the wait");
    assert!(!ready.feed_answered && ready.is_connected);
}

#[test]
fn manager_without_a_list_is_never_ready() {
    let mut readiness = new_readiness();
    readiness.record_feed_answer();
    readiness.record_connection();
    assert_eq!(readiness.check(at_micros(60 * MICROS_PER_SEC)), None);
}
