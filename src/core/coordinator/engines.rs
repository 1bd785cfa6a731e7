//! The endpoint list and the connections to its engines.
//!
//! Input: events of the list, and connections that open or end. Output: events for the policy, dials, and the
//! ends of attempts that were withdrawn or interrupted. State: none in this module; the engine table holds
//! the state.

use super::Coordinator;
use crate::core::attempt::{AttemptOutcome, CANCELLATION_GRACE};
use crate::core::clock::now;
use crate::core::connection_runtime::ConnectionRuntime;
use crate::core::endpoint_list::resolve_duplicates;
use crate::core::engine_connection::{EngineConnection, Withdrawal};
use crate::core::policy_driver::{PolicyCommand, PolicyEvent};
use crate::core::request::format_request_id;
use crate::proto::events::{Endpoint, ListEvent};
use std::rc::Rc;
use tracing::{debug, info, warn};

impl Coordinator {
    /// Applies an event of the endpoint list or, if the event arrives late, the part of it that is new.
    /// `is_cached`: whether the list was stored before this process started and may be out of date.
    pub(in crate::core) fn on_endpoint_list(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        list: &ListEvent,
        is_cached: bool,
    ) {
        let Some(accepted) = self.engines.accept_event(list) else { return };
        let startup = self.startup.as_mut();
        let filtered = startup.and_then(|startup| startup.filter_list(&accepted, now()));
        let mut list = filtered.unwrap_or(accepted);
        resolve_duplicates(&mut list);
        self.engines.add_omitted_as_gone(&mut list);
        self.record_listed_ids(&list);
        self.forget_removed_engines();
        let commands = self.apply_members(&list, is_cached);
        self.record_revision_and_event(&list);
        let listed = self.engines.listed_count();
        if let Some(startup) = &mut self.startup {
            startup.record_endpoint_list(listed);
        }
        self.execute(runtime, commands);
        runtime.wake();
    }

    fn forget_removed_engines(&mut self) {
        for engine in self.engines.remove_expired(now()) {
            self.policy.forget_engine(engine);
        }
    }

    /// Records the list's revision, and for each engine that the list names the number of the event. The
    /// revision is recorded even if the list names no engine.
    fn record_revision_and_event(&mut self, list: &ListEvent) {
        self.engines.record_revision(list.revision);
        for member in &list.endpoints {
            let index = self.policy.engine_index(&member.id);
            if let Some(engine) = self.engines.get_mut(index) {
                engine.last_event = list.number;
            }
        }
    }

    /// Applies the entries of a list, with cordoned engines as draining; returns the policy's commands.
    pub(super) fn apply_members(&mut self, list: &ListEvent, is_cached: bool) -> Vec<PolicyCommand> {
        let with_cordons = self.apply_cordons(list);
        let effective = with_cordons.as_ref().unwrap_or(list);
        let event = PolicyEvent::EndpointList { list: effective, is_cached };
        let mut commands = self.policy.on_event(now(), event);
        for (entry, listed) in effective.endpoints.iter().zip(&list.endpoints) {
            let index = self.policy.engine_index(&entry.id);
            let engine = self.engines.get_or_insert(index);
            engine.listed_entry = Some(listed.clone());
            if engine.apply(entry, now()) {
                // An attempt for the former process would reach the restarted process, or another engine at
                // the address.
                commands.extend(self.withdraw_unsent(index));
            }
            log_entry(index, entry, listed);
        }
        // No attempt may be sent to a draining engine. Without this step, attempts that wait for a connection
        // or behind a slow peer would still be sent.
        for index in 0..self.engines.len() {
            if self.engines.get(index).is_some_and(|engine| !engine.is_ready) {
                commands.extend(self.withdraw_unsent(index));
            }
        }
        commands
    }

    /// Withdraws the unsent attempts at an engine and cancels its dials; returns the policy's commands. These
    /// attempts never ran, so the policy may retry requests of any class.
    fn withdraw_unsent(&mut self, engine: usize) -> Vec<PolicyCommand> {
        let mut commands = Vec::new();
        let connections = self.engines.get(engine).map(|engine| engine.connections.clone());
        for connection in connections.unwrap_or_default() {
            for id in connection.unsent_ids() {
                let is_on_connection = self.requests.in_flight(id).is_some_and(|a| a.is_on(&connection));
                if is_on_connection && connection.withdraw(id) == Withdrawal::Complete {
                    commands.extend(self.end_attempt(id, AttemptOutcome::NeverRan));
                }
            }
            if connection.is_dialing() {
                commands.extend(self.close_connection(&connection, false));
            }
        }
        commands
    }

    /// Returns a connection to an engine for an attempt of a request: an existing connection if one accepts
    /// the request, otherwise a new one. `index`: the index of the engine.
    ///
    /// # Errors
    /// The outcome of the attempt, if the engine's address is unknown or a limit on connections is reached.
    pub(super) fn connection_for(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        id: u64,
        index: usize,
    ) -> Result<Rc<EngineConnection>, AttemptOutcome> {
        let limits = runtime.limits();
        let may_add_connection = self.engines.connection_count() < limits.max_total;
        let Some(engine) = self.engines.get_mut(index) else { return Err(AttemptOutcome::Unreachable) };
        if let Some(connection) = engine.reusable_connection(id, limits) {
            return Ok(connection);
        }
        let connection = engine.add_connection(index, limits, may_add_connection)?;
        if let Some(startup) = &mut self.startup {
            // Managers that start together must not dial all engines at the same time.
            connection.set_dial_time(startup.reserve_dial(now(), &engine.id));
        }
        runtime.start_connection(Rc::clone(&connection));
        Ok(connection)
    }

    /// Records that a connection has opened, for readiness and gossip.
    pub(in crate::core) fn on_connection_up(&mut self, connection: &EngineConnection) {
        if let Some(startup) = &mut self.startup {
            startup.record_connection();
        }
        self.fleet.record_connection(now(), self.engines.get(connection.engine), true);
    }

    /// Handles the end of a connection. `reason`: text for the log, empty if the end is not a fault;
    /// `is_local`: whether this process closed the connection or could not make it.
    pub(in crate::core) fn on_connection_down(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        connection: &Rc<EngineConnection>,
        reason: &str,
        is_local: bool,
    ) {
        if !reason.is_empty() {
            log_connection_loss(connection, reason);
        }
        if connection.is_dialing() && !is_local {
            self.fleet.record_connection(now(), self.engines.get(connection.engine), false);
        }
        let commands = self.close_connection(connection, is_local);
        runtime.wake();
        self.execute(runtime, commands);
    }

    /// Closes a connection and ends each attempt on it; returns the policy's commands.
    ///
    /// An attempt that was not sent completely never ran. A lost connection counts as one fault of its
    /// engine, regardless of the number of attempts in flight. If this process closes the connection
    /// (`is_local`), the sent attempts stay in flight until the close has reached the engine; otherwise the
    /// next attempts of their requests could run concurrently with them.
    pub(super) fn close_connection(
        &mut self,
        connection: &Rc<EngineConnection>,
        is_local: bool,
    ) -> Vec<PolicyCommand> {
        self.engines.remove_connection(connection);
        let mut commands = Vec::new();
        // Of the sent attempts, only the first counts as a fault of the engine, and none after a local close.
        let mut fault_is_counted = is_local;
        let was_dialing = connection.is_dialing();
        for interrupted in connection.close() {
            let id = interrupted.id;
            let attempt = interrupted.attempt;
            let in_flight = self.requests.attempt_mut(id, attempt).filter(|a| a.is_on(connection));
            let Some(in_flight) = in_flight else { continue };
            let outcome = match interrupted.is_unsent {
                // A dial that failed for a local reason is not a fault of the engine.
                true if was_dialing && !is_local => AttemptOutcome::Unreachable,
                true => AttemptOutcome::NeverRan,
                false if fault_is_counted => AttemptOutcome::ConnectionClosed,
                false => AttemptOutcome::ConnectionBroken,
            };
            if !interrupted.is_unsent {
                fault_is_counted = true;
            }
            if is_local && !interrupted.is_unsent {
                let now = now();
                in_flight.mark_closed(outcome, now);
                self.requests.schedule_cancellation_check(now + CANCELLATION_GRACE, id, attempt);
            } else {
                commands.extend(self.end_attempt(id, outcome));
            }
        }
        commands
    }
}

fn log_entry(engine: usize, effective: &Endpoint, listed: &Endpoint) {
    info!(
        engine_id = listed.id,
        phase = ?listed.phase,
        engine,
        address = effective.address,
        cordoned = effective.phase != listed.phase,
        "endpoint updated"
    );
}

fn log_connection_loss(connection: &EngineConnection, reason: &str) {
    let engine = connection.engine;
    let attempts = connection.attempt_count();
    warn!(engine, attempts, reason, "engine connection lost");
    for (request, attempt) in connection.attempts() {
        debug!(engine, request = format_request_id(request), attempt, "attempt was on the lost connection");
    }
}
