//! Ids of requests that were submitted of late.

use sprucelink_policy::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hasher};

/// How long an id is remembered.
const RETENTION: TimeDelta = TimeDelta::from_micros(30_000_000);
/// Ids remembered at a time; the oldest go first.
const MAX_IDS: usize = 20_000;

/// Ids of requests that were submitted of late, each with a hash of its statement.
///
/// An id must not be used again for another statement once the first request has ended: engines and clients alike could
/// take the response of one for that of the other. The same statement again is a client whose connection broke.
#[derive(Default)]
pub(super) struct RecentRequests {
    statement_hashes: BTreeMap<u64, u64>,
    by_age: VecDeque<(Timestamp, u64)>,
}

impl RecentRequests {
    /// Remembers an id; false if it is remembered for another statement.
    pub(super) fn insert(&mut self, id: u64, statement: &[u8], now: Timestamp) -> bool {
        self.remove_old(now);
        let mut hasher = DefaultHasher::new();
        hasher.write(statement);
        let hash = hasher.finish();
        match self.statement_hashes.get(&id) {
            Some(known) => *known == hash,
            None => {
                self.statement_hashes.insert(id, hash);
                self.by_age.push_back((now, id));
                true
            }
        }
    }

    /// Forgets what is older than [`RETENTION`], and the oldest ids where there are [`MAX_IDS`].
    fn remove_old(&mut self, now: Timestamp) {
        while let Some((inserted_at, id)) = self.by_age.front().copied() {
            if now - inserted_at <= RETENTION && self.by_age.len() < MAX_IDS {
                return;
            }
            self.by_age.pop_front();
            self.statement_hashes.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
