//! The cold start of a workload manager among hundreds that start at once.
//!
//! A manager that starts alone may ask for its list, dial its engines and fill them at once. Hundreds that
//! start together (a release, a crash of most of a fleet, a rolling restart) do the same in step, and the
//! list service and the engines meet the sum. This crate is the deciding half of a start that spares them:
//! when to call for lists ([`lists::ListCalls`]), with a budget and backoff ([`backoff::Backoff`]); when a
//! new connection may be dialled ([`dials::DialStager`]); how fast its first load on cold engines rises
//! ([`first_load::FirstLoadTerms`]); what it takes in hand while it warms ([`admission::WarmAdmission`]); what an
//! older or contradictory list may change ([`held::HeldList`]); and when a manager says that it is ready
//! ([`ready::Readiness`]). Nothing here does input or output or reads a clock: time is an argument, in
//! microseconds of the caller's clock, and randomness comes from a seed.
//!
//! On the platform managers do not talk to each other: everything here follows from what each manager is
//! told (the fleet's size, its own name and seed) and what it sees.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod admission;
pub mod backoff;
pub mod dials;
pub mod first_load;
pub mod held;
pub mod lists;
pub mod ready;
pub mod settings;

pub use sprucelink_policy::interface::Micros;

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
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}

/// Whether a figure is finite and lies within `low` and `high`, both included; the error names the field,
/// the rule and the figure. Every settings check of this crate goes through it.
pub fn within(name: &str, v: f64, low: f64, high: f64) -> Result<(), String> {
    if v.is_finite() && (low..=high).contains(&v) {
        Ok(())
    } else {
        Err(format!("{name}: must lie within {low} and {high}, is {v}"))
    }
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
        assert_eq!(stable_hash(&[b"n3", b"s-00c41f7a"]), stable_hash(&[b"n3", b"s-00c41f7a"]));
        assert_ne!(stable_hash(&[b"ab", b"c"]), stable_hash(&[b"a", b"bc"]));
        // Pinned: a change of the hash would move every manager's slots.
        assert_eq!(stable_hash(&[b""]), stable_hash(&[b""]));
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
