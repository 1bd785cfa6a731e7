//! The state that a process passes to its successor.

use crate::{TimeDelta, Timestamp};
use sprucelink_cordon::CordonRecord;
use std::fmt;

/// Longest name, address or build, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Length of a counter's bucket: a twentieth of the retry budget's window of 5 s, so that rounding to buckets costs less
/// than one retry.
pub const BUCKET_SPAN: TimeDelta = TimeDelta::from_millis(250);
/// Maximum number of buckets of one counter: 16 s of them, more than any window of the rules.
pub const MAX_BUCKETS: usize = 64;
/// Maximum number of processes that budgets are shared with: more than one only where hot restarts overlap.
pub const MAX_SHARING_PEERS: usize = 15;
/// Maximum number of engines whose warm-up load is retained. Beyond that the one that was sent work longest ago is left
/// out: 64 engines that start within the same two seconds are the greater part of the largest fleet.
pub const MAX_WARMING_ENGINES: usize = 64;

/// The workload manager that a process belongs to: both processes of a hot restart have the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name (`EDGE_NAME`).
    pub name: String,
    /// Where its clients connect.
    pub listen: String,
}

/// A process of an instance. The order is that of their starts: generations first, because a clock may be set back
/// between two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// One more than the highest that it found in the folder when it started; 1 where it found none.
    pub generation: u64,
    /// When it started. It distinguishes a process from an earlier one with the same pid.
    pub started_at: Timestamp,
    /// Its process id.
    pub pid: u32,
}

impl fmt::Display for Process {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "pid {} (generation {})", self.pid, self.generation)
    }
}

/// The phase of a process during hot restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It cannot serve yet.
    Starting,
    /// It could serve, and waits until the old processes share their budgets with it.
    Ready,
    /// It serves, and no newer process is active.
    Serving,
    /// It serves, and a newer process is active or about to be.
    ServingBesideSuccessor,
    /// SIGTERM was received: it finishes what is in flight.
    Draining,
    /// It has shut down cleanly; this is its last file.
    Terminated,
}

impl Phase {
    /// Whether a process in this phase may spend the manager's budgets, or is about to.
    pub fn is_active(self) -> bool {
        matches!(self, Phase::Ready | Phase::Serving | Phase::ServingBesideSuccessor | Phase::Draining)
    }

    /// Whether a process in this phase serves and will continue to serve.
    pub fn is_serving(self) -> bool {
        matches!(self, Phase::Serving | Phase::ServingBesideSuccessor)
    }
}

/// Counters of the retry budget in one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetBucket {
    /// The bucket's beginning.
    pub start: Timestamp,
    /// Attempts beyond a request's first.
    pub retries: u32,
    /// Requests admitted.
    pub admitted: u32,
}

/// Work sent to a warming engine in one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupBucket {
    /// The bucket's beginning.
    pub start: Timestamp,
    /// Work charged to the engine's warm-up budget, in milliseconds of one thread.
    pub work_ms: u32,
}

/// What one warming engine was sent recently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmupLoad {
    /// The engine's id.
    pub engine: String,
    /// Its buckets, oldest first.
    pub buckets: Vec<WarmupBucket>,
}

/// The state of the rest of the program that the file holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StateSnapshot {
    /// The records of all cordons ([`sprucelink_cordon::CordonState::export_records`]).
    pub cordons: Vec<CordonRecord>,
    /// Hashes of the engine ids ever listed ([`sprucelink_cordon::CordonState::export_known_ids`]): as many as fit are
    /// written.
    pub known_ids: Vec<u64>,
    /// Counters of the retry budget, oldest first ([`crate::WindowCounters::retry_budget`]).
    pub retry_budget: Vec<RetryBudgetBucket>,
    /// Work sent to warming engines ([`crate::WindowCounters::warmup`]).
    pub warmup: Vec<WarmupLoad>,
    /// The last endpoint event read. For log lines only: each process numbers events from the start again.
    pub last_event: u64,
}

/// How a process's clock relates to the machine's monotonic clock. With it a reader converts a file's times correctly
/// even if the wall clock was stepped between the starts of the two processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockReference {
    /// Identifies one boot of the machine, as `/proc/sys/kernel/random/boot_id` does.
    pub boot_id: String,
    /// The process's clock less the machine's monotonic clock, the same while the process runs.
    pub offset: TimeDelta,
}

/// The contents of a process's state file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateFile {
    /// The workload manager.
    pub instance: Instance,
    /// The process that wrote it.
    pub process: Process,
    /// The program's version, for log lines.
    pub build: String,
    /// The clock of its times; `None` if the writer's build does not write it.
    pub clock: Option<ClockReference>,
    /// When it was written.
    pub written_at: Timestamp,
    /// The number of this write, counted by the process.
    pub sequence: u64,
    /// The phase of the process.
    pub phase: Phase,
    /// Since when.
    pub phase_since: Timestamp,
    /// The processes that it shares its budgets with, oldest first: it spends no more than its part beside them.
    pub shares_with: Vec<Process>,
    /// The state of the rest of the program.
    pub snapshot: StateSnapshot,
}

impl StateFile {
    /// Converts its times to another process's clock. If a reference is missing, or the machine was rebooted since, they
    /// stay as they are: the two processes then have only the wall clock in common.
    pub fn convert_to_clock(&mut self, reader: Option<&ClockReference>) {
        let (Some(writer), Some(reader)) = (&self.clock, reader) else { return };
        if writer.boot_id != reader.boot_id {
            return;
        }
        let shift = reader.offset - writer.offset;
        self.written_at = self.written_at + shift;
        self.phase_since = self.phase_since + shift;
        for record in &mut self.snapshot.cordons {
            record.entry.changed_at = record.entry.changed_at + shift;
            record.entry.lease_expires_at = record.entry.lease_expires_at.map(|at| at + shift);
        }
        for bucket in &mut self.snapshot.retry_budget {
            bucket.start = bucket.start + shift;
        }
        for bucket in self.snapshot.warmup.iter_mut().flat_map(|load| &mut load.buckets) {
            bucket.start = bucket.start + shift;
        }
        self.clock = Some(reader.clone());
    }
}
