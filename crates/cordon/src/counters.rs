//! Counters, for metrics and log lines.

/// Numbers of events since the start of the process. Each bound on the state has a counter of the times that
/// it took effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CordonCounters {
    /// Requests to cordon that were accepted.
    pub cordons: u64,
    /// Requests to uncordon that were accepted.
    pub uncordons: u64,
    /// Requests rejected with [`crate::CordonError::NeverListed`].
    pub never_listed: u64,
    /// Requests rejected with [`crate::CordonError::TooManyCordons`].
    pub too_many_cordons: u64,
    /// Requests rejected with [`crate::CordonError::InvalidTarget`].
    pub invalid_target: u64,
    /// Requests rejected with [`crate::CordonError::InvalidLease`].
    pub invalid_lease: u64,
    /// Leases that expired while their cause was active.
    pub leases_expired: u64,
    /// Records of another process that replaced an older entry or added an entry.
    pub records_merged: u64,
    /// Records of another process not merged because the bound on active cordons was reached.
    pub merge_over_limit: u64,
    /// Records of another process not merged because they are malformed.
    pub merge_malformed: u64,
    /// Tombstones evicted before the end of their retention time because of the bound on tombstones.
    pub tombstones_evicted: u64,
    /// Engine ids evicted because of the bound on known ids.
    pub ids_evicted: u64,
    /// Engine ids not recorded because listed and cordoned ids fill the bound on known ids.
    pub ids_over_limit: u64,
}
