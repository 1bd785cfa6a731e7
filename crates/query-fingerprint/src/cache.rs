//! A cache that a scan of one-off statements cannot flush: S3-FIFO (Yang and others, "FIFO queues are all you need for
//! cache eviction", SOSP 2023). New entries enter a small queue, a tenth of the capacity; only those that are read again
//! move to the main queue. The keys of recently evicted entries are retained (ghosts), and such an entry enters the
//! main queue at once. A scan flushes an LRU cache, and W-TinyLFU needs a sketch of counts that is sized and aged;
//! these queues need no sketch, and a hit moves nothing.

use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// Fraction of the maximum number of entries that the small queue may hold.
const SMALL_QUEUE_FRACTION: f64 = 0.1;
/// Maximum number of hits counted of an entry: how often it returns to the back of the main queue without a read.
const MAX_HITS: u8 = 3;

/// Bounds of a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of entries.
    pub entries: usize,
    /// Maximum number of bytes, as given with each entry.
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
    /// Number of entries now.
    pub entries: usize,
    /// Bytes of the entries now.
    pub bytes: usize,
}

#[derive(Debug)]
struct Slot<V> {
    value: V,
    bytes: usize,
    hits: u8,
    /// Whether its key is in the main queue.
    is_in_main: bool,
}

/// The cache.
#[derive(Debug)]
pub struct Cache<K, V> {
    bounds: Bounds,
    slots: BTreeMap<K, Slot<V>>,
    small_queue: VecDeque<K>,
    main_queue: VecDeque<K>,
    /// Keys that were recently evicted from the small queue, oldest first.
    ghost_queue: VecDeque<K>,
    /// How often each key is in the ghost queue.
    ghost_counts: BTreeMap<K, u32>,
    bytes: usize,
    counters: Counters,
}

impl<K: Ord + Copy, V> Cache<K, V> {
    /// An empty cache.
    pub fn new(bounds: Bounds) -> Cache<K, V> {
        Cache {
            bounds,
            slots: BTreeMap::new(),
            small_queue: VecDeque::new(),
            main_queue: VecDeque::new(),
            ghost_queue: VecDeque::new(),
            ghost_counts: BTreeMap::new(),
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
        self.slots.get(&key).map(|slot| &slot.value)
    }

    /// Stores a value of `bytes` bytes. Returns whether the cache holds it afterwards; a value larger than the byte
    /// bound is not stored.
    pub fn put(&mut self, key: K, value: V, bytes: usize) -> bool {
        if bytes > self.bounds.bytes || self.bounds.entries == 0 {
            return false;
        }
        if let Some(slot) = self.slots.get_mut(&key) {
            self.bytes = self.bytes - slot.bytes + bytes;
            slot.value = value;
            slot.bytes = bytes;
        } else {
            let is_in_main = self.ghost_counts.contains_key(&key);
            let queue = if is_in_main { &mut self.main_queue } else { &mut self.small_queue };
            queue.push_back(key);
            self.bytes += bytes;
            self.slots.insert(key, Slot { value, bytes, hits: 0, is_in_main });
        }
        while self.slots.len() > self.bounds.entries || self.bytes > self.bounds.bytes {
            self.evict();
        }
        self.slots.contains_key(&key)
    }

    /// Every entry, by key.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.slots.iter().map(|(key, slot)| (key, &slot.value))
    }

    /// Counters so far.
    pub fn counters(&self) -> Counters {
        Counters { entries: self.slots.len(), bytes: self.bytes, ..self.counters }
    }

    /// Takes one step towards an eviction: evicts an entry, or moves one that was read to the main queue's back.
    fn evict(&mut self) {
        let max_small = (self.bounds.entries as f64 * SMALL_QUEUE_FRACTION).max(1.0) as usize;
        if self.small_queue.len() > max_small || self.main_queue.is_empty() {
            self.evict_from_small();
        } else {
            self.evict_from_main();
        }
    }

    fn evict_from_small(&mut self) {
        let Some(key) = self.small_queue.pop_front() else { return };
        let Some(slot) = self.slots.get_mut(&key) else { return };
        if slot.hits > 0 {
            slot.hits = 0;
            slot.is_in_main = true;
            self.main_queue.push_back(key);
            return;
        }
        self.remove(key);
        self.add_ghost(key);
    }

    /// Remembers an evicted key. There are at most as many ghosts as entries: a key takes a hundredth of an entry's memory.
    fn add_ghost(&mut self, key: K) {
        self.ghost_queue.push_back(key);
        *self.ghost_counts.entry(key).or_default() += 1;
        while self.ghost_queue.len() > self.bounds.entries {
            let Some(oldest) = self.ghost_queue.pop_front() else { break };
            if let Some(count) = self.ghost_counts.get_mut(&oldest) {
                *count -= 1;
                if *count == 0 {
                    self.ghost_counts.remove(&oldest);
                }
            }
        }
    }

    fn evict_from_main(&mut self) {
        let Some(key) = self.main_queue.pop_front() else { return };
        match self.slots.get_mut(&key) {
            Some(slot) if slot.hits > 0 => {
                slot.hits -= 1;
                self.main_queue.push_back(key);
            }
            _ => self.remove(key),
        }
    }

    fn remove(&mut self, key: K) {
        if let Some(slot) = self.slots.remove(&key) {
            self.bytes -= slot.bytes;
            self.counters.evictions += 1;
        }
    }
}
