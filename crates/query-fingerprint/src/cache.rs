//! A cache that a scan of one-off statements cannot flush: S3-FIFO (Yang and others, "FIFO queues are all you need for
//! cache eviction", SOSP 2023). New entries enter a small queue, a tenth of the capacity; only those that are read again
//! move on to the main queue. The keys of recently evicted entries are retained (ghosts), and such an entry enters the
//! main queue at once. LRU is flushed by a scan, and W-TinyLFU needs a sketch of counts that is sized and aged; these
//! queues need neither, and a hit moves nothing.

use std::collections::{BTreeMap, VecDeque};

/// Fraction of the entries that the small queue holds.
const SMALL: f64 = 0.1;
/// Maximum hits counted of an entry: it passes the end of the main queue so often without being asked for.
const MAX_HITS: u8 = 3;

/// Bounds of a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of entries.
    pub entries: usize,
    /// Maximum bytes, as given when entries are put in.
    pub bytes: usize,
}

/// What a cache has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Reads that found an entry.
    pub hits: u64,
    /// Reads that found none.
    pub misses: u64,
    /// Entries evicted to stay within the bounds.
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

    /// The value of a key; counts as a read.
    pub fn get(&mut self, key: K) -> Option<&mut V> {
        let slot = self.slots.get_mut(&key);
        match slot {
            Some(slot) => {
                slot.hits = (slot.hits + 1).min(MAX_HITS);
                self.counters.hits += 1;
                Some(&mut slot.value)
            }
            None => {
                self.counters.misses += 1;
                None
            }
        }
    }

    /// The value of a key, without counting a read.
    pub fn peek(&self, key: K) -> Option<&V> {
        self.slots.get(&key).map(|s| &s.value)
    }

    /// Stores a value of `bytes` bytes. Returns whether the cache holds it afterwards; a value larger than the byte
    /// bound is not stored.
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
mod tests;
