use super::ClassEstimates;

const COST: f64 = 2.0;
const THREADS: f64 = 4.0;

fn estimates() -> ClassEstimates {
    ClassEstimates { unloaded_ratio: 1.0, work_ratio: super::MovingAverage::new(1.0), ..Default::default() }
}

#[test]
fn unloaded_latency_settles_near_the_lower_quartile() {
    let mut estimates = estimates();
    // Every fourth answer takes 0.5 s, the others 1 s.
    for answer in 0..4_000 {
        estimates.record_latency(if answer % 4 == 0 { 0.5 } else { 1.0 }, THREADS, COST);
    }
    let unloaded_secs = estimates.unloaded_latency_secs(COST, THREADS);
    let expected_secs = estimates.expected_latency_secs(COST, THREADS);
    assert!((0.45..1.05).contains(&unloaded_secs), "{unloaded_secs}");
    assert!((expected_secs - 0.875).abs() < 0.15, "{expected_secs}: near the mean");
}

#[test]
fn expected_latency_is_never_below_the_unloaded_one() {
    let mut estimates = estimates();
    estimates.unloaded_ratio = 3.0;
    assert_eq!(
        estimates.expected_latency_secs(COST, THREADS),
        estimates.unloaded_latency_secs(COST, THREADS)
    );
}

#[test]
fn work_ratio_follows_reports_up_to_its_maximum() {
    let mut estimates = estimates();
    (0..2_000).for_each(|_| estimates.record_work(100.0, COST));
    assert!((estimates.work_ratio() - 4.0).abs() < 1e-9);
}

#[test]
fn mean_cost_is_the_mean_of_the_first_estimates() {
    let mut estimates = estimates();
    [1.0, 2.0, 6.0].into_iter().for_each(|cost| estimates.record_estimate(cost));
    assert!((estimates.mean_cost() - 3.0).abs() < 1e-12);
    assert_eq!(estimates.cost_samples(), 3);
}
