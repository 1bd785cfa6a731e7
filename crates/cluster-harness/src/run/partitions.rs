//! Faults on the routes between parties, and the engines that they keep from serving.

use super::Rig;
use crate::fault_proxy::Rule;
use crate::scenario::{NewConnections, Sides, ZONES};
use sprucelink_history_checker::event::Event;

impl Rig<'_> {
    /// The routes between two parties; `engines` stands for the engines of all zones.
    pub(super) fn routes(&self, from: &str, to: &str) -> Vec<(String, String)> {
        let all = |name: &str| -> Vec<String> {
            match name {
                "engines" => ZONES[..self.scenario.zones].iter().map(|h| (*h).to_owned()).collect(),
                one => vec![one.to_owned()],
            }
        };
        let to = all(to);
        all(from).into_iter().flat_map(|f| to.iter().map(move |t| (f.clone(), t.clone()))).collect()
    }

    /// Sets the rule from one party to another.
    pub(super) fn set_rule(&mut self, from: &str, to: &str, rule: Rule) {
        for (from, to) in self.routes(from, to) {
            self.faults.set(&from, &to, rule);
            self.silence(from, to, rule.silences());
        }
    }

    /// Starts or ends a partition between two sides.
    pub(super) fn set_partition(&mut self, sides: &Sides, parted: bool) {
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
                    if parted {
                        self.set_rule(from, to, rule);
                        continue;
                    }
                    for (from, to) in self.routes(from, to) {
                        self.faults.lift(&from, &to);
                        self.silence(from, to, false);
                    }
                }
            }
        }
    }

    /// Removes all rules.
    pub(super) fn heal(&mut self) {
        self.faults.heal();
        for (from, to) in std::mem::take(&mut self.silenced) {
            self.note_engines(&from, &to, false);
        }
    }

    /// Notes that a route is silent, or is no longer.
    fn silence(&mut self, from: String, to: String, silent: bool) {
        let route = (from, to);
        let changed = if silent { self.silenced.insert(route.clone()) } else { self.silenced.remove(&route) };
        if changed {
            self.note_engines(&route.0, &route.1, silent);
        }
    }

    /// Records that the engines at either end of a route are kept from serving, or no longer.
    fn note_engines(&self, from: &str, to: &str, silent: bool) {
        for party in [from, to] {
            let Some(zone) = ZONES.iter().position(|name| *name == party) else { continue };
            let here = self.engines.iter().enumerate().filter(|(i, _)| i % self.scenario.zones == zone);
            let on = here.map(|(_, e)| e.id.clone()).collect();
            self.history.note(if silent { Event::FaultBegan { on } } else { Event::FaultEnded { on } });
        }
    }

    /// Records that engines are kept from serving for good.
    pub(super) fn note_engine_fault(&self, engines: &[usize]) {
        let on = engines.iter().map(|i| self.engines[*i].id.clone()).collect();
        self.history.note(Event::FaultBegan { on });
    }
}
