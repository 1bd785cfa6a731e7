//! Identifies the build that records: its version, the policy's source text, and its floating-point functions.

use sprucelink_policy::SOURCES;
use std::env::consts::{ARCH, OS};
use xxhash_rust::xxh3::Xxh3;

/// Version of the files that this crate writes. It reads this one and every older one.
pub const FORMAT: u32 = 1;

/// How many inputs [`float_digest`] covers.
const FLOAT_SAMPLES: i32 = 1_000;
/// Distance between the inputs of [`float_digest`].
const FLOAT_SAMPLE_STEP: f64 = 0.037;

/// The program that records: name, version and target.
pub fn build() -> String {
    format!("sprucelink {} {ARCH}-{OS}", env!("CARGO_PKG_VERSION"))
}

/// CRC-32 of the policy's source text: two builds with the same checksum decide alike, as far as their
/// [`float_digest`] agrees.
pub fn policy_checksum() -> u32 {
    let mut sum = crc32fast::Hasher::new();
    SOURCES.iter().for_each(|text| sum.update(text.as_bytes()));
    sum.finalize()
}

/// Digest of the results of `exp`, `ln` and `powf` for fixed inputs: functions that the policy calls, and that another
/// platform's library may round differently. Where the digest differs, decisions may, too, in the last bit of a weight.
pub fn float_digest() -> u64 {
    let mut sum = Xxh3::new();
    for step in 1..=FLOAT_SAMPLES {
        let x = f64::from(step) * FLOAT_SAMPLE_STEP;
        for y in [(-x).exp(), x.ln(), 0.5_f64.powf(x), x.sqrt(), x.powi(2)] {
            sum.update(&y.to_bits().to_le_bytes());
        }
    }
    sum.digest()
}
