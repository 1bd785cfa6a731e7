//! Remembers the engine ids that were ever listed, as 64-bit hashes in bounded memory.

use sprucelink_stable_hash::stable_hash;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The hash of an engine id, which is the same on every machine and in every release, because processes
/// exchange these hashes. With 16,384 ids remembered, an id that was never listed collides with a remembered
/// id with probability 2^-50.
pub fn engine_id_hash(id: &str) -> u64 {
    stable_hash(&[id.as_bytes()])
}

/// The flags and the rank that decide whether and when a known engine id is evicted.
#[derive(Clone, Copy, Debug, Default)]
struct KnownId {
    /// Whether the endpoint list of this process names the id now.
    is_listed: bool,
    is_cordoned: bool,
    /// Position in the order of eviction; the id with the lowest rank is evicted first.
    eviction_rank: u64,
}

impl KnownId {
    /// Whether the id must not be evicted.
    fn is_retained(self) -> bool {
        self.is_listed || self.is_cordoned
    }
}

/// Engine ids by hash. Ids that are listed now or cordoned are never evicted. Of the other ids, the one that
/// has been neither listed nor cordoned for the longest time is evicted first.
#[derive(Clone, Debug)]
pub(crate) struct KnownIds {
    max_ids: usize,
    ids: BTreeMap<u64, KnownId>,
    /// Hashes that may be evicted, by eviction rank.
    evictable: BTreeMap<u64, u64>,
    /// The highest eviction rank assigned so far.
    last_rank: u64,
    /// Number of ids evicted because of the bound.
    evicted: u64,
    /// Number of ids not recorded because listed and cordoned ids fill the bound.
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

    /// Number of ids evicted because of the bound.
    pub(crate) fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Number of ids not recorded because listed and cordoned ids fill the bound.
    pub(crate) fn over_limit(&self) -> u64 {
        self.over_limit
    }

    /// Changes the flags of an id. A new id is added if there is capacity or another id can be evicted;
    /// returns whether the id is known after the call.
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

    /// Makes room for one more id by evicting another id if necessary; returns whether there is room.
    fn reserve_slot(&mut self) -> bool {
        if self.ids.len() < self.max_ids {
            return true;
        }
        let Some((_, oldest)) = self.evictable.pop_first() else { return false };
        self.ids.remove(&oldest);
        self.evicted += 1;
        true
    }

    /// Sets whether the endpoint list names the id; returns whether the id is known after the call. A new id
    /// is not added if it is unlisted, or if listed and cordoned ids fill the bound.
    pub(crate) fn set_listed(&mut self, hash: u64, is_listed: bool) -> bool {
        if !is_listed && !self.contains(hash) {
            return false;
        }
        self.update(hash, |known| known.is_listed = is_listed)
    }

    /// Sets whether the id is cordoned; returns whether the id is known after the call. A new id is not added
    /// if it is not cordoned, or if listed and cordoned ids fill the bound.
    pub(crate) fn set_cordoned(&mut self, hash: u64, is_cordoned: bool) -> bool {
        match self.ids.get(&hash) {
            None if !is_cordoned => false,
            Some(known) if known.is_cordoned == is_cordoned => true,
            _ => self.update(hash, |known| known.is_cordoned = is_cordoned),
        }
    }

    /// Adds an id that was listed at another process, if there is spare capacity.
    pub(crate) fn add_remote(&mut self, hash: u64) {
        // Ids of the other process only fill spare capacity: they must not evict ids that were listed at this
        // process.
        if !self.contains(hash) && self.ids.len() < self.max_ids {
            self.update(hash, |_| {});
        }
    }

    /// At most `max_hashes` hashes: first those of listed or cordoned ids, then those of the most recently
    /// unlisted ids.
    pub(crate) fn export(&self, max_hashes: usize) -> Vec<u64> {
        let retained = self.ids.iter().filter(|(_, known)| known.is_retained()).map(|(hash, _)| *hash);
        let newest_first = self.evictable.values().rev().copied();
        retained.chain(newest_first).take(max_hashes).collect()
    }
}
