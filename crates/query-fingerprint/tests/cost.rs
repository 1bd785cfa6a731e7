//! Tests of learned costs: shrinkage to the mean of the class, outliers, lasting changes, biased estimates,
//! ageing and invalid input.

use sprucelink_float_math::ln;
use sprucelink_query_fingerprint::cost::{Cost, Costs, Key};
use sprucelink_query_fingerprint::normal::Fingerprint;

const KEY: Key = Key { fingerprint: Fingerprint(7), class: 0, warm: false };
const CLASS: Cost = Cost { work_ms: 250.0, memory_mb: 100.0 };

fn cost(work_ms: f64) -> Cost {
    Cost { work_ms, memory_mb: 100.0 }
}

/// A deterministic pseudo-random factor, uniform between 0.5 and 1.5.
fn random_factor(index: u32) -> f64 {
    0.5 + f64::from(index.wrapping_mul(2_654_435_761) >> 8) / f64::from(1 << 24)
}

fn estimated_work_ms(costs: &mut Costs, given: Option<Cost>, now: f64) -> f64 {
    costs.estimate(KEY, given, now).expect("a known class").cost.work_ms
}

#[test]
fn estimate_follows_the_class_until_answers_arrive() {
    let mut costs = Costs::new(&[CLASS], 16);
    assert!((estimated_work_ms(&mut costs, None, 0.0) - 250.0).abs() < 1e-6);
    costs.learn(KEY, None, cost(2_000.0), 0.0);
    let after_one = estimated_work_ms(&mut costs, None, 0.0);
    assert!(after_one > 250.0 && after_one < 1_000.0, "one answer has a low weight: {after_one}");
    (0..30).for_each(|n| costs.learn(KEY, None, cost(2_000.0 * random_factor(n)), 0.0));
    let after_many = estimated_work_ms(&mut costs, None, 0.0);
    assert!((1_400.0..2_600.0).contains(&after_many), "{after_many}");
}

#[test]
fn one_bad_plan_in_twenty_barely_moves_the_estimate() {
    let mut costs = Costs::new(&[CLASS], 16);
    for n in 0..400 {
        let factor = if n % 20 == 19 { 25.0 } else { 1.0 };
        costs.learn(KEY, None, cost(200.0 * random_factor(n) * factor), f64::from(n));
    }
    let estimate = estimated_work_ms(&mut costs, None, 400.0);
    // The arithmetic mean of the reported costs is 440.
    assert!((150.0..260.0).contains(&estimate), "{estimate}");
}

/// After a tenfold growth of the data overnight, the estimate is within a quarter of the new cost after fewer
/// than twelve answers.
#[test]
fn tenfold_cost_increase_is_followed_within_twelve_answers() {
    let mut costs = Costs::new(&[CLASS], 16);
    (0..200).for_each(|n| costs.learn(KEY, None, cost(200.0 * random_factor(n)), f64::from(n)));
    let morning = 8.0 * 3600.0;
    let answers = (0..40).find(|n| {
        costs.learn(KEY, None, cost(2_000.0 * random_factor(*n)), morning + f64::from(*n));
        ln(estimated_work_ms(&mut costs, None, morning + f64::from(*n)) / 2_000.0).abs() < 0.25
    });
    assert!(answers.is_some_and(|n| n < 12), "{answers:?}");
}

#[test]
fn biased_client_estimate_is_corrected() {
    let mut costs = Costs::new(&[CLASS], 16);
    for n in 0..60 {
        let work_ms = 40.0 + f64::from(n * 37 % 400);
        costs.learn(KEY, Some(cost(work_ms / 3.0)), cost(work_ms * random_factor(n)), f64::from(n));
    }
    let corrected = estimated_work_ms(&mut costs, Some(cost(100.0)), 60.0);
    assert!((230.0..360.0).contains(&corrected), "about three times 100: {corrected}");
    // The ratio of the class also corrects estimates for another fingerprint, which has no answers yet.
    let other = Key { fingerprint: Fingerprint(8), ..KEY };
    let corrected = costs.estimate(other, Some(cost(100.0)), 60.0).expect("a known class");
    assert!(corrected.weight == 0.0 && corrected.cost.work_ms > 200.0);
}

#[test]
fn old_answers_lose_weight_and_a_clock_set_back_keeps_estimates_finite() {
    let mut costs = Costs::new(&[CLASS, CLASS], 16);
    (0..30).for_each(|n| costs.learn(KEY, None, cost(5_000.0), f64::from(n)));
    // Answers for another fingerprint keep the mean of the class near its initial cost.
    (0..300).for_each(|n| {
        costs.learn(Key { fingerprint: Fingerprint(9), ..KEY }, None, cost(250.0), 30.0 + f64::from(n))
    });
    let fresh = estimated_work_ms(&mut costs, None, 400.0);
    let aged = estimated_work_ms(&mut costs, None, 30.0 * 24.0 * 3600.0);
    assert!(fresh > 3_000.0 && aged < 400.0, "{fresh}, {aged}");
    costs.learn(KEY, None, cost(5_000.0), -1e9);
    assert!(estimated_work_ms(&mut costs, None, 400.0).is_finite());
}

#[test]
fn invalid_answers_are_ignored_and_entries_stay_bounded() {
    let mut costs = Costs::new(&[CLASS], 64);
    for invalid in [f64::NAN, f64::INFINITY, 0.0, -5.0] {
        costs.learn(KEY, Some(cost(invalid)), cost(invalid), 0.0);
    }
    assert!((estimated_work_ms(&mut costs, None, 0.0) - 250.0).abs() < 1e-6);
    costs.learn(KEY, Some(cost(f64::NAN)), cost(300.0), 0.0);
    assert!(estimated_work_ms(&mut costs, Some(cost(f64::MAX)), 0.0).is_finite());
    (0..100_000)
        .for_each(|n| costs.learn(Key { fingerprint: Fingerprint(n), ..KEY }, None, cost(300.0), 1.0));
    assert!(costs.counters().entries <= 64);
    assert!(costs.estimate(Key { class: 1, ..KEY }, None, 0.0).is_none());
}
