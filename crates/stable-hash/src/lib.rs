//! A stable hash: every process, machine and release computes the same value. Nothing here keeps state or does input or
//! output.

mod split_mix;

pub use split_mix::{weighted_index, SplitMix64};

/// A stable 64-bit hash of bytes (FNV-1a, then a SplitMix64 finaliser so that near names spread): the
/// same on every machine and release, unlike the standard library's hasher, whose output may change.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for part in parts {
        for b in *part {
            h ^= u64::from(*b);
            h = h.wrapping_mul(0x0000_0100_0000_01b3);
        }
        // Parts are kept apart: ("ab", "c") and ("a", "bc") differ.
        h ^= 0xff;
        h = h.wrapping_mul(0x0000_0100_0000_01b3);
    }
    split_mix::mix(h)
}

/// A hash as a share, in [0, 1).
pub fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_hash_is_stable_and_keeps_parts_apart() {
        assert_ne!(stable_hash(&[b"ab", b"c"]), stable_hash(&[b"a", b"bc"]));
        // Pinned: a change of the hash would move every manager's slots.
        assert_eq!(stable_hash(&[b"n3", b"s-00c41f7a"]), 0xd407_a4ff_1046_8866);
        let u = unit(stable_hash(&[b"n1"]));
        assert!((0.0..1.0).contains(&u));
    }

    #[test]
    fn near_names_spread_over_the_unit() {
        let mut buckets = [0u32; 10];
        for i in 0..1000 {
            let name = format!("n{i}");
            buckets[(unit(stable_hash(&[name.as_bytes(), b"s-1"])) * 10.0) as usize] += 1;
        }
        assert!(buckets.iter().all(|b| (60..=140).contains(b)), "{buckets:?}");
    }
}
