//! Errors of calls and of records from another process.

use thiserror::Error;

/// Why a call was rejected; the state is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CordonError {
    /// No endpoint list ever named the engine, or so long ago that its id was evicted
    /// ([`crate::CordonLimits::max_known_ids`]).
    #[error("never listed")]
    NeverListed,
    /// The bound on active cordons is reached ([`crate::CordonLimits::max_cordons`],
    /// [`crate::CordonLimits::max_cordon_id_bytes`]).
    #[error("too many bans")]
    TooManyCordons,
    /// The engine id is empty, longer than [`crate::MAX_ENGINE_ID_BYTES`], or holds control characters.
    #[error("an id has 1 to 256 bytes and no control characters")]
    InvalidTarget,
    /// The lease has already expired, or is longer than [`crate::MAX_LEASE`].
    #[error("the lease has ended, or is longer than a day")]
    InvalidLease,
}

/// Why a record from another process is malformed. Each message begins with the field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// No call could name this target.
    #[error("target: empty, too long, or with control characters")]
    Target(#[source] CordonError),
    /// Above [`crate::MAX_VERSION`].
    #[error("version: higher than any clock gives")]
    Version,
    /// Longer than [`crate::MAX_REASON_BYTES`], or with control characters.
    #[error("why: too long, or with control characters")]
    Reason,
    /// The fleet's active cordon has no lease.
    #[error("until: a fleet's ban has a lease")]
    MissingLease,
    /// A lease where there can be none: on an operator's entry, or on one that ends a cordon.
    #[error("until: only a fleet's ban has a lease")]
    UnexpectedLease,
}
