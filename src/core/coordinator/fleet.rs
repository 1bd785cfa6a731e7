//! The fleet: passes its changes to the policy, and the engines' state to gossip and to failover between
//! zones.
//!
//! Input: changes of the membership, and timers. Output: events for the policy and the gossip payload. State:
//! none in this module; the fleet's state is in `fleet_state`.

use super::Coordinator;
use crate::core::clock::now;
use crate::core::connection_runtime::ConnectionRuntime;
use crate::core::gossip_facts::GossipWindows;
use crate::core::policy_driver::PolicyEvent;
use crate::core::zone_routing::{Observer, ZoneRouting};
use sprucelink_membership::GossipPayload;

impl Coordinator {
    /// Sets the number of managers, this one included, and the number of retries that this manager may make
    /// beyond its own retry budget; notifies the policy.
    pub(in crate::core) fn set_fleet(
        &mut self,
        runtime: &dyn ConnectionRuntime,
        managers: u32,
        spare_retries: f64,
    ) {
        self.fleet.set_managers(managers, spare_retries);
        self.report_fleet(runtime);
    }

    /// Sets the number of this manager's processes and notifies the policy.
    pub(in crate::core) fn set_process_count(&mut self, runtime: &dyn ConnectionRuntime, processes: u32) {
        self.fleet.set_process_count(processes);
        self.report_fleet(runtime);
    }

    fn report_fleet(&mut self, runtime: &dyn ConnectionRuntime) {
        let capacity_shares = self.fleet.capacity_shares();
        let spare_retries = self.fleet.spare_retries();
        let commands =
            self.policy.on_event(now(), PolicyEvent::FleetChanged { capacity_shares, spare_retries });
        self.execute(runtime, commands);
        runtime.wake();
    }

    /// Starts counting the facts that are gossiped to other managers.
    pub(in crate::core) fn enable_gossip(&mut self, windows: GossipWindows) {
        self.fleet.enable_gossip(windows);
    }

    /// The current gossip payload; `None` if gossip is off.
    pub(in crate::core) fn gossip_payload(&mut self) -> Option<GossipPayload> {
        let views = self.policy.engine_views();
        self.fleet.gossip_payload(now(), &self.engines, &views)
    }

    /// Enables failover between zones.
    pub(in crate::core) fn enable_zone_routing(&mut self, zone_routing: ZoneRouting) {
        self.fleet.enable_zone_routing(zone_routing);
    }

    /// Replaces the other managers and their observations; `observers` is called only if failover is on.
    pub(in crate::core) fn set_observers(&mut self, observers: impl FnOnce() -> Vec<Observer>) {
        self.fleet.set_observers(observers);
    }

    /// Evaluates the zones if an evaluation is due, and notifies the policy if their weights have changed.
    pub(in crate::core) fn check_zones(&mut self, runtime: &dyn ConnectionRuntime) {
        let commands = match self.due_zone_weights() {
            Some(weights) => self.policy.on_event(now(), PolicyEvent::ZoneWeights(weights)),
            None => Vec::new(),
        };
        self.execute(runtime, commands);
    }

    /// The weights of the zones by index, if an evaluation is due and changes them; otherwise `None`.
    fn due_zone_weights(&mut self) -> Option<Vec<f64>> {
        let check_at = self.fleet.next_zone_check()?;
        if now() < check_at {
            return None;
        }
        self.fleet.check_zones(&self.engines, self.policy.engine_views())
    }
}
