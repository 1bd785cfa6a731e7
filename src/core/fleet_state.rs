//! This manager's part of the fleet.

/// This manager's part of the fleet.
pub(super) struct FleetState {
    /// Managers of the fleet.
    pub(super) managers: u32,
    /// Retries that the other managers leave to this one, over its own retry budget.
    pub(super) spare_attempts: f64,
    /// Processes of this manager, among which its part is divided.
    pub(super) processes: u32,
}

impl FleetState {
    /// The fleet as configured, this manager in one process.
    pub(super) fn new(managers: u32, spare_attempts: f64) -> FleetState {
        FleetState { managers, spare_attempts, processes: 1 }
    }
}
