//! What this manager shares with others: its part of the fleet, what it gossips, and failover between zones.

use super::{ConnectionRuntime, Coordinator};
use crate::core::clock::now;
use crate::core::gossip_facts::{GossipFacts, GossipWindows};
use crate::core::policy_driver::PolicyEvent;
use crate::core::zone_routing::{unresponsive_engines, Observer, ZoneRouting};
use sprucelink_membership::GossipPayload;

impl Coordinator {
    /// The view of the fleet has changed.
    pub(in crate::core) fn set_fleet(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        managers: u32,
        spare_attempts: f64,
    ) {
        self.fleet.managers = managers;
        self.fleet.spare_attempts = spare_attempts;
        self.report_fleet(runtime);
    }

    /// The number of this manager's processes has changed.
    pub(in crate::core) fn set_process_count(&mut self, runtime: &dyn ConnectionRuntime, processes: u32) {
        self.fleet.processes = processes.max(1);
        self.report_fleet(runtime);
    }

    fn report_fleet(&mut self, runtime: &dyn ConnectionRuntime) {
        let gateways = self.fleet.managers.saturating_mul(self.fleet.processes);
        let spare_attempts = self.fleet.spare_attempts;
        let commands = self.policy.on_event(now(), PolicyEvent::FleetChanged { gateways, spare_attempts });
        self.execute(runtime, commands);
        runtime.wake();
    }

    /// Starts to count what is gossiped to other managers.
    pub(in crate::core) fn enable_gossip(&mut self, windows: GossipWindows) {
        self.gossip = Some(GossipFacts::new(windows));
    }

    /// What is gossiped as of now; `None` where nothing is counted.
    pub(in crate::core) fn gossip_payload(&mut self) -> Option<GossipPayload> {
        let views = self.policy.engine_views();
        let unresponsive = unresponsive_engines(self.zone_routing.as_ref(), &self.engines, &views);
        self.gossip.as_mut().map(|gossip| gossip.payload(now(), unresponsive))
    }

    /// Counts an attempt for gossip, where that is on.
    pub(super) fn gossip_attempt(&mut self, attempt: u32, engine: usize, cost_ms: f64) {
        let Some(gossip) = &mut self.gossip else { return };
        let engine = self.engines.get(engine);
        let (id, started_at_ms) = engine.map_or(("", 0), |engine| (engine.id.as_str(), engine.started_at_ms));
        gossip.record_attempt(now(), attempt > 0, id, started_at_ms, cost_ms);
    }

    /// Counts a connection that came up or failed for gossip, where that is on.
    pub(super) fn gossip_reachability(&mut self, engine: usize, is_up: bool) {
        let (Some(gossip), Some(engine)) = (&mut self.gossip, self.engines.get(engine)) else { return };
        gossip.record_connection(now(), &engine.id, is_up);
    }

    /// Switches failover between zones on.
    pub(in crate::core) fn enable_zone_routing(&mut self, zone_routing: ZoneRouting) {
        self.zone_routing = Some(zone_routing);
    }

    /// Takes in what other managers observe; it is asked for only where failover is on.
    pub(in crate::core) fn set_observers(&mut self, observers: impl FnOnce() -> Vec<Observer>) {
        if let Some(zone_routing) = &mut self.zone_routing {
            zone_routing.set_observers(observers());
        }
    }

    /// Judges the zones if that is due, and tells the policy their new weights.
    pub(in crate::core) fn check_zones(&mut self, runtime: &dyn ConnectionRuntime) {
        let is_due = self.zone_routing.as_ref().is_some_and(|zones| now() >= zones.next_check());
        let weights = match &mut self.zone_routing {
            Some(zone_routing) if is_due => zone_routing.check(&self.engines, self.policy.engine_views()),
            _ => None,
        };
        let commands = match weights {
            Some(weights) => self.policy.on_event(now(), PolicyEvent::ZoneWeights(weights)),
            None => Vec::new(),
        };
        self.execute(runtime, commands);
    }
}
