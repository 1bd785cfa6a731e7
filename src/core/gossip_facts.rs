//! The facts that this manager gossips to the other managers.
//!
//! Input: requests, attempts, and connections that opened or failed. Output: a [`GossipPayload`] with the
//! recent requests and retries, the unreachable engines and the work sent to engines in slow start. State:
//! these events within their windows. This module only counts; `sprucelink_membership` decides when the
//! payload is sent.

use sprucelink_membership::{engine_hash, GossipPayload, WarmupWork};
use sprucelink_policy::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Limit on the recorded requests, on the recorded retries and on the recorded attempts in slow start; the
/// oldest are dropped first.
const MAX_EVENTS: usize = 20_000;
/// Time for which an engine counts as unreachable after a connection to it failed, unless a later connection
/// opens.
const UNREACHABLE_DURATION: TimeDelta = TimeDelta::from_secs(10);
/// Limit on the engines recorded as unreachable at a time.
const MAX_UNREACHABLE: usize = 256;

/// The windows in which gossiped events are counted.
#[derive(Clone, Copy, Debug)]
pub struct GossipWindows {
    /// Window of the retry budget.
    pub retry_budget: TimeDelta,
    /// Window of the slow-start budget.
    pub slow_start_window: TimeDelta,
    /// Length of an engine's slow start, from the engine's start.
    pub slow_start_duration: TimeDelta,
}

/// An attempt at an engine in slow start.
struct SlowStartAttempt {
    sent_at: Timestamp,
    /// The hash of the engine's id.
    engine: u64,
    /// Estimated work of the attempt, in milliseconds on one core.
    cost_ms: f64,
}

/// The recent events from which the gossip payload is computed.
pub(super) struct GossipFacts {
    windows: GossipWindows,
    /// Times of requests in the retry budget's window. From the numbers of requests and retries the other
    /// managers compute which part of its retry budget this manager leaves to them. These numbers do not
    /// limit the retries that this process sends; the policy and the send guard do.
    requests: VecDeque<Timestamp>,
    /// Times of retries in the retry budget's window, each recorded when the retry is started.
    retries: VecDeque<Timestamp>,
    slow_start_attempts: VecDeque<SlowStartAttempt>,
    /// Engines to which the last connection failed, by the hash of their id, with the time of the failure.
    unreachable: BTreeMap<u64, Timestamp>,
}

/// Adds an event, and drops the oldest event if there are already [`MAX_EVENTS`].
fn push_bounded<T>(queue: &mut VecDeque<T>, event: T) {
    if queue.len() >= MAX_EVENTS {
        queue.pop_front();
    }
    queue.push_back(event);
}

/// Drops the events more than `window` before `now`; returns the number of the remaining events.
fn count_recent(events: &mut VecDeque<Timestamp>, now: Timestamp, window: TimeDelta) -> u32 {
    while events.front().is_some_and(|at| now - *at > window) {
        events.pop_front();
    }
    events.len() as u32
}

impl GossipFacts {
    /// Creates facts without events, which are counted in `windows`.
    pub(super) fn new(windows: GossipWindows) -> GossipFacts {
        GossipFacts {
            windows,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            slow_start_attempts: VecDeque::new(),
            unreachable: BTreeMap::new(),
        }
    }

    /// Records a request that was submitted at `now`.
    pub(super) fn record_request(&mut self, now: Timestamp) {
        push_bounded(&mut self.requests, now);
    }

    /// Records an attempt. `engine`: the engine's id; `started_at_ms`: the engine's start in Unix
    /// milliseconds, 0 if unknown; `cost_ms`: the estimated work in milliseconds on one core.
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
        if started_at_ms > 0 && now - Timestamp::from_millis(started_at_ms) < self.windows.slow_start_duration
        {
            let attempt = SlowStartAttempt { sent_at: now, engine: engine_hash(engine), cost_ms };
            push_bounded(&mut self.slow_start_attempts, attempt);
        }
    }

    /// Records that a connection to an engine opened or, if not `is_up`, could not be made. `engine`: the
    /// engine's id.
    pub(super) fn record_connection(&mut self, now: Timestamp, engine: &str, is_up: bool) {
        if is_up {
            self.unreachable.remove(&engine_hash(engine));
        } else if self.unreachable.len() < MAX_UNREACHABLE {
            self.unreachable.insert(engine_hash(engine), now);
        }
    }

    /// The current payload. `unresponsive`: hashes of the ids of engines that do not answer, which are added
    /// to the engines to which no connection could be made. The membership sets the version.
    pub(super) fn payload(&mut self, now: Timestamp, unresponsive: Vec<u64>) -> GossipPayload {
        let admitted_requests = count_recent(&mut self.requests, now, self.windows.retry_budget);
        let retries = count_recent(&mut self.retries, now, self.windows.retry_budget);
        let warmup_work = self.slow_start_work(now);
        self.unreachable.retain(|_, failed_at| now - *failed_at <= UNREACHABLE_DURATION);
        let unreachable: BTreeSet<u64> = self.unreachable.keys().copied().chain(unresponsive).collect();
        let unreachable_engines = unreachable.into_iter().collect();
        let mut payload =
            GossipPayload { version: 0, admitted_requests, retries, unreachable_engines, warmup_work };
        payload.truncate();
        payload
    }

    /// The work that was sent to each engine in slow start, in whole milliseconds. Other managers decode
    /// these sums but do not use them: the slow-start budget is divided evenly among the processes of all
    /// managers.
    fn slow_start_work(&mut self, now: Timestamp) -> Vec<WarmupWork> {
        let window = self.windows.slow_start_window;
        while self.slow_start_attempts.front().is_some_and(|attempt| now - attempt.sent_at > window) {
            self.slow_start_attempts.pop_front();
        }
        let mut by_engine: BTreeMap<u64, f64> = BTreeMap::new();
        for attempt in &self.slow_start_attempts {
            *by_engine.entry(attempt.engine).or_default() += attempt.cost_ms;
        }
        let to_millis = |ms: f64| ms.clamp(0.0, f64::from(u32::MAX)) as u32;
        by_engine.into_iter().map(|(engine, ms)| WarmupWork { engine, work_ms: to_millis(ms) }).collect()
    }
}

#[cfg(test)]
mod tests;
