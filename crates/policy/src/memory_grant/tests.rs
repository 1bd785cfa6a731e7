use super::GrantEstimator;
use crate::settings::MemoryShort;

fn grant(estimator: &GrantEstimator) -> f64 {
    estimator.grant_mb(100.0, MemoryShort::Waits)
}

#[test]
fn grant_rises_with_spills_and_falls_with_answers() {
    let mut estimator = GrantEstimator::new();
    assert_eq!(grant(&estimator), 100.0 * 1.15);
    estimator.record_spill(50.0, 100.0);
    assert!((grant(&estimator) - 120.0).abs() < 1e-9, "half of the memory was missing");
    estimator.record_spill(900.0, 100.0);
    assert!((grant(&estimator) - 130.0).abs() < 1e-9, "a spill counts for the estimated memory at most");
    (0..2_000).for_each(|_| estimator.record_answer());
    assert!((grant(&estimator) - 50.0).abs() < 1e-9, "the minimum is half of the estimate");
}

#[test]
fn grant_follows_reported_memory_and_the_harm_of_a_shortage() {
    let mut estimator = GrantEstimator::new();
    (0..400).for_each(|_| estimator.record_memory_used(60.0, 100.0));
    let grants = [MemoryShort::Waits, MemoryShort::Shrinks, MemoryShort::Pages]
        .map(|shortage| estimator.grant_mb(100.0, shortage));
    assert!((60.0..61.0).contains(&grants[0]), "{grants:?}");
    assert!(grants[0] < grants[1] && grants[1] < grants[2], "{grants:?}");
}

#[test]
fn report_of_zero_memory_is_ignored() {
    let mut estimator = GrantEstimator::new();
    estimator.record_memory_used(0.0, 100.0);
    assert_eq!(grant(&estimator), 100.0 * 1.15);
}
