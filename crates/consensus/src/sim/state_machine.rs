//! The state machine that applies committed entries at a host.

use crate::ready::CommittedEntry;
use sprucelink_time::Timestamp;

/// State machine of a host. It must be deterministic: the same entries lead to the same state at every host.
pub trait StateMachine {
    /// Applies a committed entry. Called in the order of the log.
    fn apply(&mut self, now: Timestamp, entry: &CommittedEntry);
    /// The complete state, for a snapshot.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by that of a snapshot; empty bytes are the initial state.
    fn install(&mut self, bytes: &[u8]);
    /// A digest of the state, for comparison between members.
    fn digest(&self) -> u64;
}
