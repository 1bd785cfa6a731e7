//! Tests that a scan does not evict the used entries of the S3-FIFO cache, and that an entry that exceeds the
//! cache's bound in bytes is not stored.

use sprucelink_query_fingerprint::cache::{Bounds, Cache};

#[test]
fn scan_of_one_off_keys_does_not_evict_used_entries() {
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
        // Entries that were read before the scan are still read now and then.
        if key % 40 == 0 {
            cache.get(key / 40 % 60);
        }
    }
    let kept = (0..60).filter(|key| cache.peek(*key).is_some()).count();
    assert!(kept >= 55, "{kept} of 60");
}

#[test]
fn entry_larger_than_the_byte_bound_is_not_stored() {
    let mut cache = Cache::new(Bounds { entries: 4, bytes: 100 });
    assert!(cache.put(1, (), 100) && !cache.put(2, (), 101));
    assert!(cache.peek(1).is_some());
}
