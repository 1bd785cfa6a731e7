//! The price update against figures calculated by hand, and the level that follows.
mod common;
use common::*;
use sprucelink_policy::*;

/// Ten queries of half a second each are forwarded at the lowest level; one is answered after 0.98 s.
fn manager_after_one_interval() -> TestManager {
    let patient = ClassSettings { latency_objective: TimeDelta::from_secs_f64(10.0), ..class(Effect::Safe) };
    let mut manager = TestManager::new(settings(vec![patient]), 1);
    let ids: Vec<RequestId> = (0..10).map(|_| manager.submit(0, 0.5, None).0).collect();
    manager.advance(0.98);
    manager.end_attempt(ids[0], 0, Outcome::Succeeded);
    manager.advance(0.02);
    manager
}

#[test]
fn price_follows_equations_6_and_7() {
    let manager = manager_after_one_interval();
    // Learned ratio 0.97, so the wait is 0.98 - 0.485 = 0.495 s, smoothed by a fifth: 0.099 s.
    // Rate: a fifth of ten a second. Delay cost: one in five seconds, so 0.4 a second in all.
    // Ten threads on eight cores at each of 49 ticks, 20 ms apart, before the price is updated; the load is averaged
    // over the time that the cores take for ten thread-seconds. The slope is 0.5 x 0.099 / (1 - utilisation) / 8.
    let threads = (0..49).fold(0.0, |t, _| t + 0.02 * 8.0 / 10.0 * (10.0 - t));
    let expected = 0.1 * 0.5 * 0.099 / (1.0 - threads / 8.0) / 8.0 * 0.4;
    for level in 0..4 {
        let price = manager.policy.price(ClassId(0), Level(level)).expect("a known level");
        // Nothing waits above level 0: the higher levels pay for those below only.
        assert!((price - expected).abs() < 1e-9, "level {level}: {price} against {expected}");
    }
    assert!(manager.policy.price(ClassId(1), Level(0)).is_none());
}

#[test]
fn request_gets_its_cheapest_level() {
    let mut manager = manager_after_one_interval();
    let (id, out) = manager.submit(0, 0.5, None);
    // Equal prices, but a wait of 0.099 s at level 0 and none above: the lowest free level.
    let terms = Action::SetExecutionTerms { id, grant_mb: None, level: Level(1) };
    assert!(out.contains(&terms), "{out:?}");
}

/// One of many managers gets an answer now and then: a level must not look free because nothing was observed there.
#[test]
fn unobserved_level_keeps_its_wait_where_few_waits_are_learned() {
    let mut manager = manager_after_one_interval();
    manager.advance(3.0);
    let (id, out) = manager.submit(0, 0.5, None);
    let low = Action::SetExecutionTerms { id, grant_mb: None, level: Level(0) };
    assert!(!out.contains(&low), "half a wait a second would have made level 0 the cheapest again: {out:?}");
}
