//! Comparing state machines: members that applied the same entries must stand at the same state.

use crate::limits::DIGESTS_KEPT;
use crate::wire::StateDigest;
use std::collections::VecDeque;

/// The last digests of a member's own state machine.
#[derive(Debug, Default)]
pub(crate) struct StateDigests {
    kept: VecDeque<StateDigest>,
}

impl StateDigests {
    /// Takes the digest behind an entry; the oldest goes when there are [`DIGESTS_KEPT`].
    pub fn put(&mut self, index: u64, digest: u64) {
        if self.kept.len() == DIGESTS_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(StateDigest { index, digest });
    }

    /// The newest.
    pub fn newest(&self) -> Option<StateDigest> {
        self.kept.back().copied()
    }

    /// Whether a peer's digest contradicts the own one at the same entry.
    pub fn contradicts(&self, told: &StateDigest) -> bool {
        self.kept.iter().any(|own| own.index == told.index && own.digest != told.digest)
    }
}
