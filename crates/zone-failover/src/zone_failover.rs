//! The failover state machine of one manager: derives routing weights from observations of zones.

use crate::config::FailoverConfig;
use crate::event::Capacity;
use crate::weights::{equal_weights, request_fractions, routing_weights, Distance, ZoneCapacity};
use crate::zone_health::{ZoneHealth, ZoneState};
use crate::{FailoverEvent, Timestamp, ZoneObservation};
use std::collections::BTreeMap;

/// Largest number of zones in one update; further observations are ignored.
pub const MAX_ZONES: usize = 64;
/// Smallest number of other zones with engines, all of them ejected, for which this manager's own zone counts
/// as isolated.
const MIN_OTHER_ZONES: usize = 2;

/// Zone and region in which a manager runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Locality {
    /// Index of the manager's zone.
    pub zone: u32,
    /// Index of the manager's region, a group of zones; see [`crate::config::FailoverConfig::region`].
    pub region: u32,
}

/// The fraction of a manager's requests that goes to one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneFraction {
    /// Index of the zone.
    pub zone: u32,
    /// The fraction, from 0 to 1.
    pub fraction: f64,
}

/// Result of an update: the fractions of a manager's requests for the zones, the weights that yield these
/// fractions, and the changes of state.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingPlan {
    /// Fraction of requests for each zone, in the order of the observations. The fractions add up to 1, or
    /// are all 0 if no cores are healthy and panic mode is off because no cores are known or the panic
    /// threshold is 0.
    pub fractions: Vec<ZoneFraction>,
    /// Routing weights, indexed by zone: the largest weight is 1, and no weight is 0.
    pub weights: Vec<f64>,
    /// Whether panic mode is on: too few of all zones' cores are healthy, so the states of zones are ignored
    /// and requests are spread by known cores.
    pub is_panic: bool,
    /// Whether this manager's own zone is isolated from all other zones, so that requests stay in it.
    pub is_isolated: bool,
    /// Changes of state caused by this update.
    pub events: Vec<FailoverEvent>,
}

/// The failover state machine of one manager.
#[derive(Clone, Debug)]
pub struct ZoneFailover {
    config: FailoverConfig,
    /// Zone and region of this manager; `None` if its zone is not configured, in which case all zones count
    /// as equally near.
    locality: Option<Locality>,
    zones: BTreeMap<u32, ZoneHealth>,
    is_isolated: bool,
    is_panic: bool,
}

impl ZoneFailover {
    /// Creates the failover of a manager, with all zones healthy. `locality`: the manager's zone and region;
    /// `None` if its zone is not configured.
    pub fn new(config: FailoverConfig, locality: Option<Locality>) -> ZoneFailover {
        ZoneFailover { config, locality, zones: BTreeMap::new(), is_isolated: false, is_panic: false }
    }

    /// State of the zone with this index; a zone that is not tracked counts as healthy.
    pub fn zone_state(&self, zone: u32) -> ZoneState {
        self.zones.get(&zone).map_or(ZoneState::Healthy, ZoneHealth::state)
    }

    /// Updates the states of all zones from the observations at `now`, one for each zone, and derives the
    /// routing plan. Observations beyond [`MAX_ZONES`] are ignored.
    pub fn update(&mut self, now: Timestamp, observations: &[ZoneObservation]) -> RoutingPlan {
        let observations = &observations[..observations.len().min(MAX_ZONES)];
        let mut events = self.update_zones(now, observations);
        events.extend(self.update_isolation(observations));
        let zones: Vec<ZoneCapacity> =
            observations.iter().map(|observed| self.zone_capacity(now, observed)).collect();
        events.extend(self.update_panic(&zones));
        let fractions = self.fractions(&zones);
        let weights = if self.is_panic {
            equal_weights(&zones)
        } else {
            routing_weights(&self.config, &zones, &fractions)
        };
        let fractions = zones.iter().zip(fractions);
        RoutingPlan {
            fractions: fractions.map(|(zone, fraction)| ZoneFraction { zone: zone.zone, fraction }).collect(),
            weights,
            is_panic: self.is_panic,
            is_isolated: self.is_isolated,
            events,
        }
    }

    fn update_zones(&mut self, now: Timestamp, observations: &[ZoneObservation]) -> Vec<FailoverEvent> {
        let mut events = Vec::new();
        for observed in observations {
            let zone = observed.zone;
            let health = self.zones.entry(zone).or_insert_with(|| ZoneHealth::new(observed.listed_cores));
            let change = health.update(now, &self.config, observed);
            events.extend(change.map(|change| FailoverEvent::Zone { zone, change }));
        }
        // A zone that is no longer observed has no engine left in the endpoint list.
        let is_observed = |zone: &u32| observations.iter().any(|observed| observed.zone == *zone);
        self.zones.retain(|zone, health| is_observed(zone) || !health.is_expired(now));
        events
    }

    /// Updates whether this manager's own zone is isolated. If all other zones are ejected while the own zone
    /// responds, the own zone is more likely to be isolated than all other zones to have failed.
    fn update_isolation(&mut self, observations: &[ZoneObservation]) -> Option<FailoverEvent> {
        let zone = self.locality?.zone;
        let own_responds = observations
            .iter()
            .find(|observed| observed.zone == zone)
            .is_some_and(|own| own.responsive > 0 && own.unresponsive * 2 < own.engines);
        let is_other = |observed: &&ZoneObservation| observed.zone != zone && observed.engines > 0;
        let others: Vec<&ZoneObservation> = observations.iter().filter(is_other).collect();
        let are_ejected = others.iter().all(|other| self.zone_state(other.zone) == ZoneState::Ejected);
        let is_isolated = own_responds && others.len() >= MIN_OTHER_ZONES && are_ejected;
        if is_isolated == self.is_isolated {
            return None;
        }
        self.is_isolated = is_isolated;
        Some(if is_isolated { FailoverEvent::Isolated { zone } } else { FailoverEvent::Rejoined { zone } })
    }

    /// Updates panic mode. An isolated manager finds few healthy cores in other zones, but this does not
    /// start panic mode, because its own zone serves its requests.
    fn update_panic(&mut self, zones: &[ZoneCapacity]) -> Option<FailoverEvent> {
        let known_cores: f64 = zones.iter().map(|zone| zone.known_cores).sum();
        let healthy_cores: f64 = zones.iter().map(|zone| zone.healthy_cores).sum();
        let is_below_threshold = healthy_cores < self.config.panic_threshold * known_cores;
        let is_panic = !self.is_isolated && known_cores > 0.0 && is_below_threshold;
        if is_panic == self.is_panic {
            return None;
        }
        self.is_panic = is_panic;
        let capacity = Capacity { healthy_cores, known_cores };
        Some(if is_panic {
            FailoverEvent::PanicEntered(capacity)
        } else {
            FailoverEvent::PanicLeft(capacity)
        })
    }

    fn fractions(&self, zones: &[ZoneCapacity]) -> Vec<f64> {
        if self.is_panic {
            // Panic mode implies that some cores are known, so the sum is not zero.
            let known_cores: f64 = zones.iter().map(|zone| zone.known_cores).sum();
            return zones.iter().map(|zone| zone.known_cores / known_cores).collect();
        }
        match self.locality {
            Some(locality) if self.is_isolated => {
                zones.iter().map(|zone| if zone.zone == locality.zone { 1.0 } else { 0.0 }).collect()
            }
            _ => request_fractions(&self.config, zones),
        }
    }

    fn zone_capacity(&self, now: Timestamp, observed: &ZoneObservation) -> ZoneCapacity {
        let health = self.zones.get(&observed.zone);
        let fraction = health.map_or(1.0, |health| health.capacity_fraction(now, &self.config));
        let known_cores = health.map_or(0.0, ZoneHealth::known_cores);
        ZoneCapacity {
            zone: observed.zone,
            distance: self.distance(observed),
            known_cores: known_cores.max(observed.listed_cores),
            healthy_cores: observed.healthy_cores * fraction,
            load: health.map_or(observed.load, ZoneHealth::load),
        }
    }

    fn distance(&self, observed: &ZoneObservation) -> Distance {
        match self.locality {
            Some(locality) if locality.zone == observed.zone => Distance::Local,
            Some(locality) if locality.region == observed.region => Distance::SameRegion,
            Some(_) => Distance::OtherRegion,
            None => Distance::Local,
        }
    }
}
