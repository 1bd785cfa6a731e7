//! The engine table: the engines of the endpoint list, by index, and the connections to each.
//!
//! Input: events of the endpoint list, and connections that open and close. Output: the part of an event that
//! is new, and a connection for an attempt. State: each engine's last entry and connections, and the position
//! in the list. The `coordinator` module decides what follows from a change.

use super::attempt::AttemptOutcome;
use super::engine_connection::{ConnectionLimits, EngineConnection};
use crate::proto::events::{Endpoint, EndpointPhase, ListEvent};
use sprucelink_policy::{TimeDelta, Timestamp};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::warn;

/// The number of listed engines, and how many of them get no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCounts {
    /// Number of listed engines.
    pub listed: usize,
    /// Number of listed engines that get no requests: cordoned, or avoided by the policy.
    pub avoided: usize,
}

/// An engine of the endpoint list.
#[derive(Default)]
pub(super) struct Engine {
    /// Id of the engine in the list. Indices differ between managers, ids do not.
    pub(super) id: String,
    /// Address of the engine; `None` if the address in the list cannot be parsed.
    pub(super) address: Option<SocketAddr>,
    /// Last start of the engine as listed, in Unix milliseconds; 0 if the list has none.
    pub(super) started_at_ms: i64,
    /// Connections to the engine that are open or being dialed.
    pub(super) connections: Vec<Rc<EngineConnection>>,
    /// Time at which the engine was removed from the list; `None` if it is listed.
    pub(super) removed_at: Option<Timestamp>,
    /// Time at which the engine ceased to be listed as ready or was cordoned; `None` while it is ready.
    pub(super) not_ready_since: Option<Timestamp>,
    /// Time at which the engine last answered; `None` if it never did.
    pub(super) last_answered_at: Option<Timestamp>,
    /// The engine's last entry in the list, before cordons are applied.
    pub(super) listed_entry: Option<Endpoint>,
    /// Whether the engine is listed as ready and not cordoned; otherwise no attempt may be sent to the
    /// engine.
    pub(super) is_ready: bool,
    /// Number of the last event that named the engine.
    pub(super) last_event: u64,
}

impl Engine {
    /// Whether the engine is in the list, with a valid address and a phase other than gone.
    pub(super) fn is_listed(&self) -> bool {
        self.address.is_some() && self.removed_at.is_none()
    }

    /// Applies the engine's entry, in which a cordoned engine is draining. Returns whether the engine's
    /// address or start time has changed. The connections of a moved, restarted or gone engine are retired,
    /// because they may lead to another process.
    pub(super) fn apply(&mut self, entry: &Endpoint, now: Timestamp) -> bool {
        let address = entry.address.parse().ok();
        let has_moved = self.address != address || self.started_at_ms != entry.up_since_ms;
        self.address = address;
        self.started_at_ms = entry.up_since_ms;
        self.is_ready = entry.phase == EndpointPhase::Ready;
        self.not_ready_since = if self.is_ready { None } else { self.not_ready_since.or(Some(now)) };
        self.id.clone_from(&entry.id);
        self.removed_at = (entry.phase == EndpointPhase::Gone).then_some(now);
        if has_moved || self.removed_at.is_some() {
            self.connections.iter().for_each(|connection| connection.retire());
        }
        has_moved
    }

    /// A connection that accepts a request; `None` if there is none. An open connection is preferred to one
    /// that is being dialed, and then the connection with the most attempts, so that the other connections
    /// become idle and are closed.
    pub(super) fn reusable_connection(
        &self,
        id: u64,
        limits: &ConnectionLimits,
    ) -> Option<Rc<EngineConnection>> {
        let accepting = self.connections.iter().filter(|connection| connection.accepts(id, limits));
        let most_used =
            accepting.max_by_key(|connection| (!connection.is_dialing(), connection.attempt_count()));
        most_used.map(Rc::clone)
    }

    /// Adds a connection that the caller has to dial. `engine`: the index of this engine.
    /// `may_add_connection`: whether the connections to all engines are below their limit.
    ///
    /// # Errors
    /// The outcome of the attempt, if the engine's address is unknown or a limit on connections is reached.
    pub(super) fn add_connection(
        &mut self,
        engine: usize,
        limits: &ConnectionLimits,
        may_add_connection: bool,
    ) -> Result<Rc<EngineConnection>, AttemptOutcome> {
        let address = self.address.ok_or(AttemptOutcome::Unreachable)?;
        // Connections to engines have a separate limit, so that they cannot exhaust the file descriptors for
        // connections of clients.
        if self.connections.len() >= limits.max_per_engine || !may_add_connection {
            return Err(AttemptOutcome::NeverRan);
        }
        let connection = EngineConnection::new(engine, address);
        self.connections.push(Rc::clone(&connection));
        Ok(connection)
    }
}

/// All engines by index, and the position in the endpoint list.
pub(super) struct EngineTable {
    engines: Vec<Engine>,
    /// The number of the last event of the list; 0 before the first event.
    last_event: u64,
    /// The highest revision of the list so far. It is kept after the engines of that list are removed.
    revision: u64,
    /// Time for which an engine is kept after its removal from the list. No request is pending for longer
    /// than this time.
    retention: TimeDelta,
}

impl EngineTable {
    /// Creates a table without engines. `retention`: time for which an engine is kept after its removal from
    /// the list, at least the longest deadline of a request.
    pub(super) fn new(retention: TimeDelta) -> EngineTable {
        EngineTable { engines: Vec::new(), last_event: 0, revision: 0, retention }
    }

    /// The number of indices, including the indices of removed engines.
    pub(super) fn len(&self) -> usize {
        self.engines.len()
    }

    /// The engine at an index; `None` if the table has no such index.
    pub(super) fn get(&self, engine: usize) -> Option<&Engine> {
        self.engines.get(engine)
    }

    /// The engine at an index; `None` if the table has no such index.
    pub(super) fn get_mut(&mut self, engine: usize) -> Option<&mut Engine> {
        self.engines.get_mut(engine)
    }

    /// The engine at an index; adds an empty engine if the table has no such index.
    pub(super) fn get_or_insert(&mut self, engine: usize) -> &mut Engine {
        let len = self.engines.len().max(engine + 1);
        self.engines.resize_with(len, Engine::default);
        &mut self.engines[engine]
    }

    /// All engines in the order of their indices. An index that is free has an empty engine.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter()
    }

    /// The last entry of the engine with this id in the list, before cordons are applied.
    pub(super) fn listed_entry(&self, id: &str) -> Option<Endpoint> {
        self.engines.iter().find(|engine| engine.id == id)?.listed_entry.clone()
    }

    /// The number of listed engines.
    pub(super) fn listed_count(&self) -> usize {
        self.engines.iter().filter(|engine| engine.is_listed()).count()
    }

    /// The number of connections to all engines that are open or being dialed.
    pub(super) fn connection_count(&self) -> usize {
        self.engines.iter().map(|engine| engine.connections.len()).sum()
    }

    /// The number of the last event that was applied or skipped; 0 before the first event.
    pub(super) fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Records the number of an event that is skipped, so that the next poll continues after it.
    pub(super) fn skip_event(&mut self, event: u64) {
        self.last_event = self.last_event.max(event);
    }

    /// The part of an event that is new; `None` if nothing is new. Records the event's number if it is higher
    /// than the last one.
    ///
    /// An event whose number is not higher is new in two cases. If its revision is higher than all earlier
    /// revisions, the feed has restarted its numbering; without this rule, every further event would be
    /// ignored because of its number. If the event arrives out of order, it applies to the known engines that
    /// no later event has named.
    pub(super) fn accept_event(&mut self, list: &ListEvent) -> Option<ListEvent> {
        if list.number > self.last_event {
            self.last_event = list.number;
            return Some(list.clone());
        }
        if list.revision > self.revision {
            self.restart_numbering(list);
            return Some(list.clone());
        }
        let is_newer = |member: &Endpoint| {
            self.engines.iter().any(|engine| engine.id == member.id && engine.last_event < list.number)
        };
        let members: Vec<Endpoint> = list.endpoints.iter().filter(|m| is_newer(m)).cloned().collect();
        if members.is_empty() {
            return None;
        }
        Some(ListEvent {
            number: list.number,
            revision: list.revision,
            is_complete: false,
            endpoints: members,
        })
    }

    fn restart_numbering(&mut self, list: &ListEvent) {
        warn!(
            event = list.number,
            last_event = self.last_event,
            revision = list.revision,
            held_revision = self.revision,
            "event numbering restarted by a list of a new revision"
        );
        self.engines.iter_mut().for_each(|engine| engine.last_event = 0);
        self.last_event = list.number;
    }

    /// Adds an entry with phase gone for each known engine that a complete list omits; leaves other lists
    /// unchanged.
    pub(super) fn add_omitted_as_gone(&self, list: &mut ListEvent) {
        if !list.is_complete {
            return;
        }
        let named: BTreeSet<&str> = list.endpoints.iter().map(|member| member.id.as_str()).collect();
        let omitted =
            self.engines.iter().filter(|e| e.removed_at.is_none() && !named.contains(e.id.as_str()));
        let entries = omitted.filter_map(|engine| engine.listed_entry.clone());
        let gone: Vec<Endpoint> =
            entries.map(|entry| Endpoint { phase: EndpointPhase::Gone, ..entry }).collect();
        list.endpoints.extend(gone);
    }

    /// Records the revision of an applied list, which may name no engine.
    pub(super) fn record_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Removes the engines that have no connection and were removed from the list longer than the retention
    /// time ago; returns their indices, which may be reused.
    pub(super) fn remove_expired(&mut self, now: Timestamp) -> Vec<usize> {
        let mut removed = Vec::new();
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let is_expired = engine.removed_at.is_some_and(|at| now - at > self.retention);
            if is_expired && engine.connections.is_empty() {
                *engine = Engine::default();
                removed.push(index);
            }
        }
        removed
    }

    /// Removes a connection from its engine.
    pub(super) fn remove_connection(&mut self, connection: &Rc<EngineConnection>) {
        if let Some(engine) = self.engines.get_mut(connection.engine) {
            engine.connections.retain(|other| !Rc::ptr_eq(other, connection));
        }
    }

    /// Sets the time for which removed engines are kept.
    #[cfg(test)]
    pub(super) fn set_retention(&mut self, retention: TimeDelta) {
        self.retention = retention;
    }
}
