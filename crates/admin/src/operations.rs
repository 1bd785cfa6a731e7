//! What the admin address needs of the program.

/// The program, as admin requests see it. All methods are called on the loop that serves requests and must return at
/// once: they must not wait, compute at length or read from outside.
pub trait Operations {
    /// Whether this process can serve.
    fn is_healthy(&self) -> bool;

    /// The metrics, a line each; beyond [`crate::MAX_RESPONSE_BYTES`] the response is 500.
    fn stats(&self) -> String;

    /// Takes an engine out of use until it is uncordoned.
    ///
    /// # Errors
    /// An engine that is unknown, or a cordon that cannot be recorded.
    fn cordon(&self, target: &str) -> Result<OperationOutcome, OperationError>;

    /// Puts an engine back into use.
    ///
    /// # Errors
    /// An engine that is unknown, or a change that cannot be recorded.
    fn uncordon(&self, target: &str) -> Result<OperationOutcome, OperationError>;

    /// A limit of the admin address was reached; called once each time, for counters.
    fn on_limit_reached(&self, _limit: LimitReached) {}
}

/// What an operation did. Both are a success: requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationOutcome {
    /// It changed something.
    Changed,
    /// The state was as requested already.
    Unchanged,
}

/// Why an operation was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperationError {
    /// No engine of this id was ever listed: 404.
    #[error("target: no engine of this id was ever listed")]
    Unknown,
    /// It cannot be done now: 503. The reason goes to the client.
    #[error("{0}")]
    Unavailable(String),
}

/// A limit of the admin address that a client reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitReached {
    /// All slots were taken: a connection was evicted.
    Evicted,
    /// A request was incomplete when its time was over.
    RequestTimeout,
    /// A client did not read its response in time.
    ResponseTimeout,
    /// The head or body of a request was too long.
    RequestTooLong,
    /// Bytes were no request.
    Malformed,
    /// The kernel had no descriptor or memory for a new connection.
    OutOfDescriptors,
}

impl LimitReached {
    /// All of them, for registering counters at the start.
    pub const ALL: [LimitReached; 6] = [
        LimitReached::Evicted,
        LimitReached::RequestTimeout,
        LimitReached::ResponseTimeout,
        LimitReached::RequestTooLong,
        LimitReached::Malformed,
        LimitReached::OutOfDescriptors,
    ];

    /// The counter's name on `/admin/stats`, behind `edge.`.
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
