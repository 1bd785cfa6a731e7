//! Ids of requests taken of late.

use sprucelink_policy::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hasher};

/// Ids of requests are known for so long, and so many of them at most.
pub(super) const PAST: TimeDelta = TimeDelta::from_micros(30_000_000);
pub(super) const MOST_PAST: usize = 20_000;

/// Ids of requests taken of late, each with a mark of its statement. Guards against an id that comes
/// again with another statement once the first has ended: its answer could be taken for the other's, by
/// engines and clients alike. The same again is a client whose connection broke.
#[derive(Default)]
pub(super) struct RecentRequests {
    pub(super) marks: BTreeMap<u64, u64>,
    pub(super) order: VecDeque<(Timestamp, u64)>,
}

impl RecentRequests {
    /// Notes an id; false if another statement had it.
    pub(super) fn note(&mut self, id: u64, statement: &[u8], at: Timestamp) -> bool {
        let old = |o: &(Timestamp, u64), n: usize| at - o.0 > PAST || n >= MOST_PAST;
        while self.order.front().is_some_and(|o| old(o, self.order.len())) {
            if let Some((_, gone)) = self.order.pop_front() {
                self.marks.remove(&gone);
            }
        }
        let mut hash = DefaultHasher::new();
        hash.write(statement);
        let mark = hash.finish();
        let known = self.marks.get(&id).copied();
        if known.is_none() {
            self.marks.insert(id, mark);
            self.order.push_back((at, id));
        }
        known.is_none_or(|k| k == mark)
    }
}
