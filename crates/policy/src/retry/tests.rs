use super::{AttemptHistory, RetryBudget, RetryDecision, RetryRule};
use crate::policy::TICK;
use crate::settings::{Effect, RetryBudgetSettings};
use sprucelink_time::{TimeDelta, Timestamp};

const RULE: RetryRule = RetryRule { effect: Effect::Safe, dedup_window: TimeDelta::from_secs(2) };
const MAX_ATTEMPTS: u32 = 3;

fn at_millis(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// One attempt, sent at 100 ms, that may have run; the client waits until 10 s.
fn history() -> AttemptHistory {
    AttemptHistory {
        attempts: 1,
        is_in_flight: false,
        may_have_run_since: Some(at_millis(100)),
        deadline: at_millis(10_000),
    }
}

fn decide(effect: Effect, now: Timestamp, history: AttemptHistory) -> RetryDecision {
    RetryRule { effect, ..RULE }.decide(now, &history, MAX_ATTEMPTS)
}

#[test]
fn request_that_may_have_run_is_retried_only_as_its_effect_allows() {
    assert_eq!(decide(Effect::Safe, at_millis(200), history()), RetryDecision::Allowed);
    assert_eq!(decide(Effect::Keyed, at_millis(200), history()), RetryDecision::Allowed);
    assert_eq!(decide(Effect::Unsafe, at_millis(200), history()), RetryDecision::MayRunTwice);
    let never_ran = AttemptHistory { may_have_run_since: None, ..history() };
    assert_eq!(decide(Effect::Unsafe, at_millis(200), never_ran), RetryDecision::Allowed);
}

#[test]
fn unsafe_request_has_one_attempt_at_a_time() {
    let in_flight = AttemptHistory { may_have_run_since: None, is_in_flight: true, ..history() };
    assert_eq!(decide(Effect::Unsafe, at_millis(200), in_flight), RetryDecision::MayRunTwice);
    assert_eq!(decide(Effect::Safe, at_millis(200), in_flight), RetryDecision::Allowed);
}

#[test]
fn keyed_retry_is_rejected_at_the_end_of_its_dedup_window() {
    assert_eq!(decide(Effect::Keyed, at_millis(2_099), history()), RetryDecision::Allowed);
    assert_eq!(decide(Effect::Keyed, at_millis(2_100), history()), RetryDecision::DedupWindowPassed);
}

#[test]
fn retry_is_rejected_when_attempts_are_exhausted_or_the_deadline_is_near() {
    let exhausted = AttemptHistory { attempts: MAX_ATTEMPTS, ..history() };
    assert_eq!(decide(Effect::Safe, at_millis(200), exhausted), RetryDecision::AttemptsExhausted);
    assert_eq!(decide(Effect::Safe, at_millis(9_949), history()), RetryDecision::Allowed);
    assert_eq!(decide(Effect::Safe, at_millis(9_950), history()), RetryDecision::DeadlineTooNear);
}

const BUDGET: RetryBudgetSettings =
    RetryBudgetSettings { window: TimeDelta::from_secs(5), free_retries: 2.0, retries_per_request: 0.1 };

#[test]
fn retry_is_rejected_when_budget_is_exhausted() {
    let mut budget = RetryBudget::default();
    (0..10).for_each(|_| budget.record_request(at_millis(0), Some(&BUDGET)));
    for retry in 0..3 {
        assert!(
            budget.has_capacity(at_millis(10), Some(&BUDGET), 0.0),
            "retry {retry}: two free retries and one for ten requests"
        );
        budget.record_retry(at_millis(10), Some(&BUDGET));
    }
    assert!(!budget.has_capacity(at_millis(10), Some(&BUDGET), 0.0));
    assert!(
        budget.has_capacity(at_millis(10), Some(&BUDGET), 1.0),
        "another manager leaves a retry to this one"
    );
    assert!(budget.has_capacity(at_millis(10), None, 0.0), "without a budget");
}

#[test]
fn retry_counts_a_tick_longer_than_a_request() {
    let mut budget = RetryBudget::default();
    (0..2).for_each(|_| budget.record_retry(at_millis(0), Some(&BUDGET)));
    let window_end = Timestamp::ZERO + BUDGET.window;
    assert!(!budget.has_capacity(window_end, Some(&BUDGET), 0.0));
    assert!(budget.has_capacity(window_end + TICK, Some(&BUDGET), 0.0));
    (0..10).for_each(|_| budget.record_request(at_millis(0), Some(&BUDGET)));
    (0..2).for_each(|_| budget.record_retry(window_end, Some(&BUDGET)));
    assert!(!budget.has_capacity(window_end, Some(&BUDGET), 0.0), "the requests have left the window");
}
