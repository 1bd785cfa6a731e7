//! What applies entries at a host.

use crate::ready::CommittedEntry;
use sprucelink_time::Timestamp;

/// What applies entries at a host.
pub trait StateMachine {
    /// Applies an entry, in order.
    fn apply(&mut self, now: Timestamp, entry: &CommittedEntry);
    /// The complete state, for a snapshot.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by that of a snapshot; empty bytes are the initial state.
    fn install(&mut self, bytes: &[u8]);
    /// A digest of the state.
    fn digest(&self) -> u64;
}
