//! Updates of the endpoint list, and connections that end.

use super::{ConnectionRuntime, Coordinator};
use crate::core::attempt::{format_id, AttemptOutcome, CANCELLATION_GRACE};
use crate::core::clock::now;
use crate::core::endpoint_list::resolve_duplicates;
use crate::core::engine_connection::{EngineConnection, Withdrawal};
use crate::core::policy_driver::{PolicyCommand, PolicyEvent};
use crate::proto::events::{Endpoint, ListEvent};
use std::rc::Rc;
use tracing::{debug, info, warn};

impl Coordinator {
    /// Applies an event of the endpoint list; of one that was seen before, or comes late, only what is new.
    /// `is_cached`: the list as held before this process started, possibly out of date.
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
        self.record_event_number(&list);
        let listed = self.engines.listed_count();
        if let Some(startup) = &mut self.startup {
            startup.readiness.record_endpoint_list(listed);
        }
        self.execute(runtime, commands);
        runtime.wake();
    }

    fn forget_removed_engines(&mut self) {
        for number in self.engines.remove_expired(now()) {
            self.policy.forget_engine(number);
        }
    }

    /// Notes which event named each engine last, and the list's revision also where it names none.
    fn record_event_number(&mut self, list: &ListEvent) {
        self.engines.note_revision(list.revision);
        for member in &list.members {
            let number = self.policy.engine_number(&member.id);
            if let Some(engine) = self.engines.get_mut(number) {
                engine.last_event = list.n;
            }
        }
    }

    /// Applies a list's entries, with cordoned engines as draining; the commands that follow from it.
    pub(super) fn apply_members(&mut self, list: &ListEvent, is_cached: bool) -> Vec<PolicyCommand> {
        let with_cordons = self.apply_cordons(list);
        let effective = with_cordons.as_ref().unwrap_or(list);
        let event = PolicyEvent::EndpointList { list: effective, is_cached };
        let mut commands = self.policy.on_event(now(), event);
        for (entry, listed) in effective.members.iter().zip(&list.members) {
            let number = self.policy.engine_number(&entry.id);
            let engine = self.engines.get_or_insert(number);
            engine.listed_entry = Some(listed.clone());
            if engine.apply(entry, now()) {
                // Attempts for the former process would reach the one that has started since, or another engine that
                // has its address now.
                commands.extend(self.withdraw_unsent(number));
            }
            log_entry(number, entry, listed);
        }
        // No attempt may be sent after its engine drains: those that wait for a connection, or behind a slow peer, would.
        for number in 0..self.engines.len() {
            if self.engines.get(number).is_some_and(|engine| !engine.is_ready) {
                commands.extend(self.withdraw_unsent(number));
            }
        }
        commands
    }

    /// Withdraws the attempts that were not sent to an engine, and gives up its dials: none of it ran, so it is sent
    /// elsewhere whatever its class.
    fn withdraw_unsent(&mut self, engine: usize) -> Vec<PolicyCommand> {
        let mut commands = Vec::new();
        let connections = self.engines.get(engine).map(|engine| engine.connections.clone());
        for connection in connections.unwrap_or_default() {
            for id in connection.unsent_ids() {
                let is_here = self.requests.in_flight(id).is_some_and(|a| a.is_on(&connection));
                if is_here && connection.withdraw(id) == Withdrawal::Complete {
                    commands.extend(self.end_attempt(id, AttemptOutcome::NeverRan));
                }
            }
            if connection.is_dialing() {
                commands.extend(self.close_connection(&connection, false));
            }
        }
        commands
    }

    /// A connection to an engine for a request: one that is open, or a new one.
    ///
    /// # Errors
    /// The outcome of the attempt if there is none.
    pub(super) fn connection_for(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        id: u64,
        number: usize,
    ) -> Result<Rc<EngineConnection>, AttemptOutcome> {
        let limits = runtime.limits();
        let has_capacity = self.engines.connection_count() < limits.max_total;
        let Some(engine) = self.engines.get_mut(number) else { return Err(AttemptOutcome::Unreachable) };
        if let Some(connection) = engine.reusable_connection(id, limits) {
            return Ok(connection);
        }
        let connection = engine.add_connection(number, limits, has_capacity)?;
        if let Some(startup) = &mut self.startup {
            // Managers that start together must not dial in step.
            connection.set_dial_time(startup.dials.reserve_dial(now(), &engine.id));
        }
        runtime.start_connection(Rc::clone(&connection));
        Ok(connection)
    }

    /// A connection came up.
    pub(in crate::core) fn on_connection_up(&mut self, connection: &EngineConnection) {
        if let Some(startup) = &mut self.startup {
            startup.readiness.record_connection();
        }
        self.gossip_reachability(connection.engine, true);
    }

    /// A connection has ended. `reason` is empty where that is in order; `is_local`: it was closed by this process.
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
            self.gossip_reachability(connection.engine, false);
        }
        let commands = self.close_connection(connection, is_local);
        runtime.wake();
        self.execute(runtime, commands);
    }

    /// Closes a connection and ends every attempt on it, each once.
    ///
    /// An attempt that was not written completely never ran. One break is one fault of its engine, however many attempts
    /// were in flight. Where this process closes the connection (`is_local`), those attempts stay in flight until the
    /// close has reached the engine, for the next attempt would overtake it.
    pub(super) fn close_connection(
        &mut self,
        connection: &Rc<EngineConnection>,
        is_local: bool,
    ) -> Vec<PolicyCommand> {
        self.engines.remove_connection(connection);
        let mut commands = Vec::new();
        let mut fault_is_counted = is_local;
        let was_dialing = connection.is_dialing();
        for interrupted in connection.close() {
            let (id, number) = (interrupted.id, interrupted.attempt);
            let attempt = self.requests.attempt_mut(id, number).filter(|a| a.is_on(connection));
            let Some(attempt) = attempt else { continue };
            let outcome = match interrupted.is_unsent {
                // A dial that this machine could not make tells nothing of the engine.
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
                attempt.mark_closed(outcome, now);
                self.requests.schedule_cancellation(now + CANCELLATION_GRACE, id, number);
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
        debug!(engine, request = format_id(request), attempt, "attempt was on the lost connection");
    }
}
