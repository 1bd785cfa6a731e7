//! Bounds on the retained state, and the behaviour at each bound.

use crate::TimeDelta;

/// Longest reason retained with a cordon, in bytes. A longer reason is truncated at a character boundary and
/// not rejected: an operator in a hurry gets the cordon, and the log line holds the beginning of the reason.
pub const MAX_REASON_BYTES: usize = 64;

/// Time for which the entry of an inactive cause (a tombstone) is retained after the cause became inactive:
/// ten minutes. A tombstone wins over an older cordon of another process. During a hot restart two processes
/// coexist for some seconds, or for minutes if the hot restart hangs.
pub const TOMBSTONE_RETENTION: TimeDelta = TimeDelta::from_secs(600);

/// Longest lease of the fleet's cordons, counted from the call: one day. A permit covers the restart of one
/// engine, so a longer lease indicates a wrong unit (milliseconds for microseconds) and would keep the engine
/// cordoned practically indefinitely.
pub const MAX_LEASE: TimeDelta = TimeDelta::from_secs(86_400);

/// Highest version that is accepted from another process. Versions are Unix times in microseconds, about 2^51
/// today. A version above the bound is corrupt, and accepting it would leave no room for the versions of
/// newer calls.
pub const MAX_VERSION: u64 = 1 << 62;

/// Bounds on the retained state. Each bound has its counter in [`crate::CordonCounters`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CordonLimits {
    /// Largest number of remembered engine ids that were ever listed (16,384, far more than the lists name
    /// during a day of releases). At the bound the id that was unlisted longest ago is evicted, and a call on
    /// this id is rejected as never listed. Ids that are listed now or cordoned are never evicted; if they
    /// alone fill the bound, a new id is not recorded.
    pub max_known_ids: usize,
    /// Largest number of active cordons, over all targets and causes (1,024: all engines of a fleet, with
    /// headroom). At the bound a further request is rejected with [`crate::CordonError::TooManyCordons`];
    /// repeats of an active cordon are accepted.
    pub max_cordons: usize,
    /// Largest total length of the engine ids of active cordons, in bytes (32 KiB), so that all of these
    /// cordons fit into one hot-restart state file. At the bound a further request is rejected with
    /// [`crate::CordonError::TooManyCordons`].
    pub max_cordon_id_bytes: usize,
    /// Largest number of tombstones, the entries of inactive causes (512). At the bound the entry with the
    /// lowest version is evicted. An older cordon of a process that has not yet merged the evicted uncordon
    /// could then become active again, which is safer than the loss of a cordon.
    pub max_tombstones: usize,
    /// Largest total length of the engine ids of inactive causes, in bytes (16 KiB). At the bound the entry
    /// with the lowest version is evicted.
    pub max_tombstone_id_bytes: usize,
}

impl Default for CordonLimits {
    fn default() -> CordonLimits {
        CordonLimits {
            max_known_ids: 16_384,
            max_cordons: 1_024,
            max_cordon_id_bytes: 32 << 10,
            max_tombstones: 512,
            max_tombstone_id_bytes: 16 << 10,
        }
    }
}
