//! Reasons of decisions, given only where they are asked for.

use crate::ids::{EngineId, RequestId};
use serde::Serialize;

/// Why the module decided as it did. Times are in seconds, work in thread-seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Reason {
    /// A request was priced, given a level, and admitted or rejected.
    Priced {
        /// The request.
        id: RequestId,
        /// Its class.
        class: usize,
        /// The level at which its delay cost and price are least in sum.
        level: u8,
        /// Its cost as estimated.
        cost: f64,
        /// Expected time to its answer there (the paper's tau).
        #[serde(rename = "tau")]
        expected_time: f64,
        /// The price there (the paper's toll), in value.
        #[serde(rename = "toll")]
        price: f64,
        /// Its value less its delay cost.
        #[serde(rename = "worth")]
        net_value: f64,
        /// Its latency objective.
        #[serde(rename = "wanted")]
        latency_objective: f64,
        /// Own threads in flight.
        #[serde(rename = "own")]
        own_threads: f64,
        /// This manager's share of the ready engines' cores.
        #[serde(rename = "share")]
        core_share: f64,
        /// It is admitted because cores are free.
        #[serde(rename = "free")]
        has_free_cores: bool,
        /// It is admitted.
        #[serde(rename = "enters")]
        admitted: bool,
    },
    /// An engine is drawn for a request.
    Drawn {
        /// The request.
        id: RequestId,
        /// The number drawn, 0 to 1.
        #[serde(rename = "dice")]
        random_unit: f64,
        /// Threads a core up to which its level may fill an engine.
        #[serde(rename = "fill")]
        max_utilisation: f64,
        /// The engine drawn; `None`: it stays queued.
        chosen: Option<EngineId>,
        /// Every engine that the list does not have as gone.
        #[serde(rename = "among")]
        candidates: Vec<Candidate>,
    },
    /// A request is rejected or failed.
    Answered {
        /// The request.
        id: RequestId,
        /// Attempts made.
        attempts: u32,
        /// Attempts that ended with an engine's error.
        errors: u32,
        /// Time left to its client.
        #[serde(rename = "left")]
        time_left: f64,
        /// The rules would allow it a retry.
        #[serde(rename = "may_repeat")]
        retry_allowed: bool,
        /// The retry budget allows one more.
        #[serde(rename = "budget")]
        has_retry_budget: bool,
        /// Time to an answer, from its arrival, if it were sent now.
        #[serde(rename = "in_all")]
        expected_total_time: f64,
        /// The value of that answer less its delay cost.
        #[serde(rename = "worth")]
        net_value: f64,
        /// The least price now.
        #[serde(rename = "toll")]
        price: f64,
        /// Time that the queued work takes this manager's share of the cores.
        #[serde(rename = "jam")]
        queue_delay: f64,
    },
    /// An attempt is cancelled.
    Cancelled {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// Where it is.
        engine: EngineId,
        /// How long it has been in flight.
        age: f64,
        /// Its expected latency.
        #[serde(rename = "expected")]
        expected_latency: f64,
        /// Time since its last progress note.
        #[serde(rename = "unheard")]
        since_progress: f64,
        /// Its engine is ejected.
        #[serde(rename = "distrusted")]
        ejected: bool,
        /// Its request has its final response.
        answered: bool,
    },
}

/// An engine as a draw sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// Which.
    pub engine: EngineId,
    /// What leaves it out of the draw.
    #[serde(rename = "bar")]
    pub ineligible: Option<IneligibleReason>,
    /// Its weight, 0 where it is left out.
    pub weight: f64,
    /// Estimated threads a core.
    pub utilisation: f64,
    /// How much the last report of its load still counts, 0 to 1.
    #[serde(rename = "trust")]
    pub report_weight: f64,
}

/// What leaves an engine out of a draw, in the order of the checks. Explanations call three of them `rules`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IneligibleReason {
    /// The endpoint list does not have it as ready.
    NotListed,
    /// The class runs on other machine kinds or in other zones.
    #[serde(rename = "rules")]
    WrongPlacement,
    /// It would not recognise the idempotency key of an attempt that may have run elsewhere.
    #[serde(rename = "rules")]
    OutsideDedupGroup,
    /// It is in slow start, and the rest of its budget is too small for the request.
    #[serde(rename = "rules")]
    SlowStartBudgetSpent,
    /// It is ejected or backed off from.
    Health,
    /// It just failed this request.
    JustFailed,
    /// Others were sampled for this request.
    #[serde(rename = "not_among_few")]
    NotSampled,
    /// It has no capacity for the request's level, by its estimated load.
    #[serde(rename = "no_room")]
    NoCapacity,
}
