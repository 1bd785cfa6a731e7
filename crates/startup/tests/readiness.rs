//! Readiness of a starting manager.

use sprucelink_startup::readiness::{BecameReady, Readiness, ReadinessConfig};
use sprucelink_startup::{TimeDelta, Timestamp};

/// Microseconds in a second.
const S: i64 = 1_000_000;

fn start() -> Readiness {
    Readiness::new(ReadinessConfig::default(), Timestamp::ZERO)
}

fn at(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

#[test]
fn ready_once_with_a_list_a_feed_answer_and_a_connection() {
    let mut readiness = start();
    readiness.record_endpoint_list(8);
    assert_eq!(readiness.check(at(100)), None);
    readiness.record_feed_answer();
    readiness.record_connection();
    let expected = BecameReady {
        after: TimeDelta::from_micros(200),
        feed_answered: true,
        is_connected: true,
        engines: 8,
    };
    assert_eq!(readiness.check(at(200)), Some(expected));
    assert_eq!(readiness.check(at(300)), None, "reported once");
    assert!(readiness.is_ready());
}

#[test]
fn feed_that_is_down_delays_readiness_by_its_longest_wait_only() {
    let mut readiness = start();
    readiness.record_endpoint_list(3);
    readiness.record_connection();
    assert_eq!(readiness.next_check_at(), Some(at(2 * S)));
    assert_eq!(readiness.check(at(2 * S - 1)), None);
    let ready = readiness.check(at(2 * S)).expect("ready after the wait");
    assert!(!ready.feed_answered && ready.is_connected);
}

#[test]
fn manager_without_a_list_is_never_ready() {
    let mut readiness = start();
    readiness.record_feed_answer();
    readiness.record_connection();
    assert_eq!(readiness.check(at(60 * S)), None);
}
