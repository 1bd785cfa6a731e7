//! A seeded simulator of a council in virtual time: network, disks and processes with faults, and a checker.
//!
//! One seed replays a whole run. The world ([`World`]) holds hosts, each a [`crate::Council`] over a ledger on a disk with
//! faults and an [`App`] that applies records; a [`Nemesis`] breaks things by its plan; a [`Checker`] looks at what hosts
//! did after each step, and ends the run at the first thing that must not be. Other crates' simulators build on it with an
//! [`App`] and commands of their own ([`World::run_until`], [`World::host_mut`], [`World::propose`]).
//!
//! [`Plant`] puts a fault into the hosts (never into the council) to show that the checker can fail.

mod check;
mod host;
mod nemesis;
mod net;
mod operator;
mod plans;
mod recorder;
mod report;
mod world;

pub use check::{Checker, Violation};
pub use host::Host;
pub use nemesis::{Nemesis, Trouble};
pub use net::Net;
pub use recorder::Recorder;
pub use report::Report;
pub use world::World;

use crate::ready::Entry;
use crate::settings::Timing;
use crate::Micros;

/// One millisecond in [`Micros`].
pub const MS: Micros = 1000;
/// One second in [`Micros`].
pub const SECOND: Micros = 1000 * MS;

/// What applies records at a host.
pub trait App {
    /// Applies a record, in order.
    fn apply(&mut self, now: Micros, entry: &Entry);
    /// The whole state, for a snapshot.
    fn snapshot(&self) -> Vec<u8>;
    /// Takes a snapshot's state instead of its own; empty bytes are the state at the beginning.
    fn install(&mut self, bytes: &[u8]);
    /// A digest of the state.
    fn digest(&self) -> u64;
}

/// A fault put into every host on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plant {
    /// The vote, and a term beyond the last entry's, are left out of what goes to disk.
    VoteNotKept,
    /// Words go out, and the write counts as done, before it is on disk.
    AckBeforeSync,
    /// A member trusts its disk at the start: no witness check and no floors.
    TrustDisk,
    /// Messages don't tell of others' starts.
    NoCrashVectors,
    /// Whoever applies does not drop repeats.
    RepeatsApplied,
    /// A leader takes proposals that were meant for another term.
    AnyTermProposals,
}

/// What a run is like.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Founders, 3 to 7.
    pub members: u32,
    /// How long things are broken.
    pub trouble: Micros,
    /// How long the council then has to come together.
    pub calm: Micros,
    /// Time between proposals, on average.
    pub propose_every: Micros,
    /// Time between the nemesis' strokes, on average; 0 for none.
    pub strike_every: Micros,
    /// Which troubles it may choose from.
    pub troubles: Vec<Trouble>,
    /// How many members' disks may lie, one after another; each lies at most once in its life.
    pub liars: u32,
    /// How many members may be down or in probation at a time before the nemesis lets be.
    pub down: u32,
    /// Share of messages lost, in thousandths.
    pub loss: u32,
    /// Share of messages that come twice, in thousandths.
    pub twice: u32,
    /// Longest time that a message takes; the shortest is a tenth of a millisecond.
    pub delay: Micros,
    /// Longest time of a sync in quiet times.
    pub sync: Micros,
    /// The council's times.
    pub timing: Timing,
    /// Faults put in on purpose.
    pub plants: Vec<Plant>,
}

impl Plan {
    /// Whether a fault is put in.
    pub fn has(&self, plant: Plant) -> bool {
        self.plants.contains(&plant)
    }
}

impl Default for Plan {
    /// Five members through 20 s of everything but lying disks.
    fn default() -> Self {
        Plan {
            members: 5,
            trouble: 20 * SECOND,
            calm: 20 * SECOND,
            propose_every: 50 * MS,
            strike_every: 800 * MS,
            troubles: Trouble::ALL.to_vec(),
            liars: 0,
            down: u32::MAX,
            loss: 20,
            twice: 20,
            delay: 20 * MS,
            sync: 5 * MS,
            timing: Timing { snapshot_every: 64, ..Timing::default() },
            plants: Vec::new(),
        }
    }
}
