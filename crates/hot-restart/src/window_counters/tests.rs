//! Tests of windows, of a clock that is set back, and of bounds.

use super::*;

/// One millisecond in microseconds.
const MILLISECOND: i64 = 1_000;
/// One second in microseconds.
const SECOND: i64 = 1_000 * MILLISECOND;

fn at(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn counters() -> WindowCounters {
    WindowCounters::new(TimeDelta::from_micros(5 * SECOND), TimeDelta::from_micros(2 * SECOND))
}

/// Totals of admitted requests, retries and milliseconds of warm-up work within their windows.
fn totals(counters: &WindowCounters, now: Timestamp) -> (u32, u32, u32) {
    let retry_budget = counters.retry_budget(now);
    let warmup = counters.warmup(now);
    (
        retry_budget.iter().map(|bucket| bucket.admitted).sum(),
        retry_budget.iter().map(|bucket| bucket.retries).sum(),
        warmup.iter().flat_map(|load| &load.buckets).map(|bucket| bucket.work_ms).sum(),
    )
}

#[test]
fn counts_older_than_their_window_are_left_out_and_memory_is_bounded() {
    let mut counters = counters();
    for i in 0..100_000_i64 {
        let now = at(i * 10 * MILLISECOND);
        counters.count_admitted(now);
        if i % 10 == 0 {
            counters.count_retry(now);
        }
        counters.count_warmup(now, "e", 3);
        let buckets = counters.retry_budget.len();
        assert!(buckets <= 22 && counters.warmup["e"].len() <= 10, "{buckets} buckets");
    }
    let now = at(99_999 * 10 * MILLISECOND);
    let (admitted, retries, work_ms) = totals(&counters, now);
    // Only whole buckets are dropped: up to one bucket (25 events at 10 ms) more than the windows' 500 and
    // 200 events.
    assert!((500..=525).contains(&admitted) && (50..=53).contains(&retries), "{admitted} {retries}");
    assert!((600..=675).contains(&work_ms), "{work_ms}");
    assert_eq!(totals(&counters, now + TimeDelta::from_micros(6 * SECOND)), (0, 0, 0));
}

#[test]
fn counts_move_back_with_a_clock_that_is_set_back() {
    let mut counters = counters();
    let now = at(1_000 * SECOND);
    (0..7).for_each(|_| counters.count_retry(now));
    let set_back = at(10 * SECOND);
    counters.count_retry(set_back);
    counters.count_warmup(set_back, "e", 5);
    assert_eq!(totals(&counters, set_back), (0, 8, 5), "no counts are lost");
    assert_eq!(
        totals(&counters, set_back + TimeDelta::from_micros(6 * SECOND)),
        (0, 0, 0),
        "no counts remain after the window"
    );
}

#[test]
fn least_recently_used_engine_is_evicted_at_the_limit() {
    let mut counters = counters();
    for i in 0..=MAX_WARMING_ENGINES as i64 {
        counters.count_warmup(at(i * MILLISECOND), &format!("{i:03}"), 1);
    }
    let loads = counters.warmup(at(MAX_WARMING_ENGINES as i64 * MILLISECOND));
    assert_eq!((loads.len(), counters.engines_left_out()), (MAX_WARMING_ENGINES, 1));
    counters.count_warmup(at(60 * SECOND), "new", 1);
    assert_eq!(counters.engines_left_out(), 1, "an engine with work older than the window is not counted");
}
