//! Tests of the send guard: each rule on both sides of its limit.

use super::*;
use quickcheck::{Gen, QuickCheck, TestResult};
use sprucelink_policy::{ClassSettings, DedupGroup, Effect};

fn class(effect: Effect, window_ms: i64) -> ClassSettings {
    ClassSettings {
        value: 1.0,
        late_value_fraction: 0.5,
        latency_objective: millis(1),
        objective_per_work: 0.0,
        deadline: millis(20_000),
        effect,
        group: DedupGroup::All,
        repeat_window: millis(window_ms),
        ordered_by_key: false,
        threads: 1.0,
        loads_tables: false,
        kinds: None,
        zones: None,
    }
}

fn millis(value: i64) -> TimeDelta {
    TimeDelta::from_millis(value)
}

fn time_ms(value: i64) -> Timestamp {
    Timestamp::from_millis(value)
}

fn guard(budget: Option<RetryBudgetSettings>) -> SendGuard {
    let classes = vec![class(Effect::Safe, 0), class(Effect::Keyed, 400), class(Effect::Unsafe, 9_000)];
    SendGuard::new(&Settings { classes, retry_budget: budget, ..Settings::default() })
}

const FIRST_ATTEMPT: OutgoingAttempt = OutgoingAttempt {
    request_is_awaited: true,
    deadline: Timestamp::from_secs(2),
    class: 0,
    charges_retry_budget: false,
    may_have_run_since: None,
    engine_is_ready: true,
};

#[test]
fn nothing_is_sent_for_a_completed_or_late_request_or_to_a_draining_engine() {
    let guard = guard(None);
    assert_eq!(guard.check(time_ms(1), 0.0, &FIRST_ATTEMPT), Ok(()));
    assert_eq!(
        guard.check(time_ms(1), 0.0, &OutgoingAttempt { request_is_awaited: false, ..FIRST_ATTEMPT }),
        Err(SendRejection::RequestOver)
    );
    assert_eq!(guard.check(time_ms(1_999), 0.0, &FIRST_ATTEMPT), Ok(()));
    assert_eq!(guard.check(time_ms(2_000), 0.0, &FIRST_ATTEMPT), Err(SendRejection::DeadlinePassed));
    assert_eq!(
        guard.check(time_ms(1), 0.0, &OutgoingAttempt { engine_is_ready: false, ..FIRST_ATTEMPT }),
        Err(SendRejection::EngineNotReady)
    );
}

#[test]
fn retry_is_sent_within_its_window_and_never_for_an_unsafe_class() {
    let guard = guard(None);
    let retry = OutgoingAttempt {
        charges_retry_budget: true,
        may_have_run_since: Some(time_ms(100)),
        ..FIRST_ATTEMPT
    };
    assert_eq!(guard.check(time_ms(1_000), 0.0, &retry), Ok(()), "a safe class has no window");
    let keyed = OutgoingAttempt { class: 1, ..retry };
    assert_eq!(guard.check(time_ms(499), 0.0, &keyed), Ok(()));
    assert_eq!(guard.check(time_ms(500), 0.0, &keyed), Err(SendRejection::NotRetryable));
    let never_ran = OutgoingAttempt { may_have_run_since: None, ..keyed };
    assert_eq!(guard.check(time_ms(1_500), 0.0, &never_ran), Ok(()));
    let unsafe_retry = OutgoingAttempt { class: 2, ..retry };
    assert_eq!(guard.check(time_ms(101), 0.0, &unsafe_retry), Err(SendRejection::NotRetryable));
    assert_eq!(
        guard.check(time_ms(101), 0.0, &OutgoingAttempt { may_have_run_since: None, ..unsafe_retry }),
        Ok(())
    );
}

#[test]
fn nothing_is_sent_after_the_shutdown_deadline() {
    let mut guard = guard(None);
    assert!(!guard.is_closed(time_ms(5_000)));
    guard.set_shutdown_deadline(time_ms(700));
    assert_eq!(
        (guard.response_deadline(time_ms(500)), guard.response_deadline(time_ms(900))),
        (time_ms(500), time_ms(700))
    );
    assert_eq!(guard.check(time_ms(699), 0.0, &FIRST_ATTEMPT), Ok(()));
    assert_eq!(guard.check(time_ms(700), 0.0, &FIRST_ATTEMPT), Err(SendRejection::DeadlinePassed));
    assert!(!guard.is_closed(time_ms(699)) && guard.is_closed(time_ms(700)));
}

/// For any times of requests and retries, no retry exceeds the budget of the window that ends at the retry.
#[test]
fn no_window_has_more_retries_than_its_budget() {
    fn stays_within_budget(steps: Vec<(u8, bool)>) -> TestResult {
        let budget =
            RetryBudgetSettings { window: millis(1_000), free_retries: 3.0, retries_per_request: 0.1 };
        let mut guard = guard(Some(budget));
        let mut now = time_ms(50_000);
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (half_millis, is_request) in steps {
            now = now + millis(i64::from(half_millis) / 2);
            if is_request {
                guard.record_request(now);
                requests.push(now);
            }
            let retry =
                OutgoingAttempt { charges_retry_budget: true, deadline: now + millis(1), ..FIRST_ATTEMPT };
            if guard.check(now, 0.0, &retry).is_err() {
                continue;
            }
            guard.record_first_byte(now, true);
            retries.push(now);
            // The retries in the window, this retry included, must be within the budget.
            let from = now - budget.window;
            let count = |all: &[Timestamp]| all.iter().filter(|at| **at > from).count() as f64;
            if count(&retries) > budget.free_retries + budget.retries_per_request * count(&requests) + 1e-9 {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    let rng = Gen::from_size_and_seed(400, 11);
    QuickCheck::new()
        .rng(rng)
        .tests(300)
        .quickcheck(stays_within_budget as fn(Vec<(u8, bool)>) -> TestResult);
}

#[test]
fn retries_use_the_whole_budget_and_its_counts_stay_bounded() {
    let budget = RetryBudgetSettings { window: millis(5_000), free_retries: 3.0, retries_per_request: 0.1 };
    let mut guard = guard(Some(budget));
    let retry = OutgoingAttempt { charges_retry_budget: true, deadline: Timestamp::MAX, ..FIRST_ATTEMPT };
    let mut sent = 0;
    for now_ms in 0..60_000 {
        guard.record_request(time_ms(now_ms));
        if guard.check(time_ms(now_ms), 0.0, &retry).is_ok() {
            guard.record_first_byte(time_ms(now_ms), true);
            sent += 1;
        }
    }
    // A tenth of the 60,000 requests, and the free retries of each window.
    assert!((5_800..=6_100).contains(&sent), "{sent}");
    assert!(guard.requests.len() <= MAX_SLOTS as usize && guard.retries.len() <= MAX_SLOTS as usize);
    assert_eq!(
        guard.check(time_ms(60_000), 1e9, &retry),
        Ok(()),
        "spare retries of other managers extend the budget"
    );
}
