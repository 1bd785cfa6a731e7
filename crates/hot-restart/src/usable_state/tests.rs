//! Tests of the counters that apply at each age of a file.

use super::*;
use crate::state::{Instance, Phase, RetryBudgetBucket, StateSnapshot, WarmupBucket};

/// One second in microseconds.
const SECOND: i64 = 1_000_000;
const SPANS: WindowSpans = WindowSpans {
    retry_budget: TimeDelta::from_micros(5 * SECOND),
    slow_start: TimeDelta::from_micros(2 * SECOND),
};
const WRITTEN_AT: Timestamp = Timestamp::from_micros(100 * SECOND);

fn after_write(seconds: f64) -> Timestamp {
    Timestamp::from_micros(WRITTEN_AT.as_micros() + (seconds * SECOND as f64) as i64)
}

fn before_write(seconds: f64) -> Timestamp {
    Timestamp::from_micros(WRITTEN_AT.as_micros() - (seconds * SECOND as f64) as i64)
}

fn file() -> StateFile {
    let retry_budget =
        [4.0, 1.5, 0.25].map(|age| RetryBudgetBucket { start: before_write(age), retries: 2, admitted: 30 });
    let buckets = [1.5, 0.25].map(|age| WarmupBucket { start: before_write(age), work_ms: 400 }).to_vec();
    StateFile {
        instance: Instance { name: "n".into(), listen: "l".into() },
        process: Process { generation: 1, started_at: Timestamp::ZERO, pid: 1 },
        build: String::new(),
        clock: None,
        written_at: WRITTEN_AT,
        sequence: 1,
        phase: Phase::Draining,
        phase_since: WRITTEN_AT,
        shares_with: Vec::new(),
        snapshot: StateSnapshot {
            known_ids: vec![1, 2, 3],
            retry_budget: retry_budget.to_vec(),
            warmup: vec![WarmupLoad { engine: "e".into(), buckets }],
            ..StateSnapshot::default()
        },
    }
}

/// The file's age, and the numbers of buckets of retries, admitted requests and warm-up work that still
/// apply.
fn usable_at(now: Timestamp) -> (FileAge, usize, usize, usize) {
    let usable = usable_state(now, SPANS, file());
    assert_eq!(usable.known_ids, [1, 2, 3], "engine ids apply at any age");
    assert!(usable.retries.iter().chain(&usable.admitted).all(|(at, _)| *at <= now));
    assert!(usable.warmup.iter().all(|send| send.sent_at <= now));
    (usable.age, usable.retries.len(), usable.admitted.len(), usable.warmup.len())
}

#[test]
fn counters_apply_until_their_window_has_passed() {
    assert_eq!(usable_at(after_write(0.0)), (FileAge::Fresh, 3, 3, 2));
    // A bucket that began 4 s ago may contain a retry from 3.75 s ago; its admitted requests may be 4 s old.
    assert_eq!(usable_at(after_write(1.1)), (FileAge::Fresh, 3, 2, 1));
    assert_eq!(usable_at(after_write(1.3)), (FileAge::Fresh, 2, 2, 1));
    assert_eq!(usable_at(after_write(4.9)), (FileAge::Fresh, 1, 0, 0));
    assert_eq!(usable_at(after_write(5.1)), (FileAge::Stale, 0, 0, 0));
    assert_eq!(usable_at(after_write(1e6)), (FileAge::Stale, 0, 0, 0));
}

#[test]
fn file_from_the_future_counts_as_recent_and_enlarges_no_budget() {
    assert_eq!(
        usable_at(before_write(0.5)),
        (FileAge::Fresh, 3, 2, 2),
        "a small clock step: admitted requests from the future do not enlarge the budget"
    );
    assert_eq!(usable_at(before_write(3_600.0)), (FileAge::Future, 3, 0, 2));
}
