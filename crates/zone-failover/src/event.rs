//! Changes of the failover's state, for the log.

use crate::zone_health::HealthChange;

/// A change of the failover's state.
#[derive(Clone, Debug, PartialEq)]
pub enum FailoverEvent {
    /// A zone's state changed.
    Zone {
        /// The zone's number.
        zone: u32,
        /// The change, with its reason.
        change: HealthChange,
    },
    /// This manager's own zone became isolated from all others.
    Isolated {
        /// The zone's number.
        zone: u32,
    },
    /// This manager's own zone is no longer isolated.
    Rejoined {
        /// The zone's number.
        zone: u32,
    },
    /// Too little is healthy anywhere: the states of zones are ignored.
    PanicEntered(Capacity),
    /// Enough is healthy again.
    PanicLeft(Capacity),
}

/// Cores of all zones together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Healthy cores.
    pub healthy_cores: f64,
    /// Known cores.
    pub known_cores: f64,
}

impl FailoverEvent {
    /// Whether capacity is lost, so that operators are warned.
    pub fn is_warning(&self) -> bool {
        match self {
            FailoverEvent::Zone { change, .. } => matches!(change, HealthChange::Ejected { .. }),
            FailoverEvent::Isolated { .. } | FailoverEvent::PanicEntered(_) => true,
            FailoverEvent::Rejoined { .. } | FailoverEvent::PanicLeft(_) => false,
        }
    }

    /// The event as text; `zone_name` gives a zone's name by its number, where it has one.
    pub fn describe<'a>(&self, zone_name: impl Fn(u32) -> Option<&'a str>) -> String {
        let name = |zone: &u32| zone_name(*zone).map_or_else(|| zone.to_string(), str::to_owned);
        match self {
            FailoverEvent::Zone { zone, change } => format!("zone {} {change}", name(zone)),
            FailoverEvent::Isolated { zone } => {
                format!("own zone {} isolated from all others: requests stay in it", name(zone))
            }
            FailoverEvent::Rejoined { zone } => format!("own zone {} isolated no more", name(zone)),
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
