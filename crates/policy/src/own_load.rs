//! This manager's own load and its equal share of the ready engines, and what they show of the fleet's load.

use crate::policy::TICK;
use crate::pricing::LEVELS;
use crate::snapshot::StoredPolicy;
use sprucelink_rate_limits::MovingAverage;

/// Cores of this manager's share at which its load visibility is one half.
const HALF_VISIBLE_CORES: f64 = 4.0;
/// Cores of other managers' shares that are assumed to serve this manager's queue as well.
const SHARED_CORES: f64 = 4.0;
/// Averaging time of the own load, as the work that this manager's share of the cores processes in that time;
/// thread-seconds.
const LOAD_AVERAGE_WORK: f64 = 10.0;

/// This manager's equal share of the ready engines' cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FleetShare {
    pub(crate) managers: f64,
    /// Cores of all ready engines.
    pub(crate) ready_cores: f64,
}

impl FleetShare {
    /// Cores of the share; at least one.
    pub(crate) fn cores(self) -> f64 {
        (self.ready_cores / self.managers).max(1.0)
    }

    /// Load visibility: fraction of the fleet's load that the own load shows, 0 to 1; small for a small
    /// share.
    pub(crate) fn load_visibility(self) -> f64 {
        self.cores() / (self.cores() + HALF_VISIBLE_CORES)
    }

    /// Seconds that queued work takes on the share. Cores of other managers are added because a manager with
    /// a small share shares its engines with them, so that its own short queue does not count as a long
    /// delay.
    pub(crate) fn delay_secs(self, queued_thread_seconds: f64) -> f64 {
        queued_thread_seconds / (self.cores() + SHARED_CORES)
    }
}

/// The threads of this manager's attempts in flight.
#[derive(Clone, Default)]
pub(crate) struct OwnLoad {
    threads: f64,
    /// Threads in flight at each level and above, averaged over ticks.
    average_from_level: [MovingAverage; LEVELS],
}

impl OwnLoad {
    /// Threads in flight now.
    pub(crate) fn threads(&self) -> f64 {
        self.threads
    }

    pub(crate) fn add(&mut self, threads: f64) {
        self.threads += threads;
    }

    pub(crate) fn remove(&mut self, threads: f64) {
        self.threads -= threads;
    }

    /// Average threads in flight at a level and above.
    pub(crate) fn average_from_level(&self, level: usize) -> f64 {
        self.average_from_level[level].value()
    }

    /// Average threads in flight at all levels.
    pub(crate) fn average_threads(&self) -> f64 {
        self.average_from_level(0)
    }

    /// Updates the averages, at a tick. `threads_from_level`: threads in flight at each level and above.
    pub(crate) fn update_averages(&mut self, threads_from_level: [f64; LEVELS], share: FleetShare) {
        let weight = (TICK.as_secs_f64() * share.cores() / LOAD_AVERAGE_WORK).min(1.0);
        for (average, threads) in self.average_from_level.iter_mut().zip(threads_from_level) {
            average.update(threads, weight);
        }
    }

    pub(crate) fn store(&self, stored: &mut StoredPolicy) {
        stored.own_threads = self.threads;
        stored.average_from_level = self.average_from_level;
    }

    pub(crate) fn restore(stored: &StoredPolicy) -> OwnLoad {
        OwnLoad { threads: stored.own_threads, average_from_level: stored.average_from_level }
    }
}

#[cfg(test)]
mod tests;
