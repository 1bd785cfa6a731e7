use super::{next_step, NextStep};
use crate::events::Outcome;
use crate::retry::RetryDecision;

#[test]
fn failed_request_is_retried_unless_the_rule_or_two_engine_errors_forbid_it() {
    let after_error = |errors, decision| next_step(Outcome::EngineError, false, errors, || decision);
    assert_eq!(after_error(1, RetryDecision::Allowed), NextStep::Retry);
    assert_eq!(after_error(1, RetryDecision::DeadlineTooNear), NextStep::Respond);
    assert_eq!(after_error(2, RetryDecision::Allowed), NextStep::Respond);
}

#[test]
fn answered_request_is_finished_whatever_the_outcome_of_its_last_attempt() {
    let retry = || RetryDecision::Allowed;
    assert_eq!(next_step(Outcome::Succeeded, false, 0, retry), NextStep::Finish);
    assert_eq!(next_step(Outcome::ConnectionLost, true, 0, retry), NextStep::Finish);
}
