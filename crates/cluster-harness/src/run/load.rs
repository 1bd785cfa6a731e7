//! The clients that send requests during a run.

use super::{Availability, Rig};
use crate::client::{self, ClientRequest};
use crate::ledger::request_id;
use crate::runtime;
use crate::scenario::Engines;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// Further managers that a client tries when its own is down.
const MAX_ALTERNATIVES: usize = 8;
/// Requests in flight at one manager; while it has more, no further ones are sent.
const MAX_OPEN: usize = 2_000;

/// Where a manager takes new requests now.
fn open_address(availability: &Mutex<Availability>) -> Option<SocketAddr> {
    let availability = availability.lock().unwrap_or_else(PoisonError::into_inner);
    availability.address.filter(|_| availability.until.is_none_or(|u| Instant::now() < u))
}

impl Rig<'_> {
    /// Starts the clients: each manager gets a Poisson stream of requests of its own.
    pub(super) fn start_clients(&self) -> Vec<tokio::task::JoinHandle<()>> {
        let (load, Engines { light_ms, heavy_ms, .. }) = (self.scenario.load, self.scenario.engines);
        if load.rate <= 0.0 {
            return Vec::new();
        }
        let gap = self.scenario.managers as f64 / load.rate;
        let end = self.start + Duration::from_secs_f64(self.scenario.seconds);
        let one = |(i, availability): (usize, &Arc<Mutex<Availability>>)| {
            let (own, ended, start) = (Arc::clone(availability), Arc::clone(&self.ended), self.start);
            let all: Vec<_> =
                if load.follow { self.availability.iter().map(Arc::downgrade).collect() } else { Vec::new() };
            let mut rng = ChaCha8Rng::seed_from_u64(self.scenario.seed ^ (0xc11e << 32) ^ i as u64);
            runtime().spawn(async move {
                let mut due = start;
                loop {
                    // An exponential gap; the draw is never zero.
                    due += Duration::from_secs_f64(-(1.0 - rng.gen::<f64>()).ln() * gap);
                    if due >= end {
                        return;
                    }
                    sleep_until(due.into()).await;
                    let (id, key) = (request_id(i, rng.gen()), rng.gen::<u64>());
                    let heavy = rng.gen_bool(load.heavy);
                    let mut target = Arc::clone(&own);
                    for _ in 0..MAX_ALTERNATIVES {
                        if open_address(&target).is_some() || all.is_empty() {
                            break;
                        }
                        target = all[rng.gen_range(0..all.len())].upgrade().unwrap_or(target);
                    }
                    let Some(at) = open_address(&target) else { continue };
                    if Arc::strong_count(&target) > MAX_OPEN {
                        continue;
                    }
                    let ended = Arc::clone(&ended);
                    let ms = if heavy { heavy_ms } else { light_ms };
                    let request = ClientRequest {
                        id,
                        heavy,
                        key,
                        ms,
                        timeout: Duration::from_secs_f64(load.timeout_ms / 1e3),
                    };
                    tokio::spawn(async move {
                        let (became, took) = client::send(at, request).await;
                        let unavailable_since =
                            target.lock().unwrap_or_else(PoisonError::into_inner).unavailable_since;
                        let died = unavailable_since.is_some_and(|t| t >= due);
                        let row = (due.saturating_duration_since(start), became, died, took);
                        ended.lock().unwrap_or_else(PoisonError::into_inner).push(row);
                    });
                }
            })
        };
        self.availability.iter().enumerate().map(one).collect()
    }

    /// Requests in flight: each holds a reference to its manager's availability.
    pub(super) fn open(&self) -> usize {
        self.availability.iter().map(|s| Arc::strong_count(s).saturating_sub(1)).sum()
    }
}
