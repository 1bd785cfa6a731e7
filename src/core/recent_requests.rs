//! The ids of recently submitted requests.
//!
//! Input: the id and statement of each request. Output: whether the id may be used for the statement. State:
//! a hash of the statement of each recent id.

use sprucelink_policy::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hasher};

/// Time after the submission of a request for which its id and the hash of its statement are kept.
const RETENTION: TimeDelta = TimeDelta::from_secs(30);
/// Limit on the number of ids that are kept; the oldest are dropped first.
const MAX_IDS: usize = 20_000;

/// The ids of recently submitted requests, each with a hash of its statement.
///
/// An id must not be reused for another statement soon after a request with this id has ended: an engine or a
/// client could take the response to one of the two requests for the response to the other. The same
/// statement with the same id is a retry by the client.
#[derive(Default)]
pub(super) struct RecentRequests {
    statement_hashes: BTreeMap<u64, u64>,
    by_age: VecDeque<(Timestamp, u64)>,
}

impl RecentRequests {
    /// Records an id; returns false if it was recently used for another statement. A repeated id does not
    /// restart its retention.
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

    /// Drops the ids that are older than [`RETENTION`], and the oldest id if there are [`MAX_IDS`].
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
