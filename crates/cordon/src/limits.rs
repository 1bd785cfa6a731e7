//! Bounds on the retained state, and the behaviour at each bound.

use crate::TimeDelta;

/// Longest reason retained with a cordon, in bytes. A longer reason is truncated at a character boundary, not
/// rejected: an operator in a hurry gets the cordon, and the log line holds the beginning of the reason.
pub const MAX_REASON_BYTES: usize = 64;

/// Time for which the entry of an inactive cause (a tombstone) is retained after the cause became inactive:
/// ten minutes. A tombstone wins over an older cordon in another process; two processes coexist for some
/// seconds, or for minutes in a hot restart that hangs.
pub const TOMBSTONE_RETENTION: TimeDelta = TimeDelta::from_secs(600);

/// Longest lease of the fleet's cordons, counted from the call: one day. A permit covers one engine's
/// restart; a longer lease is a wrong unit (milliseconds for microseconds) and would keep the engine cordoned
/// indefinitely.
pub const MAX_LEASE: TimeDelta = TimeDelta::from_secs(86_400);

/// Highest version that is accepted. Versions are Unix times in microseconds, about 2^51 today. A version
/// above the bound is corrupt, and accepting it would leave no room for newer calls.
pub const MAX_VERSION: u64 = 1 << 62;

/// Bounds on the retained state. Each bound has its counter in [`crate::CordonCounters`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CordonLimits {
    /// Remembered engine ids that were ever listed (16,384, far more than a list names in a day's releases).
    /// At the bound the id that was unlisted longest ago is evicted: a call on it is rejected as never
    /// listed. Ids that are listed now or cordoned are never evicted; if they alone fill the bound, a new id
    /// is not recorded.
    pub max_known_ids: usize,
    /// Active cordons, over all targets and causes (1,024: a whole fleet of engines, with headroom). At the
    /// bound a further request is rejected with [`crate::CordonError::TooManyCordons`]; repeats of an active
    /// cordon are accepted.
    pub max_cordons: usize,
    /// Bytes of the engine ids of active cordons (32 KiB), so that all of them fit into one hot-restart state
    /// file. At the bound a further request is rejected in the same way.
    pub max_cordon_id_bytes: usize,
    /// Entries of inactive causes (512). At the bound the entry with the lowest version is evicted: an older
    /// cordon of a process that has not merged the uncordon in all that time would become active again, which
    /// is the safe direction.
    pub max_tombstones: usize,
    /// Bytes of the engine ids of inactive causes (16 KiB). At the bound the entry with the lowest version is
    /// evicted, too.
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
