//! Pacing of new connections.

use sprucelink_startup::dial_pacer::{DialPacer, DialPacerConfig};
use sprucelink_startup::{TimeDelta, Timestamp};

/// Microseconds in a millisecond.
const MS: i64 = 1_000;

#[test]
fn first_dials_of_many_managers_to_one_engine_spread_over_the_window() {
    let mut tenths = [0u32; 10];
    for manager in 0..1000 {
        let mut pacer = DialPacer::new(DialPacerConfig::default(), &format!("n{manager}"), Timestamp::ZERO);
        let dial_at = pacer.reserve_dial(Timestamp::ZERO, "s-00c41f7a").as_micros();
        assert!((0..=100 * MS).contains(&dial_at), "{dial_at}");
        tenths[((dial_at / (10 * MS)) as usize).min(9)] += 1;
    }
    assert!(tenths.iter().all(|n| (60..=140).contains(n)), "{tenths:?}");
}

#[test]
fn no_dial_waits_longer_than_a_window_and_an_interval() {
    let mut pacer = DialPacer::new(DialPacerConfig::default(), "n1", Timestamp::ZERO);
    let mut now = Timestamp::ZERO;
    // 40 dials a second, under the rate of 50.
    for i in 0..500 {
        let dial_at = pacer.reserve_dial(now, &format!("s-{i}"));
        assert!(dial_at >= now);
        let wait = dial_at - now;
        assert!(wait.as_micros() <= 100 * MS + 20 * MS + 1, "dial {i} waits {wait:?}");
        now = now + TimeDelta::from_millis(25);
    }
}

#[test]
fn only_the_rate_delays_dials_after_warm_up() {
    let config = DialPacerConfig { warmup_ms: 1_000.0, ..DialPacerConfig::default() };
    let mut pacer = DialPacer::new(config, "n1", Timestamp::ZERO);
    let late = Timestamp::from_millis(2_000);
    assert_eq!(pacer.reserve_dial(late, "s-1"), late);
    // A burst of 16, then 50 a second.
    for i in 1..16 {
        assert_eq!(pacer.reserve_dial(late, &format!("s-{}", i + 1)), late);
    }
    let wait = (pacer.reserve_dial(late, "s-99") - late).as_micros();
    assert!((19 * MS..=21 * MS).contains(&wait), "{wait}");
}

#[test]
fn window_of_zero_delays_no_dial() {
    let config = DialPacerConfig { window_ms: 0.0, ..DialPacerConfig::default() };
    let mut pacer = DialPacer::new(config, "n1", Timestamp::ZERO);
    let now = Timestamp::from_micros(5);
    assert_eq!(pacer.reserve_dial(now, "s-1"), now);
    assert_eq!(pacer.delayed_dials(), 0);
}
