//! Final responses: each request gets exactly one, unless its client has abandoned it.
//!
//! Input: the response to a request, or the policy's command to reject or fail it. Output: the response for
//! the front, and the policy's commands. State: none in this module; the responder is part of the request's
//! entry in the request table.

use super::Coordinator;
use crate::core::attempt::{AttemptOutcome, InFlightAttempt};
use crate::core::clock::now;
use crate::core::connection_runtime::ConnectionRuntime;
use crate::core::engine_connection::Withdrawal;
use crate::core::invariants::Invariant;
use crate::core::policy_driver::{PolicyCommand, PolicyEvent};
use crate::core::request::{format_request_id, Response, UnservedReason, MIN_RETRY_AFTER};
use crate::core::request_table::PendingRequest;
use sprucelink_policy::TimeDelta;
use tracing::{debug, error, field};

/// A rejection or failure in this last part of the time before a request's deadline is reported as
/// [`UnservedReason::DeadlineExceeded`]. The policy gives a request that still waits its final response 50 ms
/// before the deadline (`RESPONSE_MARGIN`); this margin is 10 ms longer, so that all these responses have
/// this reason.
const DEADLINE_MARGIN: TimeDelta = TimeDelta::from_millis(60);

impl Coordinator {
    /// Gives a request the final response that it is rejected; returns the policy's commands. The policy
    /// rejects a request only if a retry by the client does no harm: no attempt can have run, the class is
    /// idempotent, or all engines deduplicate the request by its idempotency key.
    pub(super) fn reject(&mut self, id: u64, retry_after: TimeDelta) -> Vec<PolicyCommand> {
        let Some(request) = self.requests.get(id) else { return Vec::new() };
        let is_late = request.deadline - now() < DEADLINE_MARGIN;
        let reason = if is_late { UnservedReason::DeadlineExceeded } else { UnservedReason::Overloaded };
        self.complete(id, Response::Rejected { reason, retry_after: retry_after.max(MIN_RETRY_AFTER) })
    }

    /// Gives a request the final response that it failed; returns the policy's commands. The policy fails a
    /// request if an attempt may have run and a retry by the client may run the request twice.
    pub(super) fn fail(&mut self, id: u64, retry_after: TimeDelta) -> Vec<PolicyCommand> {
        let reason = self.requests.get(id).map_or(UnservedReason::Overloaded, failure_reason);
        self.complete(id, Response::Failed { reason, retry_after: retry_after.max(MIN_RETRY_AFTER) })
    }

    /// Gives a request its final response and withdraws its attempt if it is unsent; returns the policy's
    /// commands. No other function gives a final response. The responder is taken out of the request's entry,
    /// so that a second response cannot be sent.
    pub(in crate::core) fn complete(&mut self, id: u64, response: Response) -> Vec<PolicyCommand> {
        let commands = self.withdraw_attempt(id);
        let Some(request) = self.requests.get_mut(id) else { return commands };
        match request.responder.take() {
            Some(responder) => {
                log_response(id, request, &response);
                let arrived_at = request.arrived_at;
                let accounting = request.accounting.take();
                self.statistics.record_response(&response, accounting);
                if let (Response::Served(_), Some(startup)) = (&response, &mut self.startup) {
                    startup.record_served(now() - arrived_at);
                }
                drop(responder.send(response));
            }
            None => {
                let request = format_request_id(id);
                error!(request, "second response dropped");
                self.monitor.record_violation(now(), Invariant::SecondResponse, &request);
            }
        }
        self.remove_if_done(id);
        commands
    }

    /// Gives every request that has no final response yet its response ([`shutdown_response`]), because this
    /// process is shutting down. Returns the number of these requests.
    pub(in crate::core) fn complete_all(&mut self, runtime: &dyn ConnectionRuntime) -> usize {
        let ids = self.requests.awaited_ids();
        for id in &ids {
            let Some(request) = self.requests.get(*id) else { continue };
            let response = shutdown_response(request, *id);
            let mut commands = self.complete(*id, response);
            commands.extend(self.policy.on_event(now(), PolicyEvent::RequestAbandoned { id: *id }));
            self.execute(runtime, commands);
        }
        ids.len()
    }

    /// Counts each request that a client still waits for as a violation, because the process is about to end.
    pub(in crate::core) fn check_nothing_pending(&self) {
        for id in self.requests.awaited_ids() {
            self.monitor.record_violation(now(), Invariant::PendingAtExit, &format_request_id(id));
        }
    }
}

/// The response to a request that is pending when this process shuts down. Withdraws the request's attempt if
/// no byte of it was sent: a request whose only attempt was withdrawn cannot have run.
///
/// The response depends on the number of attempts, not on `may_have_run_since` or the class. Two kinds of
/// requests therefore fail although a retry by the client would do no harm: a request whose earlier attempts
/// never ran (an engine rejected them because of its load), and a request of an idempotent class.
fn shutdown_response(request: &PendingRequest, id: u64) -> Response {
    let is_withdrawn = |attempt: &InFlightAttempt| attempt.connection.withdraw(id) == Withdrawal::Complete;
    let was_withdrawn = request.in_flight.as_ref().is_some_and(is_withdrawn);
    let reason = UnservedReason::Overloaded;
    let retry_after = MIN_RETRY_AFTER;
    match request.attempts {
        0 => Response::Rejected { reason, retry_after },
        1 if was_withdrawn => Response::Rejected { reason, retry_after },
        _ => Response::Failed { reason, retry_after },
    }
}

/// The reason for the failure of a request: [`UnservedReason::DeadlineExceeded`] if its deadline has passed
/// or is close, otherwise the reason that corresponds to the outcome of the last attempt.
fn failure_reason(request: &PendingRequest) -> UnservedReason {
    if request.deadline - now() < DEADLINE_MARGIN {
        return UnservedReason::DeadlineExceeded;
    }
    match request.last_outcome {
        Some(AttemptOutcome::EngineError) => UnservedReason::EngineError,
        Some(AttemptOutcome::ConnectionBroken | AttemptOutcome::ConnectionClosed) => {
            UnservedReason::ConnectionLost
        }
        Some(AttemptOutcome::Unreachable) => UnservedReason::Unreachable,
        Some(AttemptOutcome::Expired) => UnservedReason::DeadlineExceeded,
        _ => UnservedReason::Overloaded,
    }
}

fn log_response(id: u64, request: &PendingRequest, response: &Response) {
    let (kind, reason) = match response {
        Response::Served(_) => ("served", None),
        Response::Rejected { reason, .. } => ("rejected", Some(reason)),
        Response::Failed { reason, .. } => ("failed", Some(reason)),
    };
    debug!(
        request = format_request_id(id),
        response = kind,
        reason = reason.map(field::debug),
        class = request.class_name,
        attempts = request.attempts,
        elapsed_ms = (now() - request.arrived_at).as_millis(),
        time_left_ms = (request.deadline - now()).as_millis(),
        last_outcome = request.last_outcome.map(field::debug),
        "request completed"
    );
}
