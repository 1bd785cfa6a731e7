use super::{is_restart_worthwhile, review_queued, review_running, ReviewDecision, RunningAttempt};
use crate::answer_value::AnswerValue;

/// Sent on arrival, 0.2 s ago; expected to take 0.5 s, with an objective of 2 s.
const RUNNING: RunningAttempt = RunningAttempt {
    age_secs: 0.2,
    secs_since_progress: 0.2,
    expected_latency_secs: 0.5,
    is_engine_ejected: false,
    request_age_secs: 0.2,
    objective_secs: 2.0,
    level: 0,
};

fn review(attempt: RunningAttempt) -> ReviewDecision {
    review_running(&attempt, 1.0, true, || true)
}

#[test]
fn stuck_attempt_is_cancelled_only_if_a_retry_is_allowed() {
    assert_eq!(review(RUNNING), ReviewDecision::Keep);
    let lost = RunningAttempt { secs_since_progress: 2.6, request_age_secs: 2.6, ..RUNNING };
    assert_eq!(review(lost), ReviewDecision::CancelAttempt);
    assert_eq!(review_running(&lost, 1.0, true, || false), ReviewDecision::Keep);
    let overdue = RunningAttempt { age_secs: 1.6, request_age_secs: 0.2, ..RUNNING };
    assert_eq!(review(overdue), ReviewDecision::Keep, "its engine is healthy");
    let ejected = RunningAttempt { is_engine_ejected: true, ..overdue };
    assert_eq!(review(ejected), ReviewDecision::CancelAttempt);
}

#[test]
fn level_of_running_attempt_rises_with_the_fraction_of_its_objective_that_has_passed() {
    let at_age = |request_age_secs| review(RunningAttempt { request_age_secs, ..RUNNING });
    assert_eq!(at_age(0.70), ReviewDecision::Keep);
    assert_eq!(at_age(0.71), ReviewDecision::RaiseLevel(1));
    assert_eq!(at_age(1.21), ReviewDecision::RaiseLevel(2));
    assert_eq!(at_age(2.0), ReviewDecision::Keep, "it has missed its objective");
    let late = RunningAttempt { request_age_secs: 1.21, ..RUNNING };
    assert_eq!(
        review_running(&late, 0.5, true, || true),
        ReviewDecision::Keep,
        "half of the load is visible"
    );
    assert_eq!(review_running(&late, 1.0, false, || true), ReviewDecision::Keep, "engines have no levels");
}

#[test]
fn queued_request_is_kept_while_its_answer_is_worth_its_price() {
    // Value 1 within 2 s, 0.3 until the client stops waiting after 5 s; the delay cost is 0.2 per second.
    let value = AnswerValue {
        value: 1.0,
        late_value_fraction: 0.3,
        objective_secs: 2.0,
        patience_secs: 5.0,
        class_deadline_secs: 5.0,
    };
    let review = |expected_secs, has_free_cores, price: f64| {
        review_queued(&value, expected_secs, has_free_cores, || price)
    };
    assert_eq!(review(1.0, false, 9.0), ReviewDecision::Keep, "in time, so the price does not matter");
    assert_eq!(review(1.4, false, 0.01), ReviewDecision::Keep, "late: 0.3 less 0.28");
    assert_eq!(review(1.4, false, 0.03), ReviewDecision::Respond);
    assert_eq!(review(1.4, true, 9.0), ReviewDecision::Keep, "cores are free");
    assert_eq!(review(5.1, true, 0.0), ReviewDecision::Respond, "its client will have stopped waiting");
}

#[test]
fn slow_attempt_is_replaced_if_a_new_one_is_far_quicker() {
    let attempt = RunningAttempt { age_secs: 1.0, request_age_secs: 1.0, ..RUNNING };
    assert!(is_restart_worthwhile(&attempt, 0.3, 0.5), "2.3 s remain against 0.5 s");
    assert!(!is_restart_worthwhile(&attempt, 0.3, 0.8), "a new one takes 0.8 s");
    assert!(!is_restart_worthwhile(&attempt, 0.5, 0.1), "it will be in time");
}
