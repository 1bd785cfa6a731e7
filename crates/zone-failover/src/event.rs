//! Changes of the failover's state, and their log texts.

use crate::zone_health::HealthChange;

/// A change of the failover's state.
#[derive(Clone, Debug, PartialEq)]
pub enum FailoverEvent {
    /// A zone's state changed.
    Zone {
        /// Index of the zone.
        zone: u32,
        /// The change, with its reason.
        change: HealthChange,
    },
    /// This manager's own zone became isolated from all other zones.
    Isolated {
        /// Index of the zone.
        zone: u32,
    },
    /// This manager's own zone is no longer isolated.
    Rejoined {
        /// Index of the zone.
        zone: u32,
    },
    /// Too few of all zones' cores are healthy: panic mode began, in which the states of zones are ignored.
    PanicEntered(Capacity),
    /// Enough cores are healthy again, or this manager's zone became isolated: panic mode ended.
    PanicLeft(Capacity),
}

/// Sums of cores over all zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Healthy, warm cores. The cores of an ejected zone do not count, and those of a recovering zone count
    /// in part.
    pub healthy_cores: f64,
    /// Known cores: for each zone, the maximum that was listed recently.
    pub known_cores: f64,
}

impl FailoverEvent {
    /// Whether the event reports a loss of capacity, which is logged as a warning.
    pub fn is_warning(&self) -> bool {
        match self {
            FailoverEvent::Zone { change, .. } => matches!(change, HealthChange::Ejected { .. }),
            FailoverEvent::Isolated { .. } | FailoverEvent::PanicEntered(_) => true,
            FailoverEvent::Rejoined { .. } | FailoverEvent::PanicLeft(_) => false,
        }
    }

    /// The event as log text. `zone_name` returns the name of the zone at an index; a zone without a name is
    /// given by its index.
    pub fn describe<'a>(&self, zone_name: impl Fn(u32) -> Option<&'a str>) -> String {
        let name = |zone: &u32| zone_name(*zone).map_or_else(|| zone.to_string(), str::to_owned);
        match self {
            FailoverEvent::Zone { zone, change } => format!("zone {} {change}", name(zone)),
            FailoverEvent::Isolated { zone } => {
                format!("own zone {} isolated from all others: requests stay in it", name(zone))
            }
            FailoverEvent::Rejoined { zone } => format!("own zone {} no longer isolated", name(zone)),
            FailoverEvent::PanicEntered(capacity) => {
                format!("panic mode entered, states of zones are ignored: {}", capacity.describe())
            }
            FailoverEvent::PanicLeft(capacity) => format!("panic mode left: {}", capacity.describe()),
        }
    }
}

impl Capacity {
    fn describe(&self) -> String {
        format!("{:.1} of {:.1} cores healthy", self.healthy_cores, self.known_cores)
    }
}
