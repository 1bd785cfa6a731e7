//! What calls, expiry and merges changed.

use crate::cause::Cause;
use crate::target::Target;

/// What an accepted call did to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonOutcome {
    /// The target was in service and is now cordoned.
    Cordoned,
    /// It was cordoned already, by this cause or another; this cause is active, too.
    AlreadyCordoned,
    /// It was cordoned and is now in service.
    Uncordoned,
    /// It was not cordoned. The call is recorded all the same: another process may hold an older cordon.
    NotCordoned,
    /// This cause is no longer active, but another is.
    StillCordoned {
        /// One that is: the operator first, then the permit with the lowest number.
        cause: Cause,
    },
}

/// A target that was cordoned or uncordoned without a call at this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChange {
    /// Which.
    pub target: Target,
    /// [`CordonOutcome::Cordoned`], [`CordonOutcome::Uncordoned`], or, where a lease expired and another cause is active,
    /// [`CordonOutcome::StillCordoned`].
    pub outcome: CordonOutcome,
}

/// What a merge of another process's records did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// Targets that were cordoned or uncordoned by it.
    pub changes: Vec<TargetChange>,
    /// Records left out because the bound on active cordons is reached. Those cordons are not in force here.
    pub over_limit: usize,
    /// Records left out as malformed.
    pub malformed: usize,
}
