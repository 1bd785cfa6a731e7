//! Tests of admission control during warm-up.

use sprucelink_startup::admission::{AdmissionConfig, WarmupAdmission, MAX_RETRY_AFTER, MIN_RETRY_AFTER};
use sprucelink_startup::{TimeDelta, Timestamp};

fn new_admission(seed: u64) -> WarmupAdmission {
    WarmupAdmission::new(AdmissionConfig::default(), seed, Timestamp::ZERO)
}

fn at_millis(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn limit_doubles_per_round_trip_until_warm_up_ends() {
    let mut admission = new_admission(1);
    assert!(admission.admit(at_millis(0), 15).is_ok());
    let retry_after = admission.admit(at_millis(0), 16).expect_err("over the limit");
    assert!((MIN_RETRY_AFTER..=MAX_RETRY_AFTER).contains(&retry_after), "{retry_after:?}");
    (0..16).for_each(|_| admission.record_served(TimeDelta::from_millis(50)));
    assert!(admission.admit(at_millis(1), 31).is_ok());
    assert!(admission.admit(at_millis(1), 32).is_err());
    (0..96).for_each(|_| admission.record_served(TimeDelta::from_millis(50)));
    assert!(admission.is_finished());
    assert!(admission.admit(at_millis(2), 5_000).is_ok());
    assert_eq!(admission.rejected(), 2);
}

/// Guards against a limit of a little over two that admits a third pending request.
#[test]
fn fraction_of_the_limit_admits_no_further_request() {
    let config = AdmissionConfig { initial_limit: 2.0, increase: 0.01, ..AdmissionConfig::default() };
    let mut admission = WarmupAdmission::new(config, 1, at_millis(0));
    admission.record_served(TimeDelta::from_millis(50));
    assert!((admission.limit() - 2.01).abs() < 1e-9);
    assert!(admission.admit(at_millis(0), 1).is_ok());
    assert!(admission.admit(at_millis(0), 2).is_err());
}

#[test]
fn engine_failures_lower_the_limit_but_never_below_one() {
    let mut admission = new_admission(1);
    admission.record_engine_failure();
    assert!((admission.limit() - 11.2).abs() < 1e-9);
    (0..100).for_each(|_| admission.record_engine_failure());
    assert!(admission.admit(at_millis(0), 0).is_ok(), "one pending request is always admitted");
    assert!(admission.admit(at_millis(0), 1).is_err());
}

#[test]
fn warm_up_ends_permanently_after_its_time_and_zero_disables_it() {
    let mut admission = new_admission(1);
    assert!(admission.admit(at_millis(4_999), 500).is_err());
    assert!(admission.admit(at_millis(5_000), 500).is_ok());
    assert!(admission.is_finished());
    assert!(admission.admit(at_millis(0), 500).is_ok(), "a clock that steps back does not restart warm-up");
    let off = AdmissionConfig { warmup_ms: 0.0, ..AdmissionConfig::default() };
    assert!(WarmupAdmission::new(off, 1, at_millis(0)).admit(at_millis(0), 500).is_ok());
}

#[test]
fn retry_after_is_spread_and_repeats_for_the_same_seed() {
    let retry_afters = |seed| -> Vec<i64> {
        let mut admission = new_admission(seed);
        (0..50).map(|_| admission.admit(at_millis(0), 40).expect_err("over the limit").as_micros()).collect()
    };
    let mut distinct = retry_afters(7);
    assert_eq!(distinct, retry_afters(7));
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() > 40, "{} of 50 Retry-After values are distinct", distinct.len());
}

#[test]
fn numbers_out_of_range_are_rejected_by_name() {
    let invalid = AdmissionConfig { max_limit: 3.0, ..AdmissionConfig::default() };
    assert!(invalid.validate().unwrap_err().path.starts_with("open_at"));
    assert!(AdmissionConfig { initial_limit: 0.0, ..AdmissionConfig::default() }.validate().is_err());
    assert!(AdmissionConfig::default().validate().is_ok());
}
