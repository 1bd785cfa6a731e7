//! Bounds of what is kept, and what happens at each.

use crate::TimeDelta;

/// Longest reason kept with a ban, in bytes. A longer one is cut at a character's end, not refused: an operator in
/// a hurry gets the ban, and the log line gets the beginning.
pub const WHY_MOST: usize = 64;

/// The word of a cause that no longer holds is kept for so long after its call. It is there to beat an older ban in
/// another process, and two processes live side by side for some seconds, in an upgrade that hangs for minutes.
pub const TOMBSTONE_KEPT: TimeDelta = TimeDelta::from_micros(600_000_000);

/// Longest lease of the fleet's, counted from the call. A permit is for one engine's restart; what is longer is a
/// wrong unit (milliseconds for microseconds), and would hold the engine out for good.
pub const LEASE_MOST: TimeDelta = TimeDelta::from_micros(86_400_000_000);

/// Highest version that is believed. Versions are Unix microseconds, some 2^51 today; what is higher is damage, and
/// taking it would leave no room for a newer call.
pub const VERSION_MOST: u64 = 1 << 62;

/// How much is kept. Each bound has its counter in [`crate::Counters`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Ids ever listed that are remembered (16,384, far over what a list names in a day's releases). At the bound
    /// the id that was unlisted longest ago is forgotten: a call on it is refused as never listed. Ids that are
    /// listed now or banned are never forgotten; where they alone fill the bound a new id is not noted.
    pub ids: usize,
    /// Bans in force, over all targets and causes (1,024: a whole fleet of engines, with room). At the bound a
    /// further call out is refused with [`crate::Refused::TooMany`]; repeats of one that holds are taken.
    pub bans: usize,
    /// Bytes of the ids of the bans in force (32 KiB), so that all of them fit into one file of the handover's. The
    /// same happens at the bound.
    pub ban_bytes: usize,
    /// Words of causes that hold no longer (512). At the bound the one with the lowest version is forgotten: an older
    /// ban of a process that has not heard of the call back in all that time would come in again, on the safe side.
    pub tombstones: usize,
    /// Bytes of their ids (16 KiB). The same happens at the bound.
    pub tombstone_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { ids: 16_384, bans: 1_024, ban_bytes: 32 << 10, tombstones: 512, tombstone_bytes: 16 << 10 }
    }
}
