//! Who keeps a target cordoned, and the request that makes them do so.

use crate::error::CordonError;
use crate::limits::MAX_LEASE;
use crate::Timestamp;
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
