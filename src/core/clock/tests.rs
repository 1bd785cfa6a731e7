//! Tests of the clock under steps of the system clock.

use super::*;

#[test]
fn clock_starts_at_unix_time_and_advances_monotonically() {
    let (before, first) = (Instant::now(), now());
    // Within this process's own life no step of the system's clock is expected on a test machine; a minute is.
    assert!((unix() - first).as_micros().abs() < 60_000_000);
    let later = now();
    assert!(later >= first && (later - first).as_micros() <= before.elapsed().as_micros() as i64);
}
