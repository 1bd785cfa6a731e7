//! Reasons why sessions end, which are counted and logged.

use crate::core::invariants::Invariant;
use crate::core::Core;
use crate::proto::pg::ErrorResponse;
use sprucelink_metrics::{Counter, Metrics};
use std::collections::BTreeMap;
use std::io;
use tracing::debug;

/// Reason why a session ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SessionEndReason {
    /// The client closed its side, or sent Terminate.
    ClientClosed,
    /// Reading from the client or writing to it failed.
    ConnectionFailed,
    /// The session's slot was needed, or a hot restart closes idle sessions.
    Evicted,
    /// The process stops.
    Stopping,
    /// A message could not be read.
    Malformed,
    /// A message was not complete in time.
    TimedOut,
    /// The client sent more than may be buffered.
    Overrun,
}

impl SessionEndReason {
    /// All reasons, for registering their counters.
    const ALL: [SessionEndReason; 7] = [
        SessionEndReason::ClientClosed,
        SessionEndReason::ConnectionFailed,
        SessionEndReason::Evicted,
        SessionEndReason::Stopping,
        SessionEndReason::Malformed,
        SessionEndReason::TimedOut,
        SessionEndReason::Overrun,
    ];

    /// Name of the reason's counter, rendered as `edge.NAME`.
    fn counter_name(self) -> &'static str {
        match self {
            SessionEndReason::ClientClosed => "sessions.ended.client_closed",
            SessionEndReason::ConnectionFailed => "sessions.ended.connection_failed",
            SessionEndReason::Evicted => "sessions.ended.evicted",
            SessionEndReason::Stopping => "sessions.ended.stopping",
            SessionEndReason::Malformed => "sessions.ended.malformed",
            SessionEndReason::TimedOut => "sessions.ended.timed_out",
            SessionEndReason::Overrun => "sessions.ended.overrun",
        }
    }
}

/// Why a session ends, and its final error.
#[derive(Debug)]
pub(super) struct SessionEnd {
    /// Reason why the session ends.
    pub(super) reason: SessionEndReason,
    /// The final error for the client, if there is one.
    pub(super) error: Option<ErrorResponse>,
}

impl SessionEnd {
    /// Creates the end of a session without a final error.
    pub(super) fn silent(reason: SessionEndReason) -> SessionEnd {
        SessionEnd { reason, error: None }
    }

    /// Creates the end of a session with a final error.
    pub(super) fn with_error(reason: SessionEndReason, error: ErrorResponse) -> SessionEnd {
        SessionEnd { reason, error: Some(error) }
    }
}

/// Counts the ends of sessions by reason.
pub(super) struct SessionEndCounters(BTreeMap<SessionEndReason, Counter>);

impl SessionEndCounters {
    /// Creates one counter per reason in `metrics`.
    pub(super) fn new(metrics: &Metrics) -> SessionEndCounters {
        let counter = |reason: &SessionEndReason| {
            let counter = metrics.counter(reason.counter_name());
            (*reason, counter.unwrap_or_else(|_| Counter::noop()))
        };
        SessionEndCounters(SessionEndReason::ALL.iter().map(counter).collect())
    }

    /// Counts and logs the end of a session.
    pub(super) fn record(&self, process_id: u32, reason: SessionEndReason) {
        if let Some(counter) = self.0.get(&reason) {
            counter.increment(1);
        }
        debug!(session = process_id, ?reason, "session ended");
    }
}

/// Checks that a session with an open request fails only if its client is unreachable, and otherwise records
/// a violation of [`Invariant::ClosedUnanswered`].
pub(super) fn check_request_end(core: &Core, process_id: u32, error: &io::Error) {
    if !is_client_unreachable(error) {
        let detail = format!("session {process_id}: {error}");
        core.record_violation(Invariant::ClosedUnanswered, &detail);
    }
}

/// Whether the error shows that no answer can reach the client any more.
fn is_client_unreachable(error: &io::Error) -> bool {
    use io::ErrorKind::{
        BrokenPipe, ConnectionAborted, ConnectionReset, HostUnreachable, NetworkUnreachable, NotConnected,
        TimedOut, UnexpectedEof, WriteZero,
    };
    matches!(
        error.kind(),
        BrokenPipe
            | ConnectionAborted
            | ConnectionReset
            | HostUnreachable
            | NetworkUnreachable
            | NotConnected
            | TimedOut
            | UnexpectedEof
            | WriteZero
    )
}
