//! Tests of an engine's overload and of the cores that its queries share.

use super::*;

#[test]
fn a_cold_engine_falls_over_under_too_much_work_and_a_warm_one_does_not() {
    let t = Instant::now();
    let cold = Spec { cold_for: 15.0, ..Spec::default() };
    let mut m = Machine::new(cold, t);
    // 2.5 x 0.3 x 8 cores x 2 s = 12 s of work in 2 s.
    assert!((0..12).all(|_| m.start_query(t, 1.0, 1.0).is_some()));
    assert!(m.start_query(t, 1.0, 1.0).is_none() && m.is_down(t) && !m.is_down(t + DOWN_FOR));
    let mut m = Machine::new(cold, t);
    assert!(
        (0..20).all(|s| m.start_query(t + Duration::from_secs(s), 5.0, 1.0).is_some()),
        "spread over time"
    );
    let mut warm = Machine::new(Spec::default(), t);
    assert!((0..500).all(|_| warm.start_query(t, 1.0, 1.0).is_some()));
}

#[test]
fn running_queries_share_the_cores() {
    let t = Instant::now();
    let mut m = Machine::new(Spec { cores: 2.0, ..Spec::default() }, t);
    let run_times: Vec<f64> =
        (0..4).map(|_| m.start_query(t, 0.1, 1.0).expect("started").as_secs_f64()).collect();
    assert_eq!(run_times, [0.1, 0.1, 0.15, 0.2]);
    (0..4).for_each(|_| m.release(1.0));
    assert_eq!((m.threads(), m.max_threads), (0.0, 4.0));
}
