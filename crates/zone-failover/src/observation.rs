//! What a manager observes of a zone.

/// Observations of one zone at one instant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    /// The zone's number.
    pub zone: u32,
    /// The number of its region.
    pub region: u32,
    /// Cores of the engines that the endpoint list names as taking work.
    pub listed_cores: f64,
    /// Of these, the cores of healthy engines, each times the fraction of its capacity that is warm.
    pub healthy_cores: f64,
    /// Threads estimated to run on them.
    pub load: f64,
    /// Engines listed.
    pub engines: u32,
    /// Of these, engines that do not respond to this manager.
    pub unresponsive: u32,
    /// Of these, engines that responded to it recently.
    pub responsive: u32,
    /// Managers outside the zone that report what they observe of it, without this one.
    pub observers: u32,
    /// Of these, managers that cannot reach most of its engines.
    pub unreachable_for: u32,
    /// Known managers inside the zone, dead ones included.
    pub managers: u32,
    /// Of these, managers that are alive.
    pub live_managers: u32,
}
