//! Start-up of a workload manager, when hundreds of them start at the same time.
//!
//! A manager that starts alone may poll its endpoint list, connect to its engines and load them at once. Hundreds that
//! start together (a release, a crash of most of a fleet, a rolling restart) do so in step, and the list service and the
//! engines see the sum: a thundering herd. This crate holds the state machines that spread such a start:
//!
//! - [`endpoint_poller`]: when to poll the endpoint list, with a rate limit and backoff ([`backoff`]);
//! - [`dial_pacer`]: when a new connection may be dialled;
//! - [`first_load`]: how fast the first load on cold engines rises;
//! - [`admission`]: how many requests are admitted during warm-up;
//! - [`endpoint_list_guard`]: what a stale or contradictory endpoint list may change;
//! - [`readiness`]: when the manager reports that it is ready.
//!
//! [`config::StartupConfig`] is the operator's settings file. Nothing here does input or output or reads a clock: the
//! current time is an argument, and randomness comes from a seed. On the platform, managers do not communicate with each other:
//! everything follows from what each is configured with (fleet size, own name, seed) and what it observes.

pub mod admission;
pub mod backoff;
pub mod config;
pub mod dial_pacer;
pub mod endpoint_list_guard;
pub mod endpoint_poller;
pub mod first_load;
pub mod readiness;

pub use sprucelink_time::{TimeDelta, Timestamp};

/// A span from a setting in milliseconds.
fn from_millis(millis: f64) -> TimeDelta {
    TimeDelta::from_secs_f64(millis / 1_000.0)
}
