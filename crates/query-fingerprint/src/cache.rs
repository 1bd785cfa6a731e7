//! A cache that a scan of one-off statements cannot flush: S3-FIFO (Yang and others, "FIFO queues are all you need for
//! cache eviction", SOSP 2023). What comes first stands in a small queue, a tenth of the room; only what is asked for
//! again there goes on to the main one, and what was put out not long ago is remembered by its key alone and goes there
//! at once. Weighed against LRU, which a scan flushes whole, and W-TinyLFU, which needs a sketch of counts to be sized
//! and aged: queues need neither, and a hit moves nothing.

use std::collections::{BTreeMap, VecDeque};

/// Share of the entries that newcomers stand among.
const SMALL: f64 = 0.1;
/// Hits counted of an entry at most: it passes the end of the main queue so often without being asked for.
const MOST_HITS: u8 = 3;

/// Bounds of a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Entries at most.
    pub entries: usize,
    /// Bytes of them at most, as told when they are put in.
    pub bytes: usize,
}

/// What a cache has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Asked for and there.
    pub hits: u64,
    /// Asked for and not there.
    pub misses: u64,
    /// Put out for want of room.
    pub evictions: u64,
    /// Entries now.
    pub entries: usize,
    /// Bytes now.
    pub bytes: usize,
}

#[derive(Debug)]
struct Slot<V> {
    value: V,
    bytes: usize,
    hits: u8,
    main: bool,
}

/// The cache.
#[derive(Debug)]
pub struct Cache<K, V> {
    bounds: Bounds,
    slots: BTreeMap<K, Slot<V>>,
    small: VecDeque<K>,
    main: VecDeque<K>,
    /// Keys put out of the small queue of late, oldest first, and the same in order.
    ghosts: VecDeque<K>,
    ghost: BTreeMap<K, u32>,
    bytes: usize,
    counters: Counters,
}

impl<K: Ord + Copy, V> Cache<K, V> {
    /// An empty cache.
    pub fn new(bounds: Bounds) -> Cache<K, V> {
        Cache {
            bounds,
            slots: BTreeMap::new(),
            small: VecDeque::new(),
            main: VecDeque::new(),
            ghosts: VecDeque::new(),
            ghost: BTreeMap::new(),
            bytes: 0,
            counters: Counters::default(),
        }
    }

    /// What is kept under a key. Asking counts.
    pub fn get(&mut self, key: K) -> Option<&mut V> {
        let slot = self.slots.get_mut(&key);
        match slot {
            Some(slot) => {
                slot.hits = (slot.hits + 1).min(MOST_HITS);
                self.counters.hits += 1;
                Some(&mut slot.value)
            }
            None => {
                self.counters.misses += 1;
                None
            }
        }
    }

    /// Looks without counting.
    pub fn peek(&self, key: K) -> Option<&V> {
        self.slots.get(&key).map(|s| &s.value)
    }

    /// Keeps a value of so many bytes. One that is larger than all the room is not kept: false.
    pub fn put(&mut self, key: K, value: V, bytes: usize) -> bool {
        if bytes > self.bounds.bytes || self.bounds.entries == 0 {
            return false;
        }
        if let Some(slot) = self.slots.get_mut(&key) {
            self.bytes = self.bytes - slot.bytes + bytes;
            (slot.value, slot.bytes) = (value, bytes);
        } else {
            let main = self.ghost.contains_key(&key);
            if main { &mut self.main } else { &mut self.small }.push_back(key);
            self.bytes += bytes;
            self.slots.insert(key, Slot { value, bytes, hits: 0, main });
        }
        while self.slots.len() > self.bounds.entries || self.bytes > self.bounds.bytes {
            self.put_out();
        }
        self.slots.contains_key(&key)
    }

    /// Every entry, by key.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.slots.iter().map(|(k, s)| (k, &s.value))
    }

    /// What it has done.
    pub fn counters(&self) -> Counters {
        Counters { entries: self.slots.len(), bytes: self.bytes, ..self.counters }
    }

    fn put_out(&mut self) {
        let small = (self.bounds.entries as f64 * SMALL).max(1.0) as usize;
        if self.small.len() > small || self.main.is_empty() {
            self.thin_small();
        } else {
            self.thin_main();
        }
    }

    fn thin_small(&mut self) {
        let Some(key) = self.small.pop_front() else { return };
        let Some(slot) = self.slots.get_mut(&key) else { return };
        if slot.hits > 0 {
            (slot.hits, slot.main) = (0, true);
            self.main.push_back(key);
            return;
        }
        self.drop(key);
        self.ghosts.push_back(key);
        *self.ghost.entry(key).or_default() += 1;
        // As many ghosts as entries: a key costs a hundredth of what an entry does.
        while self.ghosts.len() > self.bounds.entries {
            let Some(old) = self.ghosts.pop_front() else { break };
            if let Some(n) = self.ghost.get_mut(&old) {
                *n -= 1;
                if *n == 0 {
                    self.ghost.remove(&old);
                }
            }
        }
    }

    fn thin_main(&mut self) {
        let Some(key) = self.main.pop_front() else { return };
        match self.slots.get_mut(&key) {
            Some(slot) if slot.hits > 0 => {
                slot.hits -= 1;
                self.main.push_back(key);
            }
            _ => self.drop(key),
        }
    }

    fn drop(&mut self, key: K) {
        if let Some(slot) = self.slots.remove(&key) {
            self.bytes -= slot.bytes;
            self.counters.evictions += 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(128) })]

        /// Neither bound is ever passed, what is there is what was put last, and queues and slots agree.
        #[test]
        fn bounds_hold_and_values_are_the_last_put(ops in prop::collection::vec((0_u64..60, 1_usize..40, any::<bool>()), 1..600)) {
            let bounds = Bounds { entries: 20, bytes: 300 };
            let (mut cache, mut last) = (Cache::new(bounds), BTreeMap::new());
            for (n, (key, bytes, put)) in ops.into_iter().enumerate() {
                if put {
                    cache.put(key, n, bytes);
                    last.insert(key, n);
                } else if let Some(v) = cache.get(key) {
                    prop_assert_eq!(Some(&*v), last.get(&key));
                }
                let c = cache.counters();
                prop_assert!(c.entries <= bounds.entries && c.bytes <= bounds.bytes);
                prop_assert!(cache.ghosts.len() <= bounds.entries);
                prop_assert_eq!(cache.small.len() + cache.main.len(), c.entries);
                prop_assert_eq!(cache.slots.values().map(|s| s.bytes).sum::<usize>(), c.bytes);
            }
        }
    }

    #[test]
    fn a_scan_of_one_off_statements_flushes_nothing_that_is_used() {
        let mut cache = Cache::new(Bounds { entries: 100, bytes: 1 << 20 });
        for round in 0..4 {
            for key in 0..60_u64 {
                if cache.get(key).is_none() {
                    cache.put(key, round, 10);
                }
            }
        }
        for key in 1_000..101_000_u64 {
            if cache.get(key).is_none() {
                cache.put(key, 0, 10);
            }
            // What is used goes on being used, now and then.
            if key % 40 == 0 {
                cache.get(key / 40 % 60);
            }
        }
        let kept = (0..60).filter(|k| cache.peek(*k).is_some()).count();
        assert!(kept >= 55, "{kept} of 60");
    }

    #[test]
    fn what_is_larger_than_all_the_room_is_not_kept() {
        let mut cache = Cache::new(Bounds { entries: 4, bytes: 100 });
        assert!(cache.put(1, (), 100) && !cache.put(2, (), 101));
        assert!(cache.peek(1).is_some());
    }
}
