//! Settings of the failover: a JSON5 file of the operator's, such as `deploy/failover.json5`.

use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField, SettingsFile, Violation};
use std::collections::BTreeMap;

/// Zones that may be named in regions.
const MOST_NAMED: usize = 64;

/// The figures of the failover, and which zones form which regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// Whether verdicts weight the draw; off, the module draws as it did.
    pub enabled: bool,
    /// A zone counts as able to bear its requests while its sound cores times this cover its known ones; 1 to 10
    /// (Envoy's overprovisioning factor: 1.4). Its load may take the inverse of this share of its sound cores.
    pub overprovision: f64,
    /// With less than this share of all known cores sound, verdicts are passed over; 0 to 1 (Envoy's panic
    /// threshold: 0.5).
    pub panic_below: f64,
    /// A zone is out by the list when it names less than this share of the cores known there; 0 to 1.
    pub lost_below: f64,
    /// Engines that must be silent to this manager, and their share of those it has a word or silence of, for its own
    /// evidence to count; 1 to 1,000, and 0.5 to 1.
    pub mute_least: u32,
    /// As above.
    pub mute_share: f64,
    /// Managers outside a zone whose word makes a quorum, and the share of them that must not reach it; 1 to 10,000,
    /// and 0.5 to 1.
    pub quorum_least: u32,
    /// As above.
    pub quorum: f64,
    /// Evidence must hold for so long before a zone is out, in milliseconds; 0 to 60,000.
    pub hold_ms: f64,
    /// And be absent for so long before it is taken to be back; 0 to 600,000. Each time it is lost again soon doubles it,
    /// up to `back_most_ms`.
    pub back_ms: f64,
    /// As above; `back_ms` to 3,600,000.
    pub back_most_ms: f64,
    /// A zone that is back gets its share evenly over this, in milliseconds; 0 to 600,000.
    pub ramp_ms: f64,
    /// The least weight of a zone in the draw: what finds room nowhere else may still go there; 1e-6 to 1.
    pub least_weight: f64,
    /// Regions by name: the zones in each, by name. A zone that is named in none is a region of its own.
    pub regions: BTreeMap<String, Vec<String>>,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            enabled: false,
            overprovision: 1.4,
            panic_below: 0.5,
            lost_below: 0.3,
            mute_least: 2,
            mute_share: 0.7,
            quorum_least: 3,
            quorum: 0.5,
            hold_ms: 300.0,
            back_ms: 1_500.0,
            back_most_ms: 30_000.0,
            ramp_ms: 10_000.0,
            least_weight: 1e-3,
            regions: BTreeMap::new(),
        }
    }
}

impl SettingsFile for Terms {
    const SUBJECT: &'static str = "failover";

    fn validate(&self) -> Result<(), InvalidField> {
        check_range("overprovision", self.overprovision, 1.0, 10.0)?;
        check_range("panic_below", self.panic_below, 0.0, 1.0)?;
        check_range("lost_below", self.lost_below, 0.0, 1.0)?;
        check_range("mute_least", f64::from(self.mute_least), 1.0, 1_000.0)?;
        check_range("mute_share", self.mute_share, 0.5, 1.0)?;
        check_range("quorum_least", f64::from(self.quorum_least), 1.0, 10_000.0)?;
        check_range("quorum", self.quorum, 0.5, 1.0)?;
        check_range("hold_ms", self.hold_ms, 0.0, 60_000.0)?;
        check_range("back_ms", self.back_ms, 0.0, 600_000.0)?;
        check_range("back_most_ms", self.back_most_ms, self.back_ms, 3_600_000.0)?;
        check_range("ramp_ms", self.ramp_ms, 0.0, 600_000.0)?;
        check_range("least_weight", self.least_weight, 1e-6, 1.0)?;
        let mut named: Vec<&String> = self.regions.values().flatten().collect();
        check_range("regions: zones", named.len() as f64, 0.0, MOST_NAMED as f64)?;
        named.sort_unstable();
        match named.windows(2).find(|w| w[0] == w[1]) {
            Some(pair) => {
                let violation = Violation::Duplicate { item: "zone", name: pair[0].clone() };
                Err(InvalidField::new("regions", violation))
            }
            None => Ok(()),
        }
    }
}

impl Terms {
    /// The region of a zone, by number: those of one name share one; a zone named in none has its own.
    pub fn region(&self, zones: &[String], zone: usize) -> u32 {
        let name = zones.get(zone);
        let of = self.regions.values().position(|z| name.is_some_and(|n| z.contains(n)));
        of.map_or_else(|| (self.regions.len() + zone) as u32, |i| i as u32)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn settings_are_read_and_refused_by_name() {
        let set =
            Terms::parse("{ enabled: true, regions: { north: ['hall-a', 'hall-b'], south: ['hall-c'] } }");
        let set = set.expect("read");
        let zones: Vec<String> = ["hall-a", "hall-c", "hall-b", "hall-d"].map(str::to_owned).to_vec();
        let regions: Vec<u32> = (0..4).map(|z| set.region(&zones, z)).collect();
        assert_eq!(regions, [0, 1, 0, 5]);
        let wrong = |text: &str| Terms::parse(text).unwrap_err().to_string();
        assert!(wrong("{ overprovison: 1 }").contains("overprovison"));
        assert!(wrong("{ quorum: 0.2 }").contains("quorum"));
        assert!(wrong("{ regions: { a: ['x'], b: ['x'] } }").contains("two places"));
        assert!(wrong("{ back_ms: 40000 }").contains("back_most_ms"));
    }
}
