//! This manager's view of the fleet.
//!
//! Input: the size of the fleet, this manager's own events, and the observations of other managers. Output:
//! the number of processes that share the fleet's capacity, the spare retries, the gossip payload, and the
//! weights of the zones. State: the size of the fleet, the facts to gossip, and the state of failover between
//! zones.

use super::engine_table::{Engine, EngineTable};
use super::gossip_facts::{GossipFacts, GossipWindows};
use super::zone_routing::{unresponsive_engines, Observer, ZoneRouting};
use sprucelink_membership::GossipPayload;
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::Timestamp;

/// The size of the fleet and this manager's share of it, gossip, and failover between zones.
pub(super) struct FleetState {
    /// The number of managers, this one included.
    managers: u32,
    /// The number of this manager's processes, among which its share of the fleet's capacity and budgets is
    /// divided.
    processes: u32,
    /// Retries that this manager may make in the retry budget's window beyond its own budget, because the
    /// other managers have not used theirs.
    spare_retries: f64,
    /// The facts to gossip; `None` if gossip is off.
    gossip: Option<GossipFacts>,
    /// Failover between zones; `None` if it is off.
    zone_routing: Option<ZoneRouting>,
}

impl FleetState {
    /// Creates the state for the configured number of managers and spare retries, with one process of this
    /// manager, and without gossip and failover.
    pub(super) fn new(managers: u32, spare_retries: f64) -> FleetState {
        FleetState { managers, processes: 1, spare_retries, gossip: None, zone_routing: None }
    }

    /// Sets the number of managers, this one included, and the number of retries that this manager may make
    /// beyond its own retry budget.
    pub(super) fn set_managers(&mut self, managers: u32, spare_retries: f64) {
        self.managers = managers;
        self.spare_retries = spare_retries;
    }

    /// Sets the number of this manager's processes; 0 counts as 1.
    pub(super) fn set_process_count(&mut self, processes: u32) {
        self.processes = processes.max(1);
    }

    /// The number of equal shares into which the fleet's capacity and budgets are divided: one for each
    /// process of each manager, this one included.
    pub(super) fn capacity_shares(&self) -> u32 {
        self.managers.saturating_mul(self.processes)
    }

    /// Retries that this manager may make in the retry budget's window beyond its own budget.
    pub(super) fn spare_retries(&self) -> f64 {
        self.spare_retries
    }

    /// Starts counting the facts that are gossiped to other managers.
    pub(super) fn enable_gossip(&mut self, windows: GossipWindows) {
        self.gossip = Some(GossipFacts::new(windows));
    }

    /// Counts a request in the facts to gossip, if gossip is on.
    pub(super) fn record_request(&mut self, now: Timestamp) {
        if let Some(gossip) = &mut self.gossip {
            gossip.record_request(now);
        }
    }

    /// Counts an attempt in the facts to gossip, if gossip is on. `engine`: the selected engine, if it is in
    /// the engine table; `cost_ms`: the estimated work in milliseconds on one core.
    pub(super) fn record_attempt(
        &mut self,
        now: Timestamp,
        is_retry: bool,
        engine: Option<&Engine>,
        cost_ms: f64,
    ) {
        let Some(gossip) = &mut self.gossip else { return };
        let id = engine.map_or("", |engine| engine.id.as_str());
        let started_at_ms = engine.map_or(0, |engine| engine.started_at_ms);
        gossip.record_attempt(now, is_retry, id, started_at_ms, cost_ms);
    }

    /// Records in the facts to gossip, if gossip is on, that a connection to `engine` opened or, if not
    /// `is_up`, could not be made. An unknown engine is ignored.
    pub(super) fn record_connection(&mut self, now: Timestamp, engine: Option<&Engine>, is_up: bool) {
        if let (Some(gossip), Some(engine)) = (&mut self.gossip, engine) {
            gossip.record_connection(now, &engine.id, is_up);
        }
    }

    /// The current gossip payload; `None` if gossip is off.
    pub(super) fn gossip_payload(
        &mut self,
        now: Timestamp,
        engines: &EngineTable,
        views: &[EngineView],
    ) -> Option<GossipPayload> {
        let gossip = self.gossip.as_mut()?;
        let unresponsive = unresponsive_engines(self.zone_routing.as_ref(), engines, views);
        Some(gossip.payload(now, unresponsive))
    }

    /// Enables failover between zones.
    pub(super) fn enable_zone_routing(&mut self, zone_routing: ZoneRouting) {
        self.zone_routing = Some(zone_routing);
    }

    /// Replaces the other managers and their observations; `observers` is called only if failover is on.
    pub(super) fn set_observers(&mut self, observers: impl FnOnce() -> Vec<Observer>) {
        if let Some(zone_routing) = &mut self.zone_routing {
            zone_routing.set_observers(observers());
        }
    }

    /// Time at which the zones must be evaluated next; `None` if failover is off.
    pub(super) fn next_zone_check(&self) -> Option<Timestamp> {
        self.zone_routing.as_ref().map(ZoneRouting::next_check)
    }

    /// Evaluates the zones; returns their weights by index if the weights have changed.
    pub(super) fn check_zones(&mut self, engines: &EngineTable, views: Vec<EngineView>) -> Option<Vec<f64>> {
        self.zone_routing.as_mut()?.check(engines, views)
    }
}
