//! The engines' protocol: the names of commands, and the fields of the command that sends a query.

use std::fmt;

/// Command that sends a query, with its [`QueryFields`] and its statement.
pub const QUERY: &[u8] = b"do";
/// Command that cancels an attempt that is not served yet.
pub const CANCEL: &[u8] = b"undo";
/// Command that releases the result of a served attempt at its engine.
pub const RELEASE_RESULT: &[u8] = b"forget";
/// Command that requests a further page of a result.
pub const PAGE: &[u8] = b"page";
/// Command that sets the priority level of an attempt.
pub const SET_PRIORITY: &[u8] = b"bump";

/// Names of the fields of a query on the wire.
mod field {
    /// Name of the request's class.
    pub(super) const CLASS: &str = "class";
    /// How long the client still waits, in milliseconds.
    pub(super) const TIME_LEFT_MS: &str = "wait";
    /// The idempotency key.
    pub(super) const IDEMPOTENCY_KEY: &str = "once";
    /// Memory that the query may use, in MB.
    pub(super) const MEMORY_GRANT_MB: &str = "mb";
    /// The priority level, from 0 (lowest) to 3.
    pub(super) const PRIORITY: &str = "nice";
}

/// The fields of a query, written as `name=value,name=value`.
#[derive(Clone, Debug)]
pub struct QueryFields<'a> {
    /// Name of the request's class.
    pub class: &'a str,
    /// How long the client still waits, in milliseconds; written as at least 1.
    pub time_left_ms: i64,
    /// The idempotency key, for classes that carry one.
    pub idempotency_key: Option<&'a str>,
    /// The memory that is granted, in MB, rounded up to a whole number of at least 1; `None` if the engine
    /// chooses.
    pub memory_grant_mb: Option<f64>,
    /// The priority level, from 0 (lowest) to 3.
    pub priority: u8,
}

impl fmt::Display for QueryFields<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time_left_ms = self.time_left_ms.max(1);
        write!(formatter, "{}={},{}={time_left_ms}", field::CLASS, self.class, field::TIME_LEFT_MS)?;
        if let Some(key) = self.idempotency_key {
            write!(formatter, ",{}={key}", field::IDEMPOTENCY_KEY)?;
        }
        if let Some(memory_mb) = self.memory_grant_mb {
            write!(formatter, ",{}={}", field::MEMORY_GRANT_MB, memory_mb.ceil().max(1.0))?;
        }
        write!(formatter, ",{}={}", field::PRIORITY, self.priority)
    }
}
