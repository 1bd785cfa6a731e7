//! What passed on the engines' wires, held against the operators' rules: at most one attempt out, drains
//! heeded, cold engines not pushed over. Engines write in it; the run reads it at its end.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A send may reach a draining engine for so long after the drain was told (the settings' grace of 500 ms,
/// and the protocol's 50 ms).
pub const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// Requests in flight that the ledger follows; further ones are not checked for second attempts.
const MAX_OPEN: usize = 200_000;
/// Request ids that the ledger remembers; further ones count as first attempts.
const MAX_SEEN: usize = 3_000_000;

/// Counts of what broke a rule, and of what is priced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Breaches {
    /// Attempts that reached an engine while another attempt of the same request was out.
    pub second_attempts: u64,
    /// Attempts that reached an engine later than the grace after its drain was told.
    pub after_drain: u64,
    /// Cold engines that fell over.
    pub pushed_over: u64,
    /// Attempts that reached an engine in all.
    pub attempts: u64,
    /// Of these, further attempts of a request.
    pub further: u64,
}

/// Attempts whose time, manager and engine are kept; further ones are only counted.
const MAX_SENDS: usize = 2_000_000;
/// Bits of a request id below the number of the manager that the request was sent to.
const MANAGER_SHIFT: u32 = 54;

/// The id of a request that is asked of a manager, from something drawn.
pub fn request_id(manager: usize, drawn: u64) -> u64 {
    (manager as u64) << MANAGER_SHIFT | drawn >> (64 - MANAGER_SHIFT)
}

/// The manager that a request was asked of, by its id.
pub fn manager_of(id: u64) -> u16 {
    (id >> MANAGER_SHIFT) as u16
}

/// An attempt that reached an engine: when since the start, of which manager, at which engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    /// When.
    pub at: Duration,
    /// The manager, by number.
    pub manager: u16,
    /// The engine, by number.
    pub engine: u16,
}

#[derive(Default)]
struct LedgerState {
    start: Option<Instant>,
    sends: Vec<Sent>,
    out: HashMap<u64, (usize, u64)>,
    seen: HashSet<u64>,
    draining: HashMap<usize, Instant>,
    counts: Breaches,
}

/// The ledger, shared by all engines of a rig.
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
    /// A ledger that counts sends later than `grace` after a drain was told.
    pub fn with_grace(grace: Duration) -> Ledger {
        Ledger { state: Arc::default(), drain_grace: grace }
    }

    fn with<T>(&self, f: impl FnOnce(&mut LedgerState) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// From now on sends are dated, from `start`.
    pub fn date(&self, start: Instant) {
        self.with(|l| l.start = Some(start));
    }

    /// The sends dated so far.
    pub fn sends(&self) -> Vec<Sent> {
        self.with(|l| l.sends.clone())
    }

    /// A drain of `engine` was told.
    pub fn drained(&self, engine: usize, at: Instant) {
        self.with(|l| _ = l.draining.entry(engine).or_insert(at));
    }

    /// A request reached `engine` on one of its connections.
    pub fn reached(&self, request: u64, engine: usize, connection: u64, at: Instant) {
        self.with(|l| {
            l.counts.attempts += 1;
            if let Some(start) = l.start.filter(|_| l.sends.len() < MAX_SENDS) {
                let manager = manager_of(request);
                let engine = engine as u16;
                l.sends.push(Sent { at: at.saturating_duration_since(start), manager, engine });
            }
            let first = l.seen.len() >= MAX_SEEN || l.seen.insert(request);
            l.counts.further += u64::from(!first);
            l.counts.second_attempts += u64::from(l.out.contains_key(&request));
            let late = l
                .draining
                .get(&engine)
                .is_some_and(|told| at.saturating_duration_since(*told) > self.drain_grace);
            l.counts.after_drain += u64::from(late);
            if l.out.len() < MAX_OPEN {
                l.out.insert(request, (engine, connection));
            }
        });
    }

    /// The attempt of a request on a connection is over there: answered, called off, or its connection ended.
    pub fn over(&self, request: u64, engine: usize, connection: u64) {
        self.with(|l| {
            if l.out.get(&request) == Some(&(engine, connection)) {
                l.out.remove(&request);
            }
        });
    }

    /// A cold engine fell over.
    pub fn fell(&self) {
        self.with(|l| l.counts.pushed_over += 1);
    }

    /// The counts so far.
    pub fn read(&self) -> Breaches {
        self.with(|l| l.counts)
    }
}

#[cfg(test)]
mod tests;
