//! Final responses: each request gets one.
//!
//! Input: the response to a request, or the policy's command to reject or fail it. Output: the response, to
//! the front, and commands that follow. State: none in this module; the responder is part of the request's
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

/// Time before the deadline of a request within which a rejection or failure is reported as
/// [`UnservedReason::DeadlineExceeded`]. The policy responds to a request whose deadline is 50 ms away
/// (`RESPONSE_MARGIN`); this is 10 ms more, so that each such response has this reason.
const DEADLINE_MARGIN: TimeDelta = TimeDelta::from_millis(60);

impl Coordinator {
    /// Rejects a request: a retry by its client does no harm. Either no attempt of the request can have run,
    /// or its class is idempotent and an attempt may have run.
    pub(super) fn reject(&mut self, id: u64, retry_after: TimeDelta) -> Vec<PolicyCommand> {
        let Some(request) = self.requests.get(id) else { return Vec::new() };
        let is_late = request.deadline - now() < DEADLINE_MARGIN;
        let reason = if is_late { UnservedReason::DeadlineExceeded } else { UnservedReason::Overloaded };
        self.complete(id, Response::Rejected { reason, retry_after: retry_after.max(MIN_RETRY_AFTER) })
    }

    /// Fails a request: an attempt of the request may have run.
    pub(super) fn fail(&mut self, id: u64, retry_after: TimeDelta) -> Vec<PolicyCommand> {
        let reason = self.requests.get(id).map_or(UnservedReason::Overloaded, failure_reason);
        self.complete(id, Response::Failed { reason, retry_after: retry_after.max(MIN_RETRY_AFTER) })
    }

    /// Gives a request its final response; returns the commands that follow. No other function gives one: the
    /// responder is taken out of the request's entry, so that a second response cannot be sent. An unsent
    /// attempt is withdrawn.
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

    /// Gives every pending request its final response ([`shutdown_response`]), because this process is
    /// shutting down. Returns the number of requests.
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

    /// Counts as violations the requests that clients still wait for when the process ends.
    pub(in crate::core) fn check_nothing_pending(&self) {
        for id in self.requests.awaited_ids() {
            self.monitor.record_violation(now(), Invariant::PendingAtExit, &format_request_id(id));
        }
    }
}

/// The response to a request that is pending when this process shuts down. Its attempt is withdrawn if that
/// is possible: a request whose only attempt was withdrawn cannot have run.
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

/// The reason for the failure of a request, from the outcome of its last attempt.
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
