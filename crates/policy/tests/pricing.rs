//! Price updates compared with figures calculated by hand, and the levels that follow from the prices.
mod common;
use common::*;
use sprucelink_policy::*;

/// Ten queries of half a thread-second of work each are forwarded at the lowest level; one is answered after
/// 0.98 s.
fn manager_after_one_interval() -> TestManager {
    let long_objective =
        ClassSettings { latency_objective: TimeDelta::from_secs_f64(10.0), ..class(Effect::Safe) };
    let mut manager = TestManager::new(settings(vec![long_objective]), 1);
    let ids: Vec<RequestId> = (0..10).map(|_| manager.submit(0, 0.5, None).0).collect();
    manager.advance(0.98);
    manager.end_attempt(ids[0], 0, Outcome::Succeeded);
    manager.advance(0.02);
    manager
}

#[test]
fn price_follows_equations_6_and_7() {
    let manager = manager_after_one_interval();
    // Wait: the learned latency ratio is 0.97, so it is 0.98 s - 0.485 s = 0.495 s; a fifth counts, 0.099 s.
    // Rate: a fifth of ten per second. Delay cost: 1 per 5 s for each request, so 0.4 per second in total.
    // Load: ten threads on eight cores at each of the 49 ticks, 20 ms apart, before the price is updated,
    // averaged over the time that the cores need for ten thread-seconds.
    // Slope of the delay: 0.5 x 0.099 / (1 - utilisation) / 8.
    let threads = (0..49).fold(0.0, |average, _| average + 0.02 * 8.0 / 10.0 * (10.0 - average));
    let expected = 0.1 * 0.5 * 0.099 / (1.0 - threads / 8.0) / 8.0 * 0.4;
    for level in 0..4 {
        let price = manager.policy.price(ClassId(0), Level(level)).expect("a known level");
        // Nothing waits above level 0, so the higher levels pay only for the delay at level 0.
        assert!((price - expected).abs() < 1e-9, "level {level}: {price}, expected {expected}");
    }
    assert!(manager.policy.price(ClassId(1), Level(0)).is_none());
}

#[test]
fn request_gets_its_cheapest_level() {
    let mut manager = manager_after_one_interval();
    let (id, out) = manager.submit(0, 0.5, None);
    // The prices are equal, but the wait is 0.099 s at level 0 and zero above: level 1 is the lowest without
    // a wait.
    let terms = Action::SetExecutionTerms { id, grant_mb: None, level: Level(1) };
    assert!(out.contains(&terms), "{out:?}");
}

/// One of many managers gets few answers: a level must not look free of waits because none were observed
/// there.
#[test]
fn unobserved_level_keeps_its_wait_where_few_waits_are_learned() {
    let mut manager = manager_after_one_interval();
    manager.advance(3.0);
    let (id, out) = manager.submit(0, 0.5, None);
    let lowest_level_terms = Action::SetExecutionTerms { id, grant_mb: None, level: Level(0) };
    assert!(
        !out.contains(&lowest_level_terms),
        "halving the wait every second would have made level 0 the cheapest again: {out:?}"
    );
}
