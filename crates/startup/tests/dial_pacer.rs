//! Tests of the pacing of new connections.

use sprucelink_startup::dial_pacer::{DialPacer, DialPacerConfig};
use sprucelink_startup::{TimeDelta, Timestamp};

const MICROS_PER_MILLI: i64 = 1_000;

#[test]
fn first_dials_of_many_managers_to_one_engine_spread_over_the_window() {
    let mut tenths = [0u32; 10];
    for manager in 0..1000 {
        let mut pacer = DialPacer::new(DialPacerConfig::default(), &format!("n{manager}"), Timestamp::ZERO);
        let dial_at = pacer.reserve_dial(Timestamp::ZERO, "s-00c41f7a").as_micros();
        assert!((0..=100 * MICROS_PER_MILLI).contains(&dial_at), "{dial_at}");
        tenths[((dial_at / (10 * MICROS_PER_MILLI)) as usize).min(9)] += 1;
    }
    assert!(tenths.iter().all(|dials| (60..=140).contains(dials)), "{tenths:?}");
}

#[test]
fn no_dial_waits_longer_than_one_window_and_one_rate_interval() {
    let mut pacer = DialPacer::new(DialPacerConfig::default(), "n1", Timestamp::ZERO);
    let mut now = Timestamp::ZERO;
    // 40 dials per second, below the rate of 50.
    for index in 0..500 {
        let dial_at = pacer.reserve_dial(now, &format!("s-{index}"));
        assert!(dial_at >= now);
        let wait = dial_at - now;
        assert!(
            wait.as_micros() <= 100 * MICROS_PER_MILLI + 20 * MICROS_PER_MILLI + 1,
            "dial {index} waits {wait:?}"
        );
        now = now + TimeDelta::from_millis(25);
    }
}

#[test]
fn only_the_rate_delays_dials_after_warm_up() {
    let config = DialPacerConfig { warmup_ms: 1_000.0, ..DialPacerConfig::default() };
    let mut pacer = DialPacer::new(config, "n1", Timestamp::ZERO);
    let after_warmup = Timestamp::from_millis(2_000);
    assert_eq!(pacer.reserve_dial(after_warmup, "s-1"), after_warmup);
    // A burst of 16 dials is not delayed; further dials follow at 50 per second.
    for index in 1..16 {
        assert_eq!(pacer.reserve_dial(after_warmup, &format!("s-{}", index + 1)), after_warmup);
    }
    let wait = (pacer.reserve_dial(after_warmup, "s-99") - after_warmup).as_micros();
    assert!((19 * MICROS_PER_MILLI..=21 * MICROS_PER_MILLI).contains(&wait), "{wait}");
}

#[test]
fn window_of_zero_delays_no_dial() {
    let config = DialPacerConfig { window_ms: 0.0, ..DialPacerConfig::default() };
    let mut pacer = DialPacer::new(config, "n1", Timestamp::ZERO);
    let now = Timestamp::from_micros(5);
    assert_eq!(pacer.reserve_dial(now, "s-1"), now);
    assert_eq!(pacer.delayed_dials(), 0);
}
