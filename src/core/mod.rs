//! The core: pending requests, the driver of the policy, the engines and the connections to them. It runs on
//! one thread and is independent of the clients' protocols.
//!
//! Input: requests from the fronts, events of the endpoint list, answers of engines. Output: one final
//! response for each request, and commands to engines. State: pending requests, engines and connections, each
//! owned by one module.
//!
//! The fronts and drivers call [`Core`]. Behind it the `coordinator` connects the parts, each of which owns
//! one kind of state: `request_table`, `attempt`, `engine_table`, [`engine_connection`], `send_guard` and
//! [`policy_driver`].

mod api;
mod attempt;
pub mod buffer_pool;
mod clock;
mod connection_runtime;
mod connection_task;
mod coordinator;
pub mod endpoint_client;
mod endpoint_list;
pub mod endpoint_watch;
pub mod engine_connection;
mod engine_indices;
mod engine_table;
mod fleet_state;
mod gossip_facts;
mod id_generator;
pub mod invariants;
mod outcome_counters;
pub mod policy_driver;
mod request;
mod request_counters;
mod request_ids;
mod request_statistics;
mod request_table;
pub mod result_buffer;
mod send_guard;
pub mod socket;
mod startup_control;
pub mod system_error;
#[cfg(test)]
pub(crate) mod test_support;
mod wall_clock;
pub mod zone_routing;

pub use api::{Core, CoreConfig, RequestHandle};
pub use attempt::AttemptOutcome;
pub use clock::{machine_clock_offset, now, to_duration, unix};
pub use engine_table::EngineCounts;
pub use gossip_facts::GossipWindows;
pub use request::{Request, RequestSpec, Response, UnservedReason, MAX_STATEMENT_BYTES};
pub use request_ids::IdReservation;
