//! The engine table: the engines of the endpoint list, by number, and the connections to each.
//!
//! It holds state only. The `coordinator` module applies updates of the list and closes connections.

use super::attempt::AttemptOutcome;
use super::engine_connection::{ConnectionLimits, EngineConnection};
use crate::proto::events::{Endpoint, EndpointPhase, ListEvent};
use sprucelink_policy::{TimeDelta, Timestamp};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::warn;

/// How many engines there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCounts {
    /// Engines that are listed.
    pub listed: usize,
    /// Those of them that get no requests: cordoned, or avoided by the policy.
    pub avoided: usize,
}

/// An engine of the endpoint list.
#[derive(Default)]
pub(super) struct Engine {
    /// Its id in the list. Numbers differ between managers, ids do not.
    pub(super) id: String,
    /// Where it listens; `None` where the list's address cannot be read.
    pub(super) address: Option<SocketAddr>,
    /// Its last start as listed, in Unix milliseconds; 0 where none is told.
    pub(super) started_at_ms: i64,
    /// Its connections that are open or being dialled.
    pub(super) connections: Vec<Rc<EngineConnection>>,
    /// Since when it is withdrawn from the list.
    pub(super) removed_at: Option<Timestamp>,
    /// Since when it is listed as draining or gone, or cordoned; `None` while it is ready.
    pub(super) unlisted_since: Option<Timestamp>,
    /// When it last answered anything.
    pub(super) last_heard_at: Option<Timestamp>,
    /// Its last entry in the list, before cordons are applied.
    pub(super) listed_entry: Option<Endpoint>,
    /// It is listed as ready and not cordoned: attempts may be sent to it.
    pub(super) is_ready: bool,
    /// The number of the event that named it last.
    pub(super) last_event: u64,
}

impl Engine {
    /// Whether the list has it with an address and not as gone.
    pub(super) fn is_listed(&self) -> bool {
        self.address.is_some() && self.removed_at.is_none()
    }

    /// Takes over its entry in the list as the policy hears it. Whether it has moved or started anew: its connections
    /// are retired then, for they lead to another process.
    pub(super) fn apply(&mut self, entry: &Endpoint, now: Timestamp) -> bool {
        let address = entry.address.parse().ok();
        let has_moved = self.address != address || self.started_at_ms != entry.up_since_ms;
        self.address = address;
        self.started_at_ms = entry.up_since_ms;
        self.is_ready = entry.phase == EndpointPhase::Ready;
        self.unlisted_since = if self.is_ready { None } else { self.unlisted_since.or(Some(now)) };
        self.id.clone_from(&entry.id);
        self.removed_at = (entry.phase == EndpointPhase::Gone).then_some(now);
        if has_moved || self.removed_at.is_some() {
            self.connections.iter().for_each(|connection| connection.retire());
        }
        has_moved
    }

    /// A connection that accepts a request: the fullest, so that others fall idle.
    pub(super) fn reusable_connection(
        &self,
        id: u64,
        limits: &ConnectionLimits,
    ) -> Option<Rc<EngineConnection>> {
        let accepting = self.connections.iter().filter(|connection| connection.accepts(id, limits));
        let fullest =
            accepting.max_by_key(|connection| (!connection.is_dialing(), connection.attempt_count()));
        fullest.map(Rc::clone)
    }

    /// Adds a connection, to be dialled. `has_capacity`: the connections to all engines are below their limit.
    ///
    /// # Errors
    /// The outcome of an attempt for which there is no connection.
    pub(super) fn add_connection(
        &mut self,
        number: usize,
        limits: &ConnectionLimits,
        has_capacity: bool,
    ) -> Result<Rc<EngineConnection>, AttemptOutcome> {
        let address = self.address.ok_or(AttemptOutcome::Unreachable)?;
        // File descriptors are reserved for clients and engines apart: neither side may use up the other's.
        if self.connections.len() >= limits.max_per_engine || !has_capacity {
            return Err(AttemptOutcome::NeverRan);
        }
        let connection = EngineConnection::new(number, address);
        self.connections.push(Rc::clone(&connection));
        Ok(connection)
    }
}

/// All engines by number, and how far the endpoint list was read.
pub(super) struct EngineTable {
    engines: Vec<Engine>,
    /// The number of the last event of the list.
    last_event: u64,
    /// The highest revision of the list so far; it outlives the engines that it named.
    revision: u64,
    /// How long an engine is remembered after it was withdrawn: no request is pending for longer.
    retention: TimeDelta,
}

impl EngineTable {
    /// A table without engines.
    pub(super) fn new(retention: TimeDelta) -> EngineTable {
        EngineTable { engines: Vec::new(), last_event: 0, revision: 0, retention }
    }

    /// Numbers in use, those of forgotten engines among them.
    pub(super) fn len(&self) -> usize {
        self.engines.len()
    }

    /// An engine by number.
    pub(super) fn get(&self, number: usize) -> Option<&Engine> {
        self.engines.get(number)
    }

    /// An engine by number.
    pub(super) fn get_mut(&mut self, number: usize) -> Option<&mut Engine> {
        self.engines.get_mut(number)
    }

    /// An engine by number, added if there is none.
    pub(super) fn get_or_insert(&mut self, number: usize) -> &mut Engine {
        let len = self.engines.len().max(number + 1);
        self.engines.resize_with(len, Engine::default);
        &mut self.engines[number]
    }

    /// All engines, by number.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter()
    }

    /// The last entry of an engine in the list.
    pub(super) fn listed_entry(&self, id: &str) -> Option<Endpoint> {
        self.engines.iter().find(|engine| engine.id == id)?.listed_entry.clone()
    }

    /// Engines that are listed.
    pub(super) fn listed_count(&self) -> usize {
        self.engines.iter().filter(|engine| engine.is_listed()).count()
    }

    /// Connections to all engines.
    pub(super) fn connection_count(&self) -> usize {
        self.engines.iter().map(|engine| engine.connections.len()).sum()
    }

    /// The number of the last event of the list.
    pub(super) fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Notes the number of an event that changes nothing here.
    pub(super) fn skip_event(&mut self, number: u64) {
        self.last_event = self.last_event.max(number);
    }

    /// What an event says that is new, and its number as the last one where numbering goes on from there.
    ///
    /// An event whose number was passed already holds news in two cases. Its revision is above all before: then numbering
    /// has begun anew, and the list would never be followed again by numbers alone. Or it comes out of order: then it
    /// counts for the known engines that no later event has named.
    pub(super) fn accept_event(&mut self, list: &ListEvent) -> Option<ListEvent> {
        if list.n > self.last_event {
            self.last_event = list.n;
            return Some(list.clone());
        }
        if list.revision > self.revision {
            self.restart_numbering(list);
            return Some(list.clone());
        }
        let is_news = |member: &Endpoint| {
            self.engines.iter().any(|engine| engine.id == member.id && engine.last_event < list.n)
        };
        let members: Vec<Endpoint> = list.members.iter().filter(|m| is_news(m)).cloned().collect();
        if members.is_empty() {
            return None;
        }
        Some(ListEvent { n: list.n, revision: list.revision, complete: false, members })
    }

    fn restart_numbering(&mut self, list: &ListEvent) {
        warn!(
            event = list.n,
            last_event = self.last_event,
            revision = list.revision,
            held_revision = self.revision,
            "event numbering restarted by a list of a new revision"
        );
        self.engines.iter_mut().for_each(|engine| engine.last_event = 0);
        self.last_event = list.n;
    }

    /// Adds the engines that a complete list leaves out, as gone.
    pub(super) fn add_omitted_as_gone(&self, list: &mut ListEvent) {
        if !list.complete {
            return;
        }
        let named: BTreeSet<&str> = list.members.iter().map(|member| member.id.as_str()).collect();
        let omitted =
            self.engines.iter().filter(|e| e.removed_at.is_none() && !named.contains(e.id.as_str()));
        let entries = omitted.filter_map(|engine| engine.listed_entry.clone());
        let gone: Vec<Endpoint> =
            entries.map(|entry| Endpoint { phase: EndpointPhase::Gone, ..entry }).collect();
        list.members.extend(gone);
    }

    /// Notes the revision of a list that was applied; it may name no engine.
    pub(super) fn note_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Forgets the engines that were withdrawn long enough ago and have no connection left: their numbers.
    pub(super) fn remove_expired(&mut self, now: Timestamp) -> Vec<usize> {
        let mut removed = Vec::new();
        for (number, engine) in self.engines.iter_mut().enumerate() {
            let is_expired = engine.removed_at.is_some_and(|at| now - at > self.retention);
            if is_expired && engine.connections.is_empty() {
                *engine = Engine::default();
                removed.push(number);
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

    /// Sets how long withdrawn engines are remembered.
    #[cfg(test)]
    pub(super) fn set_retention(&mut self, retention: TimeDelta) {
        self.retention = retention;
    }
}
