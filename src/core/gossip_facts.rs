//! What this manager gossips of itself: requests and retries of late, engines that it cannot reach, work that it sent to
//! engines that are warming up. It counts; `sprucelink_membership` decides.

use sprucelink_membership::{engine_hash, GossipPayload, WarmupWork};
use sprucelink_policy::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Events kept of one kind; older ones go first.
const MAX_EVENTS: usize = 20_000;
/// An engine to which a connection failed counts as unreachable for this long, unless one comes up.
const UNREACHABLE_FOR: TimeDelta = TimeDelta::from_micros(10_000_000);
/// Engines that are noted as unreachable at a time.
const MAX_UNREACHABLE: usize = 256;

/// Over which spans gossip counts.
#[derive(Clone, Copy, Debug)]
pub struct GossipWindows {
    /// Window of the retry budget.
    pub retry_budget: TimeDelta,
    /// Window of the budget of engines that are warming up.
    pub warm_up_budget: TimeDelta,
    /// How long an engine warms up after its start.
    pub warm_up: TimeDelta,
}

/// An attempt at an engine that is warming up.
struct WarmUpAttempt {
    sent_at: Timestamp,
    /// The engine, as managers name it.
    engine: u64,
    /// Work in milliseconds.
    cost_ms: f64,
}

/// The counts.
pub(super) struct GossipFacts {
    windows: GossipWindows,
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
    warm_up_attempts: VecDeque<WarmUpAttempt>,
    /// Engines to which a connection failed last, and when.
    unreachable: BTreeMap<u64, Timestamp>,
}

fn push_bounded<T>(queue: &mut VecDeque<T>, event: T) {
    if queue.len() >= MAX_EVENTS {
        queue.pop_front();
    }
    queue.push_back(event);
}

/// Drops events that are older than a window; how many are left.
fn count_recent(events: &mut VecDeque<Timestamp>, now: Timestamp, window: TimeDelta) -> u32 {
    while events.front().is_some_and(|at| now - *at > window) {
        events.pop_front();
    }
    events.len() as u32
}

impl GossipFacts {
    /// Nothing counted yet.
    pub(super) fn new(windows: GossipWindows) -> GossipFacts {
        GossipFacts {
            windows,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            warm_up_attempts: VecDeque::new(),
            unreachable: BTreeMap::new(),
        }
    }

    /// Counts a request.
    pub(super) fn record_request(&mut self, now: Timestamp) {
        push_bounded(&mut self.requests, now);
    }

    /// Counts an attempt at an engine: its id, its start in Unix milliseconds or 0, and the work in milliseconds.
    pub(super) fn record_attempt(
        &mut self,
        now: Timestamp,
        is_retry: bool,
        engine: &str,
        started_at_ms: i64,
        cost_ms: f64,
    ) {
        if is_retry {
            push_bounded(&mut self.retries, now);
        }
        if started_at_ms > 0 && now - Timestamp::from_millis(started_at_ms) < self.windows.warm_up {
            let attempt = WarmUpAttempt { sent_at: now, engine: engine_hash(engine), cost_ms };
            push_bounded(&mut self.warm_up_attempts, attempt);
        }
    }

    /// Notes that a connection to an engine came up or failed.
    pub(super) fn record_connection(&mut self, now: Timestamp, engine: &str, is_up: bool) {
        if is_up {
            self.unreachable.remove(&engine_hash(engine));
        } else if self.unreachable.len() < MAX_UNREACHABLE {
            self.unreachable.insert(engine_hash(engine), now);
        }
    }

    /// The payload as of now. `unresponsive`: engines that keep silent, besides those to which no connection came up.
    /// The version is set by the membership.
    pub(super) fn payload(&mut self, now: Timestamp, unresponsive: Vec<u64>) -> GossipPayload {
        let admitted_requests = count_recent(&mut self.requests, now, self.windows.retry_budget);
        let retries = count_recent(&mut self.retries, now, self.windows.retry_budget);
        let warmup_work = self.warm_up_work(now);
        self.unreachable.retain(|_, failed_at| now - *failed_at <= UNREACHABLE_FOR);
        let unreachable: BTreeSet<u64> = self.unreachable.keys().copied().chain(unresponsive).collect();
        let unreachable_engines = unreachable.into_iter().collect();
        let mut payload =
            GossipPayload { version: 0, admitted_requests, retries, unreachable_engines, warmup_work };
        payload.truncate();
        payload
    }

    /// Work that was sent to each engine that is warming up, in whole milliseconds.
    fn warm_up_work(&mut self, now: Timestamp) -> Vec<WarmupWork> {
        let window = self.windows.warm_up_budget;
        while self.warm_up_attempts.front().is_some_and(|attempt| now - attempt.sent_at > window) {
            self.warm_up_attempts.pop_front();
        }
        let mut by_engine: BTreeMap<u64, f64> = BTreeMap::new();
        for attempt in &self.warm_up_attempts {
            *by_engine.entry(attempt.engine).or_default() += attempt.cost_ms;
        }
        let whole_ms = |ms: f64| ms.clamp(0.0, f64::from(u32::MAX)) as u32;
        by_engine.into_iter().map(|(engine, ms)| WarmupWork { engine, work_ms: whole_ms(ms) }).collect()
    }
}

#[cfg(test)]
mod tests;
