//! Counters, for metrics and log lines.

/// Events since the start of the process; every bound that takes effect has a counter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CordonCounters {
    /// Requests to cordon that were accepted.
    pub cordons: u64,
    /// Requests to uncordon that were accepted.
    pub uncordons: u64,
    /// Requests rejected: [`crate::CordonError::NeverListed`].
    pub never_listed: u64,
    /// Requests rejected: [`crate::CordonError::TooManyCordons`].
    pub too_many_cordons: u64,
    /// Requests rejected: [`crate::CordonError::InvalidTarget`].
    pub invalid_target: u64,
    /// Requests rejected: [`crate::CordonError::InvalidLease`].
    pub invalid_lease: u64,
    /// Leases that expired while their cause was active.
    pub leases_expired: u64,
    /// Records of another process that replaced an older entry or added one.
    pub records_merged: u64,
    /// Records of another process not merged because the bound on active cordons was reached.
    pub merge_over_limit: u64,
    /// Records of another process not merged because they are malformed.
    pub merge_malformed: u64,
    /// Tombstones evicted before their retention time because of their bound.
    pub tombstones_evicted: u64,
    /// Engine ids evicted because of their bound.
    pub ids_evicted: u64,
    /// Engine ids not recorded because listed and cordoned ids fill the bound.
    pub ids_over_limit: u64,
}
