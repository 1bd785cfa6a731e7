//! The in-memory log that the `raft` crate reads. It is bounded, filled from disk at the start, and
//! afterwards ahead of the disk (the `raft` crate itself tracks which entries are on disk).

use crate::convert;
use crate::ids::{LogPosition, MemberId};
use crate::limits::{MAX_LOG_BYTES, MAX_LOG_ENTRIES, RETAINED_ENTRIES};
use crate::membership::VersionedMembership;
use crate::snapshot::Snapshot;
use crate::wire;
use raft::eraftpb::{self, HardState};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;
use std::collections::VecDeque;

/// Size counted for an entry in addition to its data and context, bytes.
const ENTRY_OVERHEAD_BYTES: u64 = 16;

/// Size counted for an entry in total, bytes.
fn entry_bytes(entry: &eraftpb::Entry) -> u64 {
    entry.get_data().len() as u64 + entry.get_context().len() as u64 + ENTRY_OVERHEAD_BYTES
}

/// The retained entries, the last snapshot, and the memberships since that snapshot.
#[derive(Debug, Default)]
pub(crate) struct LogStorage {
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    /// Position of the entry before the first one in `entries`.
    compacted_position: LogPosition,
    entries: VecDeque<eraftpb::Entry>,
    /// Size of all entries in memory, bytes.
    bytes: u64,
    /// Size of the entries after the snapshot, bytes.
    bytes_after_snapshot: u64,
    /// The memberships since the snapshot, oldest first; the last one is current.
    memberships: VecDeque<VersionedMembership>,
    /// Whether a member needs a newer snapshot than the last one.
    is_snapshot_wanted: Cell<bool>,
}

impl LogStorage {
    /// Restores the log that was on disk.
    pub fn recovered(hard_state: HardState, snapshot: Option<Snapshot>, entries: Vec<wire::Entry>) -> Self {
        let mut storage = LogStorage { hard_state, ..LogStorage::default() };
        if let Some(snapshot) = snapshot {
            storage.install(snapshot);
        }
        let entries: Vec<eraftpb::Entry> = entries.into_iter().map(convert::entry_from_wire).collect();
        storage.append(&entries);
        storage
    }

    /// The position of the last entry.
    pub fn last_position(&self) -> LogPosition {
        self.entries.back().map_or(self.compacted_position, |entry| LogPosition::new(entry.term, entry.index))
    }

    /// The term of a retained entry, or of the last compacted one.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.compacted_position.index {
            return Some(self.compacted_position.term);
        }
        let offset = index.checked_sub(self.compacted_position.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?).map(|entry| entry.term)
    }

    /// Truncates the log at the first of the entries and appends them.
    pub fn append(&mut self, entries: &[eraftpb::Entry]) {
        let Some(first) = entries.first() else { return };
        let retained = first.index.saturating_sub(self.compacted_position.index + 1);
        while self.entries.len() as u64 > retained {
            if let Some(removed) = self.entries.pop_back() {
                self.subtract_size(&removed);
            }
        }
        for entry in entries {
            self.add_size(entry);
            self.entries.push_back(entry.clone());
        }
    }

    fn add_size(&mut self, entry: &eraftpb::Entry) {
        let bytes = entry_bytes(entry);
        self.bytes += bytes;
        if entry.index > self.snapshot_index() {
            self.bytes_after_snapshot += bytes;
        }
    }

    fn subtract_size(&mut self, entry: &eraftpb::Entry) {
        let bytes = entry_bytes(entry);
        self.bytes = self.bytes.saturating_sub(bytes);
        if entry.index > self.snapshot_index() {
            self.bytes_after_snapshot = self.bytes_after_snapshot.saturating_sub(bytes);
        }
    }

    /// Replaces the log by a snapshot from the leader or from disk.
    pub fn install(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.bytes = 0;
        self.bytes_after_snapshot = 0;
        self.compacted_position = snapshot.position();
        self.memberships.clear();
        self.memberships.push_back(VersionedMembership {
            index: snapshot.index,
            membership: snapshot.membership.clone(),
        });
        self.hard_state.commit = self.hard_state.commit.max(snapshot.index);
        self.snapshot = Some(snapshot);
    }

    /// Stores a snapshot that the state machine took after an applied entry, and drops the entries before it
    /// except for the last [`RETAINED_ENTRIES`]. Returns false when the entry itself is no longer in the log.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> bool {
        let Some(term) = self.term_at(index) else { return false };
        while self.memberships.get(1).is_some_and(|later| later.index <= index) {
            self.memberships.pop_front();
        }
        let Some(current) = self.memberships.front() else { return false };
        let membership = current.membership.clone();
        self.drop_entries_before(index);
        self.snapshot = Some(Snapshot { index, term, membership, data });
        let entries_after = self.entries.iter().filter(|entry| entry.index > index);
        self.bytes_after_snapshot = entries_after.map(entry_bytes).sum();
        self.is_snapshot_wanted.set(false);
        true
    }

    fn drop_entries_before(&mut self, index: u64) {
        while self.compacted_position.index + RETAINED_ENTRIES < index || self.bytes > MAX_LOG_BYTES / 2 {
            if self.compacted_position.index >= index {
                return;
            }
            let Some(removed) = self.entries.pop_front() else { return };
            self.bytes = self.bytes.saturating_sub(entry_bytes(&removed));
            self.compacted_position = LogPosition::new(removed.term, removed.index);
        }
    }

    /// All entries after the snapshot, to be written to disk together with it.
    pub fn entries_after_snapshot(&self) -> Vec<wire::Entry> {
        let index = self.snapshot_index();
        self.entries.iter().filter(|entry| entry.index > index).map(convert::entry_to_wire).collect()
    }

    /// Index of the last snapshot, or 0.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub fn bytes_after_snapshot(&self) -> u64 {
        self.bytes_after_snapshot
    }

    /// Whether a member needs a newer snapshot than the last one.
    pub fn is_snapshot_wanted(&self) -> bool {
        self.is_snapshot_wanted.get()
    }

    /// Whether no more entries should be accepted before a snapshot is taken.
    pub fn is_full(&self) -> bool {
        self.entries.len() as u64 >= MAX_LOG_ENTRIES || self.bytes >= MAX_LOG_BYTES
    }

    /// The current membership; `None` while there is neither a snapshot nor a membership change.
    pub fn membership(&self) -> Option<&VersionedMembership> {
        self.memberships.back()
    }

    /// The membership as of the last entry that the disk shows to be committed. Until entries are applied
    /// again after a start, [`LogStorage::membership`] is still that of the snapshot.
    pub fn membership_on_disk(&self) -> Option<VersionedMembership> {
        let mut current = self.memberships.back().cloned()?;
        for entry in self.entries.iter().take_while(|entry| entry.index <= self.hard_state.commit) {
            let Some(change) = convert::decode_conf_change(entry) else { continue };
            if entry.index > current.index && current.membership.check(change).is_ok() {
                current.membership.apply(change);
                current.index = entry.index;
            }
        }
        Some(current)
    }

    /// Makes a membership the current one.
    pub fn push_membership(&mut self, membership: VersionedMembership) {
        self.memberships.push_back(membership);
    }

    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    pub fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let oldest = self.memberships.front();
        let conf_state = oldest.map(|oldest| convert::conf_state(&oldest.membership)).unwrap_or_default();
        Ok(RaftState::new(self.hard_state.clone(), conf_state))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        if low <= self.compacted_position.index {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let skipped = low - self.compacted_position.index - 1;
        let count = high.saturating_sub(low);
        if skipped + count > self.entries.len() as u64 {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let max_size = max_size.into().unwrap_or(u64::MAX);
        let mut size = 0;
        let mut fits = |entry: &&eraftpb::Entry| {
            let is_first = size == 0;
            size += entry_bytes(entry);
            is_first || size <= max_size
        };
        let requested = self.entries.iter().skip(skipped as usize).take(count as usize);
        Ok(requested.take_while(|entry| fits(entry)).cloned().collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index < self.compacted_position.index {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        self.term_at(index).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.compacted_position.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_position().index)
    }

    /// A snapshot is useful only to a member that its membership contains. For a member that was added later,
    /// a new snapshot is requested.
    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<eraftpb::Snapshot> {
        let to = MemberId::from_raw(to);
        match &self.snapshot {
            Some(snapshot) if snapshot.index >= request_index && snapshot.membership.contains(to) => {
                Ok(snapshot.to_raft())
            }
            _ => {
                self.is_snapshot_wanted.set(true);
                Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable))
            }
        }
    }
}
