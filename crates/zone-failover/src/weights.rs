//! The fraction of a manager's requests for each zone, and the routing weights that yield these fractions.

use crate::config::FailoverConfig;
use crate::MAX_ZONES;

/// A fraction of requests up to this value counts as zero. Also the lower bound of divisors, which avoids
/// divisions by zero.
const EPSILON: f64 = 1e-9;

/// Distance of a zone from the manager's own zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The manager's own zone; every zone, if the manager's own zone is not configured.
    Local,
    /// Another zone of the manager's region.
    SameRegion,
    /// A zone of another region.
    OtherRegion,
}

/// Capacity of a zone, reduced according to the zone's state, and the zone's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneCapacity {
    /// Index of the zone.
    pub zone: u32,
    /// Distance from the manager's own zone.
    pub distance: Distance,
    /// Known cores: the maximum that was listed recently.
    pub known_cores: f64,
    /// Healthy, warm cores: 0 while the zone is ejected, and a rising fraction of them while the zone
    /// recovers.
    pub healthy_cores: f64,
    /// Smoothed load, in threads that run on the zone's engines.
    pub load: f64,
}

impl ZoneCapacity {
    /// Fraction of the requests for the zone that the zone can serve, at most 1: the smaller of its healthy
    /// cores times the overprovisioning factor, relative to its known cores, and its healthy cores divided by
    /// the overprovisioning factor, relative to its load.
    fn serviceable_fraction(&self, config: &FailoverConfig) -> f64 {
        if self.known_cores <= 0.0 || self.healthy_cores <= 0.0 {
            return 0.0;
        }
        let by_health = config.overprovisioning_factor * self.healthy_cores / self.known_cores;
        let by_load = self.healthy_cores / config.overprovisioning_factor / self.load.max(EPSILON);
        by_health.min(by_load).clamp(0.0, 1.0)
    }

    /// Cores that the zone can spare for other zones: its healthy cores divided by the overprovisioning
    /// factor, minus its load.
    fn spare_cores(&self, config: &FailoverConfig) -> f64 {
        (self.healthy_cores / config.overprovisioning_factor - self.load).max(0.0)
    }
}

/// The fraction of requests for each zone, in the order of `zones`: local zones get as much as they can
/// serve, and the next nearest zones get the rest in proportion to their spare cores. The fractions add up to
/// 1 if any zone has healthy cores; otherwise all are 0.
pub fn request_fractions(config: &FailoverConfig, zones: &[ZoneCapacity]) -> Vec<f64> {
    let mut fractions = vec![0.0; zones.len()];
    let mut remaining = 1.0 - assign_local(config, zones, &mut fractions);
    for distance in [Distance::SameRegion, Distance::OtherRegion] {
        if remaining > EPSILON {
            remaining -= assign_spare(config, zones, distance, remaining, &mut fractions);
        }
    }
    if remaining > EPSILON {
        assign_by_cores(zones, remaining, &mut fractions);
    }
    fractions
}

fn indices_at_distance(zones: &[ZoneCapacity], distance: Distance) -> Vec<usize> {
    (0..zones.len()).filter(|index| zones[*index].distance == distance).collect()
}

/// Assigns the fraction of requests that the local zones can serve, in proportion to their healthy cores;
/// returns the total assigned.
fn assign_local(config: &FailoverConfig, zones: &[ZoneCapacity], fractions: &mut [f64]) -> f64 {
    let local = indices_at_distance(zones, Distance::Local);
    let healthy: f64 = local.iter().map(|index| zones[*index].healthy_cores).sum();
    let healthy = healthy.max(EPSILON);
    let weighted = |index: &usize| zones[*index].serviceable_fraction(config) * zones[*index].healthy_cores;
    let serviceable = local.iter().map(weighted).sum::<f64>() / healthy;
    for index in local {
        fractions[index] = serviceable * zones[index].healthy_cores / healthy;
    }
    serviceable
}

/// Assigns as much of the remaining fraction as the zones at a distance can serve, in proportion to their
/// spare cores; returns the total assigned.
fn assign_spare(
    config: &FailoverConfig,
    zones: &[ZoneCapacity],
    distance: Distance,
    remaining: f64,
    fractions: &mut [f64],
) -> f64 {
    let indices = indices_at_distance(zones, distance);
    let sum =
        |value: &dyn Fn(&ZoneCapacity) -> f64| indices.iter().map(|index| value(&zones[*index])).sum::<f64>();
    let spare = sum(&|zone| zone.spare_cores(config));
    if spare <= 0.0 {
        return 0.0;
    }
    let known = sum(&|zone| zone.known_cores);
    let healthy = sum(&|zone| zone.healthy_cores);
    let serviceable = (config.overprovisioning_factor * healthy / known.max(EPSILON)).min(1.0);
    let assigned = remaining * serviceable;
    for index in &indices {
        fractions[*index] = assigned * zones[*index].spare_cores(config) / spare;
    }
    assigned
}

/// Assigns the fraction that remains after spare cores are used up, in proportion to the healthy cores of all
/// zones.
fn assign_by_cores(zones: &[ZoneCapacity], remaining: f64, fractions: &mut [f64]) {
    let healthy: f64 = zones.iter().map(|zone| zone.healthy_cores).sum();
    if healthy <= 0.0 {
        return;
    }
    for (zone, fraction) in zones.iter().zip(fractions) {
        *fraction += remaining * zone.healthy_cores / healthy;
    }
}

/// Routing weights, indexed by zone. The policy selects engines by cores, so a zone's weight is its fraction
/// of requests relative to its healthy cores. The largest weight is 1, and no weight is below the configured
/// minimum; all weights are 1 if no fraction is above 0.
pub fn routing_weights(config: &FailoverConfig, zones: &[ZoneCapacity], fractions: &[f64]) -> Vec<f64> {
    let mut weights = equal_weights(zones);
    let per_core: Vec<f64> = zones
        .iter()
        .zip(fractions)
        .map(|(zone, fraction)| if zone.healthy_cores > 0.0 { fraction / zone.healthy_cores } else { 0.0 })
        .collect();
    let largest = per_core.iter().copied().fold(0.0f64, f64::max);
    if largest <= 0.0 {
        return weights;
    }
    for (zone, per_core) in zones.iter().zip(per_core) {
        if let Some(weight) = weights.get_mut(zone.zone as usize) {
            *weight = (per_core / largest).max(config.min_weight);
        }
    }
    weights
}

/// A weight of 1 for each zone index up to the highest index in `zones`, so that the states of zones have no
/// effect.
pub fn equal_weights(zones: &[ZoneCapacity]) -> Vec<f64> {
    let length = zones.iter().map(|zone| zone.zone as usize + 1).max().unwrap_or(0);
    vec![1.0; length.min(MAX_ZONES)]
}
