//! The ids ever listed, as 64-bit hashes in bounded memory.

use sprucelink_stable_hash::stable_hash;
use std::collections::BTreeMap;

/// An id's hash: the house's, the same on every machine and release, for it goes from process to process. Of
/// 16,384 ids remembered one that was never listed passes for one of them with a chance of 2^-50.
pub fn id_hash(id: &str) -> u64 {
    stable_hash(&[id.as_bytes()])
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    listed: bool,
    banned: bool,
    /// Its place among those that may be forgotten; the lowest goes first.
    place: u64,
}

impl Entry {
    fn kept(self) -> bool {
        self.listed || self.banned
    }
}

/// Ids by hash. Those that are listed now or banned stay; of the others the one that has been so for longest goes.
#[derive(Clone, Debug)]
pub(crate) struct KnownIds {
    most: usize,
    ids: BTreeMap<u64, Entry>,
    /// Those that may be forgotten, by place.
    rest: BTreeMap<u64, u64>,
    places: u64,
    pub(crate) forgotten: u64,
    pub(crate) over: u64,
}

impl KnownIds {
    pub(crate) fn new(most: usize) -> KnownIds {
        KnownIds { most, ids: BTreeMap::new(), rest: BTreeMap::new(), places: 0, forgotten: 0, over: 0 }
    }

    pub(crate) fn has(&self, hash: u64) -> bool {
        self.ids.contains_key(&hash)
    }

    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Changes an id's entry; a new one is noted if there is room or can be made.
    fn change(&mut self, hash: u64, how: impl FnOnce(&mut Entry)) -> bool {
        let held = self.ids.get(&hash).copied();
        if held.is_none() && !self.room() {
            self.over += 1;
            return false;
        }
        let mut entry = held.unwrap_or_default();
        self.rest.remove(&entry.place);
        how(&mut entry);
        self.places += 1;
        entry.place = self.places;
        if !entry.kept() {
            self.rest.insert(entry.place, hash);
        }
        self.ids.insert(hash, entry);
        true
    }

    fn room(&mut self) -> bool {
        if self.ids.len() < self.most {
            return true;
        }
        let Some((_, oldest)) = self.rest.pop_first() else { return false };
        self.ids.remove(&oldest);
        self.forgotten += 1;
        true
    }

    /// The id is on the list, or no more.
    pub(crate) fn listed(&mut self, hash: u64, listed: bool) -> bool {
        if !listed && !self.has(hash) {
            return false;
        }
        self.change(hash, |e| e.listed = listed)
    }

    /// A ban holds the id, or none any more.
    pub(crate) fn banned(&mut self, hash: u64, banned: bool) -> bool {
        match self.ids.get(&hash) {
            None if !banned => false,
            Some(e) if e.banned == banned => true,
            _ => self.change(hash, |e| e.banned = banned),
        }
    }

    /// Another process has seen it listed.
    pub(crate) fn heard(&mut self, hash: u64) {
        // Guards against the other's memory pushing out what was listed here: it only fills what room there is.
        if !self.has(hash) && self.ids.len() < self.most {
            self.change(hash, |_| {});
        }
    }

    /// The hashes, at most so many: first those that stay, then the youngest.
    pub(crate) fn export(&self, most: usize) -> Vec<u64> {
        let kept = self.ids.iter().filter(|(_, e)| e.kept()).map(|(hash, _)| *hash);
        kept.chain(self.rest.values().rev().copied()).take(most).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_one_unlisted_longest_ago_goes_first_and_listed_or_banned_ones_never() {
        let mut k = KnownIds::new(4);
        for id in 1..=4 {
            assert!(k.listed(id, true));
        }
        assert!(!k.listed(5, true), "all four are listed");
        assert_eq!((k.over, k.has(5)), (1, false));
        k.banned(1, true);
        for id in [1, 3, 2] {
            k.listed(id, false);
        }
        assert!(k.listed(5, true));
        assert!(k.has(1) && !k.has(3) && k.has(2), "1 is banned, 3 went before 2");
        k.banned(1, false);
        assert!(k.listed(6, true) && k.listed(7, true));
        assert_eq!([1, 2, 4, 5, 6, 7].map(|id| k.has(id)), [false, false, true, true, true, true]);
        assert_eq!((k.forgotten, k.len()), (3, 4));
    }

    #[test]
    fn what_another_heard_fills_only_what_room_there_is() {
        let mut k = KnownIds::new(3);
        k.listed(1, true);
        k.listed(1, false);
        (2..9).for_each(|id| k.heard(id));
        assert!(k.has(1) && k.has(2) && k.has(3) && !k.has(4));
        assert_eq!(k.export(2), [3, 2], "the youngest first");
        k.listed(1, true);
        assert_eq!(k.export(9), [1, 3, 2], "what is listed before all");
    }
}
