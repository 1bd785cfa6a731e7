//! The warming admission, by its figures.

use super::*;

const MS: i64 = 1_000;

#[test]
fn the_bound_doubles_by_the_round_and_opens() {
    let mut a = WarmAdmission::new(AdmissionTerms::default(), 1, Timestamp::ZERO);
    assert!(a.admit(Timestamp::ZERO, 15).is_ok());
    let wait = a.admit(Timestamp::ZERO, 16).expect_err("over the bound");
    assert!(wait >= COME_BACK[0] && wait <= COME_BACK[1], "{wait:?}");
    (0..16).for_each(|_| a.served(TimeDelta::from_micros(50 * MS)));
    assert!(
        a.admit(Timestamp::from_micros(MS), 31).is_ok() && a.admit(Timestamp::from_micros(MS), 32).is_err()
    );
    (0..96).for_each(|_| a.served(TimeDelta::from_micros(50 * MS)));
    assert!(a.over() && a.admit(Timestamp::from_micros(2 * MS), 5_000).is_ok());
    assert_eq!(a.refused(), 2);
}

#[test]
fn what_pushes_back_cuts_the_bound_and_never_to_nothing() {
    let mut a = WarmAdmission::new(AdmissionTerms::default(), 1, Timestamp::ZERO);
    a.pushed_back();
    assert!((a.bound() - 11.2).abs() < 1e-9);
    (0..100).for_each(|_| a.pushed_back());
    assert!(a.admit(Timestamp::ZERO, 0).is_ok(), "one in hand is always taken");
    assert!(a.admit(Timestamp::ZERO, 1).is_err());
}

#[test]
fn time_ends_the_warm_up_for_good_and_zero_is_off() {
    let mut a = WarmAdmission::new(AdmissionTerms::default(), 1, Timestamp::ZERO);
    assert!(a.admit(Timestamp::from_micros(4_999 * MS), 500).is_err());
    assert!(a.admit(Timestamp::from_micros(5_000 * MS), 500).is_ok());
    assert!(
        a.over() && a.admit(Timestamp::ZERO, 500).is_ok(),
        "a clock that steps back does not begin it anew"
    );
    let off = AdmissionTerms { warm_ms: 0.0, ..AdmissionTerms::default() };
    assert!(WarmAdmission::new(off, 1, Timestamp::ZERO).admit(Timestamp::ZERO, 500).is_ok());
}

/// Clients that are refused together come back spread out, and the same seed gives the same advice.
#[test]
fn advice_is_spread() {
    let waits = |seed| -> Vec<i64> {
        let mut a = WarmAdmission::new(AdmissionTerms::default(), seed, Timestamp::ZERO);
        (0..50).map(|_| a.admit(Timestamp::ZERO, 40).expect_err("over").as_micros()).collect()
    };
    let mut seen = waits(7);
    assert_eq!(seen, waits(7));
    seen.sort_unstable();
    seen.dedup();
    assert!(seen.len() > 40, "{} distinct waits of 50", seen.len());
}

#[test]
fn figures_out_of_range_are_named() {
    let bad = AdmissionTerms { open_at: 3.0, ..AdmissionTerms::default() };
    assert!(bad.validate().unwrap_err().path.starts_with("open_at"));
    assert!(AdmissionTerms { first: 0.0, ..AdmissionTerms::default() }.validate().is_err());
    assert!(AdmissionTerms::default().validate().is_ok());
}
