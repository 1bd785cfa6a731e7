//! Results of calls, of expiry and of merges.

use crate::cause::Cause;
use crate::target::Target;

/// Effect of an accepted call on its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonOutcome {
    /// The target was in service and is now cordoned.
    Cordoned,
    /// The target was cordoned already, by this cause or another cause; this cause is now active, too.
    AlreadyCordoned,
    /// The target was cordoned and is now in service.
    Uncordoned,
    /// The target was not cordoned. The call is recorded nevertheless, since another process may hold an
    /// older cordon.
    NotCordoned,
    /// The cause of the call is no longer active, but another cause keeps the target cordoned.
    StillCordoned {
        /// An active cause: the operator if active, else the permit with the lowest identifier.
        cause: Cause,
    },
}

/// A target that was cordoned or uncordoned without a call at this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChange {
    /// The target that changed.
    pub target: Target,
    /// [`CordonOutcome::Cordoned`], [`CordonOutcome::Uncordoned`], or, where a lease expired and another
    /// cause is active, [`CordonOutcome::StillCordoned`].
    pub outcome: CordonOutcome,
}

/// Result of a merge of another process's records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// Targets that were cordoned or uncordoned by the merge.
    pub changes: Vec<TargetChange>,
    /// Number of records not merged because the bound on active cordons is reached. The cordons in these
    /// records are not in force at this process.
    pub over_limit: usize,
    /// Number of records not merged because they are malformed.
    pub malformed: usize,
}
