//! A request as a front submits it, and its final response. Plain data.

use super::buffer_pool::{Buffer, BUFFER_BYTES};
use super::result_buffer::ResultSet;
use sprucelink_policy::TimeDelta;

/// Longest statement, in bytes: the command that carries it must fit one buffer.
pub const MAX_STATEMENT_BYTES: usize = BUFFER_BYTES - 2_048;

/// Shortest Retry-After. A client that retries sooner would meet the same overload. The admission at warm-up has a bound
/// of the same length for its own rejections (`sprucelink_startup::admission::MIN_RETRY_AFTER`).
pub(super) const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(100);

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// The load is too high for the request to be served in time.
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
    /// Rejected: a retry by the client does no harm. An attempt may have run if the class is idempotent.
    Rejected {
        /// Why.
        reason: UnservedReason,
        /// When the client should retry.
        retry_after: TimeDelta,
    },
    /// Failed: an attempt may have run, and a retry by the client may run it twice. The response that the core gives by
    /// itself at the deadline is of this kind always, the one at a shutdown by `shutdown_response`.
    Failed {
        /// Why.
        reason: UnservedReason,
        /// When the client should retry.
        retry_after: TimeDelta,
    },
}

/// The attributes of a request that the policy decides on.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The id, unique among pending requests.
    pub id: u64,
    /// The index of the class.
    pub class: usize,
    /// The index of the tenant.
    pub tenant: usize,
    /// The identifier of the set of tables that it reads or writes.
    pub tables: u64,
    /// Time until the client stops waiting.
    pub time_left: TimeDelta,
    /// Estimated work, in milliseconds on one core.
    pub cost_ms: Option<f64>,
    /// Estimated memory, in MB.
    pub memory_mb: Option<f64>,
}

/// A request that a front submits.
#[derive(Debug)]
pub struct Request {
    /// The attributes that the policy decides on.
    pub spec: RequestSpec,
    /// The class, by name.
    pub class_name: String,
    /// The idempotency key, for classes that have one.
    pub idempotency_key: Option<String>,
    /// The statement; at most [`MAX_STATEMENT_BYTES`].
    pub statement: Buffer,
}

/// A request's id as written in the engines' protocol and in the log: 16 hexadecimal digits.
pub(super) fn format_request_id(id: u64) -> String {
    format!("{id:016x}")
}
