//! Counters of files of every age.

use super::*;
use crate::state::{Instance, Phase, RetryBudgetBucket, StateSnapshot, WarmupBucket};

/// In microseconds.
const SECOND: i64 = 1_000_000;
const SPANS: WindowSpans = WindowSpans {
    retry_budget: TimeDelta::from_micros(5 * SECOND),
    slow_start: TimeDelta::from_micros(2 * SECOND),
};
const WRITTEN_AT: Timestamp = Timestamp::from_micros(100 * SECOND);

fn after(seconds: f64) -> Timestamp {
    Timestamp::from_micros(WRITTEN_AT.as_micros() + (seconds * SECOND as f64) as i64)
}

fn before(seconds: f64) -> Timestamp {
    Timestamp::from_micros(WRITTEN_AT.as_micros() - (seconds * SECOND as f64) as i64)
}

fn file() -> StateFile {
    let retry_budget =
        [4.0, 1.5, 0.25].map(|age| RetryBudgetBucket { start: before(age), retries: 2, admitted: 30 });
    let buckets = [1.5, 0.25].map(|age| WarmupBucket { start: before(age), work_ms: 400 }).to_vec();
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

/// The file's age, and how many buckets of retries, admitted requests and warm-up work still apply.
fn usable_at(now: Timestamp) -> (FileAge, usize, usize, usize) {
    let usable = usable_state(now, SPANS, file());
    assert_eq!(usable.known_ids, [1, 2, 3], "ids apply at any age");
    assert!(usable.retries.iter().chain(&usable.admitted).all(|(at, _)| *at <= now));
    assert!(usable.warmup.iter().all(|send| send.sent_at <= now));
    (usable.age, usable.retries.len(), usable.admitted.len(), usable.warmup.len())
}

#[test]
fn counters_apply_until_their_window_has_passed() {
    assert_eq!(usable_at(after(0.0)), (FileAge::Fresh, 3, 3, 2));
    // A bucket of 4 s ago may hold a retry of 3.75 s ago; what was admitted may be 4 s old.
    assert_eq!(usable_at(after(1.1)), (FileAge::Fresh, 3, 2, 1));
    assert_eq!(usable_at(after(1.3)), (FileAge::Fresh, 2, 2, 1));
    assert_eq!(usable_at(after(4.9)), (FileAge::Fresh, 1, 0, 0));
    assert_eq!(usable_at(after(5.1)), (FileAge::Stale, 0, 0, 0));
    assert_eq!(usable_at(after(1e6)), (FileAge::Stale, 0, 0, 0));
}

#[test]
fn file_from_the_future_counts_as_recent_and_enlarges_no_budget() {
    assert_eq!(
        usable_at(before(0.5)),
        (FileAge::Fresh, 3, 2, 2),
        "a clock stepped by a moment: what lies ahead enlarges nothing"
    );
    assert_eq!(usable_at(before(3_600.0)), (FileAge::Future, 3, 0, 2));
}
