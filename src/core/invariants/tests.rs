//! Tests of the invariant monitor: each violation is counted under its own rule only.

use super::*;
use sprucelink_policy::{ClassSettings, DedupGroup};

/// Microseconds per second.
const MICROS_PER_SECOND: i64 = 1_000_000;

fn time_s(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * MICROS_PER_SECOND as f64) as i64)
}

fn span_s(seconds: f64) -> TimeDelta {
    TimeDelta::from_micros((seconds * MICROS_PER_SECOND as f64) as i64)
}

fn class(effect: Effect) -> ClassSettings {
    ClassSettings {
        value: 1.0,
        late_value_fraction: 0.5,
        latency_objective: span_s(1.0),
        objective_per_work: 0.0,
        deadline: span_s(20.0),
        effect,
        group: DedupGroup::All,
        repeat_window: span_s(2.0),
        ordered_by_key: false,
        threads: 1.0,
        loads_tables: false,
        kinds: None,
        zones: None,
    }
}

/// A monitor of three classes (0: safe, 1: keyed, 2: unsafe) with a budget of one retry in 5 s, and the
/// metrics in which it counts violations.
fn monitor() -> (InvariantMonitor, Metrics) {
    let metrics = Metrics::try_new(&["a".into(), "b".into(), "c".into()]).expect("metrics");
    let settings = Settings {
        classes: [Effect::Safe, Effect::Keyed, Effect::Unsafe].map(class).to_vec(),
        drain_grace: span_s(0.5),
        retry_budget: Some(RetryBudgetSettings {
            window: span_s(5.0),
            free_retries: 1.0,
            retries_per_request: 0.0,
        }),
        ..Settings::default()
    };
    (InvariantMonitor::new(&settings, &metrics), metrics)
}

fn sent(id: u64, attempt: u32, class: usize) -> SentAttempt {
    SentAttempt {
        id,
        attempt,
        class,
        request_is_awaited: true,
        deadline: time_s(100.0),
        sent_time_left: span_s(10.0),
        not_ready_since: None,
        spare_retries: 0.0,
    }
}

/// The names of the counters that are not zero.
fn violated(metrics: &Metrics) -> Vec<&'static str> {
    let text = metrics.render();
    let names = Invariant::ALL.map(Invariant::counter_name);
    names.into_iter().filter(|name| !text.contains(&format!("edge.{name}=0\n"))).collect()
}

#[test]
fn attempt_within_all_rules_counts_no_violation() {
    let (mut monitor, metrics) = monitor();
    monitor.record_request(time_s(50.0));
    monitor.record_first_byte(time_s(50.0), &sent(1, 0, 2));
    // The first byte of an attempt may be reported again while its command waits for a slow peer.
    monitor.record_first_byte(time_s(50.1), &sent(1, 0, 2));
    monitor.record_end(1, 0, true);
    monitor.record_first_byte(time_s(50.2), &sent(1, 1, 2));
    assert_eq!(violated(&metrics), Vec::<&str>::new());
    assert_eq!(monitor.violations(), 0);
}

#[test]
fn attempt_concurrent_with_another_is_counted() {
    let (mut monitor, metrics) = monitor();
    monitor.record_first_byte(time_s(50.0), &sent(1, 0, 0));
    monitor.record_first_byte(time_s(50.1), &sent(1, 1, 0));
    assert_eq!(violated(&metrics), ["invariant.concurrent_attempt"]);
}

#[test]
fn attempt_for_a_completed_request_is_counted() {
    let (mut monitor, metrics) = monitor();
    monitor.record_first_byte(time_s(50.0), &SentAttempt { request_is_awaited: false, ..sent(1, 0, 0) });
    assert_eq!(violated(&metrics), ["invariant.send_after_end"]);
}

#[test]
fn engine_deadline_beyond_the_slack_is_counted() {
    let (mut monitor, metrics) = monitor();
    monitor.record_first_byte(time_s(90.1), &sent(1, 0, 0));
    assert_eq!(violated(&metrics), Vec::<&str>::new(), "within the slack");
    monitor.record_first_byte(time_s(90.2), &sent(2, 0, 0));
    assert_eq!(violated(&metrics), ["invariant.late_deadline"]);
}

#[test]
fn attempt_at_an_engine_that_drains_for_longer_than_the_grace_is_counted() {
    let (mut monitor, metrics) = monitor();
    let draining = SentAttempt { not_ready_since: Some(time_s(49.5)), ..sent(1, 0, 0) };
    monitor.record_first_byte(time_s(50.0), &draining);
    assert_eq!(violated(&metrics), Vec::<&str>::new());
    monitor.record_first_byte(time_s(50.1), &SentAttempt { id: 2, ..draining });
    assert_eq!(violated(&metrics), ["invariant.send_to_unlisted"]);
}

#[test]
fn retry_of_an_unsafe_class_is_counted_only_after_an_attempt_that_may_have_run() {
    let (mut monitor, metrics) = monitor();
    monitor.record_first_byte(time_s(50.0), &sent(1, 0, 2));
    monitor.record_end(1, 0, false);
    monitor.record_first_byte(time_s(50.1), &sent(1, 1, 2));
    assert_eq!(violated(&metrics), ["invariant.unsafe_retry"]);
}

#[test]
fn retry_with_an_idempotency_key_is_counted_after_its_window() {
    let (mut monitor, metrics) = monitor();
    monitor.record_first_byte(time_s(50.0), &sent(1, 0, 1));
    monitor.record_end(1, 0, false);
    monitor.record_first_byte(time_s(51.9), &sent(1, 1, 1));
    monitor.record_end(1, 1, false);
    assert_eq!(violated(&metrics), Vec::<&str>::new());
    monitor.record_first_byte(time_s(57.1), &sent(1, 2, 1));
    assert_eq!(violated(&metrics), ["invariant.unsafe_retry"]);
}

#[test]
fn retry_over_the_budget_is_counted() {
    let (mut monitor, metrics) = monitor();
    for id in 1..=2 {
        monitor.record_first_byte(time_s(50.0), &sent(id, 0, 0));
        monitor.record_end(id, 0, false);
    }
    monitor.record_first_byte(time_s(50.1), &sent(1, 1, 0));
    assert_eq!(violated(&metrics), Vec::<&str>::new());
    monitor.record_first_byte(time_s(55.0), &sent(2, 1, 0));
    assert_eq!(violated(&metrics), ["invariant.retry_budget"], "two retries within 5 s");
}
