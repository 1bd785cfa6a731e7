//! SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014): a seeded
//! generator that gives the same numbers for the same seed on every machine and release.

use serde::{Deserialize, Serialize};

/// Increment of the generator's state: 2^64 divided by the golden ratio, as an odd integer.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The finaliser of SplitMix64: a bijection that spreads each bit of the input over all bits of the output.
pub(crate) fn mix(input: u64) -> u64 {
    let mut mixed = input;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// A seeded pseudorandom number generator. Not cryptographically secure.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// Creates a generator whose sequence of numbers is determined by `seed`.
    pub const fn new(seed: u64) -> SplitMix64 {
        SplitMix64(seed)
    }

    /// The next number of the sequence, uniform over all `u64` values.
    pub fn next_u64(&mut self) -> u64 {
        self.next_u64_with(0)
    }

    /// The next number of the sequence, mixed with `salt`: generators with the same seed give different
    /// numbers for different salts. The salt does not affect later numbers.
    pub fn next_u64_with(&mut self, salt: u64) -> u64 {
        self.0 = self.0.wrapping_add(GOLDEN_GAMMA);
        mix(self.0 ^ salt)
    }

    /// The next number of the sequence, mapped to the interval [0, 1); a multiple of 2^-53.
    pub fn next_f64(&mut self) -> f64 {
        crate::unit_interval(self.next_u64())
    }

    /// Removes up to `count` items from the pool and returns them, each drawn from the remaining items with
    /// equal probability. The last item of the pool takes the place of each drawn item.
    pub fn draw<T>(&mut self, pool: &mut Vec<T>, count: usize) -> Vec<T> {
        let mut drawn = Vec::new();
        for _ in 0..pool.len().min(count) {
            let index = (self.next_f64() * pool.len() as f64) as usize;
            drawn.push(pool.swap_remove(index));
        }
        drawn
    }
}

/// The index that corresponds to `unit`, a uniform random number in [0, 1), if the probability of each index
/// is proportional to its weight.
///
/// Weights must not be negative. If rounding puts the draw beyond the last weight, or a weight is NaN,
/// returns the last index. Returns `None` if there are no weights.
pub fn weighted_index(weights: &[f64], unit: f64) -> Option<usize> {
    let mut remaining = unit * weights.iter().sum::<f64>();
    let drawn = weights.iter().position(|weight| {
        remaining -= weight;
        remaining <= 0.0
    });
    drawn.or(weights.len().checked_sub(1))
}

#[cfg(test)]
mod tests;
