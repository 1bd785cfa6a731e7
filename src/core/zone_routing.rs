//! Failover between zones.
//!
//! Input: the policy's view of each engine, and the observations of other managers. Output: the weights of
//! the zones, if they have changed. State: the state machines of `sprucelink_zone_failover`, which decide on
//! the weights. This module only sums the observations by zone.

use super::clock::now;
use super::engine_table::EngineTable;
use sprucelink_membership::{engine_hash, GossipPayload};
use sprucelink_policy::diagnostics::EngineView;
use sprucelink_policy::{TimeDelta, Timestamp};
use sprucelink_zone_failover::config::FailoverConfig;
use sprucelink_zone_failover::failure_detector::{
    current_responsiveness, EngineContact, FailureDetector, Responsiveness,
};
use sprucelink_zone_failover::{FailoverEvent, Locality, RoutingPlan, ZoneFailover, ZoneObservation};
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info, warn};

/// Time between two checks of the zones.
const CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// Smallest relative change of a weight of which the policy is notified. The change is relative to the last
/// reported weight, or to this constant if that weight is lower.
const MIN_WEIGHT_CHANGE: f64 = 0.01;

/// Another manager that observes engines, as reported by the membership.
pub struct Observer {
    /// Name of the manager's zone; a name that is not configured here belongs to no zone.
    pub zone: String,
    /// Whether the membership considers the manager alive.
    pub is_alive: bool,
    /// The manager's last gossip payload; `None` if none was received.
    pub payload: Option<GossipPayload>,
}

/// Drives the failover between zones with the observations of this manager and the other managers.
pub(super) struct ZoneRouting {
    failover: ZoneFailover,
    config: FailoverConfig,
    /// Names of the zones, in the order of their indices.
    zones: Vec<String>,
    observers: Vec<Observer>,
    failure_detector: FailureDetector,
    next_check: Timestamp,
    /// Weights of which the policy was last notified, by zone index; empty before the first notification.
    reported_weights: Vec<f64>,
}

impl ZoneRouting {
    /// Creates the failover as configured. `home`: the index of this manager's zone in `zones`; `None` if the
    /// zone is not configured.
    pub(super) fn new(config: &FailoverConfig, home: Option<u32>, zones: Vec<String>) -> ZoneRouting {
        let home = home.map(|zone| Locality { zone, region: config.region(&zones, zone as usize) });
        ZoneRouting {
            failover: ZoneFailover::new(config.clone(), home),
            config: config.clone(),
            zones,
            observers: Vec::new(),
            failure_detector: FailureDetector::default(),
            next_check: now(),
            reported_weights: Vec::new(),
        }
    }

    /// Time at which [`ZoneRouting::check`] is due.
    pub(super) fn next_check(&self) -> Timestamp {
        self.next_check
    }

    /// Sets the other managers, each with its last gossip payload, in place of the previous ones.
    pub(super) fn set_observers(&mut self, observers: Vec<Observer>) {
        self.observers = observers;
    }

    /// Evaluates the zones; returns their weights by index if a weight has changed by more than
    /// [`MIN_WEIGHT_CHANGE`].
    pub(super) fn check(&mut self, engines: &EngineTable, views: Vec<EngineView>) -> Option<Vec<f64>> {
        self.next_check = now() + CHECK_INTERVAL;
        let listed: Vec<EngineView> = views.into_iter().filter(|view| view.listed).collect();
        let contacts: Vec<EngineContact> = listed.iter().map(|view| engine_contact(engines, view)).collect();
        let responsiveness = self.failure_detector.update(now(), &contacts);
        let observations = self.summarize(engines, &listed, &responsiveness);
        let plan = self.failover.update(now(), &observations);
        self.log_events(&plan);
        debug!(fractions = ?plan.fractions, weights = ?plan.weights, ?observations, "failover evaluated");
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

    /// Sums this manager's and the other managers' observations by zone.
    fn summarize(
        &self,
        engines: &EngineTable,
        views: &[EngineView],
        responsiveness: &[Responsiveness],
    ) -> Vec<ZoneObservation> {
        let mut zones: BTreeMap<u32, ZoneObservation> = BTreeMap::new();
        for zone in 0..self.zones.len() as u32 {
            let region = self.config.region(&self.zones, zone as usize);
            zones.insert(zone, ZoneObservation { zone, region, ..ZoneObservation::default() });
        }
        let engines_by_zone = add_engines(&mut zones, engines, views, responsiveness);
        for observer in &self.observers {
            let observer_zone = self.zones.iter().position(|zone| *zone == observer.zone);
            add_observer(&mut zones, &engines_by_zone, observer, observer_zone.map(|zone| zone as u32));
        }
        zones.into_values().collect()
    }

    /// Logs each event with its reason and the names of its zones.
    fn log_events(&self, plan: &RoutingPlan) {
        for event in &plan.events {
            self.log_event(event, plan);
        }
    }

    fn log_event(&self, event: &FailoverEvent, plan: &RoutingPlan) {
        let event_text = event.describe(|zone| self.zone_name(zone));
        let fractions: Vec<String> = plan
            .fractions
            .iter()
            .map(|zone| format!("{}:{:.2}", self.zone_name(zone.zone).unwrap_or("?"), zone.fraction))
            .collect();
        let fractions = fractions.join(" ");
        if event.is_warning() {
            warn!(event = event_text, fractions, "failover state changed");
        } else {
            info!(event = event_text, fractions, "failover state changed");
        }
    }

    fn zone_name(&self, zone: u32) -> Option<&str> {
        self.zones.get(zone as usize).map(String::as_str)
    }
}

/// Adds the policy's view of each engine to its zone; returns the hashes of the listed engines' ids by zone.
fn add_engines(
    zones: &mut BTreeMap<u32, ZoneObservation>,
    engines: &EngineTable,
    views: &[EngineView],
    responsiveness: &[Responsiveness],
) -> BTreeMap<u32, BTreeSet<u64>> {
    let mut engines_by_zone: BTreeMap<u32, BTreeSet<u64>> = BTreeMap::new();
    for (view, responsiveness) in views.iter().zip(responsiveness) {
        let Some(observation) = zones.get_mut(&view.zone) else { continue };
        let is_unresponsive = *responsiveness == Responsiveness::Unresponsive;
        observation.listed_cores += view.cores;
        observation.engines += 1;
        observation.unresponsive += u32::from(is_unresponsive);
        observation.responsive += u32::from(*responsiveness == Responsiveness::Responsive);
        observation.load += view.estimated_threads;
        if !is_unresponsive && !view.ejected {
            observation.healthy_cores += view.cores * view.capacity_fraction;
        }
        engines_by_zone.entry(view.zone).or_default().extend(gossip_id(engines, view));
    }
    engines_by_zone
}

/// Adds the observations of another manager to the zones. In that manager's own zone, only its liveness is
/// counted. A zone counts as unreachable for the manager if it cannot reach at least half of the zone's
/// listed engines.
fn add_observer(
    zones: &mut BTreeMap<u32, ZoneObservation>,
    engines_by_zone: &BTreeMap<u32, BTreeSet<u64>>,
    observer: &Observer,
    observer_zone: Option<u32>,
) {
    if let Some(observation) = observer_zone.and_then(|zone| zones.get_mut(&zone)) {
        observation.managers += 1;
        observation.live_managers += u32::from(observer.is_alive);
    }
    let Some(payload) = observer.payload.as_ref().filter(|_| observer.is_alive) else { return };
    for observation in zones.values_mut().filter(|observation| Some(observation.zone) != observer_zone) {
        let engines = engines_by_zone.get(&observation.zone);
        let is_in_zone = |engine: &&u64| engines.is_some_and(|engines| engines.contains(engine));
        let unreachable = payload.unreachable_engines.iter().filter(is_in_zone).count();
        observation.observers += 1;
        observation.unreachable_for +=
            u32::from(observation.engines > 0 && unreachable * 2 >= observation.engines as usize);
    }
}

/// The hashes of the ids of listed engines that do not answer this manager now or are suspected by the
/// failure detector.
pub(super) fn unresponsive_engines(
    routing: Option<&ZoneRouting>,
    engines: &EngineTable,
    views: &[EngineView],
) -> Vec<u64> {
    let is_unresponsive = |view: &&EngineView| {
        let is_suspected = routing.is_some_and(|routing| routing.failure_detector.is_suspected(view.engine));
        view.listed && (is_suspected || is_unresponsive_now(engines, view))
    };
    views.iter().filter(is_unresponsive).filter_map(|view| gossip_id(engines, view)).collect()
}

/// The hash of an engine's id, by which managers identify the engine in gossip.
fn gossip_id(engines: &EngineTable, view: &EngineView) -> Option<u64> {
    engines.get(view.engine as usize).map(|engine| engine_hash(&engine.id))
}

fn is_unresponsive_now(engines: &EngineTable, view: &EngineView) -> bool {
    current_responsiveness(now(), &engine_contact(engines, view)) == Responsiveness::Unresponsive
}

/// This manager's observations of the responses of an engine, for the failure detector.
fn engine_contact(engines: &EngineTable, view: &EngineView) -> EngineContact {
    EngineContact {
        engine: view.engine,
        zone: view.zone,
        last_response_at: engines.get(view.engine as usize).and_then(|engine| engine.last_answered_at),
        is_silent: view.unresponsive || view.backoff_secs > 0.0,
        has_overdue_attempts: view.overdue > 0,
    }
}
