//! The state that a member's disk held when the member started.

use crate::ids::LogPosition;
use crate::snapshot::Snapshot;
use crate::wire;

/// The state that a member's disk held when the member started; the default is an empty store.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RecoveredState {
    /// Number of the last batch on disk.
    pub last_batch: u64,
    /// The persistent state other than the log.
    pub state: wire::PersistentState,
    /// The last snapshot, if one was taken or received.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<wire::Entry>,
}

impl RecoveredState {
    /// The position of the last entry; that of the snapshot if there are no entries, or zeros if there is
    /// neither.
    pub(crate) fn last_position(&self) -> LogPosition {
        match (self.entries.last(), &self.snapshot) {
            (Some(entry), _) => LogPosition::new(entry.term, entry.index),
            (None, Some(snapshot)) => snapshot.position(),
            (None, None) => LogPosition::default(),
        }
    }

    /// The state that the member has acknowledged, as its disk shows.
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
