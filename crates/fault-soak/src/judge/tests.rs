use super::*;

#[test]
fn retry_excess_is_reported_only_above_the_budget() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let requests: Vec<Instant> = (0..20).map(|i| at(i * 500)).collect();
    let span = Duration::from_secs(5);
    let allowed: Vec<Instant> = (0..4).map(|i| at(5_000 + i)).collect();
    assert_eq!(retry_excess(&requests, &allowed, 3.0, 0.1, span), None);
    let excessive: Vec<Instant> = (0..9).map(|i| at(5_000 + i)).collect();
    assert!(retry_excess(&requests, &excessive, 3.0, 0.1, span).is_some());
}

#[test]
fn slow_start_bound_tolerates_fewer_deviations_from_thirty_requests_on() {
    assert!((slow_start_bound(25.0) - 43.0).abs() < 1e-9);
    assert!((slow_start_bound(100.0) - 122.0).abs() < 1e-9);
}
