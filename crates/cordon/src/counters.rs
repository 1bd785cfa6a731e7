//! Counters, for figures and log lines.

/// What happened so far; every bound that bit has one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls out that were answered with yes.
    pub cordons: u64,
    /// Calls back that were answered with yes.
    pub uncordons: u64,
    /// Calls refused: never listed.
    pub never_listed: u64,
    /// Calls refused: too many bans.
    pub too_many: u64,
    /// Calls refused: no id that a list could hold.
    pub bad_target: u64,
    /// Calls refused: a lease that has ended, or too long.
    pub bad_lease: u64,
    /// Leases that ended by themselves.
    pub lapsed: u64,
    /// Bans of another process that changed something here.
    pub merged: u64,
    /// Bans of another process that were left out because the bound on bans was reached.
    pub merge_over: u64,
    /// Bans of another process that were left out as malformed.
    pub merge_bad: u64,
    /// Words of causes that hold no longer, forgotten before their age for the bound.
    pub tombstones_forgotten: u64,
    /// Ids forgotten for the bound.
    pub ids_forgotten: u64,
    /// Ids not noted because listed and banned ones fill the bound.
    pub ids_over: u64,
}
