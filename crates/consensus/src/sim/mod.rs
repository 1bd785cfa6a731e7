//! A seeded simulator of a council in virtual time: network, disks and processes with faults, and a checker.
//!
//! One seed replays a whole run. The world ([`World`]) holds hosts, each a [`crate::Council`] over a write-ahead log on a disk with
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
use rand::Rng;
use sprucelink_time::{TimeDelta, Timestamp};

/// What applies records at a host.
pub trait App {
    /// Applies a record, in order.
    fn apply(&mut self, now: Timestamp, entry: &Entry);
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
    pub trouble: TimeDelta,
    /// How long the council then has to come together.
    pub calm: TimeDelta,
    /// Time between proposals, on average.
    pub propose_every: TimeDelta,
    /// Time between the nemesis' strokes, on average; 0 for none.
    pub strike_every: TimeDelta,
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
    pub delay: TimeDelta,
    /// Longest time of a sync in quiet times.
    pub sync: TimeDelta,
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
            trouble: TimeDelta::from_whole_secs(20),
            calm: TimeDelta::from_whole_secs(20),
            propose_every: TimeDelta::from_millis(50),
            strike_every: TimeDelta::from_millis(800),
            troubles: Trouble::ALL.to_vec(),
            liars: 0,
            down: u32::MAX,
            loss: 20,
            twice: 20,
            delay: TimeDelta::from_millis(20),
            sync: TimeDelta::from_millis(5),
            timing: Timing { snapshot_every: 64, ..Timing::default() },
            plants: Vec::new(),
        }
    }
}

/// A span drawn evenly between two bounds, both included.
fn draw_span(rng: &mut impl Rng, shortest: TimeDelta, longest: TimeDelta) -> TimeDelta {
    TimeDelta::from_micros(rng.gen_range(shortest.as_micros()..=longest.as_micros()))
}

/// A span drawn evenly between half and one and a half times an average.
fn draw_around(rng: &mut impl Rng, average: TimeDelta) -> TimeDelta {
    let micros = average.as_micros();
    draw_span(rng, TimeDelta::from_micros(micros / 2), TimeDelta::from_micros(micros * 3 / 2))
}
