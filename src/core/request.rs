//! A request as a front submits it, and its final response.

use super::buffer_pool::{Buffer, BUFFER_BYTES};
use super::result_buffer::ResultSet;
use sprucelink_policy::TimeDelta;

/// Longest statement, in bytes: the command that carries it must fit one buffer.
pub const MAX_STATEMENT_BYTES: usize = BUFFER_BYTES - 2_048;

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// There is more work than can be done in time.
    Overloaded,
    /// The client's deadline has passed, or is too close.
    DeadlineExceeded,
    /// The engine answered with an error.
    EngineError,
    /// The connection to the engine broke.
    ConnectionLost,
    /// No engine could be reached.
    Unreachable,
}

/// The final response to a request.
#[derive(Debug)]
pub enum Response {
    /// Served.
    Served(ResultSet),
    /// Rejected before any attempt could run: a retry is harmless.
    Rejected {
        /// Why.
        reason: RejectReason,
        /// When the client should retry.
        retry_after: TimeDelta,
    },
    /// Failed: an attempt may have run.
    Failed {
        /// Why.
        reason: RejectReason,
        /// When the client should retry.
        retry_after: TimeDelta,
    },
}

/// What the policy needs to know of a request.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The id, unique among pending requests.
    pub id: u64,
    /// The class, by number.
    pub class: usize,
    /// The tenant, by number.
    pub tenant: usize,
    /// The group of tables that it reads or writes.
    pub tables: u64,
    /// How long the client still waits.
    pub time_left: TimeDelta,
    /// Estimated work in milliseconds on one core.
    pub cost_ms: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
}

/// A request that a front submits.
#[derive(Debug)]
pub struct Request {
    /// What the policy decides on.
    pub spec: RequestSpec,
    /// The class, by name.
    pub class_name: String,
    /// The idempotency key, for classes that have one.
    pub idempotency_key: Option<String>,
    /// The statement; at most [`MAX_STATEMENT_BYTES`].
    pub statement: Buffer,
}
