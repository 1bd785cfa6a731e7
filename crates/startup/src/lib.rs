//! Start-up control of a workload manager, for when hundreds of managers start at the same time.
//!
//! A manager that starts alone may poll its endpoint list, connect to its engines and load them at once. If
//! hundreds of managers start together (a release, a crash of most of a fleet, a rolling restart), the
//! control feed and the engines face a thundering herd. This crate holds the state machines that spread such
//! a start over time:
//!
//! - [`endpoint_poller`]: when to poll the endpoint list, with a rate limit and backoff ([`backoff`]);
//! - [`dial_pacer`]: when a new connection may be dialed;
//! - [`first_load`]: how fast the load on engines in slow start rises after the manager's start;
//! - [`admission`]: how many requests may be pending during warm-up;
//! - [`endpoint_list_guard`]: which changes of a stale or contradictory endpoint list are applied;
//! - [`readiness`]: when the manager reports that it is ready.
//!
//! [`config::StartupConfig`] is the operator's settings file. This crate performs no I/O and reads no clock:
//! the current time is an argument, and randomness comes from a seed. On the platform, managers do not
//! communicate with each other: each decides from its configuration (fleet size, own name, seed) and its own
//! observations.

pub mod admission;
pub mod backoff;
pub mod config;
pub mod dial_pacer;
pub mod endpoint_list_guard;
pub mod endpoint_poller;
pub mod first_load;
pub mod readiness;

pub use sprucelink_time::{TimeDelta, Timestamp};

/// Converts a setting in milliseconds to a time span.
fn from_millis(millis: f64) -> TimeDelta {
    TimeDelta::from_secs_f64(millis / 1_000.0)
}
