//! The observations of a zone from which a manager decides on its state.

/// Observations of one zone at one instant: this manager's own observations, and those that other managers
/// report to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    /// Index of the zone.
    pub zone: u32,
    /// Index of the zone's region.
    pub region: u32,
    /// Cores of the engines that the endpoint list names as accepting work.
    pub listed_cores: f64,
    /// Cores of the healthy engines among the listed engines: the sum of each engine's cores times the
    /// fraction of its capacity that is warm.
    pub healthy_cores: f64,
    /// Estimated number of threads that run on the listed engines.
    pub load: f64,
    /// Number of listed engines.
    pub engines: u32,
    /// Number of listed engines that do not respond to this manager.
    pub unresponsive: u32,
    /// Number of listed engines that responded to this manager recently.
    pub responsive: u32,
    /// Number of managers outside the zone that report observations of it, not counting this manager.
    pub observers: u32,
    /// Number of reporting managers (`observers`) that cannot reach at least half of the zone's engines.
    pub unreachable_for: u32,
    /// Number of known managers inside the zone, whether alive or dead, not counting this manager.
    pub managers: u32,
    /// Number of managers inside the zone that are alive, not counting this manager.
    pub live_managers: u32,
}
