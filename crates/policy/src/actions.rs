//! Actions: what the decision module instructs a manager to do.

use crate::ids::{EngineId, Level, RequestId};
use crate::reasons::Reason;
use sprucelink_time::TimeDelta;

/// An action. A manager carries actions out in the order in which they are given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to an engine.
    ForwardAttempt {
        /// Id of the request, as in its [`Arrival`](crate::Arrival).
        id: RequestId,
        /// Always absent, since the client's deadline applies; kept for the simulator's wire protocol and for
        /// captures.
        timeout: Option<TimeDelta>,
        /// Engine to which the attempt is sent.
        engine: EngineId,
    },
    /// Set the memory grant and level of a request, for its next attempt and the one in flight.
    SetExecutionTerms {
        /// Id of the request, as in its [`Arrival`](crate::Arrival).
        id: RequestId,
        /// Memory in MB; the engine chooses if absent.
        grant_mb: Option<f64>,
        /// Priority level at which engines run the attempts.
        level: Level,
    },
    /// Cancel an attempt.
    Cancel {
        /// Id of the request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
    },
    /// Give the final response that the request is rejected: a retry by the client does no harm.
    Reject {
        /// Id of the request, as in its [`Arrival`](crate::Arrival).
        id: RequestId,
        /// Time after which the client may retry; `None` if the response has no Retry-After.
        retry_after: Option<TimeDelta>,
    },
    /// Give the final response that the request failed: it may have executed.
    Fail {
        /// Id of the request, as in its [`Arrival`](crate::Arrival).
        id: RequestId,
        /// Time after which the client may retry; `None` if the response has no Retry-After.
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
        /// Engine to which the probe is sent.
        engine: EngineId,
    },
    /// Send a message to all other managers. No rule gives this action; it is kept for the simulator's wire
    /// protocol and for captures.
    BroadcastToPeers {
        /// Message in a format of the module's choice.
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
