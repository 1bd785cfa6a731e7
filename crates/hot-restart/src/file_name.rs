//! Names of state files: `sprucelink.INSTANCE.PID-START.handover`.
//!
//! The name identifies the writer without opening the file: a folder shared by many managers (on a test rig)
//! contains hundreds of files, and each process opens only those of its own instance. The start time
//! distinguishes processes with the same pid: the first process of a container has the same pid at each
//! start.

use crate::state::{Instance, Process};
use crate::Timestamp;
use sprucelink_stable_hash::stable_hash;

#[cfg(test)]
mod tests;

/// Maximum number of directory entries that one listing reads; files beyond it are ignored. A private folder
/// contains a dozen entries.
pub const MAX_LISTED_ENTRIES: usize = 4_096;

/// Prefix of every state file's name.
const PREFIX: &str = "sprucelink.";
/// Suffix of every complete state file's name.
const SUFFIX: &str = ".handover";
/// Suffix appended to the name while a file is being written.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// The parts of a file's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateFileName {
    /// Low 32 bits of a hash of the instance's name and listen address.
    pub instance_hash: u32,
    /// Process id of the writer.
    pub pid: u32,
    /// Start time of the writer.
    pub started_at: Timestamp,
    /// Whether the file is still being written, or its writer died during the write.
    pub is_temporary: bool,
}

impl StateFileName {
    /// The parts of the name of a process's complete file.
    pub fn new(instance: &Instance, process: &Process) -> StateFileName {
        let hash = stable_hash(&[instance.name.as_bytes(), instance.listen.as_bytes()]);
        StateFileName {
            instance_hash: hash as u32,
            pid: process.pid,
            started_at: process.started_at,
            is_temporary: false,
        }
    }

    /// Parses a name; `None` if it is not the name of a state file.
    pub fn parse(name: &str) -> Option<StateFileName> {
        let (final_name, is_temporary) = match name.strip_suffix(TEMPORARY_SUFFIX) {
            Some(stripped) => (stripped, true),
            None => (name, false),
        };
        let parts = final_name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
        let (instance, process) = parts.split_once('.')?;
        let (pid, started_at) = process.split_once('-')?;
        let parsed = StateFileName {
            instance_hash: u32::from_str_radix(instance, 16).ok()?,
            pid: pid.parse().ok()?,
            started_at: Timestamp::from_micros(started_at.parse().ok()?),
            is_temporary,
        };
        // Rejects alternative spellings of a number ("+7", "007"), so that each file has exactly one name.
        (parsed.to_string() == final_name).then_some(parsed)
    }

    /// The temporary name of a file while it is being written.
    pub(crate) fn temporary(name: &str) -> String {
        format!("{name}{TEMPORARY_SUFFIX}")
    }
}

impl std::fmt::Display for StateFileName {
    /// The name of the complete file.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let started_at = self.started_at.as_micros();
        write!(formatter, "{PREFIX}{:08x}.{}-{started_at}{SUFFIX}", self.instance_hash, self.pid)
    }
}
