//! The registers of all causes on one target.

use crate::cause::Cause;
use crate::cordon_record::CordonEntry;
use crate::Timestamp;
use std::collections::BTreeMap;

/// The register of one cause on one target: the entry of the last call, and whether its lease was found to
/// have expired. An expired entry is retained unchanged for the retention time of tombstones: without it, an
/// older entry with a longer lease would become active again.
#[derive(Clone, Debug)]
pub(crate) struct CauseState {
    entry: CordonEntry,
    is_lease_expired: bool,
}

impl CauseState {
    pub(crate) fn new(now: Timestamp, entry: CordonEntry) -> CauseState {
        let is_lease_expired = entry.lease_expires_at.is_some_and(|expiry| expiry <= now);
        CauseState { entry, is_lease_expired }
    }

    /// A copy of this register whose lease counts as expired.
    pub(crate) fn with_expired_lease(&self) -> CauseState {
        CauseState { entry: self.entry.clone(), is_lease_expired: true }
    }

    /// The entry of the last call of the cause on the target.
    pub(crate) fn entry(&self) -> &CordonEntry {
        &self.entry
    }

    /// Whether the lease has expired at `now` but the cause is still active, because the expiry was not
    /// processed yet.
    pub(crate) fn is_lease_due(&self, now: Timestamp) -> bool {
        self.is_active() && self.entry.lease_expires_at.is_some_and(|expiry| expiry <= now)
    }

    /// Whether this cause keeps its target cordoned.
    pub(crate) fn is_active(&self) -> bool {
        self.entry.cordoned && !self.is_lease_expired
    }

    /// Time since which an inactive cause is inactive: the end of its lease, or the time of the call that
    /// ended it, by the clock of the process that received the call.
    pub(crate) fn inactive_since(&self) -> Timestamp {
        let changed_at = self.entry.changed_at;
        self.entry.lease_expires_at.unwrap_or(changed_at).max(changed_at)
    }
}

/// The registers of one target, by cause.
#[derive(Clone, Debug, Default)]
pub(crate) struct CauseMap(BTreeMap<Cause, CauseState>);

impl CauseMap {
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Cause, &CauseState)> {
        self.0.iter().map(|(cause, state)| (*cause, state))
    }

    pub(crate) fn get(&self, cause: Cause) -> Option<&CauseState> {
        self.0.get(&cause)
    }

    pub(crate) fn insert(&mut self, cause: Cause, state: CauseState) -> Option<CauseState> {
        self.0.insert(cause, state)
    }

    pub(crate) fn remove(&mut self, cause: Cause) -> Option<CauseState> {
        self.0.remove(&cause)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The first active cause: the operator if active, else the permit with the lowest identifier.
    pub(crate) fn first_active(&self) -> Option<Cause> {
        self.0.iter().find(|(_, state)| state.is_active()).map(|(cause, _)| *cause)
    }

    pub(crate) fn is_any_active(&self) -> bool {
        self.first_active().is_some()
    }
}
