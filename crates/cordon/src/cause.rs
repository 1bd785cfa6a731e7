//! Who keeps a target cordoned, and the registers of all causes on one target.

use crate::cordon_record::CordonEntry;
use crate::error::CordonError;
use crate::limits::MAX_LEASE;
use crate::Timestamp;
use std::collections::BTreeMap;
use std::fmt;

/// Who keeps a target cordoned. Causes are independent: ending one leaves the others active.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The operator: one cause, however many calls.
    Operator,
    /// A permit that the fleet agreed on.
    Fleet {
        /// The permit's number.
        permit: u64,
    },
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Operator => formatter.write_str("operator"),
            Cause::Fleet { permit } => write!(formatter, "fleet permit {permit}"),
        }
    }
}

/// A request to cordon a target: for which cause, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonRequest {
    /// The operator's: until it is uncordoned.
    Operator,
    /// The fleet's: until it is uncordoned or the lease expires.
    Fleet {
        /// The permit's number.
        permit: u64,
        /// When the lease expires; a later request with the same permit replaces it.
        lease_expires_at: Timestamp,
    },
}

impl CordonRequest {
    /// The cause that the request activates.
    pub fn cause(self) -> Cause {
        match self {
            CordonRequest::Operator => Cause::Operator,
            CordonRequest::Fleet { permit, .. } => Cause::Fleet { permit },
        }
    }

    /// When the cordon ends by itself.
    pub fn lease_expires_at(self) -> Option<Timestamp> {
        match self {
            CordonRequest::Operator => None,
            CordonRequest::Fleet { lease_expires_at, .. } => Some(lease_expires_at),
        }
    }

    pub(crate) fn validate_lease(self, now: Timestamp) -> Result<(), CordonError> {
        match self.lease_expires_at() {
            Some(expiry) if expiry <= now || expiry - now > MAX_LEASE => Err(CordonError::InvalidLease),
            _ => Ok(()),
        }
    }
}

/// The register of one cause, and whether its lease is known to have expired. An expired entry is kept unchanged until
/// it has aged: otherwise an older entry with a longer lease would win over it.
#[derive(Clone, Debug)]
pub(crate) struct CauseState {
    pub(crate) entry: CordonEntry,
    pub(crate) is_lease_expired: bool,
}

impl CauseState {
    pub(crate) fn new(now: Timestamp, entry: CordonEntry) -> CauseState {
        let is_lease_expired = entry.lease_expires_at.is_some_and(|expiry| expiry <= now);
        CauseState { entry, is_lease_expired }
    }

    /// Whether this cause keeps its target cordoned.
    pub(crate) fn is_active(&self) -> bool {
        self.entry.cordoned && !self.is_lease_expired
    }

    /// Since when the cause is inactive, by the clock of whoever made the call.
    pub(crate) fn inactive_since(&self) -> Timestamp {
        let changed_at = self.entry.changed_at;
        self.entry.lease_expires_at.unwrap_or(changed_at).max(changed_at)
    }
}

/// The registers of one target, by cause.
#[derive(Clone, Debug, Default)]
pub(crate) struct CauseMap(pub(crate) BTreeMap<Cause, CauseState>);

impl CauseMap {
    /// A cause that is active, the operator first.
    pub(crate) fn first_active(&self) -> Option<Cause> {
        self.0.iter().find(|(_, state)| state.is_active()).map(|(cause, _)| *cause)
    }

    pub(crate) fn is_any_active(&self) -> bool {
        self.first_active().is_some()
    }

    pub(crate) fn is_active(&self, cause: Cause) -> bool {
        self.0.get(&cause).is_some_and(CauseState::is_active)
    }
}
