//! The life cycle of an attempt: it is sent at most once, cancelled at most once, and ends once.
//!
//! Input: commands of the policy, and answers of engines. Output: commands to engines, and the end of each
//! attempt as an event for the policy. State: none in this module; the attempt is part of its request's entry
//! in the request table.

use super::Coordinator;
use crate::core::attempt::{release_result, AnswerEffect, AttemptOutcome, InFlightAttempt};
use crate::core::buffer_pool::BufferPool;
use crate::core::clock::now;
use crate::core::connection_runtime::ConnectionRuntime;
use crate::core::engine_connection::{EngineConnection, Withdrawal};
use crate::core::invariants::SentAttempt;
use crate::core::policy_driver::{PolicyCommand, PolicyEvent};
use crate::core::request::{format_request_id, Response};
use crate::core::request_table::PendingRequest;
use crate::core::send_guard::{OutgoingAttempt, SendRejection};
use crate::proto::engine_answer::{read_answer, AnswerKind, EngineAnswerError, EngineLoadReport, QueryCost};
use crate::proto::engine_command::{self, QueryFields};
use sprucelink_policy::{TimeDelta, Timestamp};
use std::rc::Rc;
use tracing::{debug, error, warn};

/// Time by which the deadline in an unsent command may exceed the client's deadline; beyond this excess the
/// command is queued again with the time that is left. The excess has to stay below the platform's slack on
/// deadlines (150 ms), and above the usual delays of a busy machine, which would otherwise cause commands to
/// be queued repeatedly.
const MAX_DEADLINE_EXCESS: TimeDelta = TimeDelta::from_millis(50);

/// The end of an attempt, as reported to the policy.
struct AttemptEnd {
    /// The attempt's number among its request's attempts, from 0.
    attempt: u32,
    outcome: AttemptOutcome,
    /// Time since the attempt was queued to its connection; zero if it never was.
    latency: TimeDelta,
    /// The cost of the query; `None` if the engine has not reported it.
    cost: Option<QueryCost>,
    /// The load report with which the engine rejected, failed or served the attempt; without values if the
    /// engine sent none.
    load_report: EngineLoadReport,
}

/// Whether the command of an attempt that is about to be sent is queued again.
enum Requeue {
    /// The command is recent enough to be sent.
    NotNeeded,
    /// The command was queued again.
    Queued,
    /// The pool has no buffer for the new command.
    NoBuffer,
}

impl AttemptEnd {
    /// The end of an attempt that was never queued to a connection.
    fn unsent(attempt: u32, outcome: AttemptOutcome) -> AttemptEnd {
        let latency = TimeDelta::ZERO;
        AttemptEnd { attempt, outcome, latency, cost: None, load_report: EngineLoadReport::default() }
    }
}

impl Coordinator {
    /// Starts an attempt of a request at an engine; returns the policy's commands if the attempt ends at
    /// once. An attempt that cannot be queued also gets a number: the policy has counted it and expects its
    /// end.
    pub(super) fn start_attempt(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        id: u64,
        engine: usize,
    ) -> Vec<PolicyCommand> {
        let Some(request) = self.requests.get_mut(id) else { return Vec::new() };
        let attempt = request.attempts;
        request.attempts += 1;
        // Nothing is sent after the final response, even if the policy requests an attempt.
        if !request.is_awaited() {
            let request = format_request_id(id);
            error!(request, "send for completed request dropped");
            return self.report_end(id, AttemptEnd::unsent(attempt, AttemptOutcome::NeverRan));
        }
        let cost_ms = request.cost_ms;
        let time_left = request.deadline - now();
        self.statistics.record_attempt();
        self.fleet.record_attempt(now(), attempt > 0, self.engines.get(engine), cost_ms);
        let connection = match self.connection_for(runtime, id, engine) {
            Ok(connection) => connection,
            Err(outcome) => return self.report_end(id, AttemptEnd::unsent(attempt, outcome)),
        };
        self.queue_command(runtime.pool(), id, attempt, connection, time_left)
    }

    /// Queues the command of an attempt to a connection, from which time the attempt is in flight; if the
    /// pool has no buffer, the attempt ends as one that never ran.
    fn queue_command(
        &mut self,
        pool: &BufferPool,
        id: u64,
        attempt: u32,
        connection: Rc<EngineConnection>,
        time_left: TimeDelta,
    ) -> Vec<PolicyCommand> {
        let Some(request) = self.requests.get_mut(id) else { return Vec::new() };
        let name = format_request_id(id);
        let fields = format_fields(request, time_left);
        if !connection.send(pool, id, attempt, &query_command(request, &name, &fields)) {
            return self.report_end(id, AttemptEnd::unsent(attempt, AttemptOutcome::NeverRan));
        }
        request.in_flight = Some(InFlightAttempt::new(attempt, connection, now(), time_left));
        Vec::new()
    }

    /// Authorizes the sending of an attempt just before its first byte, and charges a retry to the retry
    /// budget; returns false if the attempt may not be sent. No attempt is sent without this check.
    ///
    /// An attempt that breaks a rule is withdrawn and ends as one that never ran. If the attempt is no longer
    /// in flight, only its command is withdrawn. An attempt that has waited for too long is queued again with
    /// the time that is left, and is checked again before its first byte.
    pub(in crate::core) fn authorize_send(
        &mut self,
        pool: &BufferPool,
        connection: &EngineConnection,
        id: u64,
        attempt: u32,
    ) -> bool {
        let now = now();
        let Some(outgoing) = self.outgoing_attempt(connection, id, attempt) else {
            connection.withdraw(id);
            return false;
        };
        if let Err(reason) = self.send_guard.check(now, self.fleet.spare_retries(), &outgoing) {
            self.withdraw_unauthorized(now, connection, id, attempt, reason);
            return false;
        }
        match self.requeue_if_delayed(now, pool, connection, id) {
            Requeue::NotNeeded => {
                self.record_first_byte(now, connection, id, &outgoing);
                true
            }
            Requeue::Queued => false,
            Requeue::NoBuffer => {
                self.withdraw_unauthorized(now, connection, id, attempt, SendRejection::NoBuffer);
                false
            }
        }
    }

    /// The current state of an attempt that is about to be sent; `None` if it is no longer in flight on this
    /// connection, or is cancelled.
    fn outgoing_attempt(
        &self,
        connection: &EngineConnection,
        id: u64,
        attempt: u32,
    ) -> Option<OutgoingAttempt> {
        let request = self.requests.get(id)?;
        let in_flight = request.in_flight.as_ref()?;
        let is_current = in_flight.number == attempt && in_flight.is_on(connection);
        if !is_current || in_flight.cancellation.is_some() {
            return None;
        }
        Some(OutgoingAttempt {
            request_is_awaited: request.is_awaited(),
            deadline: request.deadline,
            class: request.class,
            // An attempt that was authorized before is already counted in the retry budget.
            charges_retry_budget: attempt > 0 && !in_flight.is_authorized,
            may_have_run_since: request.may_have_run_since,
            engine_is_ready: self.engines.get(connection.engine).is_some_and(|engine| engine.is_ready),
        })
    }

    /// Withdraws an attempt that must not be sent, for `reason`; `process_due` ends it.
    fn withdraw_unauthorized(
        &mut self,
        now: Timestamp,
        connection: &EngineConnection,
        id: u64,
        attempt: u32,
        reason: SendRejection,
    ) {
        if let Some(in_flight) = self.requests.attempt_mut(id, attempt) {
            in_flight.mark_withdrawn(now);
        }
        connection.withdraw(id);
        self.statistics.record_withdrawal(reason);
        self.requests.schedule_cancellation_check(now, id, attempt);
        debug!(
            request = format_request_id(id),
            engine = connection.engine,
            attempt,
            ?reason,
            "attempt withdrawn before it was sent"
        );
    }

    /// Queues the command of an attempt again, with the time that is left, if the deadline in the command
    /// exceeds the client's deadline by more than [`MAX_DEADLINE_EXCESS`].
    fn requeue_if_delayed(
        &mut self,
        now: Timestamp,
        pool: &BufferPool,
        connection: &EngineConnection,
        id: u64,
    ) -> Requeue {
        let Some(request) = self.requests.get_mut(id) else { return Requeue::NotNeeded };
        let time_left = request.deadline - now;
        let Some(in_flight) = &mut request.in_flight else { return Requeue::NotNeeded };
        if in_flight.sent_time_left - time_left <= MAX_DEADLINE_EXCESS {
            return Requeue::NotNeeded;
        }
        in_flight.sent_time_left = time_left;
        let attempt = in_flight.number;
        let name = format_request_id(id);
        let fields = format_fields(request, time_left);
        if connection.requeue(pool, id, attempt, &query_command(request, &name, &fields)) {
            Requeue::Queued
        } else {
            Requeue::NoBuffer
        }
    }

    /// Records that the first byte of an attempt is about to be sent. May be called again for the same
    /// attempt while its command waits for a slow peer: the retry budget is charged only at the first call,
    /// and the invariant monitor ignores a repeated call.
    fn record_first_byte(
        &mut self,
        now: Timestamp,
        connection: &EngineConnection,
        id: u64,
        outgoing: &OutgoingAttempt,
    ) {
        let not_ready_since = self.engines.get(connection.engine).and_then(|engine| engine.not_ready_since);
        let Some(in_flight) = self.requests.in_flight_mut(id) else { return };
        let was_authorized = in_flight.is_authorized;
        in_flight.is_authorized = true;
        let sent = SentAttempt {
            id,
            attempt: in_flight.number,
            class: outgoing.class,
            request_is_awaited: outgoing.request_is_awaited,
            deadline: outgoing.deadline,
            sent_time_left: in_flight.sent_time_left,
            not_ready_since,
            spare_retries: self.fleet.spare_retries(),
        };
        if !was_authorized {
            self.send_guard.record_first_byte(now, outgoing.charges_retry_budget);
        }
        self.monitor.record_first_byte(now, &sent);
    }

    /// Counts the end of an attempt and reports it to the policy; returns the policy's commands. The caller
    /// has removed the attempt from the request, if it was in flight.
    fn report_end(&mut self, id: u64, end: AttemptEnd) -> Vec<PolicyCommand> {
        let Some(request) = self.requests.get_mut(id) else { return Vec::new() };
        let outcome = end.outcome;
        request.last_outcome = Some(outcome);
        self.statistics.record_attempt_end(outcome);
        self.monitor.record_end(id, end.attempt, outcome.never_ran());
        let request_complete = outcome == AttemptOutcome::Served || !request.is_awaited();
        if matches!(outcome, AttemptOutcome::Overloaded | AttemptOutcome::EngineError) {
            if let Some(startup) = &mut self.startup {
                startup.record_engine_failure();
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

    /// Ends the attempt in flight of a request, and completes the request if it was served; returns the
    /// policy's commands.
    pub(super) fn end_attempt(&mut self, id: u64, outcome: AttemptOutcome) -> Vec<PolicyCommand> {
        let Some(attempt) = self.requests.take_in_flight(id) else { return Vec::new() };
        attempt.connection.release(id, outcome != AttemptOutcome::Served);
        let latency = now() - attempt.queued_at;
        if let Some(request) = self.requests.get_mut(id) {
            log_end(id, request, &attempt, outcome, latency);
            if !outcome.never_ran() {
                request.may_have_run_since.get_or_insert(attempt.queued_at);
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
        // An abandoned request gets no response.
        let is_awaited = self.requests.get(id).is_some_and(PendingRequest::is_awaited);
        if outcome == AttemptOutcome::Served && is_awaited {
            commands.extend(self.complete(id, Response::Served(attempt.result)));
        }
        commands
    }

    /// Withdraws the attempt of a completed or abandoned request if no byte of it was sent; `process_due`
    /// ends the attempt. An attempt that was sent in part can only be stopped by closing its connection.
    /// Returns the policy's commands.
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
                self.requests.schedule_cancellation_check(now, id, number);
                Vec::new()
            }
        }
    }

    /// Cancels an attempt; returns false if it is not in flight or is already cancelled.
    pub(super) fn cancel_attempt(&mut self, pool: &BufferPool, id: u64, attempt: u32) -> bool {
        let in_flight = self.requests.attempt_mut(id, attempt).filter(|a| a.cancellation.is_none());
        let Some(in_flight) = in_flight else { return false };
        in_flight.cancel(pool, id, now());
        true
    }

    /// Ends a cancelled attempt once its cancellation has taken effect, or schedules the next check.
    pub(super) fn check_cancellation(&mut self, runtime: &dyn ConnectionRuntime, id: u64, attempt: u32) {
        let Some(in_flight) = self.requests.attempt_mut(id, attempt) else { return };
        let Some(delay) = in_flight.cancellation_delay(now()) else { return };
        let outcome = in_flight.cancelled_outcome;
        if delay > TimeDelta::ZERO {
            self.requests.schedule_cancellation_check(now() + delay, id, attempt);
            return;
        }
        let commands = self.end_attempt(id, outcome);
        self.execute(runtime, commands);
    }

    /// Applies an answer that an engine sent on a connection. Only an answer to an attempt on this connection
    /// is parsed. All other answers, such as an answer to a duplicate, are ignored even if they are
    /// malformed; a late result of several pages is released.
    ///
    /// # Errors
    /// If the answer violates the protocol. The connection must then be closed, because no further byte on it
    /// can be trusted.
    pub(in crate::core) fn on_answer(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        connection: &EngineConnection,
        parts: &[&[u8]],
    ) -> Result<(), EngineAnswerError> {
        let id = parse_id(parts.first().copied())?;
        if let Some(engine) = self.engines.get_mut(connection.engine) {
            engine.last_answered_at = Some(now());
        }
        let Some(attempt) = connection.attempt_of(id) else {
            release_late_result(runtime.pool(), connection, id, parts);
            return Ok(());
        };
        let answer = read_answer(parts)?;
        let effect = match self.requests.attempt_mut(id, attempt) {
            Some(in_flight) => in_flight.on_answer(runtime.pool(), id, &answer)?,
            None => AnswerEffect::None,
        };
        let commands = match effect {
            AnswerEffect::None => Vec::new(),
            AnswerEffect::Progress { topic, value } => {
                self.policy.on_event(now(), PolicyEvent::Progress { id, attempt, topic, value })
            }
            AnswerEffect::Ended(outcome) => self.end_attempt(id, outcome),
        };
        self.execute(runtime, commands);
        Ok(())
    }
}

/// Parses the request id in an answer: 16 hexadecimal digits.
fn parse_id(name: Option<&[u8]>) -> Result<u64, EngineAnswerError> {
    let text = name.and_then(|name| std::str::from_utf8(name).ok()).filter(|text| text.len() == 16);
    let id = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    id.ok_or(EngineAnswerError::InvalidId)
}

/// Releases the result that a late answer to an ended attempt announces. The engine would otherwise keep the
/// result until all its pages were fetched.
fn release_late_result(pool: &BufferPool, connection: &EngineConnection, id: u64, parts: &[&[u8]]) {
    if !connection.has_ended_unserved(id) {
        return;
    }
    let Ok(answer) = read_answer(parts) else { return };
    if matches!(answer.kind, AnswerKind::Completed { pages } if pages > 1) {
        release_result(connection, pool, id);
    }
}

/// The parts of the command that sends an attempt: its name, the request id, the fields and the statement.
fn query_command<'a>(request: &'a PendingRequest, name: &'a str, fields: &'a str) -> [&'a [u8]; 4] {
    [engine_command::QUERY, name.as_bytes(), fields.as_bytes(), &request.statement[..]]
}

/// The fields of the command that sends an attempt, in the form of the engines' protocol.
fn format_fields(request: &PendingRequest, time_left: TimeDelta) -> String {
    let fields = QueryFields {
        class: &request.class_name,
        time_left_ms: time_left.as_millis(),
        idempotency_key: request.idempotency_key.as_deref(),
        memory_grant_mb: request.memory_grant_mb,
        priority: request.level,
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
        request = format_request_id(id),
        engine = attempt.connection.engine,
        attempt = attempt.number,
        ?outcome,
        latency_ms = latency.as_millis(),
        class = request.class_name,
        priority = request.level,
        time_left_ms = (request.deadline - now()).as_millis(),
        completed = !request.is_awaited(),
        in_flight = attempt.load_report.in_flight,
        "attempt ended"
    );
}
