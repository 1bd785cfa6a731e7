//! Learned costs: shrinkage to the class, outliers, shifts, bias, ageing and invalid input.

use sprucelink_query_fingerprint::cost::{Cost, Costs, Key};
use sprucelink_query_fingerprint::normal::Fingerprint;

const KEY: Key = Key { fingerprint: Fingerprint(7), class: 0, warm: false };
const CLASS: Cost = Cost { work_ms: 250.0, memory_mb: 100.0 };

fn cost(work_ms: f64) -> Cost {
    Cost { work_ms, memory_mb: 100.0 }
}

/// Even dice between a half and one and a half, the same every time.
fn scatter(n: u32) -> f64 {
    0.5 + f64::from(n.wrapping_mul(2_654_435_761) >> 8) / f64::from(1 << 24)
}

fn guess(c: &mut Costs, given: Option<Cost>, now: f64) -> f64 {
    c.estimate(KEY, given, now).expect("a class").cost.work_ms
}

#[test]
fn estimate_follows_the_class_until_answers_arrive() {
    let mut c = Costs::new(&[CLASS], 16);
    assert!((guess(&mut c, None, 0.0) - 250.0).abs() < 1e-6);
    c.learn(KEY, None, cost(2_000.0), 0.0);
    let one = guess(&mut c, None, 0.0);
    assert!(one > 250.0 && one < 1_000.0, "one answer weighs little: {one}");
    (0..30).for_each(|n| c.learn(KEY, None, cost(2_000.0 * scatter(n)), 0.0));
    let many = guess(&mut c, None, 0.0);
    assert!((1_400.0..2_600.0).contains(&many), "{many}");
}

#[test]
fn one_bad_plan_in_twenty_barely_moves_the_estimate() {
    let mut c = Costs::new(&[CLASS], 16);
    for n in 0..400 {
        let times = if n % 20 == 19 { 25.0 } else { 1.0 };
        c.learn(KEY, None, cost(200.0 * scatter(n) * times), f64::from(n));
    }
    let seen = guess(&mut c, None, 400.0);
    // The mean of what was told is 440.
    assert!((150.0..260.0).contains(&seen), "{seen}");
}

/// Data grew tenfold overnight: so many answers until the estimate is within a quarter.
#[test]
fn tenfold_cost_increase_is_followed_within_twelve_answers() {
    let mut c = Costs::new(&[CLASS], 16);
    (0..200).for_each(|n| c.learn(KEY, None, cost(200.0 * scatter(n)), f64::from(n)));
    let morning = 8.0 * 3600.0;
    let needed = (0..40).find(|n| {
        c.learn(KEY, None, cost(2_000.0 * scatter(*n)), morning + f64::from(*n));
        (guess(&mut c, None, morning + f64::from(*n)) / 2_000.0).ln().abs() < 0.25
    });
    assert!(needed.is_some_and(|n| n < 12), "{needed:?}");
}

#[test]
fn biased_client_estimate_is_corrected() {
    let mut c = Costs::new(&[CLASS], 16);
    for n in 0..60 {
        let truth = 40.0 + f64::from(n * 37 % 400);
        c.learn(KEY, Some(cost(truth / 3.0)), cost(truth * scatter(n)), f64::from(n));
    }
    let right = guess(&mut c, Some(cost(100.0)), 60.0);
    assert!((230.0..360.0).contains(&right), "three times 100: {right}");
    // What another shape of the class may expect: the class errs so, too.
    let other = Key { fingerprint: Fingerprint(8), ..KEY };
    let right = c.estimate(other, Some(cost(100.0)), 60.0).expect("a class");
    assert!(right.weight == 0.0 && right.cost.work_ms > 200.0);
}

#[test]
fn old_answers_lose_weight_and_a_clock_set_back_keeps_estimates_finite() {
    let mut c = Costs::new(&[CLASS, CLASS], 16);
    (0..30).for_each(|n| c.learn(KEY, None, cost(5_000.0), f64::from(n)));
    // The class has other shapes that keep it where it was.
    (0..300).for_each(|n| {
        c.learn(Key { fingerprint: Fingerprint(9), ..KEY }, None, cost(250.0), 30.0 + f64::from(n))
    });
    let fresh = guess(&mut c, None, 400.0);
    let stale = guess(&mut c, None, 30.0 * 24.0 * 3600.0);
    assert!(fresh > 3_000.0 && stale < 400.0, "{fresh}, {stale}");
    c.learn(KEY, None, cost(5_000.0), -1e9);
    assert!(guess(&mut c, None, 400.0).is_finite());
}

#[test]
fn invalid_answers_are_ignored_and_entries_stay_bounded() {
    let mut c = Costs::new(&[CLASS], 64);
    for told in [f64::NAN, f64::INFINITY, 0.0, -5.0] {
        c.learn(KEY, Some(cost(told)), cost(told), 0.0);
    }
    assert!((guess(&mut c, None, 0.0) - 250.0).abs() < 1e-6);
    c.learn(KEY, Some(cost(f64::NAN)), cost(300.0), 0.0);
    assert!(guess(&mut c, Some(cost(f64::MAX)), 0.0).is_finite());
    (0..100_000).for_each(|n| c.learn(Key { fingerprint: Fingerprint(n), ..KEY }, None, cost(300.0), 1.0));
    assert!(c.counters().entries <= 64);
    assert!(c.estimate(Key { class: 1, ..KEY }, None, 0.0).is_none());
}
