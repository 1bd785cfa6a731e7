//! Tests of the conversion of Unix times under steps of the wall clock.

use super::*;

const HOUR_S: i64 = 3_600;

fn time_s(seconds: i64) -> Timestamp {
    Timestamp::from_secs(seconds)
}

#[test]
fn unix_time_keeps_its_age_for_any_offset_of_the_wall_clock() {
    let age = TimeDelta::from_secs(5);
    // No step; a step forward by an hour; a step back by a day.
    for (unix, now) in [
        (time_s(100_000), time_s(100_000)),
        (time_s(103_600), time_s(100_000)),
        (time_s(13_600), time_s(100_000)),
    ] {
        assert_eq!(now - WallClock::default().process_time_of(unix - age, unix, now), age);
    }
    assert_eq!(WallClock::default().process_time_of(Timestamp::MAX, Timestamp::ZERO, time_s(1)), time_s(1));
    let lowest = Timestamp::from_micros(i64::MIN);
    assert!(
        WallClock::default().process_time_of(lowest, time_s(1), time_s(1)) < Timestamp::ZERO,
        "no overflow"
    );
}

#[test]
fn time_stamped_before_a_step_is_converted_with_the_earlier_offset() {
    for step in [HOUR_S, -HOUR_S, 2, -2] {
        let mut clock = WallClock::default();
        clock.observe(time_s(100_000), time_s(100_000));
        clock.observe(time_s(100_010 + step), time_s(100_010));
        // A time that was stamped 3 s before the step and is converted 2 s after the step. If the step is
        // small (here less than an hour), the converted time may be up to the size of the step too late.
        let ambiguity = if step.abs() < HOUR_S { step.abs() } else { 0 };
        let converted = clock.process_time_of(time_s(100_007), time_s(100_012 + step), time_s(100_012));
        assert!(
            converted >= time_s(100_007) && converted <= time_s(100_007 + ambiguity),
            "step {step}: {converted:?}"
        );
        // A time that was stamped 1 s after the step and is converted 1 s later.
        let converted =
            clock.process_time_of(time_s(100_011 + step), time_s(100_012 + step), time_s(100_012));
        assert!(converted >= time_s(100_011) && converted <= time_s(100_012), "step {step}: {converted:?}");
    }
}

#[test]
fn time_in_the_future_by_every_offset_counts_as_now() {
    let mut clock = WallClock::default();
    assert_eq!(clock.process_time_of(time_s(HOUR_S), time_s(10), time_s(10)), time_s(10));
}

#[test]
fn slewing_is_followed_and_offsets_are_bounded() {
    let mut clock = WallClock::default();
    for tenth in 0..100 {
        let drift = TimeDelta::from_millis(tenth * 50);
        clock.observe(time_s(1_000 + tenth) + drift, time_s(1_000 + tenth));
    }
    assert_eq!(clock.offsets.len(), 1, "no step");
    for step in 0..100 {
        clock.observe(time_s(2_000 + step * HOUR_S), time_s(2_000));
    }
    assert_eq!(clock.offsets.len(), MAX_OFFSETS);
}
