//! Cordons take engines or this manager itself out of service on behalf of an operator or the fleet.
//!
//! An engine is *cordoned* while at least one [`Cause`] is active on it: an operator's call
//! ([`Cause::Operator`]) or a permit that the fleet agreed on ([`Cause::Fleet`]). Causes are independent of
//! each other; the engine returns to service once no cause is active. Events of the endpoint list (gone,
//! draining, ready again, restarted under the same id) change no cordon. The same code handles calls at one
//! manager's operator address and permits of the fleet's replicated log.
//!
//! The state is a state-based CRDT, a map of last-writer-wins registers (Shapiro et al. 2011, "A
//! comprehensive study of Convergent and Commutative Replicated Data Types"): one register, [`CordonEntry`],
//! for each pair of target and cause, versioned by a Lamport clock. Merging is associative, commutative and
//! idempotent. During a hot restart, calls may reach either of two processes; after each process has merged
//! the other's records, both hold the newest call for each target and cause.
//!
//! - [`CordonState`]: active cordons, the engine ids ever listed, and this manager's own state
//!   ([`ManagerState`]).
//! - [`CordonRecord`]: one register with its target and cause, as exchanged between processes.
//! - [`CordonLimits`]: every bound on retained state, with the behaviour at the bound.
//!
//! This crate performs no I/O and reads no clock: the current Unix time is an argument. docs/design/cordon.md
//! holds the rules.

mod cause;
mod cause_register;
mod cordon_record;
mod counters;
mod error;
mod known_ids;
mod lamport_clock;
mod limits;
mod manager_state;
mod outcome;
mod record_usage;
mod register_table;
mod state;
mod target;

pub use cause::{Cause, CordonRequest};
pub use cordon_record::{CordonEntry, CordonRecord};
pub use counters::CordonCounters;
pub use error::{CordonError, RecordError};
pub use known_ids::engine_id_hash;
pub use limits::{CordonLimits, MAX_LEASE, MAX_REASON_BYTES, MAX_VERSION, TOMBSTONE_RETENTION};
pub use manager_state::ManagerState;
pub use outcome::{CordonOutcome, MergeResult, TargetChange};
pub use sprucelink_time::{TimeDelta, Timestamp};
pub use state::{ActiveCordon, CordonSizes, CordonState};
pub use target::{Target, MAX_ENGINE_ID_BYTES};
