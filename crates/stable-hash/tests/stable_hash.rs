//! The stable hash: pinned, and spread evenly.

use sprucelink_stable_hash::{stable_hash, unit_interval};

#[test]
fn hash_is_stable_and_keeps_parts_apart() {
    assert_ne!(stable_hash(&[b"ab", b"c"]), stable_hash(&[b"a", b"bc"]));
    // Pinned: a change of the hash would move every manager's slots.
    assert_eq!(stable_hash(&[b"n3", b"s-00c41f7a"]), 0xd407_a4ff_1046_8866);
    let u = unit_interval(stable_hash(&[b"n1"]));
    assert!((0.0..1.0).contains(&u));
}

#[test]
fn near_names_spread_over_the_unit() {
    let mut buckets = [0u32; 10];
    for i in 0..1000 {
        let name = format!("n{i}");
        buckets[(unit_interval(stable_hash(&[name.as_bytes(), b"s-1"])) * 10.0) as usize] += 1;
    }
    assert!(buckets.iter().all(|b| (60..=140).contains(b)), "{buckets:?}");
}
