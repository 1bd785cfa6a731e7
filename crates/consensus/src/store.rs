//! Conversion of batches to those of the write-ahead log, and of its recovered content to [`RecoveredState`].

use crate::ready::Batch;
use crate::recovered_state::RecoveredState;
use crate::snapshot::Snapshot;
use crate::wire;
use prost::Message as _;
use sprucelink_wal as wal;

/// The write-ahead log is intact but does not contain a member's state: it was written by another version or
/// by a faulty program.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The persistent state other than the log can't be decoded.
    #[error("undecodable member state")]
    State(#[source] prost::DecodeError),
    /// The snapshot can't be decoded.
    #[error("undecodable snapshot")]
    Snapshot(#[source] prost::DecodeError),
    /// A part of the snapshot is missing or out of bounds, or its position differs from the write-ahead
    /// log's.
    #[error("invalid snapshot at entry {index}")]
    InvalidSnapshot {
        /// Index at which the write-ahead log has the snapshot.
        index: u64,
    },
    /// The kind of the entry is missing or unknown.
    #[error("invalid entry {index}")]
    InvalidEntry {
        /// The entry's index.
        index: u64,
    },
}

/// Converts a batch to one of the write-ahead log. An entry's data starts with one byte for its kind.
pub fn to_wal(batch: &Batch) -> wal::WriteBatch {
    let snapshot = batch.snapshot.as_ref().map(|snapshot| wal::Snapshot {
        index: snapshot.index,
        term: snapshot.term,
        data: snapshot.to_wire().encode_to_vec(),
    });
    wal::WriteBatch {
        sequence: batch.number,
        state: batch.state.encode_to_vec(),
        snapshot,
        entries: batch.entries.iter().map(entry_to_wal).collect(),
    }
}

fn entry_to_wal(entry: &wire::Entry) -> wal::Entry {
    let mut data = Vec::with_capacity(entry.data.len() + 1);
    data.push(u8::from(entry.kind != 0));
    data.extend_from_slice(&entry.data);
    wal::Entry { index: entry.index, term: entry.term, data }
}

/// Converts the content that the write-ahead log recovered to the state that a member starts from.
///
/// # Errors
/// The content is not a member's state.
pub fn recover(recovered: wal::Recovered) -> Result<RecoveredState, StoreError> {
    let state = wire::PersistentState::decode(recovered.state.as_slice()).map_err(StoreError::State)?;
    let snapshot = recovered.snapshot.map(snapshot_from_wal).transpose()?;
    let entries = recovered.entries.into_iter().map(entry_from_wal).collect::<Result<_, _>>()?;
    Ok(RecoveredState { last_batch: recovered.last_sequence, state, snapshot, entries })
}

fn snapshot_from_wal(stored: wal::Snapshot) -> Result<Snapshot, StoreError> {
    let decoded = wire::Snapshot::decode(stored.data.as_slice()).map_err(StoreError::Snapshot)?;
    Snapshot::from_wire(decoded)
        .filter(|snapshot| snapshot.index == stored.index && snapshot.term == stored.term)
        .ok_or(StoreError::InvalidSnapshot { index: stored.index })
}

fn entry_from_wal(entry: wal::Entry) -> Result<wire::Entry, StoreError> {
    let invalid = StoreError::InvalidEntry { index: entry.index };
    let (&kind, data) = entry.data.split_first().ok_or(invalid.clone())?;
    if kind > 1 {
        return Err(invalid);
    }
    Ok(wire::Entry { index: entry.index, term: entry.term, kind: u32::from(kind), data: data.to_vec() })
}
