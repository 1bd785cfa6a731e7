//! The messages between the core and the driver of the policy: events enter the policy, commands leave it.
//! Plain data.

use crate::core::attempt::AttemptOutcome;
use crate::proto::engine_answer::{EngineLoadReport, NoteTopic, QueryCost};
use crate::proto::events::ListEvent;
use sprucelink_policy::TimeDelta;

/// An event for the policy.
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
        /// Value of the note; its meaning depends on the topic.
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
        /// Whether the request has its final response, from this attempt or from before.
        request_complete: bool,
        /// The cost of the query, if the engine has reported it.
        cost: Option<QueryCost>,
        /// The engine's last load report on this attempt.
        load_report: EngineLoadReport,
    },
    /// The client of a request no longer waits for a response.
    RequestAbandoned {
        /// Id of the request.
        id: u64,
    },
    /// The view of the fleet has changed.
    FleetChanged {
        /// The number of processes that share the fleet's capacity, this one included.
        capacity_shares: u32,
        /// Retries that the other managers leave to this manager, in addition to its own retry budget.
        spare_retries: f64,
    },
    /// The weights of the zones, by index.
    ZoneWeights(Vec<f64>),
}

/// An action that the policy requests.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyCommand {
    /// Set memory and priority level of a request's next attempt, and the priority level of the attempt in
    /// flight.
    SetResources {
        /// Id of the request.
        id: u64,
        /// Memory in MB; `None` if the engine chooses.
        memory_grant_mb: Option<f64>,
        /// Priority level, 0 (lowest) to 3.
        level: u8,
    },
    /// Make an attempt of a request.
    Send {
        /// Id of the request.
        id: u64,
        /// Index of the engine.
        engine: usize,
    },
    /// Cancel an attempt.
    Cancel {
        /// Id of the request.
        id: u64,
        /// Number of the attempt among its request's attempts, from 0.
        attempt: u32,
    },
    /// Give the final response that a request is rejected.
    Reject {
        /// Id of the request.
        id: u64,
        /// Delay after which the client should retry.
        retry_after: TimeDelta,
    },
    /// Give the final response that a request has failed.
    Fail {
        /// Id of the request.
        id: u64,
        /// Delay after which the client should retry.
        retry_after: TimeDelta,
    },
    /// Write a line to the log.
    Log(String),
}
