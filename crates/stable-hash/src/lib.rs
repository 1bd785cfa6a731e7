//! A stable hash and a seeded random number generator: every process, machine and release computes the same
//! values.
//!
//! This crate performs no I/O; its only state is that of a generator.

mod split_mix;

pub use split_mix::{weighted_index, SplitMix64};

/// The initial value of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Byte that is hashed after each part, so that ("ab", "c") and ("a", "bc") have different hashes. It never
/// occurs in UTF-8 text.
const PART_SEPARATOR: u8 = 0xff;

/// A stable 64-bit hash of byte strings (FNV-1a, then the SplitMix64 finaliser, so that the hashes of similar
/// names spread evenly). The hash is the same on every machine and release, whereas the output of the
/// standard library's hasher may change.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for part in parts {
        for byte in *part {
            hash = fnv_step(hash, *byte);
        }
        hash = fnv_step(hash, PART_SEPARATOR);
    }
    split_mix::mix(hash)
}

/// The FNV-1a hash of the bytes hashed so far, followed by `byte`.
fn fnv_step(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
}

/// Maps a hash to the interval [0, 1): its upper 53 bits times 2^-53, which an `f64` represents exactly.
pub fn unit_interval(hash: u64) -> f64 {
    let mantissa = hash >> (u64::BITS - f64::MANTISSA_DIGITS);
    mantissa as f64 / (1u64 << f64::MANTISSA_DIGITS) as f64
}
