//! Tests of the clock under steps of the system clock.

use super::*;

#[test]
fn unix_time_is_converted_to_the_same_age_whatever_steps_the_system_clock_made() {
    let s = |t: i64| Timestamp::from_micros(t * 1_000_000);
    let five = TimeDelta::from_micros(5_000_000);
    // No step so far; the system's clock has gone forward an hour; it has gone back a day.
    for (unix, now) in [(s(100_000), s(100_000)), (s(103_600), s(100_000)), (s(13_600), s(100_000))] {
        assert_eq!(now - convert_from_unix(unix - five, unix, now), five);
    }
    assert_eq!(convert_from_unix(Timestamp::MAX, Timestamp::ZERO, s(1)), Timestamp::MAX, "nothing wraps");
    assert!(convert_from_unix(Timestamp::from_micros(i64::MIN), s(1), s(1)) < Timestamp::ZERO);
}

#[test]
fn clock_starts_at_unix_time_and_advances_monotonically() {
    let (before, first) = (Instant::now(), now());
    // Within this process's own life no step of the system's clock is expected on a test machine; a minute is.
    assert!((unix() - first).as_micros().abs() < 60_000_000);
    let later = now();
    assert!(later >= first && (later - first).as_micros() <= before.elapsed().as_micros() as i64);
}
