//! What is kept in memory: the facade round the decision module, the table of requests, the pool
//! of buffers and the connections to engines. Nothing here knows what clients speak.

pub mod attempts;
pub mod buffer_pool;
mod cordons;
pub mod endpoint_client;
pub mod endpoint_watch;
pub mod engine_connection;
pub mod engines;
pub mod facade;
mod gossip_facts;
mod recent_requests;
pub mod request_table;
pub mod result_buffer;
mod send_guard;
pub mod zone_routing;

use sprucelink_policy::{TimeDelta, Timestamp};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// This process's clock: Unix time as it was at the first look, and on from there by the monotonic clock. Every
/// deadline, span and time told to the module is read off it, so that a step of the system's clock neither ends nor
/// holds up anything.
pub fn now() -> Timestamp {
    static FIRST: OnceLock<(Instant, Timestamp)> = OnceLock::new();
    let (first, at) = FIRST.get_or_init(|| (Instant::now(), unix()));
    *at + TimeDelta::from_micros(i64::try_from(first.elapsed().as_micros()).unwrap_or(i64::MAX))
}

/// The system's Unix clock, which may step; 0 before 1970.
pub fn unix() -> Timestamp {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    Timestamp::from_micros(i64::try_from(since.as_micros()).unwrap_or(i64::MAX))
}

/// A Unix time that others tell, on this process's clock as of now.
pub fn from_unix(told: Timestamp) -> Timestamp {
    on_clock(told, unix(), now())
}

/// A Unix time on a clock that shows `now` where Unix time is `unix`.
fn on_clock(told: Timestamp, unix: Timestamp, now: Timestamp) -> Timestamp {
    now + (told - unix)
}

/// A span to sleep; none if it lies behind.
pub fn span(t: TimeDelta) -> Duration {
    Duration::from_micros(t.as_micros().max(0) as u64)
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
