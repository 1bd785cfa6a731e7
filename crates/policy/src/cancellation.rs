//! Review of open requests: cancel an attempt that is stuck, raise the level of a late one, respond to a
//! request whose time or value is gone; from its progress, age, expected latency and value.

use crate::answer_value::AnswerValue;
use crate::engine_health::OVERDUE_MULTIPLE;

/// Fractions of the latency objective after which a running query is raised to levels 1 and 2; none is raised
/// to 3.
const RAISE_AFTER_OBJECTIVE: [f64; 2] = [0.35, 0.6];
/// Multiple of its expected latency without progress after which an attempt counts as lost.
const LOST_MULTIPLE: f64 = 5.0;
/// Multiple of a new attempt's latency that must remain of a running one before a new attempt replaces it.
const RESTART_MULTIPLE: f64 = 3.0;
/// Minimum fraction done that a remaining time is extrapolated from.
const MIN_FRACTION_DONE: f64 = 0.01;

/// What is done with an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReviewDecision {
    /// Nothing.
    Keep,
    /// Its attempt is cancelled, and a new one may be sent.
    CancelAttempt,
    /// Its attempt runs at this level from now on.
    RaiseLevel(usize),
    /// It gets its final response.
    Respond,
}

/// An attempt in flight, as a review sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunningAttempt {
    /// Since it was sent.
    pub(crate) age_secs: f64,
    /// Since its last progress note, otherwise since it was sent.
    pub(crate) secs_since_progress: f64,
    pub(crate) expected_latency_secs: f64,
    pub(crate) is_engine_ejected: bool,
    /// Since its request arrived.
    pub(crate) request_age_secs: f64,
    /// Its request's latency objective.
    pub(crate) objective_secs: f64,
    /// Its request's level.
    pub(crate) level: usize,
}

/// Reviews a request with an attempt in flight. `load_visibility`: how much of the fleet's load is visible;
/// the less, the later a level is raised. `may_retry` is asked only for an attempt that is stuck.
pub(crate) fn review_running(
    attempt: &RunningAttempt,
    load_visibility: f64,
    engines_obey_levels: bool,
    may_retry: impl FnOnce() -> bool,
) -> ReviewDecision {
    if is_stuck(attempt) && may_retry() {
        return ReviewDecision::CancelAttempt;
    }
    // A request that is late would otherwise starve behind those of higher levels on its engine.
    let level = level_by_age(attempt.request_age_secs / attempt.objective_secs, load_visibility);
    if engines_obey_levels && level > attempt.level {
        return ReviewDecision::RaiseLevel(level);
    }
    ReviewDecision::Keep
}

/// Whether an attempt is overdue on an ejected engine, or has made no progress for so long that it counts as
/// lost.
fn is_stuck(attempt: &RunningAttempt) -> bool {
    let is_overdue = attempt.age_secs > OVERDUE_MULTIPLE * attempt.expected_latency_secs;
    let is_lost = attempt.secs_since_progress > LOST_MULTIPLE * attempt.expected_latency_secs;
    let is_stuck_on_ejected_engine = attempt.is_engine_ejected && is_overdue;
    is_stuck_on_ejected_engine || is_lost
}

/// The level of a running request by the fraction of its latency objective that has passed. One that has
/// missed it is not raised: it would delay others for nothing.
fn level_by_age(objective_passed: f64, load_visibility: f64) -> usize {
    let is_reached =
        |fraction: &&f64| objective_passed * load_visibility > **fraction && objective_passed < 1.0;
    RAISE_AFTER_OBJECTIVE.iter().filter(is_reached).count()
}

/// Reviews a queued request that may still be sent. `expected_secs`: from its arrival to its answer if it is
/// sent now. `price` is asked only for a late answer.
pub(crate) fn review_queued(
    value: &AnswerValue,
    expected_secs: f64,
    has_free_cores: bool,
    price: impl FnOnce() -> f64,
) -> ReviewDecision {
    // While cores are free any value is worth waiting for: late is better than never.
    let is_value_left = if has_free_cores {
        value.gross(expected_secs) > 0.0
    } else {
        let price = if value.is_late(expected_secs) { price() } else { 0.0 };
        value.net(expected_secs) >= price
    };
    match is_value_left {
        true => ReviewDecision::Keep,
        false => ReviewDecision::Respond,
    }
}

/// Whether an attempt that reports its progress is worth replacing by a new one: its plan is bad or its
/// engine slow, it will be late, and a new attempt, expected to take `new_attempt_secs`, would be far quicker
/// than what is left.
pub(crate) fn is_restart_worthwhile(
    attempt: &RunningAttempt,
    fraction_done: f64,
    new_attempt_secs: f64,
) -> bool {
    let remaining_secs = attempt.age_secs * (1.0 - fraction_done) / fraction_done.max(MIN_FRACTION_DONE);
    let is_late = attempt.request_age_secs + remaining_secs > attempt.objective_secs;
    let expected_secs = attempt.expected_latency_secs.max(new_attempt_secs);
    is_late && remaining_secs > RESTART_MULTIPLE * expected_secs
}

#[cfg(test)]
mod tests;
