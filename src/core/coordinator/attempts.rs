//! Attempts: each is sent once, cancelled at most once, and ends once.

use super::{ConnectionRuntime, Coordinator};
use crate::core::attempt::{format_id, release_result, AnswerEffect, AttemptOutcome, InFlightAttempt};
use crate::core::buffer_pool::BufferPool;
use crate::core::clock::now;
use crate::core::engine_connection::{EngineConnection, Withdrawal};
use crate::core::invariants::SentAttempt;
use crate::core::policy_driver::{PolicyCommand, PolicyEvent};
use crate::core::request::Response;
use crate::core::request_table::PendingRequest;
use crate::core::send_guard::{OutgoingAttempt, SendRejection};
use crate::proto::engine_answer::{read_answer, AnswerKind, EngineAnswerError, LoadStats, QueryCost};
use crate::proto::engine_command::{self, QueryFields};
use sprucelink_policy::TimeDelta;
use std::rc::Rc;
use tracing::{debug, error, warn};

/// An attempt that waits is told to its engine anew once its deadline there would be this much later than its client's. The
/// platform's slack is three times as much; less would queue anew what a busy machine delays.
const MAX_DEADLINE_EXCESS: TimeDelta = TimeDelta::from_micros(50_000);

/// How an attempt ended, as the policy is told.
struct AttemptEnd {
    /// The attempt's number.
    attempt: u32,
    outcome: AttemptOutcome,
    /// Time since it was sent.
    latency: TimeDelta,
    /// What the query needed, where the engine has told.
    cost: Option<QueryCost>,
    /// The engine's load report.
    load_report: LoadStats,
}

impl AttemptEnd {
    /// The end of an attempt that was never queued to a connection.
    fn unsent(attempt: u32, outcome: AttemptOutcome) -> AttemptEnd {
        let latency = TimeDelta::ZERO;
        AttemptEnd { attempt, outcome, latency, cost: None, load_report: LoadStats::default() }
    }
}

impl Coordinator {
    /// Makes an attempt of a request at an engine.
    pub(super) fn send(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        id: u64,
        engine: usize,
    ) -> Vec<PolicyCommand> {
        let Some(request) = self.requests.get_mut(id) else { return Vec::new() };
        let attempt = request.attempts;
        request.attempts += 1;
        // Nothing is sent after the final response, whatever the policy wants.
        if !request.is_awaited() {
            let request = format_id(id);
            error!(request, "send for completed request dropped");
            return self.report_end(id, AttemptEnd::unsent(attempt, AttemptOutcome::NeverRan));
        }
        let cost_ms = request.cost_ms;
        let time_left = request.deadline - now();
        self.counters.attempts += 1;
        self.gossip_attempt(attempt, engine, cost_ms);
        let connection = match self.connection_for(runtime, id, engine) {
            Ok(connection) => connection,
            Err(outcome) => return self.report_end(id, AttemptEnd::unsent(attempt, outcome)),
        };
        let Some(request) = self.requests.get_mut(id) else { return Vec::new() };
        let (name, fields) = (format_id(id), format_fields(request, time_left));
        if !connection.send(runtime.pool(), id, attempt, &query_command(request, &name, &fields)) {
            return self.report_end(id, AttemptEnd::unsent(attempt, AttemptOutcome::NeverRan));
        }
        request.in_flight = Some(InFlightAttempt::new(attempt, connection, now(), time_left));
        Vec::new()
    }

    /// Whether an attempt may be sent, checked just before its first byte: the one place through which attempts leave.
    /// One that may not is withdrawn and ends as one that never ran; one without an owner is withdrawn, and that is all. One
    /// that has waited is queued anew with the time that is left, and is asked for again.
    pub(in crate::core) fn approve_send(
        &mut self,
        pool: &BufferPool,
        connection: &EngineConnection,
        id: u64,
        number: u32,
    ) -> bool {
        let now = now();
        let spare_attempts = self.fleet.spare_attempts;
        let engine = self.engines.get(connection.engine);
        let engine_is_ready = engine.is_some_and(|engine| engine.is_ready);
        let unlisted_since = engine.and_then(|engine| engine.unlisted_since);
        let is_owner = |attempt: &InFlightAttempt| {
            attempt.number == number && attempt.is_on(connection) && attempt.cancellation.is_none()
        };
        let request = self.requests.get_mut(id).filter(|r| r.in_flight.as_ref().is_some_and(is_owner));
        let Some(request) = request else {
            connection.withdraw(id);
            return false;
        };
        let Some(attempt) = &mut request.in_flight else { return false };
        let outgoing = OutgoingAttempt {
            request_is_awaited: request.responder.is_some(),
            deadline: request.deadline,
            class: request.class,
            // One that was approved before is in the budget already.
            is_retry: number > 0 && !attempt.is_approved,
            may_have_run_since: request.may_have_run_since,
            engine_is_ready,
        };
        if let Err(reason) = self.send_guard.check(now, spare_attempts, &outgoing) {
            attempt.mark_withdrawn(now);
            self.withdraw_unapproved(connection, id, number, reason);
            return false;
        }
        let time_left = request.deadline - now;
        if attempt.told_time_left - time_left > MAX_DEADLINE_EXCESS {
            attempt.told_time_left = time_left;
            let (name, fields) = (format_id(id), format_fields(request, time_left));
            connection.requeue(pool, id, number, &query_command(request, &name, &fields));
            return false;
        }
        let sent = SentAttempt {
            id,
            number,
            class: outgoing.class,
            request_is_awaited: outgoing.request_is_awaited,
            deadline: outgoing.deadline,
            told_time_left: attempt.told_time_left,
            unlisted_since,
            spare_attempts,
        };
        if !std::mem::replace(&mut attempt.is_approved, true) {
            self.send_guard.record_send(now, outgoing.is_retry);
        }
        self.monitor.record_send(now, &sent);
        true
    }

    /// Takes back an attempt that may not be sent; its end is reported with the next tick.
    fn withdraw_unapproved(
        &mut self,
        connection: &EngineConnection,
        id: u64,
        number: u32,
        reason: SendRejection,
    ) {
        connection.withdraw(id);
        self.reasons.record_withdrawal(reason);
        self.requests.schedule_cancellation(now(), id, number);
        debug!(
            request = format_id(id),
            engine = connection.engine,
            attempt = number,
            ?reason,
            "attempt withdrawn before it was sent"
        );
    }

    /// Reports an attempt's end to the policy; the attempt is not in flight any more.
    fn report_end(&mut self, id: u64, end: AttemptEnd) -> Vec<PolicyCommand> {
        let Some(request) = self.requests.get_mut(id) else { return Vec::new() };
        let outcome = end.outcome;
        request.last_outcome = Some(outcome);
        self.reasons.record_end(outcome);
        self.monitor.record_end(id, end.attempt, outcome.never_ran());
        let request_complete = outcome == AttemptOutcome::Served || !request.is_awaited();
        if matches!(outcome, AttemptOutcome::Overloaded | AttemptOutcome::EngineError) {
            if let Some(startup) = &mut self.startup {
                startup.admission.record_backpressure();
            }
        }
        let event = PolicyEvent::AttemptEnded {
            id,
            attempt: end.attempt,
            outcome,
            latency: end.latency,
            request_complete,
            cost: end.cost,
            load_report: end.load_report,
        };
        let commands = self.policy.on_event(now(), event);
        self.remove_if_done(id);
        commands
    }

    /// Ends the attempt of a request that is in flight.
    pub(super) fn end_attempt(&mut self, id: u64, outcome: AttemptOutcome) -> Vec<PolicyCommand> {
        let Some(attempt) = self.requests.take_in_flight(id) else { return Vec::new() };
        attempt.connection.release(id, outcome != AttemptOutcome::Served);
        let latency = now() - attempt.sent_at;
        if let Some(request) = self.requests.get_mut(id) {
            log_end(id, request, &attempt, outcome, latency);
            if !outcome.never_ran() {
                request.may_have_run_since.get_or_insert(attempt.sent_at);
            }
        }
        let end = AttemptEnd {
            attempt: attempt.number,
            outcome,
            latency,
            cost: attempt.cost,
            load_report: attempt.load_report,
        };
        let mut commands = self.report_end(id, end);
        // A request that was abandoned before has nobody to respond to.
        let is_awaited = self.requests.get(id).is_some_and(PendingRequest::is_awaited);
        if outcome == AttemptOutcome::Served && is_awaited {
            commands.extend(self.complete(id, Response::Served(attempt.result)));
        }
        commands
    }

    /// Withdraws the attempt of a request if it was not sent, for nothing is sent once the request is over; its end is
    /// reported with the next tick. An attempt that was sent in part can only be stopped by closing its connection: the
    /// commands that follow from that.
    pub(super) fn withdraw_attempt(&mut self, id: u64) -> Vec<PolicyCommand> {
        let Some(attempt) = self.requests.in_flight_mut(id) else { return Vec::new() };
        match attempt.connection.withdraw(id) {
            Withdrawal::TooLate => Vec::new(),
            Withdrawal::Partial => {
                let connection = Rc::clone(&attempt.connection);
                let engine = connection.engine;
                warn!(engine, "engine connection closed because a request was sent in part");
                self.close_connection(&connection, true)
            }
            Withdrawal::Complete => {
                let now = now();
                attempt.mark_withdrawn(now);
                let number = attempt.number;
                self.requests.schedule_cancellation(now, id, number);
                Vec::new()
            }
        }
    }

    /// Cancels the attempt of a request; false if it is not in flight, or is cancelled already.
    pub(super) fn cancel_attempt(&mut self, pool: &BufferPool, id: u64, number: u32) -> bool {
        let attempt = self.requests.attempt_mut(id, number).filter(|a| a.cancellation.is_none());
        let Some(attempt) = attempt else { return false };
        attempt.cancel(pool, id, now());
        true
    }

    /// Ends a cancelled attempt once its cancellation has taken effect, or schedules the next look.
    pub(super) fn check_cancellation(&mut self, runtime: &dyn ConnectionRuntime, id: u64, number: u32) {
        let Some(attempt) = self.requests.attempt_mut(id, number) else { return };
        let Some(delay) = attempt.cancellation_delay(now()) else { return };
        let outcome = attempt.cancelled_outcome;
        if delay > TimeDelta::ZERO {
            self.requests.schedule_cancellation(now() + delay, id, number);
            return;
        }
        let commands = self.end_attempt(id, outcome);
        self.execute(runtime, commands);
    }

    /// Takes in what an engine sent on a connection. Only what concerns an attempt on this connection is read: answers
    /// to duplicates, and under ids that were never here, are skipped whatever they hold.
    ///
    /// # Errors
    /// Where it breaks the protocol: nothing else on the connection is of use then.
    pub(in crate::core) fn on_answer(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        connection: &EngineConnection,
        parts: &[&[u8]],
    ) -> Result<(), EngineAnswerError> {
        let id = parse_id(parts.first().copied())?;
        if let Some(engine) = self.engines.get_mut(connection.engine) {
            engine.last_heard_at = Some(now());
        }
        let Some(number) = connection.attempt_of(id) else {
            release_late_result(runtime.pool(), connection, id, parts);
            return Ok(());
        };
        let answer = read_answer(parts)?;
        let effect = match self.requests.attempt_mut(id, number) {
            Some(attempt) => attempt.on_answer(runtime.pool(), id, &answer)?,
            None => AnswerEffect::None,
        };
        let commands = match effect {
            AnswerEffect::None => Vec::new(),
            AnswerEffect::Progress { kind, value } => {
                self.policy.on_event(now(), PolicyEvent::Progress { id, attempt: number, kind, value })
            }
            AnswerEffect::Ended(outcome) => self.end_attempt(id, outcome),
        };
        self.execute(runtime, commands);
        Ok(())
    }
}

/// The id of the request that an answer names.
fn parse_id(name: Option<&[u8]>) -> Result<u64, EngineAnswerError> {
    let text = name.and_then(|name| std::str::from_utf8(name).ok()).filter(|text| text.len() == 16);
    let id = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    id.ok_or(EngineAnswerError::InvalidId)
}

/// Releases the result that a late answer to an ended attempt announces.
fn release_late_result(pool: &BufferPool, connection: &EngineConnection, id: u64, parts: &[&[u8]]) {
    if !connection.has_ended_unserved(id) {
        return;
    }
    let Ok(answer) = read_answer(parts) else { return };
    if matches!(answer.kind, AnswerKind::Completed { pages } if pages > 1) {
        release_result(connection, pool, id);
    }
}

/// The command that sends an attempt.
fn query_command<'a>(request: &'a PendingRequest, name: &'a str, fields: &'a str) -> [&'a [u8]; 4] {
    [engine_command::QUERY, name.as_bytes(), fields.as_bytes(), &request.statement[..]]
}

/// The fields of the command that sends an attempt.
fn format_fields(request: &PendingRequest, time_left: TimeDelta) -> String {
    let fields = QueryFields {
        class: &request.class_name,
        time_left_ms: time_left.as_millis(),
        idempotency_key: request.idempotency_key.as_deref(),
        memory_grant_mb: request.memory_grant_mb,
        priority: request.priority,
    };
    fields.to_string()
}

fn log_end(
    id: u64,
    request: &PendingRequest,
    attempt: &InFlightAttempt,
    outcome: AttemptOutcome,
    latency: TimeDelta,
) {
    debug!(
        request = format_id(id),
        engine = attempt.connection.engine,
        attempt = attempt.number,
        ?outcome,
        latency_ms = latency.as_millis(),
        class = request.class_name,
        priority = request.priority,
        time_left_ms = (request.deadline - now()).as_millis(),
        completed = !request.is_awaited(),
        in_flight = attempt.load_report.in_flight,
        "attempt ended"
    );
}
