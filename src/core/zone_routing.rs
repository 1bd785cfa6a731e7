//! Failover between zones: sums over the policy's view of engines, and over what other managers observe, and the zone
//! weights that follow. It adds up; `sprucelink_zone_failover` decides.

use super::clock::now;
use super::engine_table::EngineTable;
use sprucelink_membership::facts::{self, Facts};
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::{TimeDelta, Timestamp};
use sprucelink_zone_failover::silence::{self, Heard, Silences, Voice};
use sprucelink_zone_failover::terms::Terms as FailoverConfig;
use sprucelink_zone_failover::{Locality, Plan, Seen};
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info, warn};

/// Time between two checks of the zones.
const CHECK_INTERVAL: TimeDelta = TimeDelta::from_micros(100_000);
/// Relative change of a weight from which on the policy is told.
const MIN_WEIGHT_CHANGE: f64 = 0.01;

/// Another manager, as the view of the fleet has it.
pub struct Observer {
    /// Its zone, by name.
    pub zone: String,
    /// It is alive.
    pub here: bool,
    /// Its gossip, where some is held.
    pub facts: Option<Facts>,
}

/// Failover between zones.
pub(super) struct ZoneRouting {
    locality: Locality,
    config: FailoverConfig,
    /// Names of the zones, in the order of their numbers.
    zones: Vec<String>,
    observers: Vec<Observer>,
    silences: Silences,
    next_check: Timestamp,
    /// The weights that the policy was told last.
    reported_weights: Vec<f64>,
}

impl ZoneRouting {
    /// Failover as configured. `home`: this manager's zone, by number.
    pub(super) fn new(config: &FailoverConfig, home: Option<u32>, zones: Vec<String>) -> ZoneRouting {
        let home = home.map(|zone| (zone, config.region(&zones, zone as usize)));
        ZoneRouting {
            locality: Locality::new(config.clone(), home),
            config: config.clone(),
            zones,
            observers: Vec::new(),
            silences: Silences::default(),
            next_check: now(),
            reported_weights: Vec::new(),
        }
    }

    /// When [`ZoneRouting::check`] is due.
    pub(super) fn next_check(&self) -> Timestamp {
        self.next_check
    }

    /// Takes in what other managers observe.
    pub(super) fn set_observers(&mut self, observers: Vec<Observer>) {
        self.observers = observers;
    }

    /// Judges the zones; their new weights where they have changed.
    pub(super) fn check(&mut self, engines: &EngineTable, views: Vec<EngineView>) -> Option<Vec<f64>> {
        self.next_check = now() + CHECK_INTERVAL;
        let listed: Vec<EngineView> = views.into_iter().filter(|view| view.listed).collect();
        let voices: Vec<Voice> = listed.iter().map(|view| voice_of(engines, view)).collect();
        let heard = self.silences.judge(now(), &voices);
        let seen = self.summarize(engines, &listed, &heard);
        let plan = self.locality.judge(now(), &seen);
        self.log_decisions(&plan);
        debug!("failover: shares {:?}, weights {:?}, of {seen:?}", plan.shares, plan.weights);
        if !self.has_changed(&plan.weights) {
            return None;
        }
        self.reported_weights.clone_from(&plan.weights);
        Some(plan.weights)
    }

    fn has_changed(&self, weights: &[f64]) -> bool {
        if weights.len() != self.reported_weights.len() {
            return true;
        }
        let mut pairs = weights.iter().zip(&self.reported_weights);
        pairs.any(|(new, old)| (new - old).abs() > MIN_WEIGHT_CHANGE * old.max(MIN_WEIGHT_CHANGE))
    }

    /// Sums by zone.
    fn summarize(&self, engines: &EngineTable, views: &[EngineView], heard: &[Heard]) -> Vec<Seen> {
        let mut zones: BTreeMap<u32, Seen> = BTreeMap::new();
        for zone in 0..self.zones.len() as u32 {
            let region = self.config.region(&self.zones, zone as usize);
            zones.insert(zone, Seen { zone, region, ..Seen::default() });
        }
        let engines_by_zone = add_engines(&mut zones, engines, views, heard);
        for observer in &self.observers {
            let own_zone = self.zones.iter().position(|zone| *zone == observer.zone);
            add_observer(&mut zones, &engines_by_zone, observer, own_zone.map(|zone| zone as u32));
        }
        zones.into_values().collect()
    }

    /// Logs each decision with its reasons, zones by name.
    fn log_decisions(&self, plan: &Plan) {
        for decision in &plan.news {
            let line = self.with_zone_name(decision).unwrap_or_else(|| format!("failover: {decision}"));
            let fractions: Vec<String> = plan
                .shares
                .iter()
                .map(|(zone, share)| {
                    let name = self.zones.get(*zone as usize).map_or("?", |name| name);
                    format!("{name}:{share:.2}")
                })
                .collect();
            let shares = fractions.join(" ");
            if line.contains(" lost ") || line.contains("panic begins") || line.contains("is cut off from") {
                warn!(shares, "{line}; shares {shares}");
            } else {
                info!(shares, "{line}; shares {shares}");
            }
        }
    }

    /// A decision that begins with a zone's number, with its name instead.
    fn with_zone_name(&self, decision: &str) -> Option<String> {
        let rest = decision.strip_prefix("zone ")?;
        let (number, rest) = rest.split_once([' ', ','])?;
        let name = self.zones.get(number.parse::<usize>().ok()?)?;
        Some(format!("failover: zone {name} {rest}"))
    }
}

/// Adds what the policy holds of each engine to its zone; the listed engines of each zone, as managers name them.
fn add_engines(
    zones: &mut BTreeMap<u32, Seen>,
    engines: &EngineTable,
    views: &[EngineView],
    heard: &[Heard],
) -> BTreeMap<u32, BTreeSet<u64>> {
    let mut engines_by_zone: BTreeMap<u32, BTreeSet<u64>> = BTreeMap::new();
    for (view, heard) in views.iter().zip(heard) {
        let Some(sum) = zones.get_mut(&view.zone) else { continue };
        let is_silent = *heard == Heard::Silent;
        sum.listed += view.cores;
        sum.engines += 1;
        sum.mute += u32::from(is_silent);
        sum.heard += u32::from(*heard == Heard::Late);
        sum.load += view.load;
        if !is_silent && !view.ejected {
            sum.sound += view.cores * view.warmth;
        }
        engines_by_zone.entry(view.zone).or_default().extend(gossip_name(engines, view));
    }
    engines_by_zone
}

/// Adds what another manager observes to the zones; of its own zone only that it is there.
fn add_observer(
    zones: &mut BTreeMap<u32, Seen>,
    engines_by_zone: &BTreeMap<u32, BTreeSet<u64>>,
    observer: &Observer,
    own_zone: Option<u32>,
) {
    if let Some(sum) = own_zone.and_then(|zone| zones.get_mut(&zone)) {
        sum.inside += 1;
        sum.inside_here += u32::from(observer.here);
    }
    let Some(facts) = observer.facts.as_ref().filter(|_| observer.here) else { return };
    for sum in zones.values_mut().filter(|sum| Some(sum.zone) != own_zone) {
        let engines = engines_by_zone.get(&sum.zone);
        let is_in_zone = |engine: &&u64| engines.is_some_and(|engines| engines.contains(engine));
        let unreachable = facts.unreachable.iter().filter(is_in_zone).count();
        sum.observers += 1;
        sum.unreachable_to += u32::from(sum.engines > 0 && unreachable * 2 >= sum.engines as usize);
    }
}

/// Listed engines that do not answer this manager, as managers name them.
pub(super) fn unresponsive_engines(
    routing: Option<&ZoneRouting>,
    engines: &EngineTable,
    views: &[EngineView],
) -> Vec<u64> {
    let is_unresponsive = |view: &&EngineView| {
        let is_known = routing.is_some_and(|routing| routing.silences.holds(view.engine));
        view.listed && (is_known || silence::heard(now(), &voice_of(engines, view)) == Heard::Silent)
    };
    views.iter().filter(is_unresponsive).filter_map(|view| gossip_name(engines, view)).collect()
}

/// An engine's id as managers name it to each other.
fn gossip_name(engines: &EngineTable, view: &EngineView) -> Option<u64> {
    engines.get(view.engine as usize).map(|engine| facts::named(&engine.id))
}

/// What is known of whether an engine answers.
fn voice_of(engines: &EngineTable, view: &EngineView) -> Voice {
    Voice {
        engine: view.engine,
        zone: view.zone,
        word: engines.get(view.engine as usize).and_then(|engine| engine.last_heard_at),
        dumb: view.silent || view.rests > 0.0,
        overdue: view.overdue > 0,
    }
}
