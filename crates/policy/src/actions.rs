//! Actions: what the decision module instructs a manager to do.

use crate::ids::{EngineId, Level, RequestId};
use crate::reasons::Reason;
use sprucelink_time::TimeDelta;

/// An action. A manager carries actions out in the order in which they are given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to an engine.
    ForwardAttempt {
        /// The request.
        id: RequestId,
        /// Always absent, since the client's deadline applies; kept for the simulator's wire protocol and for
        /// captures.
        timeout: Option<TimeDelta>,
        /// The engine.
        engine: EngineId,
    },
    /// Set the memory grant and level of a request, for its next attempt and the one in flight.
    SetExecutionTerms {
        /// The request.
        id: RequestId,
        /// Memory in MB; the engine chooses if absent.
        grant_mb: Option<f64>,
        /// Priority level.
        level: Level,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
    },
    /// Give the final response rejected: a retry by the client does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After, if one is given.
        retry_after: Option<TimeDelta>,
    },
    /// Give the final response failed: the request may have executed.
    Fail {
        /// The request.
        id: RequestId,
        /// Retry-After, if one is given.
        retry_after: Option<TimeDelta>,
    },
    /// Set a timer.
    StartTimer {
        /// Time from now until the timer is due.
        delay: TimeDelta,
        /// Returned in [`Event::Timer`](crate::Event::Timer).
        token: u64,
    },
    /// Send a load probe to an engine.
    Probe {
        /// The engine.
        engine: EngineId,
    },
    /// Send a message to all other managers.
    BroadcastToPeers {
        /// The message.
        message: Vec<u8>,
    },
    /// Request the endpoint list and, from now on, its changes.
    WatchEndpoints,
    /// Write a log line for operators.
    Log(String),
    /// Reason for a decision, given only while it is turned on by
    /// [`Policy::set_explaining`](crate::Policy::set_explaining).
    Explain(Box<Reason>),
}
