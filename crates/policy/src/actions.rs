//! What the module tells a gateway to do.

use crate::ids::*;
use crate::reasons::Reason;
use sprucelink_time::TimeDelta;

/// What the module tells a gateway to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an engine.
    Send {
        /// The request.
        id: RequestId,
        /// Time-out; until the client gives up if absent.
        timeout: Option<TimeDelta>,
        /// The engine.
        engine: EngineId,
    },
    /// Memory grant and level, for the next send and what is out.
    Terms {
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
    /// Final: refused, a repeat does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to come back, if that is said.
        retry_after: Option<TimeDelta>,
    },
    /// Final: failed, nothing assured.
    Fail {
        /// The request.
        id: RequestId,
        /// When to come back, if that is said.
        retry_after: Option<TimeDelta>,
    },
    /// Set a timer.
    Timer {
        /// From now.
        delay: TimeDelta,
        /// Comes back with the event.
        token: u64,
    },
    /// Probe an engine.
    Probe {
        /// The engine.
        engine: EngineId,
    },
    /// Send a message to all other gateways.
    Tell {
        /// The message.
        message: Vec<u8>,
    },
    /// Ask for changes of the engine list from now on.
    Watch,
    /// A line for the people on call.
    Log(String),
    /// A reason, told only to who listens; it asks for nothing.
    Why(Box<Reason>),
}
