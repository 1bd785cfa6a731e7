//! A seeded simulator of a council in virtual time: network, disks and processes with faults, and a checker.
//!
//! One seed replays a whole run. The world ([`Simulation`]) holds hosts, each a [`crate::Node`] over a write-ahead log on a disk with
//! faults and an [`StateMachine`] that applies records; a [`Nemesis`] breaks things by its plan; a [`Checker`] looks at what hosts
//! did after each step, and ends the run at the first thing that must not be. Other crates' simulators build on it with an
//! [`StateMachine`] and commands of their own ([`Simulation::run_until`], [`Simulation::host_mut`], [`Simulation::propose`]).
//!
//! [`InjectedBug`] puts a fault into the hosts (never into the council) to show that the checker can fail.

mod checker;
mod host;
mod nemesis;
mod network;
mod operator;
mod plans;
mod recorder;
mod report;
mod simulation;

pub use checker::{Checker, Violation};
pub use host::Host;
pub use nemesis::{Fault, Nemesis};
pub use network::Network;
pub use recorder::ProposalRecorder;
pub use report::Report;
pub use simulation::Simulation;

use crate::ready::CommittedEntry;
use crate::settings::Timing;
use rand::Rng;
use sprucelink_time::{TimeDelta, Timestamp};

/// What applies records at a host.
pub trait StateMachine {
    /// Applies a record, in order.
    fn apply(&mut self, now: Timestamp, entry: &CommittedEntry);
    /// The whole state, for a snapshot.
    fn snapshot(&self) -> Vec<u8>;
    /// Takes a snapshot's state instead of its own; empty bytes are the state at the beginning.
    fn install(&mut self, bytes: &[u8]);
    /// A digest of the state.
    fn digest(&self) -> u64;
}

/// A fault put into every host on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
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
    pub fault_time: TimeDelta,
    /// How long the council then has to come together.
    pub recovery_time: TimeDelta,
    /// Time between proposals, on average.
    pub propose_every: TimeDelta,
    /// Time between the nemesis' strokes, on average; 0 for none.
    pub fault_every: TimeDelta,
    /// Which troubles it may choose from.
    pub faults: Vec<Fault>,
    /// How many members' disks may lie, one after another; each lies at most once in its life.
    pub lying_disks: u32,
    /// How many members may be down or in probation at a time before the nemesis lets be.
    pub max_down: u32,
    /// Share of messages lost, in thousandths.
    pub loss_per_mille: u32,
    /// Share of messages that come twice, in thousandths.
    pub duplicate_per_mille: u32,
    /// Longest time that a message takes; the shortest is a tenth of a millisecond.
    pub max_delay: TimeDelta,
    /// Longest time of a sync in quiet times.
    pub max_sync_time: TimeDelta,
    /// The council's times.
    pub timing: Timing,
    /// Faults put in on purpose.
    pub bugs: Vec<InjectedBug>,
}

impl Plan {
    /// Whether a fault is put in.
    pub fn has(&self, plant: InjectedBug) -> bool {
        self.bugs.contains(&plant)
    }
}

impl Default for Plan {
    /// Five members through 20 s of everything but lying disks.
    fn default() -> Self {
        Plan {
            members: 5,
            fault_time: TimeDelta::from_whole_secs(20),
            recovery_time: TimeDelta::from_whole_secs(20),
            propose_every: TimeDelta::from_millis(50),
            fault_every: TimeDelta::from_millis(800),
            faults: Fault::ALL.to_vec(),
            lying_disks: 0,
            max_down: u32::MAX,
            loss_per_mille: 20,
            duplicate_per_mille: 20,
            max_delay: TimeDelta::from_millis(20),
            max_sync_time: TimeDelta::from_millis(5),
            timing: Timing { snapshot_every: 64, ..Timing::default() },
            bugs: Vec::new(),
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
