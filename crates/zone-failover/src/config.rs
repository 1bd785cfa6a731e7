//! Failover settings, read from the operator's JSON5 file, such as `deploy/failover.json5`.

use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField, SettingsFile, Violation};
use std::collections::BTreeMap;

/// Largest number of zones that the settings may name in all regions together.
const MAX_ZONES_IN_REGIONS: usize = 64;

/// Settings of the failover, and the zones of each region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FailoverConfig {
    /// Whether failover is on; if it is off, requests are not weighted by zone.
    pub enabled: bool,
    /// Overprovisioning factor (Envoy's default: 1.4); 1 to 10. A zone counts as able to serve all its
    /// requests while its healthy cores times this factor are at least its known cores, and its load in
    /// threads is at most its healthy cores divided by this factor.
    #[serde(rename = "overprovision")]
    pub overprovisioning_factor: f64,
    /// While less than this fraction of all known cores is healthy, the states of zones are ignored (Envoy's
    /// panic threshold: 0.5); 0 to 1.
    #[serde(rename = "panic_below")]
    pub panic_threshold: f64,
    /// A zone is ejected when the endpoint list names less than this fraction of its known cores; 0 to 1.
    #[serde(rename = "lost_below")]
    pub min_listed_fraction: f64,
    /// Smallest number of unresponsive engines for which this manager's own observations eject their zone; 1
    /// to 1,000. In a zone with fewer engines, all of them must be unresponsive.
    #[serde(rename = "mute_least")]
    pub min_unresponsive_engines: u32,
    /// Smallest fraction of unresponsive engines, among the responsive and unresponsive engines of a zone,
    /// for which this manager's own observations eject the zone; 0.5 to 1.
    #[serde(rename = "mute_share")]
    pub min_unresponsive_fraction: f64,
    /// Smallest number of managers outside a zone that must report on the zone for their quorum to decide,
    /// this manager not counted; 1 to 10,000.
    #[serde(rename = "quorum_least")]
    pub min_observers: u32,
    /// Smallest fraction of the reporting managers that must find a zone unreachable for it to be ejected;
    /// 0.5 to 1.
    #[serde(rename = "quorum")]
    pub quorum_fraction: f64,
    /// Time for which evidence must persist until a zone is ejected, in milliseconds; 0 to 60,000.
    #[serde(rename = "hold_ms")]
    pub eject_after_ms: f64,
    /// Time for which evidence must be absent until a zone begins to recover, in milliseconds; 0 to 600,000.
    /// Each ejection soon after a recovery doubles this time, up to `max_recover_after_ms`.
    #[serde(rename = "back_ms")]
    pub recover_after_ms: f64,
    /// Longest time for which evidence must be absent until a zone begins to recover, in milliseconds;
    /// `recover_after_ms` to 3,600,000.
    #[serde(rename = "back_most_ms")]
    pub max_recover_after_ms: f64,
    /// Time over which a recovering zone's capacity rises linearly to its full value, in milliseconds; 0 to
    /// 600,000.
    pub ramp_ms: f64,
    /// Smallest weight of a zone, relative to the largest weight of 1, so that requests that no other zone
    /// can take may still go to the zone; 1e-6 to 1.
    #[serde(rename = "least_weight")]
    pub min_weight: f64,
    /// Names of the zones in each region, by the region's name. A zone that no region names is a region of
    /// its own.
    pub regions: BTreeMap<String, Vec<String>>,
}

impl Default for FailoverConfig {
    fn default() -> FailoverConfig {
        FailoverConfig {
            enabled: false,
            overprovisioning_factor: 1.4,
            panic_threshold: 0.5,
            min_listed_fraction: 0.3,
            min_unresponsive_engines: 2,
            min_unresponsive_fraction: 0.7,
            min_observers: 3,
            quorum_fraction: 0.5,
            eject_after_ms: 300.0,
            recover_after_ms: 1_500.0,
            max_recover_after_ms: 30_000.0,
            ramp_ms: 10_000.0,
            min_weight: 1e-3,
            regions: BTreeMap::new(),
        }
    }
}

impl SettingsFile for FailoverConfig {
    /// Name of these settings in error messages.
    const SUBJECT: &'static str = "failover";

    fn validate(&self) -> Result<(), InvalidField> {
        check_range("overprovision", self.overprovisioning_factor, 1.0, 10.0)?;
        check_range("panic_below", self.panic_threshold, 0.0, 1.0)?;
        check_range("lost_below", self.min_listed_fraction, 0.0, 1.0)?;
        check_range("mute_least", f64::from(self.min_unresponsive_engines), 1.0, 1_000.0)?;
        check_range("mute_share", self.min_unresponsive_fraction, 0.5, 1.0)?;
        check_range("quorum_least", f64::from(self.min_observers), 1.0, 10_000.0)?;
        check_range("quorum", self.quorum_fraction, 0.5, 1.0)?;
        check_range("hold_ms", self.eject_after_ms, 0.0, 60_000.0)?;
        check_range("back_ms", self.recover_after_ms, 0.0, 600_000.0)?;
        check_range("back_most_ms", self.max_recover_after_ms, self.recover_after_ms, 3_600_000.0)?;
        check_range("ramp_ms", self.ramp_ms, 0.0, 600_000.0)?;
        check_range("least_weight", self.min_weight, 1e-6, 1.0)?;
        self.validate_regions()
    }
}

impl FailoverConfig {
    fn validate_regions(&self) -> Result<(), InvalidField> {
        let mut zones: Vec<&String> = self.regions.values().flatten().collect();
        check_range("regions: zones", zones.len() as f64, 0.0, MAX_ZONES_IN_REGIONS as f64)?;
        zones.sort_unstable();
        match zones.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => {
                let violation = Violation::Duplicate { item: "zone", name: pair[0].clone() };
                Err(InvalidField::new("regions", violation))
            }
            None => Ok(()),
        }
    }

    /// The index of the region to which a zone belongs; `zone` is the zone's index in `zone_names`. All zones
    /// of a region have the same region index, and a zone that no region names has a region index of its own.
    pub fn region(&self, zone_names: &[String], zone: usize) -> u32 {
        let name = zone_names.get(zone);
        let region = self.regions.values().position(|zones| name.is_some_and(|name| zones.contains(name)));
        region.unwrap_or(self.regions.len() + zone) as u32
    }
}
