//! The state of this workload manager: serving, quiescing or quiesced.

use crate::Timestamp;

#[cfg(test)]
mod tests;

/// Whether this workload manager accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ManagerState {
    /// The manager accepts new connections and requests.
    Serving,
    /// The manager accepts no new connections and completes the requests in flight.
    Quiescing {
        /// Time at which the manager was cordoned. If the manager became [`ManagerState::Quiesced`] after
        /// that and has work in flight again: the time at which it became so.
        since: Timestamp,
    },
    /// The manager accepts no new connections and has nothing in flight.
    Quiesced {
        /// Time since which nothing is in flight.
        since: Timestamp,
    },
}

impl ManagerState {
    /// Whether new connections are accepted.
    pub fn is_accepting(self) -> bool {
        self == ManagerState::Serving
    }

    /// The state at `now` if the manager is or is not cordoned. A further cause does not restart quiescing.
    pub(crate) fn with_cordon(self, now: Timestamp, cordoned: bool) -> ManagerState {
        match (self, cordoned) {
            (_, false) => ManagerState::Serving,
            (ManagerState::Serving, true) => ManagerState::Quiescing { since: now },
            (state, true) => state,
        }
    }

    /// The state at `now` with `count` connections and requests in flight. A quiesced manager may have work
    /// in flight again, from a connection that was accepted before the cordon.
    pub(crate) fn with_in_flight(self, now: Timestamp, count: usize) -> ManagerState {
        match (self, count) {
            (ManagerState::Quiescing { .. }, 0) => ManagerState::Quiesced { since: now },
            (ManagerState::Quiesced { since }, 1..) => ManagerState::Quiescing { since },
            (state, _) => state,
        }
    }
}
