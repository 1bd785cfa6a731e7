//! A manager's observations of a zone.

/// Observations of one zone at one instant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    /// Index of the zone.
    pub zone: u32,
    /// Index of the zone's region.
    pub region: u32,
    /// Cores of the engines that the endpoint list names as accepting work.
    pub listed_cores: f64,
    /// Cores of the healthy engines among the listed ones, each engine's cores times the fraction of its
    /// capacity that is warm.
    pub healthy_cores: f64,
    /// Estimated number of threads that run on the listed engines.
    pub load: f64,
    /// Number of listed engines.
    pub engines: u32,
    /// Listed engines that do not respond to this manager.
    pub unresponsive: u32,
    /// Listed engines that responded to this manager recently.
    pub responsive: u32,
    /// Managers outside the zone that report observations of it, not counting this manager.
    pub observers: u32,
    /// Reporting managers that cannot reach most of the zone's engines.
    pub unreachable_for: u32,
    /// Known managers inside the zone, dead ones included.
    pub managers: u32,
    /// Managers inside the zone that are alive.
    pub live_managers: u32,
}
