//! Errors of calls and of records from another process.

use thiserror::Error;

/// Reason for which a call was rejected. The cordons are unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CordonError {
    /// No endpoint list ever named the engine, or the last one did so long ago that its id was evicted
    /// ([`crate::CordonLimits::max_known_ids`]).
    #[error("never listed")]
    NeverListed,
    /// The bound on active cordons is reached ([`crate::CordonLimits::max_cordons`],
    /// [`crate::CordonLimits::max_cordon_id_bytes`]).
    #[error("too many bans")]
    TooManyCordons,
    /// The engine id is empty, longer than [`crate::MAX_ENGINE_ID_BYTES`], or holds control characters.
    #[error("invalid engine id: expected 1 to 256 bytes without control characters")]
    InvalidTarget,
    /// The lease has already expired, or is longer than [`crate::MAX_LEASE`].
    #[error("the lease has ended, or is longer than a day")]
    InvalidLease,
}

/// Reason for which a record from another process is malformed. Each message begins with the name of the
/// field in the hot-restart state file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The target's engine id is empty, too long, or holds control characters.
    #[error("target: expected 1 to 256 bytes without control characters")]
    Target(#[source] CordonError),
    /// The version is above [`crate::MAX_VERSION`].
    #[error("version: expected at most 2^62")]
    Version,
    /// The reason is longer than [`crate::MAX_REASON_BYTES`], or holds control characters.
    #[error("why: expected at most 64 bytes without control characters")]
    Reason,
    /// An active cordon of the fleet has no lease.
    #[error("until: missing, a fleet cordon requires a lease")]
    MissingLease,
    /// An entry that cannot have a lease has one: an operator's entry, or an entry that ends a cordon.
    #[error("until: unexpected, only an active fleet cordon has a lease")]
    UnexpectedLease,
}
