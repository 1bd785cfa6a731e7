//! The other processes of the instance, by their files: which are alive, and which files may be removed.

use crate::error::StateFileError;
use crate::state::{Phase, Process, StateFile};
use crate::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// A process whose file has not changed for this long counts as dead: six times the interval at which it writes. With a
/// longer time-out, connections wait after a new process was killed; with a shorter one, a process that gets no CPU time
/// for a second counts as dead while it is alive.
pub const PEER_TIMEOUT: TimeDelta = TimeDelta::from_millis(1_500);
/// A dead process's file is retained this long, and until its contents are part of this process's own file. A process
/// that was only stopped most likely resumes within that time; if it resumes later it writes its file again.
pub const DEAD_FILE_RETENTION: TimeDelta = TimeDelta::from_secs(10);
/// A damaged file, or one whose writer died during the write, is retained unchanged this long: enough to inspect it, too
/// short for such files to fill a folder that counts as memory.
pub const DAMAGED_FILE_RETENTION: TimeDelta = TimeDelta::from_secs(60);
/// Maximum number of files of one instance that are read, the newest processes' first; the others are ignored. A hot
/// restart has two.
pub const MAX_PEER_FILES: usize = 16;
/// Maximum number of files removed after one write, so that a folder full of them does not delay requests.
pub const MAX_REMOVALS_PER_WRITE: usize = 4;

/// Another live process of this instance, as its file describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Which process.
    pub process: Process,
    /// Its phase.
    pub phase: Phase,
    /// The processes that it shares its budgets with.
    pub shares_with: Vec<Process>,
}

#[derive(Clone, Debug)]
enum TrackedFile {
    /// A file that was decoded.
    Peer {
        state: PeerState,
        /// When it was last known to have been written, by this process's clock.
        changed_at: Timestamp,
        /// Whether its contents are part of this process's own file.
        is_merged: bool,
    },
    /// Damaged, or a file whose writer died during the write.
    Damaged { since: Timestamp },
    /// Complete, and not for this build or this instance: not this process's to remove.
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
    /// Notes a file that is new or has changed since the last scan.
    pub fn record_read(&mut self, now: Timestamp, name: &str, read: &Result<StateFile, StateFileError>) {
        let tracked = match read {
            Ok(file) => TrackedFile::Peer {
                state: PeerState {
                    process: file.process,
                    phase: file.phase,
                    shares_with: file.shares_with.clone(),
                },
                // A file from the future counts as written now; to stay alive it has to change.
                changed_at: file.written_at.min(now),
                is_merged: false,
            },
            // A live process whose file cannot be read once stays alive until its time-out.
            Err(_) if matches!(self.files.get(name), Some(TrackedFile::Peer { .. })) => return,
            Err(StateFileError::Damaged(_)) => TrackedFile::Damaged { since: now },
            Err(_) => TrackedFile::Foreign,
        };
        self.files.insert(name.to_owned(), tracked);
    }

    /// Notes a temporary file: one that is being written, or whose writer died during the write.
    pub fn record_temporary_file(&mut self, now: Timestamp, name: &str) {
        self.files.entry(name.to_owned()).or_insert(TrackedFile::Damaged { since: now });
    }

    /// Removes all files from the table but these.
    pub fn retain_listed(&mut self, names: &BTreeSet<String>) {
        self.files.retain(|name, _| names.contains(name));
    }

    /// Notes that the own file was written after everything that was read had been merged.
    pub fn record_own_write(&mut self) {
        for tracked in self.files.values_mut() {
            if let TrackedFile::Peer { is_merged, .. } = tracked {
                *is_merged = true;
            }
        }
    }

    /// The other processes that are alive.
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

    /// The highest generation of any process whose file was read, alive or dead; 0 without one.
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
