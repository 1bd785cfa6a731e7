//! Tests of the clock under steps of the system clock.

use super::*;

#[test]
fn clock_starts_at_unix_time_and_advances_monotonically() {
    let before = Instant::now();
    let first = now();
    // A step of the system clock by more than a minute is not expected during a test.
    assert!((unix() - first).as_micros().abs() < 60_000_000);
    let later = now();
    assert!(later >= first && (later - first).as_micros() <= before.elapsed().as_micros() as i64);
}
