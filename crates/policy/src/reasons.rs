//! Reasons for decisions, given only while explanations are turned on.

use crate::ids::{EngineId, RequestId};
use serde::Serialize;

/// Why the module decided as it did. Times are in seconds, work in thread-seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Reason {
    /// A request was priced, assigned a level, and admitted or rejected.
    Priced {
        /// The request.
        id: RequestId,
        /// Index of its class.
        class: usize,
        /// Level at which the sum of its delay cost and price is lowest.
        level: u8,
        /// Its estimated cost.
        cost: f64,
        /// Expected time to its answer at that level (the paper's tau).
        #[serde(rename = "tau")]
        expected_time: f64,
        /// Price at that level (the paper's toll), in value.
        #[serde(rename = "toll")]
        price: f64,
        /// Value of its answer less its delay cost.
        #[serde(rename = "worth")]
        net_value: f64,
        /// Its latency objective.
        #[serde(rename = "wanted")]
        latency_objective: f64,
        /// Threads of this manager's attempts in flight.
        #[serde(rename = "own")]
        own_threads: f64,
        /// This manager's share of the ready engines' cores.
        #[serde(rename = "share")]
        core_share: f64,
        /// Whether it is admitted because cores are free.
        #[serde(rename = "free")]
        has_free_cores: bool,
        /// Whether it is admitted.
        #[serde(rename = "enters")]
        admitted: bool,
    },
    /// An engine was selected for a request at random by weight, or none could take it.
    Drawn {
        /// The request.
        id: RequestId,
        /// Random number of the selection, 0 to 1.
        #[serde(rename = "dice")]
        random_unit: f64,
        /// Threads per core up to which requests of its level may fill an engine.
        #[serde(rename = "fill")]
        max_utilisation: f64,
        /// Engine selected; `None` if the request stays queued.
        chosen: Option<EngineId>,
        /// Every engine that the endpoint list does not have as gone.
        #[serde(rename = "among")]
        candidates: Vec<Candidate>,
    },
    /// A request was rejected or failed.
    Answered {
        /// The request.
        id: RequestId,
        /// Number of attempts sent.
        attempts: u32,
        /// Number of attempts that ended with an engine error.
        errors: u32,
        /// Time until its client stops waiting.
        #[serde(rename = "left")]
        time_left: f64,
        /// Whether the retry rule would allow a further attempt.
        #[serde(rename = "may_repeat")]
        retry_allowed: bool,
        /// Whether the retry budget allows one more retry.
        #[serde(rename = "budget")]
        has_retry_budget: bool,
        /// Time from its arrival to an answer if it were sent now.
        #[serde(rename = "in_all")]
        expected_total_time: f64,
        /// Value of that answer less its delay cost.
        #[serde(rename = "worth")]
        net_value: f64,
        /// Current price at its cheapest level.
        #[serde(rename = "toll")]
        price: f64,
        /// Time that this manager's share of the cores needs for the queued work.
        #[serde(rename = "jam")]
        queue_delay: f64,
    },
    /// An attempt is to be cancelled. Given also where attempts cannot be cancelled.
    Cancelled {
        /// The request.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
        /// Engine that it was sent to.
        engine: EngineId,
        /// Time since it was sent.
        age: f64,
        /// Its expected latency.
        #[serde(rename = "expected")]
        expected_latency: f64,
        /// Time since its last progress note, or since it was sent if there was none.
        #[serde(rename = "unheard")]
        since_progress: f64,
        /// Whether its engine is ejected.
        #[serde(rename = "distrusted")]
        ejected: bool,
        /// Whether its request has its final response.
        answered: bool,
    },
}

/// An engine in a selection.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineId,
    /// Reason that excludes it from the selection; `None` if it takes part.
    #[serde(rename = "bar")]
    pub ineligible: Option<IneligibleReason>,
    /// Its weight in the selection; 0 if it is excluded.
    pub weight: f64,
    /// Estimated threads per core.
    pub utilisation: f64,
    /// Remaining weight of its last load report, 0 to 1.
    #[serde(rename = "trust")]
    pub report_weight: f64,
}

/// Reasons that exclude an engine from a selection, in the order of the checks. Explanations write three of
/// them as `rules`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IneligibleReason {
    /// The endpoint list does not have it as ready.
    NotListed,
    /// The class may not run on its machine kind or in its zone.
    #[serde(rename = "rules")]
    WrongPlacement,
    /// It would not recognise the idempotency key of an attempt that may have run elsewhere.
    #[serde(rename = "rules")]
    OutsideDedupGroup,
    /// It is in slow start, and the rest of its budget is too small for the request.
    #[serde(rename = "rules")]
    SlowStartBudgetSpent,
    /// It is ejected or in backoff.
    Health,
    /// It just failed this request.
    JustFailed,
    /// Other engines were sampled for this request.
    #[serde(rename = "not_among_few")]
    NotSampled,
    /// It has no capacity for the request's level, by its estimated load.
    #[serde(rename = "no_room")]
    NoCapacity,
}
