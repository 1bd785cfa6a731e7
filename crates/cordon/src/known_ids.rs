//! The engine ids ever listed, as 64-bit hashes in bounded memory.

use sprucelink_stable_hash::stable_hash;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The hash of an engine id. It is the same on every machine and in every release, because it goes from process to
/// process. With 16,384 ids remembered, one that was never listed collides with one of them with probability 2^-50.
pub fn engine_id_hash(id: &str) -> u64 {
    stable_hash(&[id.as_bytes()])
}

#[derive(Clone, Copy, Debug, Default)]
struct KnownId {
    is_listed: bool,
    is_cordoned: bool,
    /// Position in the order of eviction; the lowest goes first.
    eviction_rank: u64,
}

impl KnownId {
    fn is_retained(self) -> bool {
        self.is_listed || self.is_cordoned
    }
}

/// Engine ids by hash. Those that are listed now or cordoned stay; of the others the one that has been neither for the
/// longest time is evicted first.
#[derive(Clone, Debug)]
pub(crate) struct KnownIds {
    max_ids: usize,
    ids: BTreeMap<u64, KnownId>,
    /// Hashes that may be evicted, by rank.
    evictable: BTreeMap<u64, u64>,
    last_rank: u64,
    evicted: u64,
    over_limit: u64,
}

impl KnownIds {
    pub(crate) fn new(max_ids: usize) -> KnownIds {
        KnownIds {
            max_ids,
            ids: BTreeMap::new(),
            evictable: BTreeMap::new(),
            last_rank: 0,
            evicted: 0,
            over_limit: 0,
        }
    }

    pub(crate) fn contains(&self, hash: u64) -> bool {
        self.ids.contains_key(&hash)
    }

    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Ids evicted because of the bound.
    pub(crate) fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Ids not noted because retained ones fill the bound.
    pub(crate) fn over_limit(&self) -> u64 {
        self.over_limit
    }

    /// Changes an id's flags. A new id is noted if there is capacity or some can be freed; returns whether it is noted.
    fn update(&mut self, hash: u64, change: impl FnOnce(&mut KnownId)) -> bool {
        let existing = self.ids.get(&hash).copied();
        if existing.is_none() && !self.reserve_slot() {
            self.over_limit += 1;
            return false;
        }
        let mut known = existing.unwrap_or_default();
        self.evictable.remove(&known.eviction_rank);
        change(&mut known);
        self.last_rank += 1;
        known.eviction_rank = self.last_rank;
        if !known.is_retained() {
            self.evictable.insert(known.eviction_rank, hash);
        }
        self.ids.insert(hash, known);
        true
    }

    /// Makes sure that one more id fits, by evicting one if need be.
    fn reserve_slot(&mut self) -> bool {
        if self.ids.len() < self.max_ids {
            return true;
        }
        let Some((_, oldest)) = self.evictable.pop_first() else { return false };
        self.ids.remove(&oldest);
        self.evicted += 1;
        true
    }

    /// Notes whether the endpoint list names the id.
    pub(crate) fn set_listed(&mut self, hash: u64, is_listed: bool) -> bool {
        if !is_listed && !self.contains(hash) {
            return false;
        }
        self.update(hash, |known| known.is_listed = is_listed)
    }

    /// Notes whether the id is cordoned.
    pub(crate) fn set_cordoned(&mut self, hash: u64, is_cordoned: bool) -> bool {
        match self.ids.get(&hash) {
            None if !is_cordoned => false,
            Some(known) if known.is_cordoned == is_cordoned => true,
            _ => self.update(hash, |known| known.is_cordoned = is_cordoned),
        }
    }

    /// Notes an id that another process has seen listed.
    pub(crate) fn add_remote(&mut self, hash: u64) {
        // The other process's ids only fill spare capacity: they must not evict what was listed here.
        if !self.contains(hash) && self.ids.len() < self.max_ids {
            self.update(hash, |_| {});
        }
    }

    /// At most `max_hashes` hashes: first those that are listed or cordoned, then the most recently unlisted.
    pub(crate) fn export(&self, max_hashes: usize) -> Vec<u64> {
        let retained = self.ids.iter().filter(|(_, known)| known.is_retained()).map(|(hash, _)| *hash);
        let newest_first = self.evictable.values().rev().copied();
        retained.chain(newest_first).take(max_hashes).collect()
    }
}
