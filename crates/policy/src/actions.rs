//! Actions: what the decision module has a manager do.

use crate::ids::{EngineId, Level, RequestId};
use crate::reasons::Reason;
use sprucelink_time::TimeDelta;

/// An action, in the order in which they are to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to an engine.
    ForwardAttempt {
        /// The request.
        id: RequestId,
        /// Kept for the simulator's wire and for captures; always absent, since the client's deadline holds.
        timeout: Option<TimeDelta>,
        /// The engine.
        engine: EngineId,
    },
    /// Memory grant and level, for the next attempt and the one in flight.
    SetExecutionTerms {
        /// The request.
        id: RequestId,
        /// Memory in MB; the engine chooses if absent.
        grant_mb: Option<f64>,
        /// The level.
        level: Level,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final response: rejected; a retry by the client does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After, if one is given.
        retry_after: Option<TimeDelta>,
    },
    /// Final response: failed; the request may have executed.
    Fail {
        /// The request.
        id: RequestId,
        /// Retry-After, if one is given.
        retry_after: Option<TimeDelta>,
    },
    /// Set a timer.
    StartTimer {
        /// From now.
        delay: TimeDelta,
        /// Comes back with the event.
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
    /// Request the endpoint list and its changes from now on.
    WatchEndpoints,
    /// A log line for operators.
    Log(String),
    /// The reason of a decision, given only while [`Policy::set_explaining`](crate::Policy::set_explaining)
    /// asks for it.
    Explain(Box<Reason>),
}
