//! The causes that keep a target cordoned, and the requests that activate them.

use crate::error::CordonError;
use crate::limits::MAX_LEASE;
use crate::Timestamp;
use std::fmt;

/// A cause that keeps a target cordoned. Causes are independent: ending one leaves the others active.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// An operator's call. Any number of operator calls on a target counts as one cause.
    Operator,
    /// A permit in the fleet's replicated log, on which the managers agreed.
    Fleet {
        /// Identifier of the permit; each permit is a separate cause.
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

/// A request to cordon a target for a cause, until it is uncordoned or a lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonRequest {
    /// A request of the operator: the target stays cordoned until it is uncordoned.
    Operator,
    /// A request of the fleet: the target stays cordoned until it is uncordoned or the lease expires.
    Fleet {
        /// Identifier of the permit.
        permit: u64,
        /// Time at which the lease expires, at most [`MAX_LEASE`] after the call. A later request with the
        /// same permit replaces this lease.
        lease_expires_at: Timestamp,
    },
}

impl CordonRequest {
    /// The cause that is active once the request is accepted.
    pub fn cause(self) -> Cause {
        match self {
            CordonRequest::Operator => Cause::Operator,
            CordonRequest::Fleet { permit, .. } => Cause::Fleet { permit },
        }
    }

    /// Time at which the lease expires; `None` for the operator, whose cordons have no lease.
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
