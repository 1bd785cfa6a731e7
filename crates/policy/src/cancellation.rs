//! Review of open requests: whether to cancel a stuck attempt, to raise the level of a late one, or to
//! respond to a request whose time or value has run out; from progress, age, expected latency and value.

use crate::answer_value::AnswerValue;
use crate::engine_health::OVERDUE_MULTIPLE;

/// Fractions of the latency objective after which a running query is raised to levels 1 and 2; no query is
/// raised to level 3.
const RAISE_AFTER_OBJECTIVE: [f64; 2] = [0.35, 0.6];
/// Multiple of its expected latency after which an attempt without progress counts as lost.
const LOST_MULTIPLE: f64 = 5.0;
/// A running attempt is replaced only if its remaining time exceeds this multiple of the longer of its own
/// expected latency and that of a new attempt.
const RESTART_MULTIPLE: f64 = 3.0;
/// Lower bound of the fraction done from which the remaining time of an attempt is extrapolated.
const MIN_FRACTION_DONE: f64 = 0.01;

/// Result of the review of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReviewDecision {
    /// The request is left as it is.
    Keep,
    /// The request's attempt is cancelled, and a new attempt may be sent.
    CancelAttempt,
    /// The request's attempt runs at this level from now on.
    RaiseLevel(usize),
    /// The request gets its final response.
    Respond,
}

/// An attempt in flight, as the review rules need it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunningAttempt {
    /// Time since the attempt was sent.
    pub(crate) age_secs: f64,
    /// Time since its last progress note, or since it was sent if there was none.
    pub(crate) secs_since_progress: f64,
    pub(crate) expected_latency_secs: f64,
    pub(crate) is_engine_ejected: bool,
    /// Time since its request arrived.
    pub(crate) request_age_secs: f64,
    /// Latency objective of its request.
    pub(crate) objective_secs: f64,
    /// Priority level of its request.
    pub(crate) level: usize,
}

/// Reviews a request with an attempt in flight. `load_visibility`: fraction of the fleet's load that is
/// visible, 0 to 1; the smaller it is, the later a level is raised. `may_retry` is called only for a stuck
/// attempt.
pub(crate) fn review_running(
    attempt: &RunningAttempt,
    load_visibility: f64,
    engines_obey_levels: bool,
    may_retry: impl FnOnce() -> bool,
) -> ReviewDecision {
    if is_stuck(attempt) && may_retry() {
        return ReviewDecision::CancelAttempt;
    }
    // A late request would otherwise starve behind requests of higher levels on its engine.
    let level = level_by_age(attempt.request_age_secs / attempt.objective_secs, load_visibility);
    if engines_obey_levels && level > attempt.level {
        return ReviewDecision::RaiseLevel(level);
    }
    ReviewDecision::Keep
}

/// Whether an attempt is overdue on an ejected engine, or has been without progress for so long that it
/// counts as lost.
fn is_stuck(attempt: &RunningAttempt) -> bool {
    let is_overdue = attempt.age_secs > OVERDUE_MULTIPLE * attempt.expected_latency_secs;
    let is_lost = attempt.secs_since_progress > LOST_MULTIPLE * attempt.expected_latency_secs;
    let is_stuck_on_ejected_engine = attempt.is_engine_ejected && is_overdue;
    is_stuck_on_ejected_engine || is_lost
}

/// The level of a running request by the fraction of its latency objective that has passed. A request that
/// has missed its objective is not raised, because it would delay other requests for nothing.
fn level_by_age(passed_fraction: f64, load_visibility: f64) -> usize {
    let is_reached =
        |fraction: &&f64| passed_fraction * load_visibility > **fraction && passed_fraction < 1.0;
    RAISE_AFTER_OBJECTIVE.iter().filter(is_reached).count()
}

/// Reviews a queued request that may still be sent. `expected_total_secs`: time from its arrival to its
/// answer if it is sent now. `price` is called only without free cores, and only if the answer would be late.
pub(crate) fn review_queued(
    value: &AnswerValue,
    expected_total_secs: f64,
    has_free_cores: bool,
    price: impl FnOnce() -> f64,
) -> ReviewDecision {
    // While cores are free, an answer of any value is worth waiting for: a late answer is better than none.
    let is_value_left = if has_free_cores {
        value.gross(expected_total_secs) > 0.0
    } else {
        let price = if value.is_late(expected_total_secs) { price() } else { 0.0 };
        value.net(expected_total_secs) >= price
    };
    match is_value_left {
        true => ReviewDecision::Keep,
        false => ReviewDecision::Respond,
    }
}

/// Whether an attempt that reports its progress is worth replacing by a new one, because its query plan is
/// bad or its engine slow: it will be late, and a new attempt, expected to take `new_attempt_secs`, would be
/// far quicker than the remaining time.
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
