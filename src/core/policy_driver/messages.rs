//! The messages between the core and the driver of the policy: events enter the policy, commands leave it.
//! Plain data.

use crate::core::attempt::AttemptOutcome;
use crate::proto::engine_answer::{EngineLoadReport, NoteTopic, QueryCost};
use crate::proto::events::ListEvent;
use sprucelink_policy::TimeDelta;

/// An event that the core passes to the policy.
#[derive(Debug)]
pub enum PolicyEvent<'a> {
    /// An update of the endpoint list.
    EndpointList {
        /// The update, with cordoned engines as draining.
        list: &'a ListEvent,
        /// Whether the list was stored before this process started and may be out of date.
        is_cached: bool,
    },
    /// A progress note on an attempt in flight.
    Progress {
        /// Id of the request.
        id: u64,
        /// Number of the attempt among its request's attempts, from 0.
        attempt: u32,
        /// Topic of the note.
        topic: NoteTopic,
        /// Value of the note, in the unit of its topic.
        value: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Id of the request.
        id: u64,
        /// Number of the attempt among its request's attempts, from 0.
        attempt: u32,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// Time since the attempt was queued to its connection; zero if it never was.
        latency: TimeDelta,
        /// Whether the request is over: this attempt served it, it already had its final response, or its
        /// client has disconnected.
        request_complete: bool,
        /// The cost of the query; `None` if the engine has not reported it.
        cost: Option<QueryCost>,
        /// The load report with which the engine rejected, failed or served the attempt; without values if
        /// the engine sent none.
        load_report: EngineLoadReport,
    },
    /// The client of a request no longer waits for a response, because it has disconnected or cancelled the
    /// request, or because the core gave the final response at the deadline or at a shutdown.
    RequestAbandoned {
        /// Id of the request.
        id: u64,
    },
    /// This manager's part of the fleet's capacity and budgets has changed.
    FleetChanged {
        /// The number of equal shares into which the fleet's capacity is divided: one for each process of
        /// each manager, this process included.
        capacity_shares: u32,
        /// Retries that this manager may make in the retry budget's window beyond its own budget.
        spare_retries: f64,
    },
    /// The weights of the zones have changed: the new weights by zone index, at most 1.
    ZoneWeights(Vec<f64>),
}

/// A command of the policy that the core carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyCommand {
    /// Set memory and priority level of a request's next attempt, and the priority level of the attempt in
    /// flight.
    SetResources {
        /// Id of the request.
        id: u64,
        /// Memory granted to the next attempt, in MB; `None` if the engine chooses.
        memory_grant_mb: Option<f64>,
        /// Priority level, 0 (lowest) to 3.
        level: u8,
    },
    /// Start an attempt of a request.
    Send {
        /// Id of the request.
        id: u64,
        /// Index of the engine.
        engine: usize,
    },
    /// Cancel an attempt; has no effect if it is not in flight.
    Cancel {
        /// Id of the request.
        id: u64,
        /// Number of the attempt among its request's attempts, from 0.
        attempt: u32,
    },
    /// Give the final response that a request is rejected: a retry by the client does no harm.
    Reject {
        /// Id of the request.
        id: u64,
        /// Delay after which the client should retry; the core raises it to `MIN_RETRY_AFTER`.
        retry_after: TimeDelta,
    },
    /// Give the final response that a request has failed: a retry by the client may run it twice.
    Fail {
        /// Id of the request.
        id: u64,
        /// Delay after which the client should retry; the core raises it to `MIN_RETRY_AFTER`.
        retry_after: TimeDelta,
    },
    /// Write a line to the log.
    Log(String),
}
