//! What clients know of a manager: where it listens, and from its processes' starts and ends whether it takes
//! connections and requests, and which it must answer.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// New connections come for this long after SIGTERM.
const CONNECTIONS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Requests on open connections come for this long after SIGTERM.
const REQUESTS_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// A request that comes later than this after SIGTERM needs no answer.
const ANSWERED_AFTER_SIGTERM: Duration = Duration::from_millis(700);

/// One process of a manager, from its start on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Incarnation {
    pub(crate) started_at: Instant,
    pub(crate) is_up: bool,
    pub(crate) terminated_at: Option<Instant>,
    pub(crate) was_killed: bool,
}

/// What clients know of a manager.
pub struct ManagerEndpoint {
    /// Its number.
    pub number: usize,
    /// Where its clients connect, the same after a restart.
    pub address: SocketAddr,
    /// Its processes, in order.
    incarnations: Mutex<Vec<Incarnation>>,
}

impl ManagerEndpoint {
    /// A manager that has no process yet.
    pub(crate) fn new(number: usize, address: SocketAddr) -> ManagerEndpoint {
        ManagerEndpoint { number, address, incarnations: Mutex::default() }
    }

    /// Its processes, in order.
    pub(crate) fn incarnations(&self) -> MutexGuard<'_, Vec<Incarnation>> {
        self.incarnations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its last process.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnations().last().copied()
    }

    /// Changes the record of its last process.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Incarnation)) {
        if let Some(incarnation) = self.incarnations().last_mut() {
            change(incarnation);
        }
    }

    /// Whether it serves, and SIGTERM came less than this ago, if it did.
    fn is_up_until(&self, after_sigterm: Duration) -> bool {
        let is_within = |incarnation: &Incarnation| {
            incarnation.terminated_at.is_none_or(|at| at.elapsed() < after_sigterm)
        };
        self.incarnation().is_some_and(|incarnation| incarnation.is_up && is_within(&incarnation))
    }

    /// Whether clients make new connections to it.
    pub fn takes_connections(&self) -> bool {
        self.is_up_until(CONNECTIONS_AFTER_SIGTERM)
    }

    /// Whether clients send requests on open connections.
    pub fn takes_requests(&self) -> bool {
        self.is_up_until(REQUESTS_AFTER_SIGTERM)
    }

    /// Whether it must answer a request that was sent at this time, on a connection that was opened at `opened`.
    pub fn must_answer(&self, opened: Instant, sent: Instant) -> bool {
        let incarnations = self.incarnations();
        let Some(incarnation) =
            incarnations.iter().rev().find(|incarnation| incarnation.started_at <= opened)
        else {
            return false;
        };
        !incarnation.was_killed
            && incarnation.terminated_at.is_none_or(|at| sent <= at + ANSWERED_AFTER_SIGTERM)
    }
}
