//! Which engines are out here, and why; and whether this workload manager itself takes new work.
//!
//! An engine is *out* while anybody bans it: the operator ([`By::Operator`]) or a permit that the fleet agreed
//! on ([`By::Fleet`]). Each cause is kept apart, and the engine is back only once no cause holds it. What the
//! engine list says (gone, draining, ready again, restarted under the same id) changes no ban. The same code
//! serves two callers: the operator's address of one manager, and permits of the fleet's journal.
//!
//! - [`Outages`]: the bans in force, the ids ever listed, and this manager's own state ([`Manager`]).
//! - [`Ban`] and [`Word`]: one cause's last call on one target, as it goes from process to process. Words carry
//!   versions, and merging them is associative, commutative and idempotent: during an upgrade calls may come to
//!   either of two processes, and the newest call wins at both.
//! - [`Limits`]: every bound, with what happens at it.
//!
//! Nothing here does input or output, reads a clock or knows who called: time is an argument, Unix time in
//! microseconds. docs/design/cordon.md holds the rules in one place.

mod causes;
mod counters;
mod known;
mod limits;
mod manager;
mod merge;
mod outages;
mod target;
mod word;

pub use counters::Counters;
pub use known::id_hash;
pub use limits::{Limits, LEASE_MOST, TOMBSTONE_KEPT, VERSION_MOST, WHY_MOST};
pub use manager::Manager;
pub use merge::{Merged, Moved};
pub use outages::{Out, Outages};
pub use sprucelink_time::{TimeDelta, Timestamp};
pub use target::{By, Change, Hold, Refused, Target, TARGET_MOST};
pub use word::{Ban, Word};
