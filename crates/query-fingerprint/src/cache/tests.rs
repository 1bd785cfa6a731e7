//! Tests that the cache is within its bounds and internally consistent after each operation.

use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(128) })]

    /// The bounds are never exceeded, and a read gives the value that was stored last. The small and the main
    /// queue together hold as many keys as there are entries, and the sizes of the slots sum to the counted
    /// bytes.
    #[test]
    fn bounds_hold_and_reads_give_the_last_stored_value(operations in prop::collection::vec((0_u64..60, 1_usize..40, any::<bool>()), 1..600)) {
        let bounds = Bounds { entries: 20, bytes: 300 };
        let (mut cache, mut last_values) = (Cache::new(bounds), BTreeMap::new());
        for (value, (key, bytes, is_put)) in operations.into_iter().enumerate() {
            if is_put {
                cache.put(key, value, bytes);
                last_values.insert(key, value);
            } else if let Some(found) = cache.get(key) {
                prop_assert_eq!(Some(&*found), last_values.get(&key));
            }
            let counters = cache.counters();
            prop_assert!(counters.entries <= bounds.entries && counters.bytes <= bounds.bytes);
            prop_assert!(cache.ghost_queue.len() <= bounds.entries);
            prop_assert_eq!(cache.small_queue.len() + cache.main_queue.len(), counters.entries);
            prop_assert_eq!(cache.slots.values().map(|slot| slot.bytes).sum::<usize>(), counters.bytes);
        }
    }
}
