//! What a member's disk held when it started.

use crate::ids::LogPosition;
use crate::snapshot::Snapshot;
use crate::wire;

/// What a member's disk held when it started; the default is an empty store.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RecoveredState {
    /// Number of the last batch on disk.
    pub last_batch: u64,
    /// The state beside the log.
    pub state: wire::PersistentState,
    /// The last snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries behind it, without gaps.
    pub entries: Vec<wire::Entry>,
}

impl RecoveredState {
    /// The position of the last entry, or of the snapshot, or zeros.
    pub(crate) fn last_position(&self) -> LogPosition {
        match (self.entries.last(), &self.snapshot) {
            (Some(entry), _) => LogPosition::new(entry.term, entry.index),
            (None, Some(snapshot)) => snapshot.position(),
            (None, None) => LogPosition::default(),
        }
    }

    /// What this disk shows that the member acknowledged.
    pub(crate) fn ack_state(&self) -> wire::AckState {
        let last = self.last_position();
        wire::AckState {
            writes: self.last_batch,
            term: self.state.term,
            vote: self.state.vote,
            last_term: last.term,
            last_index: last.index,
        }
    }
}
