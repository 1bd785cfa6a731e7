//! What a process tells its successor.

use sprucelink_cordon::CordonRecord;
use sprucelink_time::{TimeDelta, Timestamp};
use std::fmt;

/// Longest name, address or build, in bytes.
pub const NAME_MOST: usize = 256;
/// Length of a bucket of counts. An edge of 250 ms is a twentieth of the ration's 5 s: what it rounds away is less
/// than the attempt that the ration leaves unspent anyway.
pub const BUCKET: TimeDelta = TimeDelta::from_micros(250_000);
/// Most buckets of one count: 16 s of them, more than any window of the rules.
pub const BUCKETS_MOST: usize = 64;
/// Most processes that room is made for: more than one only where upgrades overlap.
pub const ROOM_MOST: usize = 15;
/// Most engines whose cold sends are told. Beyond, the one that was sent to longest ago is left out: 64 engines that
/// start within the same two seconds are most of the largest fleet.
pub const COLD_MOST: usize = 64;

/// The workload manager that a process belongs to: both processes of an upgrade have the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name (`EDGE_NAME`).
    pub name: String,
    /// Where its clients connect.
    pub listen: String,
}

/// A process of it. The order is that of their starts: generations first, for a clock may be set back between two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// One more than the highest that it found in the folder when it started; 1 where it found none.
    pub generation: u64,
    /// When it started. With the pid it tells a process from an earlier one with the same pid.
    pub started: Timestamp,
    /// Its process id.
    pub pid: u32,
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "pid {} (generation {})", self.pid, self.generation)
    }
}

/// Where a process stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It cannot serve yet.
    Starting,
    /// It could serve, and waits for its elders to make room.
    Ready,
    /// It serves, and no younger process is at work.
    Serving,
    /// It serves, and a younger process is at work or about to be.
    Accompanied,
    /// SIGTERM came: it answers what it has.
    Leaving,
    /// Its last word: it has ended in order.
    Gone,
}

impl Phase {
    /// Whether a process in this phase may spend of the manager's budgets, or is about to.
    pub fn at_work(self) -> bool {
        matches!(self, Phase::Ready | Phase::Serving | Phase::Accompanied | Phase::Leaving)
    }

    /// Whether a process in this phase serves and will go on doing so.
    pub fn serves(self) -> bool {
        matches!(self, Phase::Serving | Phase::Accompanied)
    }
}

/// Counts of one bucket under the ration of further attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RationBucket {
    /// The bucket's beginning.
    pub at: Timestamp,
    /// Attempts beyond a request's first.
    pub further: u32,
    /// Requests taken.
    pub taken: u32,
}

/// Work sent to a cold engine in one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdBucket {
    /// The bucket's beginning.
    pub at: Timestamp,
    /// Work charged to the engine's cold budget, in milliseconds of one thread.
    pub work_ms: u32,
}

/// What one cold engine was sent of late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdSends {
    /// The engine's id.
    pub engine: String,
    /// Its buckets, oldest first.
    pub buckets: Vec<ColdBucket>,
}

/// What the rest of the program puts into the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Content {
    /// Every cause's last word ([`sprucelink_cordon::CordonState::export_records`]).
    pub bans: Vec<CordonRecord>,
    /// Hashes of the ids ever listed ([`sprucelink_cordon::CordonState::export_known_ids`]): as many as fit are written.
    pub ids: Vec<u64>,
    /// Counts under the ration, oldest first ([`crate::Tally::ration`]).
    pub ration: Vec<RationBucket>,
    /// Sends to cold engines ([`crate::Tally::cold`]).
    pub cold: Vec<ColdSends>,
    /// The control feed's last event read. For log lines only: events are numbered anew for each process.
    pub last_event: u64,
}

/// A process's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// Whose.
    pub instance: Instance,
    /// Which process of it.
    pub process: Process,
    /// The program's version, for log lines.
    pub build: String,
    /// When it was written.
    pub written_at: Timestamp,
    /// Counts the writes of the process.
    pub seq: u64,
    /// Where the process stands.
    pub phase: Phase,
    /// Since when.
    pub phase_since: Timestamp,
    /// The processes that it has made room for, oldest first: it spends no more than its part beside them.
    pub room_for: Vec<Process>,
    /// What the rest of the program has to tell.
    pub content: Content,
}
