//! The clock that issues the versions of calls.

use crate::Timestamp;

/// A Lamport clock that runs no slower than the Unix clock. [`crate::CordonEntry`] describes the order of
/// versions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LamportClock {
    /// The highest version issued by this process or received from another process.
    highest_version: u64,
}

impl LamportClock {
    /// The version of a call made now: at least the Unix time in microseconds, and above all versions issued
    /// or observed.
    pub(crate) fn next_version(&mut self, now: Timestamp) -> u64 {
        let unix_micros = u64::try_from(now.as_micros()).unwrap_or(0);
        self.highest_version = self.highest_version.saturating_add(1).max(unix_micros);
        self.highest_version
    }

    /// Observes a version that another process issued, so that later versions are higher.
    pub(crate) fn observe(&mut self, version: u64) {
        self.highest_version = self.highest_version.max(version);
    }
}
