//! Network faults on the routes between parties, and the history's record of the engines that they affect. A
//! party is a group of managers, a manager, the engines of a zone, the list services or the subscribers.

use super::Harness;
use crate::fault_proxy::Rule;
use crate::scenario::{NewConnections, Sides, ZONES};
use sprucelink_history_checker::event::Event;

impl Harness<'_> {
    /// The routes from one party to another; `engines` stands for the engines of all zones.
    pub(super) fn routes(&self, from: &str, to: &str) -> Vec<(String, String)> {
        let expand = |name: &str| -> Vec<String> {
            match name {
                "engines" => ZONES[..self.scenario.zones].iter().map(|zone| (*zone).to_owned()).collect(),
                party => vec![party.to_owned()],
            }
        };
        let to = expand(to);
        expand(from).into_iter().flat_map(|f| to.iter().map(move |t| (f.clone(), t.clone()))).collect()
    }

    /// Sets the fault proxy's rule from one party to another.
    pub(super) fn set_rule(&mut self, from: &str, to: &str, rule: Rule) {
        for (from, to) in self.routes(from, to) {
            self.faults.set_rule(&from, &to, rule);
            self.set_blocked(from, to, rule.blocks_connections());
        }
    }

    /// Starts or ends a partition between two sides.
    pub(super) fn set_partition(&mut self, sides: &Sides, partitioned: bool) {
        let rule = Rule {
            partition: true,
            refuse: sides.new == NewConnections::Refuse,
            blackhole: sides.new == NewConnections::Blackhole,
            ..Rule::default()
        };
        for a in &sides.from {
            for b in &sides.to {
                let back = (!sides.one_way).then_some((b, a));
                for (from, to) in [(a, b)].into_iter().chain(back) {
                    if partitioned {
                        self.set_rule(from, to, rule);
                        continue;
                    }
                    for (from, to) in self.routes(from, to) {
                        self.faults.remove_rule(&from, &to);
                        self.set_blocked(from, to, false);
                    }
                }
            }
        }
    }

    /// Removes all rules of the fault proxy.
    pub(super) fn heal(&mut self) {
        self.faults.heal();
        for (from, to) in std::mem::take(&mut self.blocked_routes) {
            self.record_engine_faults(&from, &to, false);
        }
    }

    /// Marks a route as blocked or open, and records a change in the history.
    fn set_blocked(&mut self, from: String, to: String, blocked: bool) {
        let route = (from, to);
        let changed = if blocked {
            self.blocked_routes.insert(route.clone())
        } else {
            self.blocked_routes.remove(&route)
        };
        if changed {
            self.record_engine_faults(&route.0, &route.1, blocked);
        }
    }

    /// Records that a fault of the engines at either end of a route began or ended.
    fn record_engine_faults(&self, from: &str, to: &str, blocked: bool) {
        for party in [from, to] {
            let Some(zone) = ZONES.iter().position(|name| *name == party) else { continue };
            let in_zone = self.engines.iter().enumerate().filter(|(i, _)| i % self.scenario.zones == zone);
            let on = in_zone.map(|(_, e)| e.id.clone()).collect();
            self.history.record(if blocked { Event::FaultBegan { on } } else { Event::FaultEnded { on } });
        }
    }

    /// Records that engines are out of service for the rest of the run.
    pub(super) fn record_permanent_fault(&self, engines: &[usize]) {
        let on = engines.iter().map(|i| self.engines[*i].id.clone()).collect();
        self.history.record(Event::FaultBegan { on });
    }
}
