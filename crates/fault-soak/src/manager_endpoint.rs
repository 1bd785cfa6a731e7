//! Address and process states of a manager. Clients learn from them whether the manager accepts connections
//! and requests, and which requests it must answer.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after SIGTERM during which clients open new connections.
const CONNECTIONS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Time after SIGTERM during which clients send requests on open connections.
const REQUESTS_AFTER_SIGTERM: Duration = Duration::from_millis(500);
/// Time after SIGTERM during which requests that were sent must be answered.
const ANSWERED_AFTER_SIGTERM: Duration = Duration::from_millis(700);

/// One process of a manager.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Incarnation {
    pub(crate) started_at: Instant,
    /// The process has answered a health check and has not ended.
    pub(crate) is_up: bool,
    /// Time at which SIGTERM was sent.
    pub(crate) terminated_at: Option<Instant>,
    /// The fault schedule killed the process. False for a process that was killed because it ran for too long
    /// after SIGTERM.
    pub(crate) was_killed: bool,
}

/// Address and processes of a manager.
pub struct ManagerEndpoint {
    /// Index of the manager in the run, from 0.
    pub number: usize,
    /// Address of the platform's front, which stays the same after a restart.
    pub address: SocketAddr,
    /// Processes, in the order of their starts.
    incarnations: Mutex<Vec<Incarnation>>,
}

impl ManagerEndpoint {
    /// Creates the endpoint of a manager without a process.
    pub(crate) fn new(number: usize, address: SocketAddr) -> ManagerEndpoint {
        ManagerEndpoint { number, address, incarnations: Mutex::default() }
    }

    /// Processes, in the order of their starts.
    pub(crate) fn incarnations(&self) -> MutexGuard<'_, Vec<Incarnation>> {
        self.incarnations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The process that was started last; `None` before the first start.
    pub(crate) fn incarnation(&self) -> Option<Incarnation> {
        self.incarnations().last().copied()
    }

    /// Changes the record of the process that was started last.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Incarnation)) {
        if let Some(incarnation) = self.incarnations().last_mut() {
            change(incarnation);
        }
    }

    /// Whether the process that was started last is up, and got no SIGTERM or got it less than
    /// `after_sigterm` ago.
    fn is_up_within(&self, after_sigterm: Duration) -> bool {
        let is_within = |incarnation: &Incarnation| {
            incarnation.terminated_at.is_none_or(|at| at.elapsed() < after_sigterm)
        };
        self.incarnation().is_some_and(|incarnation| incarnation.is_up && is_within(&incarnation))
    }

    /// Whether clients may open new connections.
    pub fn takes_connections(&self) -> bool {
        self.is_up_within(CONNECTIONS_AFTER_SIGTERM)
    }

    /// Whether clients may send requests on open connections.
    pub fn takes_requests(&self) -> bool {
        self.is_up_within(REQUESTS_AFTER_SIGTERM)
    }

    /// Whether the manager must answer a request that was sent at `sent_at` on a connection opened at
    /// `opened_at`. The process that was started last before `opened_at` decides: it must not have been
    /// killed, nor have got SIGTERM more than 0.7 s before `sent_at`.
    pub fn must_answer(&self, opened_at: Instant, sent_at: Instant) -> bool {
        let incarnations = self.incarnations();
        let Some(incarnation) =
            incarnations.iter().rev().find(|incarnation| incarnation.started_at <= opened_at)
        else {
            return false;
        };
        !incarnation.was_killed
            && incarnation.terminated_at.is_none_or(|at| sent_at <= at + ANSWERED_AFTER_SIGTERM)
    }
}
