//! The store's half: a [`Batch`] as the ledger's write, and what the ledger gives back as [`RecoveredState`].

use crate::ready::{Batch, Snapshot};
use crate::settings::RecoveredState;
use crate::wire;
use prost::Message as _;
use sprucelink_wal as wal;
use std::fmt;

/// The ledger's records are whole, and yet not the council's: another version's, or a fault in a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotOurs(&'static str);

impl fmt::Display for NotOurs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the ledger holds no council's {}", self.0)
    }
}

impl std::error::Error for NotOurs {}

/// A batch in the ledger's terms.
pub fn to_write(batch: &Batch) -> wal::WriteBatch {
    let snapshot = batch.snapshot.as_ref().map(|snapshot| wal::Snapshot {
        index: snapshot.index,
        term: snapshot.term,
        data: snapshot.to_wire().encode_to_vec(),
    });
    let entry = |entry: &wire::Entry| {
        let mut data = Vec::with_capacity(entry.data.len() + 1);
        data.push(u8::from(entry.kind != 0));
        data.extend_from_slice(&entry.data);
        wal::Entry { index: entry.index, term: entry.term, data }
    };
    wal::WriteBatch {
        sequence: batch.number,
        state: batch.state.encode_to_vec(),
        snapshot,
        entries: batch.entries.iter().map(entry).collect(),
    }
}

/// What a start needs, from what the ledger gave back.
///
/// # Errors
/// When it does not hold a council's state.
pub fn restored(from: wal::Recovered) -> Result<RecoveredState, NotOurs> {
    let state = wire::PersistentState::decode(from.state.as_slice()).map_err(|_| NotOurs("state"))?;
    let snapshot = match from.snapshot {
        None => None,
        Some(base) => Some(
            wire::Snapshot::decode(base.data.as_slice())
                .ok()
                .and_then(Snapshot::from_wire)
                .filter(|snapshot| (snapshot.index, snapshot.term) == (base.index, base.term))
                .ok_or(NotOurs("snapshot"))?,
        ),
    };
    let entry = |entry: wal::Entry| {
        let (kind, data) =
            entry.data.split_first().filter(|(kind, _)| **kind <= 1).ok_or(NotOurs("entry"))?;
        Ok(wire::Entry { index: entry.index, term: entry.term, kind: u32::from(*kind), data: data.to_vec() })
    };
    let entries = from.entries.into_iter().map(entry).collect::<Result<_, NotOurs>>()?;
    Ok(RecoveredState { writes: from.sequence, state, snapshot, entries })
}
