//! Operations that the program implements for the admin address.

/// The operations of the admin address. All methods are called on the event loop that serves requests, so
/// they must return at once: they must not block, compute at length or wait for input.
pub trait Operations {
    /// Whether this process can serve; the response to a health check is 200 or 503.
    fn is_healthy(&self) -> bool;

    /// The metrics, one line per metric; above [`crate::MAX_RESPONSE_BYTES`] the response is 500.
    fn stats(&self) -> String;

    /// Takes the engine with the id `target` out of use until it is uncordoned.
    ///
    /// # Errors
    /// If the engine is unknown, or the cordon cannot be recorded.
    fn cordon(&self, target: &str) -> Result<OperationOutcome, OperationError>;

    /// Puts the engine with the id `target` back into use.
    ///
    /// # Errors
    /// If the engine is unknown, or the end of the cordon cannot be recorded.
    fn uncordon(&self, target: &str) -> Result<OperationOutcome, OperationError>;

    /// Called each time a client reaches a limit of the admin address; the program counts the calls.
    fn on_limit_reached(&self, _limit: LimitReached) {}
}

/// Result of a successful operation. Both variants are a success, so that requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// The operation changed the state.
    Changed,
    /// The state was already as requested.
    Unchanged,
}

/// Reason why an operation was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperationError {
    /// No engine with this id was ever listed; the response is 404.
    #[error("target: no engine of this id was ever listed")]
    Unknown,
    /// The operation is not possible now; the response is 503 and contains the reason.
    #[error("{0}")]
    Unavailable(String),
}

/// A limit of the admin address that a client reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitReached {
    /// All slots were taken: a connection was evicted.
    Evicted,
    /// A request was incomplete at its timeout.
    RequestTimeout,
    /// A client did not read its response in time.
    ResponseTimeout,
    /// The head or body of a request was too long.
    RequestTooLong,
    /// A client sent bytes that are not a valid request.
    Malformed,
    /// The kernel had no descriptor or memory for a new connection.
    OutOfDescriptors,
}

impl LimitReached {
    /// All limits, for registering their counters at startup.
    pub const ALL: [LimitReached; 6] = [
        LimitReached::Evicted,
        LimitReached::RequestTimeout,
        LimitReached::ResponseTimeout,
        LimitReached::RequestTooLong,
        LimitReached::Malformed,
        LimitReached::OutOfDescriptors,
    ];

    /// Name of the limit's counter on `/admin/stats`, without the prefix `edge.`.
    pub fn counter_name(self) -> &'static str {
        match self {
            LimitReached::Evicted => "admin.displaced",
            LimitReached::RequestTimeout => "admin.call_late",
            LimitReached::ResponseTimeout => "admin.answer_late",
            LimitReached::RequestTooLong => "admin.too_long",
            LimitReached::Malformed => "admin.malformed",
            LimitReached::OutOfDescriptors => "admin.starved",
        }
    }
}
