//! The request table: the state of every pending request, with its deadline and cancellations.
//!
//! Input: new requests, and changes to pending requests. Output: deadlines that have passed, and checks of
//! cancellations that are due. State: each pending request with its attempt in flight, and the ids of recent
//! requests of all processes of this workload manager. The `coordinator` module decides what happens to a request.

use super::attempt::{AttemptOutcome, InFlightAttempt};
use super::buffer_pool::Buffer;
use super::request::{Request, Response};
use sprucelink_metrics::ActiveRequest;
use sprucelink_policy::Timestamp;
use sprucelink_request_ids::RequestIds;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::oneshot;

/// Priority level of a request until the policy sets it.
const INITIAL_LEVEL: u8 = 1;

/// A request that has no final response yet, or whose last attempt has not ended.
pub(super) struct PendingRequest {
    /// Name of the class.
    pub(super) class_name: String,
    /// Index of the class.
    pub(super) class: usize,
    /// The idempotency key that engines use to deduplicate attempts; `None` if the class needs none.
    pub(super) idempotency_key: Option<String>,
    pub(super) statement: Buffer,
    /// Time at which the request was submitted.
    pub(super) arrived_at: Timestamp,
    /// The client's estimate of the work, in milliseconds on one core; 0 if there is none.
    pub(super) cost_ms: f64,
    /// Time at which the client stops waiting. For a request that was submitted after SIGTERM, the shutdown
    /// deadline if that is earlier.
    pub(super) deadline: Timestamp,
    /// Memory granted to the next attempt, in MB; `None` if the engine chooses.
    pub(super) memory_grant_mb: Option<f64>,
    /// Priority level of the request's attempts, 0 (lowest) to 3.
    pub(super) level: u8,
    /// Number of attempts made so far, which is also the number of the next attempt.
    pub(super) attempts: u32,
    /// The attempt in flight; there is at most one at a time.
    pub(super) in_flight: Option<InFlightAttempt>,
    /// Outcome of the last attempt that has ended; `None` if no attempt has ended.
    pub(super) last_outcome: Option<AttemptOutcome>,
    /// Time at which the first attempt that may have run was queued; `None` if none may have run.
    pub(super) may_have_run_since: Option<Timestamp>,
    /// Sender of the final response; `None` once the response was sent or the request was abandoned.
    pub(super) responder: Option<oneshot::Sender<Response>>,
    /// The request's entry in the metrics; `None` once the request was completed or abandoned.
    pub(super) accounting: Option<ActiveRequest>,
}

impl PendingRequest {
    /// Creates the entry of a request that was submitted at `arrived_at` and has no attempt yet.
    pub(super) fn new(
        request: Request,
        arrived_at: Timestamp,
        deadline: Timestamp,
        responder: oneshot::Sender<Response>,
        accounting: ActiveRequest,
    ) -> PendingRequest {
        PendingRequest {
            class_name: request.class_name,
            class: request.spec.class,
            idempotency_key: request.idempotency_key,
            statement: request.statement,
            arrived_at,
            cost_ms: request.spec.cost_ms.unwrap_or(0.0),
            deadline,
            memory_grant_mb: None,
            level: INITIAL_LEVEL,
            attempts: 0,
            in_flight: None,
            last_outcome: None,
            may_have_run_since: None,
            responder: Some(responder),
            accounting: Some(accounting),
        }
    }

    /// Whether the request has no final response and its client still waits for one.
    pub(super) fn is_awaited(&self) -> bool {
        self.responder.is_some()
    }
}

/// All pending requests by id, with their deadlines and the cancellations in progress.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<u64, PendingRequest>,
    deadlines: BTreeSet<(Timestamp, u64)>,
    /// Cancelled attempts (request id and attempt number), by the time of the next check of whether the
    /// cancellation has taken effect.
    cancellation_checks: BTreeSet<(Timestamp, u64, u32)>,
    /// Ids of this process's and other processes' requests.
    pub(super) ids: RequestIds,
}

impl RequestTable {
    pub(super) fn insert(&mut self, id: u64, request: PendingRequest) {
        self.deadlines.insert((request.deadline, id));
        self.requests.insert(id, request);
    }

    /// The number of requests without a final response or with an attempt that has not ended.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn get(&self, id: u64) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: u64) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// A pending request; panics if there is none with this id.
    #[cfg(test)]
    pub(super) fn pending(&self, id: u64) -> &PendingRequest {
        &self.requests[&id]
    }

    /// The attempt in flight of a request; `None` if there is none or the request is not pending.
    pub(super) fn in_flight(&self, id: u64) -> Option<&InFlightAttempt> {
        self.requests.get(&id)?.in_flight.as_ref()
    }

    /// The attempt in flight of a request; `None` if there is none or the request is not pending.
    pub(super) fn in_flight_mut(&mut self, id: u64) -> Option<&mut InFlightAttempt> {
        self.requests.get_mut(&id)?.in_flight.as_mut()
    }

    /// The attempt in flight of a request, if its number is `attempt`; `None` if that attempt has ended.
    pub(super) fn attempt_mut(&mut self, id: u64, attempt: u32) -> Option<&mut InFlightAttempt> {
        self.in_flight_mut(id).filter(|in_flight| in_flight.number == attempt)
    }

    /// Removes the attempt in flight of a request and returns it.
    pub(super) fn take_in_flight(&mut self, id: u64) -> Option<InFlightAttempt> {
        self.requests.get_mut(&id)?.in_flight.take()
    }

    /// The ids of all requests whose clients wait for a final response.
    pub(super) fn awaited_ids(&self) -> Vec<u64> {
        let awaited = self.requests.iter().filter(|(_, request)| request.is_awaited());
        awaited.map(|(id, _)| *id).collect()
    }

    /// Removes a request if its client waits for no response and no attempt is in flight; returns whether the
    /// request was removed.
    pub(super) fn remove_if_done(&mut self, id: u64) -> bool {
        let is_done = self.requests.get(&id).is_some_and(|r| !r.is_awaited() && r.in_flight.is_none());
        if !is_done {
            return false;
        }
        if let Some(request) = self.requests.remove(&id) {
            self.deadlines.remove(&(request.deadline, id));
        }
        self.ids.release(id);
        true
    }

    /// Schedules a check, at time `at`, of whether the cancellation of an attempt has taken effect.
    pub(super) fn schedule_cancellation_check(&mut self, at: Timestamp, id: u64, attempt: u32) {
        self.cancellation_checks.insert((at, id, attempt));
    }

    /// Whether the check of any cancellation is due.
    pub(super) fn has_due_cancellation_check(&self, now: Timestamp) -> bool {
        self.cancellation_checks.first().is_some_and(|(at, ..)| *at <= now)
    }

    /// Removes the first cancellation whose check is due; returns the request id and attempt number.
    pub(super) fn pop_due_cancellation_check(&mut self, now: Timestamp) -> Option<(u64, u32)> {
        if !self.has_due_cancellation_check(now) {
            return None;
        }
        self.cancellation_checks.pop_first().map(|(_, id, attempt)| (id, attempt))
    }

    /// Removes the first deadline that has passed; returns the request id.
    pub(super) fn pop_expired(&mut self, now: Timestamp) -> Option<u64> {
        let (deadline, _) = self.deadlines.first()?;
        if *deadline > now {
            return None;
        }
        self.deadlines.pop_first().map(|(_, id)| id)
    }

    /// Time at which the next deadline or check of a cancellation is due; `None` without pending requests.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let cancellation_check = self.cancellation_checks.first().map(|(at, ..)| *at);
        deadline.into_iter().chain(cancellation_check).min()
    }
}
