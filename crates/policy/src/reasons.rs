//! Why the module chose as it did, told only to who listens.

use crate::ids::*;
use serde::Serialize;

/// Why the module chose as it did: told only to who listens. Times in seconds, work in thread-seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Reason {
    /// A request was priced, given a level, and let in or not.
    Priced {
        /// The request.
        id: RequestId,
        /// Its class.
        class: usize,
        /// The level of least delay cost plus toll.
        level: u8,
        /// Its cost as estimated.
        cost: f64,
        /// Expected time to its answer there.
        tau: f64,
        /// The toll there.
        toll: f64,
        /// Its worth less its delay cost.
        worth: f64,
        /// The time within which it is wanted.
        wanted: f64,
        /// Own threads in flight.
        own: f64,
        /// This gateway's share of the told cores.
        share: f64,
        /// The free-core pass lets it in.
        free: bool,
        /// It enters.
        enters: bool,
    },
    /// An engine is drawn for a request.
    Drawn {
        /// The request.
        id: RequestId,
        /// The number drawn, 0 to 1.
        dice: f64,
        /// Threads a core up to which its level may fill an engine.
        fill: f64,
        /// What comes of it; `None`: it waits.
        chosen: Option<EngineId>,
        /// Every engine that is not gone.
        among: Vec<Candidate>,
    },
    /// A request is answered without being served.
    Answered {
        /// The request.
        id: RequestId,
        /// Attempts made.
        attempts: u32,
        /// Attempts that ended with an engine's error.
        errors: u32,
        /// Time left to its client.
        left: f64,
        /// A further attempt would be allowed to it.
        may_repeat: bool,
        /// The ration of further attempts has room.
        budget: bool,
        /// Time to an answer, from its arrival, if it were sent now.
        in_all: f64,
        /// What that answer would earn, less its delay cost.
        worth: f64,
        /// The least toll now.
        toll: f64,
        /// Time that what is held takes this gateway's share of the cores.
        jam: f64,
    },
    /// An attempt is called off.
    Cancelled {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// Where it is.
        engine: EngineId,
        /// How long it has been out.
        age: f64,
        /// How long it was expected to be.
        expected: f64,
        /// Since something was heard of it.
        unheard: f64,
        /// Its engine is ejected.
        #[serde(rename = "distrusted")]
        ejected: bool,
        /// Its request has its final answer.
        answered: bool,
    },
}

/// An engine in a draw.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Candidate {
    /// Which.
    pub engine: EngineId,
    /// What keeps it out of the draw.
    pub bar: Option<Bar>,
    /// Its weight, 0 where it is kept out.
    pub weight: f64,
    /// Threads a core that it is taken to have.
    pub utilisation: f64,
    /// How much the last report of its load still counts, 0 to 1.
    pub trust: f64,
}

/// What keeps an engine out of a draw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bar {
    /// The list does not have it as ready.
    NotListed,
    /// A rule: placement, repeats of keyed requests, or the cold budget.
    Rules,
    /// It is ejected or backed off from.
    Health,
    /// It just failed this request.
    JustFailed,
    /// The request chooses among a few others.
    NotAmongFew,
    /// It is taken to be full for this level.
    NoRoom,
}
