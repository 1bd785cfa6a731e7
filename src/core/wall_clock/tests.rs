//! Tests of the wall clock under steps.

use super::*;

/// An hour in seconds.
const HOUR: i64 = 3_600;

fn s(seconds: i64) -> Timestamp {
    Timestamp::from_secs(seconds)
}

#[test]
fn unix_time_is_converted_to_the_same_age_whatever_steps_were_made_before() {
    let age = TimeDelta::from_secs(5);
    // No step; a step forward by an hour; a step back by a day.
    for (unix, now) in [(s(100_000), s(100_000)), (s(103_600), s(100_000)), (s(13_600), s(100_000))] {
        assert_eq!(now - WallClock::default().process_time_of(unix - age, unix, now), age);
    }
    assert_eq!(WallClock::default().process_time_of(Timestamp::MAX, Timestamp::ZERO, s(1)), s(1));
    let lowest = Timestamp::from_micros(i64::MIN);
    assert!(WallClock::default().process_time_of(lowest, s(1), s(1)) < Timestamp::ZERO, "no overflow");
}

#[test]
fn time_stamped_before_a_step_is_converted_with_the_earlier_offset() {
    for step in [HOUR, -HOUR, 2, -2] {
        let mut clock = WallClock::default();
        clock.observe(s(100_000), s(100_000));
        clock.observe(s(100_010 + step), s(100_010));
        // Stamped 3 s before the step and read 2 s after it. A small step may make it too late by its size.
        let ambiguity = if step.abs() < HOUR { step.abs() } else { 0 };
        let read = clock.process_time_of(s(100_007), s(100_012 + step), s(100_012));
        assert!(read >= s(100_007) && read <= s(100_007 + ambiguity), "step {step}: {read:?}");
        // Stamped 1 s after it.
        let read = clock.process_time_of(s(100_011 + step), s(100_012 + step), s(100_012));
        assert!(read >= s(100_011) && read <= s(100_012), "step {step}: {read:?}");
    }
}

#[test]
fn time_in_the_future_by_every_offset_counts_as_now() {
    let mut clock = WallClock::default();
    assert_eq!(clock.process_time_of(s(HOUR), s(10), s(10)), s(10));
}

#[test]
fn slewing_is_followed_and_offsets_are_bounded() {
    let mut clock = WallClock::default();
    for tenth in 0..100 {
        let drift = TimeDelta::from_millis(tenth * 50);
        clock.observe(s(1_000 + tenth) + drift, s(1_000 + tenth));
    }
    assert_eq!(clock.offsets.len(), 1, "no step");
    for step in 0..100 {
        clock.observe(s(2_000 + step * HOUR), s(2_000));
    }
    assert_eq!(clock.offsets.len(), MAX_OFFSETS);
}
