//! What is kept in memory: the facade round the decision module, the table of requests, the pool
//! of buffers and the connections to engines. Nothing here knows what clients speak.

pub mod attempts;
pub mod engines;
pub mod facade;
pub mod feed;
pub mod following;
pub mod links;
mod outages;
mod past;
pub mod pool;
pub mod requests;
pub mod results;
mod shared;
pub mod zones;

use sprucelink_policy::interface::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The system's Unix clock: every deadline and every time told to the module is read off it.
pub fn now() -> Micros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    Micros(since.as_micros() as i64)
}

/// A span to sleep; none if it lies behind.
pub fn span(t: Micros) -> Duration {
    Duration::from_micros(t.0.max(0) as u64)
}
