//! Reasons for decisions, given only while explanations are turned on.

use crate::ids::{EngineId, RequestId};
use serde::Serialize;

/// Why the module decided as it did. Times are in seconds, work in thread-seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Reason {
    /// A request was priced, assigned a level, and admitted or rejected.
    Priced {
        /// Id of the request, as in its [`Arrival`](crate::Arrival).
        id: RequestId,
        /// Index of the request's class.
        class: usize,
        /// Level at which the sum of the request's delay cost and price is lowest.
        level: u8,
        /// Estimated work of the request.
        cost: f64,
        /// Expected time to the answer at that level (tau of Konana et al.).
        #[serde(rename = "tau")]
        expected_time: f64,
        /// Price at that level, in value (the toll of Konana et al.).
        #[serde(rename = "toll")]
        price: f64,
        /// Value of the answer less its delay cost.
        #[serde(rename = "worth")]
        net_value: f64,
        /// Latency objective of the request, measured from its arrival.
        #[serde(rename = "wanted")]
        latency_objective: f64,
        /// Threads of this manager's attempts in flight.
        #[serde(rename = "own")]
        own_threads: f64,
        /// This manager's share of the ready engines' cores.
        #[serde(rename = "share")]
        core_share: f64,
        /// Whether the request is admitted because this manager has free cores or the selected engine is
        /// idle.
        #[serde(rename = "free")]
        has_free_cores: bool,
        /// Whether the request is admitted, for that or another reason.
        #[serde(rename = "enters")]
        admitted: bool,
    },
    /// An engine was selected for a request at random by weight, or no engine could take the request.
    Drawn {
        /// Id of the request, as in its [`Arrival`](crate::Arrival).
        id: RequestId,
        /// Random number of the selection, 0 to 1.
        #[serde(rename = "dice")]
        random_unit: f64,
        /// Threads per core up to which requests of this level may fill an engine.
        #[serde(rename = "fill")]
        max_utilisation: f64,
        /// Engine selected; `None` if the request stays queued.
        chosen: Option<EngineId>,
        /// All engines that the endpoint list does not have as gone, including the engines that are excluded
        /// from the selection.
        #[serde(rename = "among")]
        candidates: Vec<Candidate>,
    },
    /// The manager itself gave a request its final response: rejected or failed.
    Answered {
        /// Id of the request, as in its [`Arrival`](crate::Arrival).
        id: RequestId,
        /// Number of attempts of the request sent so far.
        attempts: u32,
        /// Number of attempts that ended with an engine error.
        errors: u32,
        /// Time until the client stops waiting.
        #[serde(rename = "left")]
        time_left: f64,
        /// Whether the retry rule would allow a further attempt.
        #[serde(rename = "may_repeat")]
        retry_allowed: bool,
        /// Whether the retry budget allows one more retry.
        #[serde(rename = "budget")]
        has_retry_budget: bool,
        /// Time from the arrival of the request to an answer, if an attempt were sent now.
        #[serde(rename = "in_all")]
        expected_total_time: f64,
        /// Value of that answer less its delay cost.
        #[serde(rename = "worth")]
        net_value: f64,
        /// Current price at the level with the lowest sum of delay cost and price.
        #[serde(rename = "toll")]
        price: f64,
        /// Time that this manager's share of the cores needs for the queued work.
        #[serde(rename = "jam")]
        queue_delay: f64,
    },
    /// An attempt is to be cancelled. Given even if attempts cannot be cancelled on engines.
    Cancelled {
        /// Id of the request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
        /// Engine to which the attempt was sent.
        engine: EngineId,
        /// Time since the attempt was sent.
        age: f64,
        /// Latency that was expected when the attempt was sent.
        #[serde(rename = "expected")]
        expected_latency: f64,
        /// Time since the last progress note, or since the send if there was no note.
        #[serde(rename = "unheard")]
        since_progress: f64,
        /// Whether the engine is ejected.
        #[serde(rename = "distrusted")]
        ejected: bool,
        /// Whether the request has its final response.
        answered: bool,
    },
}

/// An engine as a selection considered it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// Number of the engine.
    pub engine: EngineId,
    /// Reason that excludes the engine from the selection; `None` if it can be selected.
    #[serde(rename = "bar")]
    pub ineligible: Option<IneligibleReason>,
    /// Weight of the engine in the random selection; 0 if it is excluded.
    pub weight: f64,
    /// Estimated threads per core, counting only the cores that the slow start gives the engine so far.
    pub utilisation: f64,
    /// Weight of the engine's last load report, which falls from 1 towards 0 with its age.
    #[serde(rename = "trust")]
    pub report_weight: f64,
}

/// Reasons that exclude an engine from a selection, in the order of the checks. Three of them have the
/// serialized name `rules`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IneligibleReason {
    /// The endpoint list does not have the engine as ready.
    NotListed,
    /// The class may not run on the engine's machine kind or in its zone.
    #[serde(rename = "rules")]
    WrongPlacement,
    /// The engine would not recognise the idempotency key of an attempt that may have run on another engine.
    #[serde(rename = "rules")]
    OutsideDedupGroup,
    /// The engine is in slow start, and the rest of its budget is too small for the request.
    #[serde(rename = "rules")]
    SlowStartBudgetSpent,
    /// The engine is ejected or in backoff.
    Health,
    /// The engine just failed this request.
    JustFailed,
    /// Other engines were sampled for this request.
    #[serde(rename = "not_among_few")]
    NotSampled,
    /// By its estimated load, the engine has no capacity for the request's level.
    #[serde(rename = "no_room")]
    NoCapacity,
}
