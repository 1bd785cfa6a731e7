//! The ordinary path: the price update by hand-worked numbers, and the level that it leads to.
mod common;
use common::*;
use sprucelink_policy::*;

/// Ten queries of half a second each go out at the lowest level; one comes back after 0.98 s.
fn one_interval() -> Bench {
    let calm = ClassSettings { latency_objective: TimeDelta::from_secs_f64(10.0), ..class(Effect::Safe) };
    let mut b = Bench::new(settings(vec![calm]), 1);
    let ids: Vec<RequestId> = (0..10).map(|_| b.arrive(0, 0.5, None).0).collect();
    b.pass(0.98);
    b.end(ids[0], 0, Outcome::Succeeded);
    b.pass(0.02);
    b
}

#[test]
fn the_price_follows_the_page() {
    let b = one_interval();
    // Learned ratio 0.97, so the wait is 0.98 - 0.485 = 0.495 s, smoothed by a fifth: 0.099 s.
    // Rate: a fifth of ten a second. Delay cost: one in five seconds, so 0.4 a second in all.
    // Ten threads on eight cores at each of 49 looks, 20 ms apart, before the price is set; the use is averaged
    // over as long as the cores take for ten thread-seconds. The slope is 0.5 x 0.099 / (1 - use) / 8.
    let threads = (0..49).fold(0.0, |t, _| t + 0.02 * 8.0 / 10.0 * (10.0 - t));
    let wanted = 0.1 * 0.5 * 0.099 / (1.0 - threads / 8.0) / 8.0 * 0.4;
    for level in 0..4 {
        let price = b.policy.price(ClassId(0), Level(level)).expect("a known level");
        // Nothing waits above level 0: the higher levels pay for those below only.
        assert!((price - wanted).abs() < 1e-9, "level {level}: {price} against {wanted}");
    }
    assert!(b.policy.price(ClassId(1), Level(0)).is_none());
}

#[test]
fn the_cheapest_level_is_taken() {
    let mut b = one_interval();
    let (id, out) = b.arrive(0, 0.5, None);
    // Equal prices, but a wait of 0.099 s at level 0 and none above: the lowest free level.
    let terms = Action::SetExecutionTerms { id, grant_mb: None, level: Level(1) };
    assert!(out.contains(&terms), "{out:?}");
}

/// A gateway among many hears of a query now and then: a level must not look free for want of news.
#[test]
fn a_level_unheard_of_keeps_its_wait_where_little_is_heard() {
    let mut b = one_interval();
    b.pass(3.0);
    let (id, out) = b.arrive(0, 0.5, None);
    let low = Action::SetExecutionTerms { id, grant_mb: None, level: Level(0) };
    assert!(!out.contains(&low), "half a wait a second would have made level 0 the cheapest again: {out:?}");
}
