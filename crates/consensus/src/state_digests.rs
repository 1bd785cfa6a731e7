//! Compares the state machines of members: after the same entries they must have the same state.

use crate::limits::RETAINED_DIGESTS;
use crate::wire::StateDigest;
use std::collections::VecDeque;

/// The last digests of a member's own state machine.
#[derive(Debug, Default)]
pub(crate) struct StateDigests {
    digests: VecDeque<StateDigest>,
}

impl StateDigests {
    /// Adds the digest of the state after an entry; the oldest one is dropped when there are
    /// [`RETAINED_DIGESTS`].
    pub fn push(&mut self, index: u64, digest: u64) {
        if self.digests.len() == RETAINED_DIGESTS {
            self.digests.pop_front();
        }
        self.digests.push_back(StateDigest { index, digest });
    }

    /// The newest digest; `None` before the first one.
    pub fn newest(&self) -> Option<StateDigest> {
        self.digests.back().copied()
    }

    /// Whether a peer's digest differs from this member's own digest after the same entry.
    pub fn differs_from(&self, peer_digest: &StateDigest) -> bool {
        self.digests.iter().any(|own| own.index == peer_digest.index && own.digest != peer_digest.digest)
    }
}
