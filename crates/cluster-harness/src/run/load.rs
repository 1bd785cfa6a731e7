//! The clients that send requests during a run.

use super::{Availability, CompletedRequest, Harness};
use crate::client::{self, ClientRequest};
use crate::ledger::request_id;
use crate::runtime;
use crate::scenario::{Engines, Load};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_float_math::ln;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// Maximum number of further managers that a client tries when its own is down.
const MAX_ALTERNATIVES: usize = 8;
/// Maximum number of requests in flight at one manager. While a manager has more, requests to it are not
/// sent, and not counted.
const MAX_OPEN: usize = 2_000;

/// The address at which a manager accepts new requests now; `None` while it accepts none.
fn open_address(availability: &Mutex<Availability>) -> Option<SocketAddr> {
    let availability = availability.lock().unwrap_or_else(PoisonError::into_inner);
    availability.address.filter(|_| availability.until.is_none_or(|u| Instant::now() < u))
}

/// The clients of one manager: a Poisson stream of requests.
struct ClientStream {
    /// The manager's index.
    manager: usize,
    own: Arc<Mutex<Availability>>,
    /// The managers that get the requests while the clients' own manager is down; empty if clients do not
    /// fail over.
    alternatives: Vec<Weak<Mutex<Availability>>>,
    completed: Arc<Mutex<Vec<CompletedRequest>>>,
    start: Instant,
    end: Instant,
    /// Mean interval between two requests, in seconds.
    mean_interval: f64,
    load: Load,
    engines: Engines,
    rng: ChaCha8Rng,
}

impl ClientStream {
    /// Sends requests when they are due, until the end of the run, without waiting for the answers.
    async fn run(mut self) {
        let mut due = self.start;
        loop {
            // An exponential interval; the draw is never zero.
            due += Duration::from_secs_f64(-ln(1.0 - self.rng.gen::<f64>()) * self.mean_interval);
            if due >= self.end {
                return;
            }
            sleep_until(due.into()).await;
            let request = self.draw_request();
            let target = self.choose_manager();
            let Some(address) = open_address(&target) else { continue };
            if Arc::strong_count(&target) > MAX_OPEN {
                continue;
            }
            self.send(address, request, target, due);
        }
    }

    fn draw_request(&mut self) -> ClientRequest {
        let id = request_id(self.manager, self.rng.gen());
        let key = self.rng.gen::<u64>();
        let heavy = self.rng.gen_bool(self.load.heavy);
        let estimated_work_ms = if heavy { self.engines.heavy_ms } else { self.engines.light_ms };
        ClientRequest {
            id,
            heavy,
            key,
            estimated_work_ms,
            timeout: Duration::from_secs_f64(self.load.timeout_ms / 1e3),
        }
    }

    /// The clients' own manager while it accepts requests, else a manager drawn at random, which may be down
    /// as well.
    fn choose_manager(&mut self) -> Arc<Mutex<Availability>> {
        let mut target = Arc::clone(&self.own);
        for _ in 0..MAX_ALTERNATIVES {
            if open_address(&target).is_some() || self.alternatives.is_empty() {
                break;
            }
            let drawn = self.rng.gen_range(0..self.alternatives.len());
            target = self.alternatives[drawn].upgrade().unwrap_or(target);
        }
        target
    }

    /// Sends a request in a task of its own, which records how it completes.
    fn send(
        &self,
        address: SocketAddr,
        request: ClientRequest,
        target: Arc<Mutex<Availability>>,
        due: Instant,
    ) {
        let completed = Arc::clone(&self.completed);
        let due_after = due.saturating_duration_since(self.start);
        tokio::spawn(async move {
            let (outcome, latency) = client::send(address, request).await;
            let unavailable_since = target.lock().unwrap_or_else(PoisonError::into_inner).unavailable_since;
            let manager_failed = unavailable_since.is_some_and(|since| since >= due);
            let request = CompletedRequest { due: due_after, outcome, manager_failed, latency };
            completed.lock().unwrap_or_else(PoisonError::into_inner).push(request);
        });
    }
}

impl Harness<'_> {
    /// Starts the clients: each manager gets a Poisson stream of requests of its own.
    pub(super) fn start_clients(&self) -> Vec<tokio::task::JoinHandle<()>> {
        if self.scenario.load.rate <= 0.0 {
            return Vec::new();
        }
        (0..self.availability.len()).map(|i| runtime().spawn(self.client_stream(i).run())).collect()
    }

    fn client_stream(&self, manager: usize) -> ClientStream {
        let load = self.scenario.load;
        let alternatives = match load.follow {
            true => self.availability.iter().map(Arc::downgrade).collect(),
            false => Vec::new(),
        };
        ClientStream {
            manager,
            own: Arc::clone(&self.availability[manager]),
            alternatives,
            completed: Arc::clone(&self.completed),
            start: self.start,
            end: self.start + Duration::from_secs_f64(self.scenario.seconds),
            mean_interval: self.scenario.managers as f64 / load.rate,
            load,
            engines: self.scenario.engines,
            rng: ChaCha8Rng::seed_from_u64(self.scenario.seed ^ (0xc11e << 32) ^ manager as u64),
        }
    }

    /// Number of requests in flight, counted by the references that they hold to their managers'
    /// availability.
    pub(super) fn requests_in_flight(&self) -> usize {
        self.availability.iter().map(|manager| Arc::strong_count(manager).saturating_sub(1)).sum()
    }
}
