//! The other processes of the instance, derived from their files: which processes are alive, and which files
//! may be removed.

use crate::error::StateFileError;
use crate::state::{Phase, Process, StateFile};
use crate::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Time after which a process whose file has not changed counts as dead: six times the write interval. With a
/// longer time-out, connections wait longer after a new process was killed; with a shorter one, a process
/// that gets no CPU time for a second would count as dead while it is alive.
pub const PEER_TIMEOUT: TimeDelta = TimeDelta::from_millis(1_500);
/// Time for which a dead process's file is retained; it is also retained until its contents are part of this
/// process's own file. A process that was only stopped most likely resumes within that time; if it resumes
/// later it writes its file again.
pub const DEAD_FILE_RETENTION: TimeDelta = TimeDelta::from_secs(10);
/// Time for which a damaged file, or a file whose writer died during the write, is retained unchanged: long
/// enough to inspect it, and too short for such files to fill a folder that counts as memory.
pub const DAMAGED_FILE_RETENTION: TimeDelta = TimeDelta::from_secs(60);
/// Maximum number of files of one instance that are read, newest processes first; further files are ignored.
/// A hot restart has two files.
pub const MAX_PEER_FILES: usize = 16;
/// Maximum number of files removed after one write, so that removing many files does not delay requests.
pub const MAX_REMOVALS_PER_WRITE: usize = 4;

/// Another live process of this instance, as its file describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Identity of the process.
    pub process: Process,
    /// Phase of the process.
    pub phase: Phase,
    /// Processes with which it shares its budgets.
    pub shares_with: Vec<Process>,
}

#[derive(Clone, Debug)]
enum TrackedFile {
    /// A file that was decoded.
    Peer {
        state: PeerState,
        /// Time of the last known write, by this process's clock.
        changed_at: Timestamp,
        /// Whether the file's contents are part of this process's own file.
        is_merged: bool,
    },
    /// A damaged file, or one whose writer died during the write.
    Damaged { since: Timestamp },
    /// A complete file of another instance or an unsupported build, which this process must not remove.
    Foreign,
}

impl TrackedFile {
    fn is_removable(&self, now: Timestamp) -> bool {
        match self {
            TrackedFile::Peer { is_merged: false, .. } | TrackedFile::Foreign => false,
            TrackedFile::Peer { state, changed_at, .. } => {
                state.phase == Phase::Terminated || now - *changed_at > DEAD_FILE_RETENTION
            }
            TrackedFile::Damaged { since } => now - *since > DAMAGED_FILE_RETENTION,
        }
    }
}

/// The files of this instance that were read, by name.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    files: BTreeMap<String, TrackedFile>,
}

impl PeerTable {
    /// Records the result of reading a file that is new or has changed since the last scan.
    pub fn record_read(&mut self, now: Timestamp, name: &str, result: &Result<StateFile, StateFileError>) {
        let tracked = match result {
            Ok(file) => TrackedFile::Peer {
                state: PeerState {
                    process: file.process,
                    phase: file.phase,
                    shares_with: file.shares_with.clone(),
                },
                // A file from the future counts as written now: its process times out unless the file
                // changes.
                changed_at: file.written_at.min(now),
                is_merged: false,
            },
            // A process whose file cannot be read once stays alive until its time-out.
            Err(_) if matches!(self.files.get(name), Some(TrackedFile::Peer { .. })) => return,
            Err(StateFileError::Damaged(_)) => TrackedFile::Damaged { since: now },
            Err(_) => TrackedFile::Foreign,
        };
        self.files.insert(name.to_owned(), tracked);
    }

    /// Records a temporary file, which is being written, or whose writer died during the write.
    pub fn record_temporary_file(&mut self, now: Timestamp, name: &str) {
        self.files.entry(name.to_owned()).or_insert(TrackedFile::Damaged { since: now });
    }

    /// Removes all files from the table except the given ones.
    pub fn retain_listed(&mut self, names: &BTreeSet<String>) {
        self.files.retain(|name, _| names.contains(name));
    }

    /// Records that this process's own file was written after the contents of all files read had been merged.
    pub fn record_own_write(&mut self) {
        for tracked in self.files.values_mut() {
            if let TrackedFile::Peer { is_merged, .. } = tracked {
                *is_merged = true;
            }
        }
    }

    /// Other processes that are alive at `now`.
    pub fn live_peers(&self, now: Timestamp) -> Vec<PeerState> {
        let live = self.files.values().filter_map(|tracked| match tracked {
            TrackedFile::Peer { state, changed_at, .. }
                if state.phase != Phase::Terminated && now - *changed_at <= PEER_TIMEOUT =>
            {
                Some(state.clone())
            }
            _ => None,
        });
        live.collect()
    }

    /// Highest generation of any process whose file was read, alive or dead; 0 if there is none.
    pub fn max_generation(&self) -> u64 {
        let generations = self.files.values().map(|tracked| match tracked {
            TrackedFile::Peer { state, .. } => state.process.generation,
            TrackedFile::Damaged { .. } | TrackedFile::Foreign => 0,
        });
        generations.max().unwrap_or(0)
    }

    /// Files that may be removed now, at most [`MAX_REMOVALS_PER_WRITE`].
    pub fn removable_files(&self, now: Timestamp) -> Vec<String> {
        let removable = self.files.iter().filter(|(_, tracked)| tracked.is_removable(now));
        removable.map(|(name, _)| name.clone()).take(MAX_REMOVALS_PER_WRITE).collect()
    }
}
