//! Tests of the clock under steps of the system clock.

use super::*;

#[test]
fn clock_starts_at_unix_time_and_advances_monotonically() {
    let before = Instant::now();
    let first = now();
    // A step of the system clock by more than a minute is not expected during a test.
    assert!((unix() - first).as_micros().abs() < 60_000_000);
    let later = now();
    // Both readings are rounded down to microseconds, so their difference is at most the time between them
    // rounded up.
    let max_micros = before.elapsed().as_nanos().div_ceil(1_000) as i64;
    assert!(later >= first && (later - first).as_micros() <= max_micros);
}
