//! Admission during warm-up.

use sprucelink_startup::admission::{AdmissionConfig, WarmupAdmission, MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use sprucelink_startup::{TimeDelta, Timestamp};

fn start(seed: u64) -> WarmupAdmission {
    WarmupAdmission::new(AdmissionConfig::default(), seed, Timestamp::ZERO)
}

fn at(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn limit_doubles_by_the_round_trip_until_warm_up_ends() {
    let mut admission = start(1);
    assert!(admission.admit(at(0), 15).is_ok());
    let wait = admission.admit(at(0), 16).expect_err("over the limit");
    assert!((MIN_RETRY_AFTER..=MAX_RETRY_AFTER).contains(&wait), "{wait:?}");
    (0..16).for_each(|_| admission.record_served(TimeDelta::from_millis(50)));
    assert!(admission.admit(at(1), 31).is_ok());
    assert!(admission.admit(at(1), 32).is_err());
    (0..96).for_each(|_| admission.record_served(TimeDelta::from_millis(50)));
    assert!(admission.is_finished());
    assert!(admission.admit(at(2), 5_000).is_ok());
    assert_eq!(admission.rejected(), 2);
}

#[test]
fn backpressure_cuts_the_limit_but_never_below_one() {
    let mut admission = start(1);
    admission.record_backpressure();
    assert!((admission.limit() - 11.2).abs() < 1e-9);
    (0..100).for_each(|_| admission.record_backpressure());
    assert!(admission.admit(at(0), 0).is_ok(), "one pending request is always admitted");
    assert!(admission.admit(at(0), 1).is_err());
}

#[test]
fn warm_up_ends_permanently_after_its_time_and_zero_disables_it() {
    let mut admission = start(1);
    assert!(admission.admit(at(4_999), 500).is_err());
    assert!(admission.admit(at(5_000), 500).is_ok());
    assert!(admission.is_finished());
    assert!(admission.admit(at(0), 500).is_ok(), "a clock that steps back does not restart it");
    let off = AdmissionConfig { warmup_ms: 0.0, ..AdmissionConfig::default() };
    assert!(WarmupAdmission::new(off, 1, at(0)).admit(at(0), 500).is_ok());
}

#[test]
fn retry_after_is_spread_and_repeats_for_the_same_seed() {
    let waits = |seed| -> Vec<i64> {
        let mut admission = start(seed);
        (0..50).map(|_| admission.admit(at(0), 40).expect_err("over").as_micros()).collect()
    };
    let mut seen = waits(7);
    assert_eq!(seen, waits(7));
    seen.sort_unstable();
    seen.dedup();
    assert!(seen.len() > 40, "{} distinct waits of 50", seen.len());
}

#[test]
fn numbers_out_of_range_are_rejected_by_name() {
    let bad = AdmissionConfig { max_limit: 3.0, ..AdmissionConfig::default() };
    assert!(bad.validate().unwrap_err().path.starts_with("open_at"));
    assert!(AdmissionConfig { initial_limit: 0.0, ..AdmissionConfig::default() }.validate().is_err());
    assert!(AdmissionConfig::default().validate().is_ok());
}
