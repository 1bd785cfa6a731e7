//! Counters of the last seconds, in buckets, for the successor.

use crate::state::{
    RetryBudgetBucket, WarmupBucket, WarmupLoad, BUCKET_SPAN, MAX_BUCKETS, MAX_WARMING_ENGINES,
};
use crate::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// What this process did within the windows of the rules: retries and admitted requests of the retry budget, and work
/// sent to warming engines.
#[derive(Clone, Debug)]
pub struct WindowCounters {
    retry_budget_span: TimeDelta,
    warmup_span: TimeDelta,
    retry_budget: VecDeque<RetryBudgetBucket>,
    warmup: BTreeMap<String, VecDeque<WarmupBucket>>,
    /// The beginning of the newest bucket.
    newest_start: Timestamp,
    engines_left_out: u64,
}

/// A window in whole buckets and no more than [`MAX_BUCKETS`] of them, one of which has just begun.
fn bounded_span(span: TimeDelta) -> TimeDelta {
    let max_span = (MAX_BUCKETS as i64 - 2) * BUCKET_SPAN.as_micros();
    TimeDelta::from_micros(span.as_micros().clamp(0, max_span))
}

fn last_start(buckets: &VecDeque<WarmupBucket>) -> Option<Timestamp> {
    buckets.back().map(|bucket| bucket.start)
}

impl WindowCounters {
    /// Nothing counted yet. Takes the windows of the retry budget and of the warm-up budget, 15 s of each at most.
    pub fn new(retry_budget_span: TimeDelta, warmup_span: TimeDelta) -> WindowCounters {
        WindowCounters {
            retry_budget_span: bounded_span(retry_budget_span),
            warmup_span: bounded_span(warmup_span),
            retry_budget: VecDeque::new(),
            warmup: BTreeMap::new(),
            newest_start: Timestamp::from_micros(i64::MIN),
            engines_left_out: 0,
        }
    }

    /// Counts an admitted request.
    pub fn count_admitted(&mut self, now: Timestamp) {
        let bucket = self.retry_budget_bucket(now);
        bucket.admitted = bucket.admitted.saturating_add(1);
    }

    /// Counts an attempt beyond its request's first.
    pub fn count_retry(&mut self, now: Timestamp) {
        let bucket = self.retry_budget_bucket(now);
        bucket.retries = bucket.retries.saturating_add(1);
    }

    /// Counts work sent to a warming engine, in milliseconds of one thread.
    pub fn count_warmup(&mut self, now: Timestamp, engine: &str, work_ms: u32) {
        let start = self.bucket_start(now);
        if !self.warmup.contains_key(engine) {
            if self.warmup.len() >= MAX_WARMING_ENGINES {
                self.evict_least_recent_engine();
            }
            self.warmup.insert(engine.to_owned(), VecDeque::new());
        }
        let window_start = now - self.warmup_span;
        let Some(buckets) = self.warmup.get_mut(engine) else { return };
        match buckets.back_mut().filter(|bucket| bucket.start == start) {
            Some(bucket) => bucket.work_ms = bucket.work_ms.saturating_add(work_ms),
            None => buckets.push_back(WarmupBucket { start, work_ms }),
        }
        while buckets.front().is_some_and(|bucket| bucket.start + BUCKET_SPAN <= window_start) {
            buckets.pop_front();
        }
    }

    /// The retry budget's counters within its window, oldest first.
    pub fn retry_budget(&self, now: Timestamp) -> Vec<RetryBudgetBucket> {
        let window_start = now - self.retry_budget_span;
        self.retry_budget.iter().filter(|bucket| bucket.start + BUCKET_SPAN > window_start).copied().collect()
    }

    /// Work sent to warming engines within their window, by id; at most [`MAX_WARMING_ENGINES`] engines.
    pub fn warmup(&self, now: Timestamp) -> Vec<WarmupLoad> {
        let window_start = now - self.warmup_span;
        let mut loads = Vec::new();
        for (engine, buckets) in &self.warmup {
            let recent: Vec<WarmupBucket> =
                buckets.iter().filter(|bucket| bucket.start + BUCKET_SPAN > window_start).copied().collect();
            if !recent.is_empty() {
                loads.push(WarmupLoad { engine: engine.clone(), buckets: recent });
            }
        }
        loads
    }

    /// Engines left out so far because [`MAX_WARMING_ENGINES`] others were sent work later.
    pub fn engines_left_out(&self) -> u64 {
        self.engines_left_out
    }

    fn retry_budget_bucket(&mut self, now: Timestamp) -> &mut RetryBudgetBucket {
        let start = self.bucket_start(now);
        let window_start = now - self.retry_budget_span;
        while self.retry_budget.front().is_some_and(|bucket| bucket.start + BUCKET_SPAN <= window_start) {
            self.retry_budget.pop_front();
        }
        if self.retry_budget.back().is_none_or(|bucket| bucket.start != start) {
            self.retry_budget.push_back(RetryBudgetBucket { start, retries: 0, admitted: 0 });
        }
        let last = self.retry_budget.len() - 1;
        &mut self.retry_budget[last]
    }

    /// The beginning of the bucket that `now` lies in. Where the clock was set back, the buckets held are moved back with
    /// it: they must neither stay in the future for good nor be lost.
    fn bucket_start(&mut self, now: Timestamp) -> Timestamp {
        let length = BUCKET_SPAN.as_micros();
        let start = Timestamp::from_micros(now.as_micros().div_euclid(length).saturating_mul(length));
        if start < self.newest_start {
            self.move_back(self.newest_start - start);
        }
        self.newest_start = start;
        start
    }

    fn move_back(&mut self, shift: TimeDelta) {
        for bucket in &mut self.retry_budget {
            bucket.start = bucket.start - shift;
        }
        for bucket in self.warmup.values_mut().flatten() {
            bucket.start = bucket.start - shift;
        }
    }

    fn evict_least_recent_engine(&mut self) {
        let least_recent = self.warmup.iter().min_by_key(|(_, buckets)| last_start(buckets));
        let Some(engine) = least_recent.map(|(engine, _)| engine.clone()) else { return };
        let evicted_start = self.warmup.remove(&engine).and_then(|buckets| last_start(&buckets));
        let window_start = self.newest_start - self.warmup_span;
        // What is older than the window is no loss.
        if evicted_start.is_some_and(|start| start + BUCKET_SPAN > window_start) {
            self.engines_left_out += 1;
        }
    }
}
