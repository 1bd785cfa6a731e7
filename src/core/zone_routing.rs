//! What the failover between zones is told by the core, and what it tells the module: sums over the module's own beliefs
//! of engines, and over what other managers see. It adds up; `sprucelink_zone_failover` decides.

use super::facade::{PolicyCommand, PolicyEvent};
use super::now;
use super::request_table::{Core, RequestTable};
use sprucelink_membership::facts::{self, Facts};
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::{TimeDelta, Timestamp};
use sprucelink_zone_failover::silence::{self, Heard, Silences, Voice};
use sprucelink_zone_failover::terms::Terms as FailoverTerms;
use sprucelink_zone_failover::{Locality, Plan, Seen};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::{debug, info, warn};

/// Between two judgements.
const EVERY: TimeDelta = TimeDelta::from_micros(100_000);
/// A weight that moved by less is not told to the module.
const MOVED: f64 = 0.01;

/// Another manager, as the view of the fleet has it.
pub struct Observer {
    /// Its zone, by name.
    pub zone: String,
    /// It is here, not dead.
    pub here: bool,
    /// Its summary, where one is held.
    pub facts: Option<Facts>,
}

/// The failover, where it is on.
pub(super) struct ZoneRouting {
    locality: Locality,
    terms: FailoverTerms,
    zones: Vec<String>,
    observers: Vec<Observer>,
    silences: Silences,
    pub(super) next: Timestamp,
    told: Vec<f64>,
}

impl Core {
    /// Switches the failover on: this manager's own zone by number, and the zones' names.
    pub fn failover(&self, terms: &FailoverTerms, home: Option<u32>, zones: Vec<String>) {
        let home = home.map(|z| (z, terms.region(&zones, z as usize)));
        self.inner.borrow_mut().failover = Some(ZoneRouting {
            locality: Locality::new(terms.clone(), home),
            terms: terms.clone(),
            zones,
            observers: Vec::new(),
            silences: Silences::default(),
            next: now(),
            told: Vec::new(),
        });
        self.wake.notify_one();
    }

    /// What other managers are and tell, where they keep a view of the fleet; asked for only where it is looked at.
    pub fn observed(&self, observers: impl FnOnce() -> Vec<Observer>) {
        if let Some(f) = &mut self.inner.borrow_mut().failover {
            f.observers = observers();
        }
    }

    /// Judges zones when that is due.
    pub(super) fn judge_zones(self: &Rc<Self>) {
        let mut inner = self.inner.borrow_mut();
        let orders = inner.judge_zones();
        inner.work(self, orders);
    }
}

impl RequestTable {
    /// An engine's id as managers name it to each other.
    fn shared_name(&self, e: &EngineView) -> Option<u64> {
        self.engines.get(e.engine as usize).map(|known| facts::named(&known.id))
    }

    fn voice(&self, e: &EngineView) -> Voice {
        Voice {
            engine: e.engine,
            zone: e.zone,
            word: self.engines.get(e.engine as usize).and_then(|known| known.word),
            dumb: e.silent || e.rests > 0.0,
            overdue: e.overdue > 0,
        }
    }

    /// Engines that keep silent to this manager, as managers name them.
    pub(super) fn silent_engines(&self) -> Vec<u64> {
        let silent = |e: &&EngineView| {
            let remembered = self.failover.as_ref().is_some_and(|f| f.silences.holds(e.engine));
            e.listed && (remembered || silence::heard(now(), &self.voice(e)) == Heard::Silent)
        };
        self.facade.beliefs().iter().filter(silent).filter_map(|e| self.shared_name(e)).collect()
    }

    fn judge_zones(&mut self) -> Vec<PolicyCommand> {
        let due = self.failover.as_ref().is_some_and(|f| now() >= f.next);
        let Some(mut failover) = due.then(|| self.failover.take()).flatten() else { return Vec::new() };
        failover.next = now() + EVERY;
        let beliefs: Vec<EngineView> = self.facade.beliefs().into_iter().filter(|e| e.listed).collect();
        let voices: Vec<Voice> = beliefs.iter().map(|e| self.voice(e)).collect();
        let heard = failover.silences.judge(now(), &voices);
        let seen = self.seen(&failover, &beliefs, &heard);
        let plan = failover.locality.judge(now(), &seen);
        say(&failover, &plan);
        debug!("failover: shares {:?}, weights {:?}, of {seen:?}", plan.shares, plan.weights);
        let moved = plan.weights.len() != failover.told.len()
            || plan.weights.iter().zip(&failover.told).any(|(a, b)| (a - b).abs() > MOVED * b.max(MOVED));
        let weights = moved.then(|| plan.weights.clone());
        if let Some(w) = &weights {
            failover.told.clone_from(w);
        }
        self.failover = Some(failover);
        weights.map(|w| self.facade.report(now(), PolicyEvent::Zones(w))).unwrap_or_default()
    }

    /// Sums by zone: the module's beliefs, and what the others tell.
    fn seen(&self, f: &ZoneRouting, beliefs: &[EngineView], heard: &[Heard]) -> Vec<Seen> {
        let mut zones: BTreeMap<u32, Seen> = BTreeMap::new();
        let mut engines: BTreeMap<u32, BTreeSet<u64>> = BTreeMap::new();
        for z in 0..f.zones.len() as u32 {
            zones
                .insert(z, Seen { zone: z, region: f.terms.region(&f.zones, z as usize), ..Seen::default() });
        }
        for (e, heard) in beliefs.iter().zip(heard) {
            let Some(s) = zones.get_mut(&e.zone) else { continue };
            let mute = *heard == Heard::Silent;
            s.listed += e.cores;
            s.engines += 1;
            s.mute += u32::from(mute);
            s.heard += u32::from(*heard == Heard::Late);
            s.load += e.load;
            if !mute && !e.distrusted {
                s.sound += e.cores * e.warmth;
            }
            engines.entry(e.zone).or_default().extend(self.shared_name(e));
        }
        for o in &f.observers {
            let own = f.zones.iter().position(|z| *z == o.zone).map(|z| z as u32);
            if let Some(s) = own.and_then(|z| zones.get_mut(&z)) {
                s.inside += 1;
                s.inside_here += u32::from(o.here);
            }
            let Some(facts) = o.facts.as_ref().filter(|_| o.here) else { continue };
            for s in zones.values_mut().filter(|s| Some(s.zone) != own) {
                let here = engines.get(&s.zone);
                let out = facts.unreachable.iter().filter(|e| here.is_some_and(|h| h.contains(e))).count();
                s.observers += 1;
                s.unreachable_to += u32::from(s.engines > 0 && out * 2 >= s.engines as usize);
            }
        }
        zones.into_values().collect()
    }
}

/// Says each verdict with its reasons, zones by name.
fn say(f: &ZoneRouting, plan: &Plan) {
    for news in &plan.news {
        let named = news.strip_prefix("zone ").and_then(|rest| {
            let (number, rest) = rest.split_once([' ', ','])?;
            let name = f.zones.get(number.parse::<usize>().ok()?)?;
            Some(format!("failover: zone {name} {rest}"))
        });
        let line = named.unwrap_or_else(|| format!("failover: {news}"));
        let shares: Vec<String> = plan
            .shares
            .iter()
            .map(|(z, s)| format!("{}:{s:.2}", f.zones.get(*z as usize).map_or("?", |n| n)))
            .collect();
        let shares = shares.join(" ");
        if line.contains(" lost ") || line.contains("panic begins") || line.contains("is cut off from") {
            warn!(shares, "{line}; shares {shares}");
        } else {
            info!(shares, "{line}; shares {shares}");
        }
    }
}
