//! The bounds of the cache, checked against its queues after each operation.

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
            prop_assert!(cache.ghost_queue.len() <= bounds.entries);
            prop_assert_eq!(cache.small_queue.len() + cache.main_queue.len(), c.entries);
            prop_assert_eq!(cache.slots.values().map(|s| s.bytes).sum::<usize>(), c.bytes);
        }
    }
}
