//! The state of this workload manager: serving, quiescing, quiesced.

use crate::Timestamp;

#[cfg(test)]
mod tests;

/// Whether this workload manager accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ManagerState {
    /// It accepts new connections and requests.
    Serving,
    /// It accepts no new connections and finishes what is in flight.
    Quiescing {
        /// Since when.
        since: Timestamp,
    },
    /// It accepts no new connections and has nothing in flight.
    Quiesced {
        /// Since when it has nothing in flight.
        since: Timestamp,
    },
}

impl ManagerState {
    /// Whether new connections are accepted.
    pub fn is_accepting(self) -> bool {
        self == ManagerState::Serving
    }

    /// The state once the manager is cordoned or not. A further cause changes nothing of what is under way.
    pub(crate) fn with_cordon(self, now: Timestamp, cordoned: bool) -> ManagerState {
        match (self, cordoned) {
            (_, false) => ManagerState::Serving,
            (ManagerState::Serving, true) => ManagerState::Quiescing { since: now },
            (state, true) => state,
        }
    }

    /// The state with this many requests and sessions in flight. A quiesced manager may have work in flight again: from
    /// a connection that was accepted before the call.
    pub(crate) fn with_in_flight(self, now: Timestamp, count: usize) -> ManagerState {
        match (self, count) {
            (ManagerState::Quiescing { .. }, 0) => ManagerState::Quiesced { since: now },
            (ManagerState::Quiesced { since }, 1..) => ManagerState::Quiescing { since },
            (state, _) => state,
        }
    }
}
