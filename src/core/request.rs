//! A request as a front submits it, and its final response. Plain data.

use super::buffer_pool::{Buffer, BUFFER_BYTES};
use super::result_buffer::ResultSet;
use sprucelink_policy::TimeDelta;

/// Longest statement, in bytes: the command that carries it must fit one buffer.
pub const MAX_STATEMENT_BYTES: usize = BUFFER_BYTES - 2_048;

/// Shortest Retry-After. A client that retries sooner would meet the same overload. The admission at warm-up
/// has a bound of the same length for its own rejections (`sprucelink_startup::admission::MIN_RETRY_AFTER`).
pub(super) const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(100);

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// The load is too high for the request to be served in time.
    Overloaded,
    /// The client's deadline has passed or is too close.
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
    /// Served, with the complete result.
    Served(ResultSet),
    /// Rejected: a retry by the client does no harm. An attempt may have run if the class is idempotent.
    Rejected {
        /// Reason why the request was not served.
        reason: UnservedReason,
        /// Delay after which the client should retry.
        retry_after: TimeDelta,
    },
    /// Failed: an attempt may have run, and a retry by the client may run the request twice. The response
    /// that the core itself gives at the deadline is always of this kind; `shutdown_response` chooses the
    /// kind at a shutdown.
    Failed {
        /// Reason why the request was not served.
        reason: UnservedReason,
        /// Delay after which the client should retry.
        retry_after: TimeDelta,
    },
}

/// The attributes of a request that the policy decides on.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Id, unique among pending requests.
    pub id: u64,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// Identifier of the set of tables that the request reads or writes.
    pub tables: u64,
    /// Time from the submission until the client stops waiting.
    pub time_left: TimeDelta,
    /// The client's estimate of the work, in milliseconds on one core; `None` if it gives none.
    pub cost_ms: Option<f64>,
    /// The client's estimate of the memory, in MB; `None` if it gives none.
    pub memory_mb: Option<f64>,
}

/// A request that a front submits.
#[derive(Debug)]
pub struct Request {
    /// The attributes that the policy decides on.
    pub spec: RequestSpec,
    /// Name of the class.
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
