//! Counters of the last seconds, in buckets, which a process passes to its successor.

use crate::state::{
    RetryBudgetBucket, WarmupBucket, WarmupLoad, BUCKET_SPAN, MAX_BUCKETS, MAX_WARMING_ENGINES,
};
use crate::{TimeDelta, Timestamp};
use sprucelink_rate_limits::{Slot, SlotWindow};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Counts of the retry budget in one slot.
#[derive(Clone, Copy, Debug, Default)]
struct RetryCounts {
    retries: u32,
    admitted: u32,
}

/// Counters of this process within the windows of the rules: retries and admitted requests of the retry
/// budget, and work sent to warming engines.
#[derive(Clone, Debug)]
pub struct WindowCounters {
    retry_budget: SlotWindow<RetryCounts>,
    warmup_span: TimeDelta,
    /// Work in milliseconds, by engine id.
    warmup: BTreeMap<String, SlotWindow<u32>>,
    /// Start of the newest slot.
    newest_start: Timestamp,
    engines_left_out: u64,
}

/// A window with as many slots as a file can contain buckets of one counter.
fn slot_window<T: Default>(span: TimeDelta) -> SlotWindow<T> {
    SlotWindow::new(span, BUCKET_SPAN, MAX_BUCKETS as u32)
}

/// Bounds a span so that its slots are no wider than [`BUCKET_SPAN`].
fn bounded_span(span: TimeDelta) -> TimeDelta {
    let max_span = (MAX_BUCKETS as i64 - 2) * BUCKET_SPAN.as_micros();
    TimeDelta::from_micros(span.as_micros().clamp(0, max_span))
}

fn newest_start<T: Default>(window: &SlotWindow<T>) -> Option<Timestamp> {
    window.newest().map(|slot| slot.start)
}

impl WindowCounters {
    /// Creates empty counters with the windows of the retry budget and of the warm-up budget, each limited to
    /// 15 s.
    pub fn new(retry_budget_span: TimeDelta, warmup_span: TimeDelta) -> WindowCounters {
        WindowCounters {
            retry_budget: slot_window(bounded_span(retry_budget_span)),
            warmup_span: bounded_span(warmup_span),
            warmup: BTreeMap::new(),
            newest_start: Timestamp::from_micros(i64::MIN),
            engines_left_out: 0,
        }
    }

    /// Counts an admitted request.
    pub fn count_admitted(&mut self, now: Timestamp) {
        self.follow_clock(now);
        let counts = self.retry_budget.slot_mut(now);
        counts.admitted = counts.admitted.saturating_add(1);
    }

    /// Counts a retry: an attempt beyond the first of its request.
    pub fn count_retry(&mut self, now: Timestamp) {
        self.follow_clock(now);
        let counts = self.retry_budget.slot_mut(now);
        counts.retries = counts.retries.saturating_add(1);
    }

    /// Counts work sent to a warming engine, in milliseconds of one thread.
    pub fn count_warmup(&mut self, now: Timestamp, engine: &str, work_ms: u32) {
        self.follow_clock(now);
        if !self.warmup.contains_key(engine) {
            if self.warmup.len() >= MAX_WARMING_ENGINES {
                self.evict_least_recent_engine();
            }
            self.warmup.insert(engine.to_owned(), slot_window(self.warmup_span));
        }
        if let Some(window) = self.warmup.get_mut(engine) {
            let total_ms = window.slot_mut(now);
            *total_ms = total_ms.saturating_add(work_ms);
        }
    }

    /// Counters of the retry budget within its window, oldest first.
    pub fn retry_budget(&self, now: Timestamp) -> Vec<RetryBudgetBucket> {
        let bucket = |slot: &Slot<RetryCounts>| RetryBudgetBucket {
            start: slot.start,
            retries: slot.value.retries,
            admitted: slot.value.admitted,
        };
        self.retry_budget.overlapping(now).map(bucket).collect()
    }

    /// Work sent to warming engines within the warm-up window, ordered by engine id; at most
    /// [`MAX_WARMING_ENGINES`] engines.
    pub fn warmup(&self, now: Timestamp) -> Vec<WarmupLoad> {
        let mut loads = Vec::new();
        for (engine, window) in &self.warmup {
            let slots = window.overlapping(now);
            let buckets: Vec<WarmupBucket> =
                slots.map(|slot| WarmupBucket { start: slot.start, work_ms: slot.value }).collect();
            if !buckets.is_empty() {
                loads.push(WarmupLoad { engine: engine.clone(), buckets });
            }
        }
        loads
    }

    /// Number of engines left out so far because [`MAX_WARMING_ENGINES`] other engines were sent work later.
    pub fn engines_left_out(&self) -> u64 {
        self.engines_left_out
    }

    /// If the clock was set back, moves the retained slots back with it: otherwise they would be in the
    /// future and count for longer than their window.
    fn follow_clock(&mut self, now: Timestamp) {
        let start = self.retry_budget.slot_start(now);
        if start < self.newest_start {
            let shift = self.newest_start - start;
            self.retry_budget.shift_back(shift);
            for window in self.warmup.values_mut() {
                window.shift_back(shift);
            }
        }
        self.newest_start = start;
    }

    /// Evicts the engine that was sent work longest ago.
    fn evict_least_recent_engine(&mut self) {
        let least_recent = self.warmup.iter().min_by_key(|(_, window)| newest_start(window));
        let Some(engine) = least_recent.map(|(engine, _)| engine.clone()) else { return };
        let evicted_start = self.warmup.remove(&engine).and_then(|window| newest_start(&window));
        let window_start = self.newest_start - self.warmup_span;
        // An engine whose work is older than the window is not counted as left out.
        if evicted_start.is_some_and(|start| start + BUCKET_SPAN > window_start) {
            self.engines_left_out += 1;
        }
    }
}
