//! Tests that the stable hash has pinned values and spreads evenly.

use sprucelink_stable_hash::{stable_hash, unit_interval};

#[test]
fn hash_is_stable_and_depends_on_the_boundaries_of_parts() {
    assert_ne!(stable_hash(&[b"ab", b"c"]), stable_hash(&[b"a", b"bc"]));
    // Pinned value: a change of the hash would move the dial slots of every manager.
    assert_eq!(stable_hash(&[b"n3", b"s-00c41f7a"]), 0xd407_a4ff_1046_8866);
    let fraction = unit_interval(stable_hash(&[b"n1"]));
    assert!((0.0..1.0).contains(&fraction));
}

#[test]
fn similar_names_spread_over_the_unit_interval() {
    let mut buckets = [0u32; 10];
    for index in 0..1000 {
        let name = format!("n{index}");
        buckets[(unit_interval(stable_hash(&[name.as_bytes(), b"s-1"])) * 10.0) as usize] += 1;
    }
    assert!(buckets.iter().all(|count| (60..=140).contains(count)), "{buckets:?}");
}
