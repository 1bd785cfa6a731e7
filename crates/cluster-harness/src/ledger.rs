//! The attempts that reached the engines, and counts of those that broke a rule of the operators: at most one
//! attempt of a request in flight, no attempts to draining engines, no overload of cold engines. Engines
//! record in the ledger; the run reads it at its end.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time after the publication of a drain during which attempts may still reach the engine: the settings'
/// `drainGrace` of 500 ms and the protocol's 50 ms.
pub const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// Maximum number of requests in flight that the ledger tracks; further ones are not checked for second
/// attempts.
const MAX_IN_FLIGHT: usize = 200_000;
/// Maximum number of request ids that the ledger remembers; attempts of further requests count as first
/// attempts.
const MAX_KNOWN_REQUESTS: usize = 3_000_000;

/// Counts of attempts, and of those that broke a rule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct AttemptCounts {
    /// Attempts that reached an engine while another attempt of the same request was in flight.
    pub second_attempts: u64,
    /// Attempts that reached a draining engine after the grace period.
    pub after_drain: u64,
    /// Number of times that a cold engine fell over under too much work.
    #[serde(rename = "pushed_over")]
    pub cold_engine_falls: u64,
    /// All attempts that reached an engine.
    pub attempts: u64,
    /// Attempts other than the first one of their request.
    #[serde(rename = "further")]
    pub retries: u64,
}

/// Maximum number of attempts whose time, manager and engine are kept; further ones are only counted.
const MAX_SENDS: usize = 2_000_000;
/// Number of low bits of a request id that are random; the bits above hold the index of the manager.
const MANAGER_SHIFT: u32 = 54;

/// The id of a request of the clients of a manager, from a random number.
pub fn request_id(manager: usize, random: u64) -> u64 {
    (manager as u64) << MANAGER_SHIFT | random >> (64 - MANAGER_SHIFT)
}

/// The index of the manager whose clients sent a request, by the request's id.
pub fn manager_of(id: u64) -> u16 {
    (id >> MANAGER_SHIFT) as u16
}

/// An attempt that reached an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    /// Time of the attempt's arrival at the engine, since the start of the run.
    pub at: Duration,
    /// Index of the manager whose clients sent the request.
    pub manager: u16,
    /// Index of the engine in the run.
    pub engine: u16,
}

#[derive(Default)]
struct LedgerState {
    /// Start of the run; attempts are not kept before it is set.
    start: Option<Instant>,
    sends: Vec<Sent>,
    /// Engine and connection of the last attempt of each request in flight.
    in_flight: HashMap<u64, (usize, u64)>,
    known_requests: HashSet<u64>,
    /// Time at which the drain of an engine was published.
    draining: HashMap<usize, Instant>,
    counts: AttemptCounts,
}

/// The ledger, shared by all engines of a run.
#[derive(Clone)]
pub struct Ledger {
    state: Arc<Mutex<LedgerState>>,
    drain_grace: Duration,
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger::with_grace(DRAIN_GRACE)
    }
}

impl Ledger {
    /// A ledger in which an attempt may reach a draining engine until `grace` after the drain's publication.
    pub fn with_grace(grace: Duration) -> Ledger {
        Ledger { state: Arc::default(), drain_grace: grace }
    }

    fn with<T>(&self, f: impl FnOnce(&mut LedgerState) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Keeps the attempts from now on, with their times since `start`.
    pub fn keep_attempts(&self, start: Instant) {
        self.with(|l| l.start = Some(start));
    }

    /// The attempts kept so far.
    pub fn sends(&self) -> Vec<Sent> {
        self.with(|l| l.sends.clone())
    }

    /// Records that the drain of `engine` was published; only its first drain counts.
    pub fn record_drain(&self, engine: usize, at: Instant) {
        self.with(|l| _ = l.draining.entry(engine).or_insert(at));
    }

    /// Records an attempt that reached `engine` on one of its connections.
    pub fn record_attempt(&self, request: u64, engine: usize, connection: u64, at: Instant) {
        self.with(|l| {
            l.counts.attempts += 1;
            if let Some(start) = l.start.filter(|_| l.sends.len() < MAX_SENDS) {
                let manager = manager_of(request);
                let engine = engine as u16;
                l.sends.push(Sent { at: at.saturating_duration_since(start), manager, engine });
            }
            let first = l.known_requests.len() >= MAX_KNOWN_REQUESTS || l.known_requests.insert(request);
            l.counts.retries += u64::from(!first);
            l.counts.second_attempts += u64::from(l.in_flight.contains_key(&request));
            let late = l
                .draining
                .get(&engine)
                .is_some_and(|published| at.saturating_duration_since(*published) > self.drain_grace);
            l.counts.after_drain += u64::from(late);
            if l.in_flight.len() < MAX_IN_FLIGHT {
                l.in_flight.insert(request, (engine, connection));
            }
        });
    }

    /// Records the end of a request's attempt on a connection: it was answered or cancelled, or its
    /// connection ended.
    pub fn record_end(&self, request: u64, engine: usize, connection: u64) {
        self.with(|l| {
            if l.in_flight.get(&request) == Some(&(engine, connection)) {
                l.in_flight.remove(&request);
            }
        });
    }

    /// Records that a cold engine fell over.
    pub fn record_fall(&self) {
        self.with(|l| l.counts.cold_engine_falls += 1);
    }

    /// A copy of the counts so far.
    pub fn read(&self) -> AttemptCounts {
        self.with(|l| l.counts)
    }
}

#[cfg(test)]
mod tests;
