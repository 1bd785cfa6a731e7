//! Tests of conversions and arithmetic of timestamps and spans.

use sprucelink_time::{TimeDelta, Timestamp};

#[test]
fn span_added_to_a_timestamp_and_subtracted_again_gives_the_timestamp() {
    let start = Timestamp::from_millis(5);
    let span = TimeDelta::from_micros(250);
    assert_eq!((start + span).as_micros(), 5_250);
    assert_eq!(start + span - span, start);
    assert_eq!(start + span - start, span);
    assert_eq!((start - (start + span)).as_micros(), -250);
}

#[test]
fn arithmetic_saturates_at_the_bounds() {
    assert_eq!(Timestamp::MAX + TimeDelta::from_secs(1), Timestamp::MAX);
    assert_eq!(TimeDelta::from_millis(i64::MAX), TimeDelta::MAX);
}

#[test]
fn seconds_round_to_the_nearest_microsecond_and_nan_counts_as_zero() {
    assert_eq!(TimeDelta::from_secs_f64(1.000_000_6).as_micros(), 1_000_001);
    assert_eq!(TimeDelta::from_secs_f64(f64::NAN), TimeDelta::ZERO);
    assert!((TimeDelta::from_millis(1_500).as_secs_f64() - 1.5).abs() < 1e-12);
    assert_eq!(TimeDelta::from_micros(1_999).as_millis(), 1);
}
