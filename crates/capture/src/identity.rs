//! Identifies the build that records: its version, the policy's source text, and its floating-point
//! functions.

use sprucelink_float_math::{exp, ln, pow};
use sprucelink_policy::SOURCES;
use std::env::consts::{ARCH, OS};
use xxhash_rust::xxh3::Xxh3;

/// Version of the file format that this crate writes; it reads this version and all older ones.
pub const FORMAT: u32 = 1;

/// Number of inputs that [`float_digest`] covers.
const FLOAT_SAMPLES: i32 = 1_000;
/// Difference between consecutive inputs of [`float_digest`].
const FLOAT_SAMPLE_STEP: f64 = 0.037;

/// Name, version and target of this program, as segment headers hold them.
pub fn build_description() -> String {
    format!("sprucelink {} {ARCH}-{OS}", env!("CARGO_PKG_VERSION"))
}

/// CRC-32 of the policy's source text. Builds with the same checksum and the same [`float_digest`] make the
/// same decisions.
pub fn policy_checksum() -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    SOURCES.iter().for_each(|text| hasher.update(text.as_bytes()));
    hasher.finalize()
}

/// Digest of the results of `exp`, `ln`, `pow`, `sqrt` and squares for fixed inputs. The policy calls such
/// functions, and the mathematical library of another platform may round `exp` and `ln` differently: builds with
/// different digests may make decisions that differ in the last bit of a weight.
pub fn float_digest() -> u64 {
    let mut hasher = Xxh3::new();
    for step in 1..=FLOAT_SAMPLES {
        let x = f64::from(step) * FLOAT_SAMPLE_STEP;
        for result in [exp(-x), ln(x), pow(0.5, x), x.sqrt(), x * x] {
            hasher.update(&result.to_bits().to_le_bytes());
        }
    }
    hasher.digest()
}
