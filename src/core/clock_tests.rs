//! The clock under steps of the system's.

use super::*;

#[test]
fn a_start_that_is_told_in_unix_time_is_as_long_ago_whatever_the_system_clock_did_before() {
    let s = |t: i64| Timestamp::from_micros(t * 1_000_000);
    let five = TimeDelta::from_micros(5_000_000);
    // No step so far; the system's clock has gone forward an hour; it has gone back a day.
    for (unix, now) in [(s(100_000), s(100_000)), (s(103_600), s(100_000)), (s(13_600), s(100_000))] {
        assert_eq!(now - on_clock(unix - five, unix, now), five);
    }
    assert_eq!(on_clock(Timestamp::MAX, Timestamp::ZERO, s(1)), Timestamp::MAX, "nothing wraps");
    assert!(on_clock(Timestamp::from_micros(i64::MIN), s(1), s(1)) < Timestamp::ZERO);
}

#[test]
fn the_clock_starts_at_unix_time_and_goes_on_evenly() {
    let (before, told) = (Instant::now(), now());
    // Within this process's own life no step of the system's clock is expected on a test machine; a minute is.
    assert!((unix() - told).as_micros().abs() < 60_000_000);
    let later = now();
    assert!(later >= told && (later - told).as_micros() <= before.elapsed().as_micros() as i64);
}
