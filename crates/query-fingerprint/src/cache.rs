//! A cache that a scan of one-off statements cannot flush: S3-FIFO (Yang and others, "FIFO queues are all you
//! need for cache eviction", SOSP 2023). New entries enter a small queue with a tenth of the capacity; only
//! entries that are read again move to the main queue. The keys of entries that were recently evicted from
//! the small queue are retained (ghosts), and an entry with such a key enters the main queue at once.
//!
//! A scan flushes an LRU cache, and W-TinyLFU needs a frequency sketch that must be sized and aged; S3-FIFO
//! needs no sketch, and a hit does not move the entry.

use std::collections::{BTreeMap, VecDeque};

#[cfg(test)]
mod tests;

/// Fraction of the maximum number of entries that the small queue may hold.
const SMALL_QUEUE_FRACTION: f64 = 0.1;
/// Maximum hit count of an entry, which is the number of times that the entry returns to the back of the main
/// queue without another read.
const MAX_HITS: u8 = 3;

/// Bounds of a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of entries.
    pub entries: usize,
    /// Maximum sum of the sizes of the entries, in bytes.
    pub bytes: usize,
}

/// Counters of a cache since its creation, and its current size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of reads that found an entry.
    pub hits: u64,
    /// Number of reads that did not find an entry.
    pub misses: u64,
    /// Number of entries evicted to stay within the bounds.
    pub evictions: u64,
    /// Current number of entries.
    pub entries: usize,
    /// Current sum of the sizes of the entries, in bytes.
    pub bytes: usize,
}

#[derive(Debug)]
struct Slot<V> {
    value: V,
    /// Size of the value, as given to [`Cache::put`].
    bytes: usize,
    /// Number of reads that have not yet delayed an eviction, at most [`MAX_HITS`].
    hits: u8,
    /// Whether the key is in the main queue; otherwise it is in the small queue.
    is_in_main: bool,
}

/// An S3-FIFO cache with bounds on its number of entries and their sizes.
#[derive(Debug)]
pub struct Cache<K, V> {
    bounds: Bounds,
    slots: BTreeMap<K, Slot<V>>,
    small_queue: VecDeque<K>,
    main_queue: VecDeque<K>,
    /// Keys that were recently evicted from the small queue, oldest first.
    ghost_queue: VecDeque<K>,
    /// Number of occurrences of each key in the ghost queue.
    ghost_counts: BTreeMap<K, u32>,
    bytes: usize,
    counters: Counters,
}

impl<K: Ord + Copy, V> Cache<K, V> {
    /// Creates an empty cache, which never exceeds `bounds`.
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

    /// The value of a key. The call counts as a read, which delays the eviction of the entry.
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

    /// Stores a value whose size is `bytes`, and evicts entries to stay within the bounds. Returns whether
    /// the cache holds the key afterwards; a value larger than the bound is not stored.
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
            self.step_eviction();
        }
        self.slots.contains_key(&key)
    }

    /// Iterates over all entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.slots.iter().map(|(key, slot)| (key, &slot.value))
    }

    /// Counters since the creation of the cache, and its current size.
    pub fn counters(&self) -> Counters {
        Counters { entries: self.slots.len(), bytes: self.bytes, ..self.counters }
    }

    /// Takes one step towards an eviction: takes the oldest entry of a queue, and evicts it unless it has
    /// been read; a read entry is put at the back of the main queue.
    fn step_eviction(&mut self) {
        let max_small = (self.bounds.entries as f64 * SMALL_QUEUE_FRACTION).max(1.0) as usize;
        if self.small_queue.len() > max_small || self.main_queue.is_empty() {
            self.step_small_queue();
        } else {
            self.step_main_queue();
        }
    }

    fn step_small_queue(&mut self) {
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

    /// Adds an evicted key to the ghosts. Their number is bounded by the maximum number of entries; a key
    /// takes a hundredth of the memory of an entry.
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

    fn step_main_queue(&mut self) {
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
