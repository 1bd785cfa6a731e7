//! The distinct keys that were used last.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A bounded set of keys of which the one used longest ago makes room for a new one (LRU).
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RecentSet(VecDeque<u64>);

impl RecentSet {
    /// Marks a key as the one used last, and drops those used longest ago beyond `capacity`.
    pub fn touch(&mut self, key: u64, capacity: usize) {
        self.0.retain(|other| *other != key);
        self.0.push_back(key);
        while self.0.len() > capacity {
            self.0.pop_front();
        }
    }

    /// Whether a key is in the set.
    pub fn contains(&self, key: u64) -> bool {
        self.0.contains(&key)
    }

    /// Drops all keys.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
