//! The log as the `raft` crate reads it: in memory, bounded, filled from disk at the start and then one step ahead of
//! the disk (the crate keeps count of what is on disk itself).

use crate::convert;
use crate::ids::MemberId;
use crate::limits::{KEEP_ENTRIES, MAX_LOG_BYTES, MAX_LOG_ENTRIES};
use crate::membership::Membership;
use crate::ready::Snapshot;
use crate::wire;
use raft::eraftpb::{self, HardState};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;
use std::collections::VecDeque;

/// What an entry costs beside its data, bytes, as counted here.
const ENTRY_COST: u64 = 16;

fn cost(entry: &eraftpb::Entry) -> u64 {
    entry.get_data().len() as u64 + entry.get_context().len() as u64 + ENTRY_COST
}

/// Entries, the last snapshot, and who was in when.
#[derive(Debug, Default)]
pub(crate) struct LogStorage {
    hard: HardState,
    snapshot: Option<Snapshot>,
    /// Index and term of the entry before the first that is held.
    before: (u64, u64),
    entries: VecDeque<eraftpb::Entry>,
    bytes: u64,
    /// Bytes of entries behind the snapshot.
    fresh_bytes: u64,
    /// The members from an entry on, oldest first; the last are those in force.
    members: VecDeque<(u64, Membership)>,
    /// Somebody needs a snapshot newer than the one at hand.
    wanted: Cell<bool>,
}

impl LogStorage {
    pub fn restored(hard: HardState, snapshot: Option<Snapshot>, entries: Vec<wire::Entry>) -> Self {
        let mut mirror = LogStorage { hard, ..LogStorage::default() };
        if let Some(snapshot) = snapshot {
            mirror.install(snapshot);
        }
        let entries: Vec<eraftpb::Entry> = entries.into_iter().map(convert::entry_from_wire).collect();
        mirror.append(&entries);
        mirror
    }

    pub fn last(&self) -> (u64, u64) {
        self.entries.back().map_or((self.before.1, self.before.0), |entry| (entry.term, entry.index))
    }

    /// The term at an index that is held, or just before.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.before.0 {
            return Some(self.before.1);
        }
        let at = index.checked_sub(self.before.0 + 1)?;
        self.entries.get(usize::try_from(at).ok()?).map(|entry| entry.term)
    }

    /// Puts entries behind those before the first of them, whose own place and all behind it are cut off.
    pub fn append(&mut self, entries: &[eraftpb::Entry]) {
        let Some(first) = entries.first() else { return };
        let kept = first.index.saturating_sub(self.before.0 + 1);
        while self.entries.len() as u64 > kept {
            if let Some(gone) = self.entries.pop_back() {
                self.count(&gone, false);
            }
        }
        for entry in entries {
            self.count(entry, true);
            self.entries.push_back(entry.clone());
        }
    }

    fn count(&mut self, entry: &eraftpb::Entry, more: bool) {
        let fresh = entry.index > self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let cost = cost(entry);
        let fresh_cost = if fresh { cost } else { 0 };
        if more {
            (self.bytes, self.fresh_bytes) = (self.bytes + cost, self.fresh_bytes + fresh_cost);
        } else {
            self.bytes = self.bytes.saturating_sub(cost);
            self.fresh_bytes = self.fresh_bytes.saturating_sub(fresh_cost);
        }
    }

    /// Takes a snapshot from the leader, or from disk, instead of all that was there.
    pub fn install(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        (self.bytes, self.fresh_bytes) = (0, 0);
        self.before = (snapshot.index, snapshot.term);
        self.members.clear();
        self.members.push_back((snapshot.index, snapshot.membership.clone()));
        self.hard.commit = self.hard.commit.max(snapshot.index);
        self.snapshot = Some(snapshot);
    }

    /// Takes the state machine's own snapshot at an applied entry, and keeps some entries before it.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Option<&Snapshot> {
        let term = self.term_at(index)?;
        while self.members.get(1).is_some_and(|(from, _)| *from <= index) {
            self.members.pop_front();
        }
        let members = self.members.front().map(|(_, members)| members.clone())?;
        while self.before.0 + KEEP_ENTRIES < index || self.bytes > MAX_LOG_BYTES / 2 {
            if self.before.0 >= index {
                break;
            }
            let Some(gone) = self.entries.pop_front() else { break };
            self.bytes = self.bytes.saturating_sub(cost(&gone));
            self.before = (gone.index, gone.term);
        }
        self.snapshot = Some(Snapshot { index, term, membership: members, data });
        self.fresh_bytes = self.entries.iter().filter(|entry| entry.index > index).map(cost).sum();
        self.wanted.set(false);
        self.snapshot.as_ref()
    }

    /// All entries behind the snapshot: what goes to disk beside it.
    pub fn behind_snapshot(&self) -> Vec<wire::Entry> {
        let index = self.snapshot_index();
        self.entries.iter().filter(|entry| entry.index > index).map(convert::entry_to_wire).collect()
    }

    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub fn fresh_bytes(&self) -> u64 {
        self.fresh_bytes
    }

    pub fn is_wanted(&self) -> bool {
        self.wanted.get()
    }

    /// Whether no more entries should come in before a snapshot.
    pub fn is_full(&self) -> bool {
        self.entries.len() as u64 >= MAX_LOG_ENTRIES || self.bytes >= MAX_LOG_BYTES
    }

    pub fn members(&self) -> Option<&(u64, Membership)> {
        self.members.back()
    }

    /// The members as of the last entry that the disk knows to be committed: before entries are handed out anew, those in
    /// force are still the snapshot's.
    pub fn members_on_disk(&self) -> Option<(u64, Membership)> {
        let (mut from, mut members) = self.members.back().cloned()?;
        for entry in self.entries.iter().take_while(|entry| entry.index <= self.hard.commit) {
            let change = convert::change_in(entry).filter(|_| entry.index > from);
            if let Some(change) = change.filter(|&change| members.objection(change).is_none()) {
                members.apply(change);
                from = entry.index;
            }
        }
        Some((from, members))
    }

    pub fn set_members(&mut self, from: u64, members: Membership) {
        self.members.push_back((from, members));
    }

    pub fn hard(&self) -> &HardState {
        &self.hard
    }

    pub fn set_hard(&mut self, hard: HardState) {
        self.hard = hard;
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf = self.members.front().map(|(_, members)| convert::conf_state(members)).unwrap_or_default();
        Ok(RaftState::new(self.hard.clone(), conf))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        if low <= self.before.0 {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let (skip, count) = (low - self.before.0 - 1, high.saturating_sub(low));
        if skip + count > self.entries.len() as u64 {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let limit = max_size.into().unwrap_or(u64::MAX);
        let mut size = 0;
        let wanted = self.entries.iter().skip(skip as usize).take(count as usize);
        Ok(wanted
            .take_while(|entry| {
                let first = size == 0;
                size += cost(entry);
                first || size <= limit
            })
            .cloned()
            .collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index < self.before.0 {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        self.term_at(index).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.before.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last().1)
    }

    /// A snapshot is of use only to a member that stands in it: one added since makes a new one wanted.
    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<eraftpb::Snapshot> {
        match &self.snapshot {
            Some(snapshot)
                if snapshot.index >= request_index
                    && snapshot.membership.contains(MemberId::from_raw(to)) =>
            {
                Ok(snapshot.to_raft())
            }
            _ => {
                self.wanted.set(true);
                Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable))
            }
        }
    }
}
