use super::EngineHealth;
use crate::ids::EngineId;
use crate::request::Attempt;
use sprucelink_time::Timestamp;

fn at_millis(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn attempt(sent_at: Timestamp) -> Attempt {
    Attempt {
        engine: EngineId(0),
        number: 0,
        sent_at,
        last_progress: sent_at,
        expected_latency_secs: 0.1,
        is_cancelled: false,
        next_overdue_multiple: super::OVERDUE_MULTIPLE,
    }
}

#[test]
fn failing_engine_is_ejected_and_readmitted_below_half_the_bound() {
    let mut health = EngineHealth::default();
    let mut failures = 0;
    while !health.update_ejection(at_millis(0), 0, 1.0, false) {
        health.record_failure();
        failures += 1;
    }
    assert_eq!(failures, 4, "failure rates of 0.15, 0.28, 0.39 and 0.48");
    health.record_success();
    assert!(
        !health.update_ejection(at_millis(0), 0, 1.0, false),
        "0.33 is below the bound for ejection but not below that for readmission"
    );
    health.record_success();
    health.record_success();
    assert!(health.update_ejection(at_millis(0), 0, 1.0, false) && !health.is_ejected());
}

#[test]
fn slow_engine_is_ejected_and_readmitted_below_half_the_bound() {
    let mut health = EngineHealth::default();
    assert!(!health.update_ejection(at_millis(0), 0, 3.5, false));
    assert!(health.update_ejection(at_millis(0), 0, 3.6, false) && health.is_ejected());
    assert!(!health.update_ejection(at_millis(0), 0, 1.8, false));
    assert!(health.update_ejection(at_millis(0), 0, 1.7, false) && !health.is_ejected());
}

#[test]
fn backoff_after_failed_connections_doubles_three_times() {
    let mut health = EngineHealth::default();
    let mut now = at_millis(0);
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        health.record_connect_failure(now);
        health.record_connect_failure(now);
        backoffs.push((health.backoff_until() - now).as_millis());
        now = health.backoff_until();
    }
    assert_eq!(backoffs, [500, 1_000, 2_000, 4_000, 4_000, 4_000], "failures of one backoff count as one");
    assert!(health.has_probably_restarted());
}

#[test]
fn engine_with_mostly_overdue_attempts_is_unresponsive_until_it_answers() {
    let mut health = EngineHealth::default();
    health.record_send(at_millis(0), true);
    let mut attempts = [attempt(at_millis(0)), attempt(at_millis(0)), attempt(at_millis(700))];
    let mut update = |health: &mut EngineHealth, now: Timestamp| {
        health.clear_overdue_attempts();
        attempts.iter_mut().for_each(|attempt| _ = health.record_overdue(now, attempt));
        health.update_ejection(now, 3, 1.0, false);
    };
    update(&mut health, at_millis(700));
    assert!(!health.is_unresponsive(), "silent for 700 ms");
    update(&mut health, at_millis(701));
    assert!(health.is_unresponsive() && health.is_ejected());
    health.record_answer(at_millis(710));
    update(&mut health, at_millis(720));
    assert!(!health.is_unresponsive() && !health.is_ejected());
}

#[test]
fn overdue_attempt_counts_as_an_outcome_at_each_doubling() {
    let mut health = EngineHealth::default();
    let mut overdue = attempt(at_millis(0));
    let outcomes = (1..=130).filter(|step| health.record_overdue(at_millis(step * 10), &mut overdue));
    assert_eq!(outcomes.collect::<Vec<_>>(), [31, 61, 121]);
}
