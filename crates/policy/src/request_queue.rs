//! The queue of admitted requests: which is next, from priority level and order of arrival; and the order of
//! requests with the same idempotency key, which run one at a time.

use crate::ids::RequestId;
use crate::pricing::LEVELS;
use crate::request::Request;
use crate::snapshot::{StoredKeyQueue, StoredPolicy};
use sprucelink_time::Timestamp;
use std::collections::{BTreeMap, VecDeque};

/// A request's position in the queue: higher levels first, then in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    /// `LEVELS` minus the priority level, so that higher levels come first.
    inverse_level: usize,
    sequence: u64,
}

impl QueuePosition {
    pub(crate) fn of(request: &Request) -> QueuePosition {
        QueuePosition { inverse_level: LEVELS - request.level, sequence: request.sequence }
    }
}

/// The requests that are admitted and not in flight.
#[derive(Clone, Default)]
pub(crate) struct RequestQueue {
    waiting: BTreeMap<QueuePosition, RequestId>,
    /// Queued work at each level, thread-seconds: recounted at each tick, and increased by newly queued
    /// requests between ticks.
    queued_work: [f64; LEVELS],
    last_sequence: u64,
}

impl RequestQueue {
    /// Sequence number that orders a new request among those of its level.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    pub(crate) fn insert(&mut self, id: RequestId, request: &Request) {
        self.waiting.insert(QueuePosition::of(request), id);
    }

    pub(crate) fn remove(&mut self, position: QueuePosition) {
        self.waiting.remove(&position);
    }

    pub(crate) fn contains(&self, position: QueuePosition) -> bool {
        self.waiting.contains_key(&position)
    }

    /// The first `count` requests in the order of the queue.
    pub(crate) fn first(&self, count: usize) -> Vec<(QueuePosition, RequestId)> {
        self.waiting.iter().take(count).map(|(position, id)| (*position, *id)).collect()
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.waiting.values().copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Queued work at each level, thread-seconds.
    pub(crate) fn queued_work(&self) -> &[f64; LEVELS] {
        &self.queued_work
    }

    /// Queued work at all levels, thread-seconds.
    pub(crate) fn total_queued_work(&self) -> f64 {
        self.queued_work.iter().sum::<f64>()
    }

    pub(crate) fn add_queued_work(&mut self, level: usize, thread_seconds: f64) {
        self.queued_work[level] += thread_seconds;
    }

    pub(crate) fn set_queued_work(&mut self, thread_seconds: [f64; LEVELS]) {
        self.queued_work = thread_seconds;
    }

    pub(crate) fn store(&self, stored: &mut StoredPolicy) {
        stored.queued_work = self.queued_work;
        stored.last_request_sequence = self.last_sequence;
        let to_pair = |position: &QueuePosition| (position.inverse_level, position.sequence);
        stored.queue = self.waiting.iter().map(|(position, id)| (to_pair(position), *id)).collect();
    }

    pub(crate) fn restore(stored: &mut StoredPolicy) -> RequestQueue {
        let waiting = std::mem::take(&mut stored.queue).into_iter();
        let from_pair = |(inverse_level, sequence)| QueuePosition { inverse_level, sequence };
        RequestQueue {
            waiting: waiting.map(|(pair, id)| (from_pair(pair), id)).collect(),
            queued_work: stored.queued_work,
            last_sequence: stored.last_request_sequence,
        }
    }
}

/// Open requests with the same idempotency key.
#[derive(Clone, Default)]
struct KeyQueue {
    /// The requests in order of arrival; the first may be in flight.
    open: VecDeque<RequestId>,
    /// No request with the key is sent before this time.
    blocked_until: Timestamp,
}

/// The order in which requests with the same idempotency key may be sent: one at a time, in order of arrival.
#[derive(Clone, Default)]
pub(crate) struct KeyOrder {
    keys: BTreeMap<String, KeyQueue>,
}

impl KeyOrder {
    /// Appends a request that arrived with this key.
    pub(crate) fn join(&mut self, key: &str, id: RequestId) {
        self.keys.entry(key.to_owned()).or_default().open.push_back(id);
    }

    /// Removes a request with this key that has ended.
    pub(crate) fn leave(&mut self, key: &str, id: RequestId) {
        if let Some(queue) = self.keys.get_mut(key) {
            queue.open.retain(|other| *other != id);
        }
    }

    /// Blocks requests with this key until `until`, because an ended attempt may still run on its engine.
    pub(crate) fn block(&mut self, key: &str, until: Timestamp) {
        if let Some(queue) = self.keys.get_mut(key) {
            queue.blocked_until = until;
        }
    }

    /// Whether a request is the first with its key and the key is not blocked; always true without a key,
    /// since such requests are not ordered.
    pub(crate) fn is_next(&self, now: Timestamp, id: RequestId, key: Option<&str>) -> bool {
        let Some(queue) = key.and_then(|key| self.keys.get(key)) else { return true };
        queue.open.front() == Some(&id) && now >= queue.blocked_until
    }

    /// Removes the keys that have no open request and are no longer blocked.
    pub(crate) fn forget_idle_keys(&mut self, now: Timestamp) {
        self.keys.retain(|_, queue| !queue.open.is_empty() || now < queue.blocked_until);
    }

    pub(crate) fn store(&self, stored: &mut StoredPolicy) {
        let to_stored = |queue: &KeyQueue| StoredKeyQueue {
            open: queue.open.clone(),
            blocked_until: queue.blocked_until,
        };
        stored.keys = self.keys.iter().map(|(key, queue)| (key.clone(), to_stored(queue))).collect();
    }

    pub(crate) fn restore(stored: &mut StoredPolicy) -> KeyOrder {
        let from_stored =
            |queue: StoredKeyQueue| KeyQueue { open: queue.open, blocked_until: queue.blocked_until };
        let keys = std::mem::take(&mut stored.keys).into_iter();
        KeyOrder { keys: keys.map(|(key, queue)| (key, from_stored(queue))).collect() }
    }
}

#[cfg(test)]
mod tests;
