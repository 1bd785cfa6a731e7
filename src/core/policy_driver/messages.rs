//! The messages between the core and the driver of the policy: events enter the policy, commands leave it. Plain data.

use crate::core::attempt::AttemptOutcome;
use crate::proto::engine_answer::{LoadStats, QueryCost, UpdateTopic};
use crate::proto::events::ListEvent;
use sprucelink_policy::TimeDelta;

/// An event for the policy.
#[derive(Debug)]
pub enum PolicyEvent<'a> {
    /// An update of the endpoint list.
    EndpointList {
        /// The update, with cordoned engines as draining.
        list: &'a ListEvent,
        /// The list was stored before this process started and may be out of date.
        is_cached: bool,
    },
    /// A progress note on an attempt in flight.
    Progress {
        /// The request.
        id: u64,
        /// The attempt's number.
        attempt: u32,
        /// The topic of the note.
        topic: UpdateTopic,
        /// Its value.
        value: f64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: u64,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since it was sent.
        latency: TimeDelta,
        /// The request has its final response, by this or before.
        request_complete: bool,
        /// The cost of the query, if the engine has reported it.
        cost: Option<QueryCost>,
        /// The engine's load report.
        load_report: LoadStats,
    },
    /// The client of a request does not wait for it any more.
    RequestAbandoned {
        /// The request.
        id: u64,
    },
    /// The view of the fleet has changed.
    FleetChanged {
        /// The number of processes that share the fleet's capacity, this one included.
        capacity_shares: u32,
        /// Retries that the other managers leave to this one, over its own retry budget.
        spare_retries: f64,
    },
    /// The weights of the zones, by index.
    ZoneWeights(Vec<f64>),
}

/// An action that the policy requests.
#[derive(Clone, Debug, PartialEq)]
pub enum PolicyCommand {
    /// Set memory and priority level of a request's next attempt, and the level of the one in flight.
    SetResources {
        /// The request.
        id: u64,
        /// Memory in MB; `None`: the engine chooses.
        memory_grant_mb: Option<f64>,
        /// Priority level, 0 (lowest) to 3.
        level: u8,
    },
    /// Make an attempt of a request.
    Send {
        /// The request.
        id: u64,
        /// The index of the engine.
        engine: usize,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: u64,
        /// The attempt's number.
        attempt: u32,
    },
    /// Give the final response that a request is rejected.
    Reject {
        /// The request.
        id: u64,
        /// When the client should retry.
        retry_after: TimeDelta,
    },
    /// Give the final response that a request has failed.
    Fail {
        /// The request.
        id: u64,
        /// When the client should retry.
        retry_after: TimeDelta,
    },
    /// A line for the log.
    Log(String),
}
