//! A bounded set of the most recently used keys.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A bounded set of keys that evicts the least recently used key (LRU).
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RecentSet(VecDeque<u64>);

impl RecentSet {
    /// Inserts a key as the most recently used one, and evicts the least recently used keys beyond
    /// `capacity`.
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

    /// Removes all keys.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
