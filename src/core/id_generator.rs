//! Generated ids: for requests and idempotency keys whose clients give none, and for sessions.
//!
//! Input: the seed and the time. Output: ids. State: the state of the generator.

use sprucelink_policy::Timestamp;
use sprucelink_stable_hash::SplitMix64;

/// Generates pseudorandom ids, which are not compared with earlier ones.
pub(super) struct IdGenerator {
    sequence: SplitMix64,
}

impl IdGenerator {
    /// Creates a generator that starts at `seed`.
    pub(super) fn new(seed: u64) -> IdGenerator {
        IdGenerator { sequence: SplitMix64::new(seed) }
    }

    /// The next id, which depends on the seed, on the number of ids before it and on the time: a process that
    /// restarts with the same seed generates other ids.
    pub(super) fn next_id(&mut self, now: Timestamp) -> u64 {
        // The low bits of the time change fastest, so they are moved away from the low bits of the sequence.
        let salt = (now.as_micros() as u64).rotate_left(32);
        self.sequence.next_u64_with(salt)
    }
}

#[cfg(test)]
mod tests;
