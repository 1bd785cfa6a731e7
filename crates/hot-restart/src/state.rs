//! The state that a process passes to its successor.

use crate::cancel_requests::ForwardedCancel;
use crate::{TimeDelta, Timestamp};
use sprucelink_cordon::CordonRecord;
use sprucelink_request_ids::RequestIdRecord;
use std::fmt;

/// Maximum length of a name, address, build or boot id, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Duration of a counter's bucket: a twentieth of the retry budget's window of 5 s, so that the error of
/// rounding to buckets is less than one retry.
pub const BUCKET_SPAN: TimeDelta = TimeDelta::from_millis(250);
/// Maximum number of buckets of one counter: they cover 16 s, more than any window of the rules.
pub const MAX_BUCKETS: usize = 64;
/// Maximum number of processes with which budgets are shared; more than one only occurs if hot restarts
/// overlap.
pub const MAX_SHARING_PEERS: usize = 15;
/// Maximum number of engines whose warm-up load is retained. Beyond this number the engine that was sent work
/// longest ago is left out. 64 engines that start within the same two seconds are the majority of the largest
/// fleet.
pub const MAX_WARMING_ENGINES: usize = 64;

/// The workload manager to which a process belongs; it is the same for both processes of a hot restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name of the manager (`EDGE_NAME`).
    pub name: String,
    /// Address to which the manager's clients connect.
    pub listen: String,
}

/// A process of an instance. Processes are ordered by their starts: by generation first, because the clock
/// may be set back between two starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// Generation: one more than the highest in the folder when the process started, or 1 if there was none.
    pub generation: u64,
    /// Start time, which distinguishes the process from an earlier one with the same pid.
    pub started_at: Timestamp,
    /// Process id.
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
    /// The process cannot serve yet.
    Starting,
    /// The process can serve, and waits until the old processes share their budgets with it.
    Ready,
    /// The process serves, and no newer process is active.
    Serving,
    /// The process serves, and a newer process is active or about to be.
    ServingBesideSuccessor,
    /// The process received SIGTERM and finishes the requests in flight.
    Draining,
    /// The process has shut down cleanly; this is the phase in its last file.
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
    /// Start of the bucket, which lasts [`BUCKET_SPAN`].
    pub start: Timestamp,
    /// Number of retries: attempts beyond the first of a request.
    pub retries: u32,
    /// Number of requests admitted.
    pub admitted: u32,
}

/// Work sent to a warming engine in one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupBucket {
    /// Start of the bucket, which lasts [`BUCKET_SPAN`].
    pub start: Timestamp,
    /// Work charged to the engine's warm-up budget, in milliseconds of one thread.
    pub work_ms: u32,
}

/// Work sent to one warming engine within the warm-up budget's window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WarmupLoad {
    /// Id of the engine.
    pub engine: String,
    /// Buckets of work, oldest first.
    pub buckets: Vec<WarmupBucket>,
}

/// State of other parts of the program that a state file contains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StateSnapshot {
    /// Records of all cordons ([`sprucelink_cordon::CordonState::export_records`]).
    pub cordons: Vec<CordonRecord>,
    /// Hashes of all engine ids that were ever listed ([`sprucelink_cordon::CordonState::export_known_ids`]).
    /// As many as fit are written.
    pub known_ids: Vec<u64>,
    /// Counters of the retry budget, oldest first ([`crate::WindowCounters::retry_budget`]).
    pub retry_budget: Vec<RetryBudgetBucket>,
    /// Work sent to warming engines, by engine ([`crate::WindowCounters::warmup`]).
    pub warmup: Vec<WarmupLoad>,
    /// CancelRequests for sessions of other processes, oldest first ([`crate::CancelOutbox::export`]).
    pub cancel_requests: Vec<ForwardedCancel>,
    /// Ids of the requests that are open or recent: first the open ones, then from the most recent to the oldest
    /// ([`sprucelink_request_ids::RequestIds::export`]). As many as fit are written.
    pub request_ids: Vec<RequestIdRecord>,
    /// The control feed's last change of address by SIGHUP; `None` if it has not changed since the start.
    pub feed_change: Option<FeedChange>,
    /// Number of the last endpoint event read. It is only for log lines, because each process numbers the
    /// events anew.
    pub last_event: u64,
}

/// A change of the control feed's address, which a process learned by SIGHUP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedChange {
    /// The new address, at most [`MAX_NAME_BYTES`].
    pub address: String,
    /// Time of the change.
    pub changed_at: Timestamp,
}

/// Relation of a process's clock to the machine's monotonic clock. It allows a reader to convert the times in
/// a file correctly even if the wall clock was stepped between the starts of the two processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockReference {
    /// Id of the current boot of the machine, as in `/proc/sys/kernel/random/boot_id`.
    pub boot_id: String,
    /// Offset of the process's clock from the machine's monotonic clock; constant while the process runs.
    pub offset: TimeDelta,
}

/// The contents of a process's state file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateFile {
    /// Workload manager to which the writer belongs.
    pub instance: Instance,
    /// Process that wrote the file.
    pub process: Process,
    /// Version of the writing program, for log lines.
    pub build: String,
    /// Relation of the times in the file to the machine's monotonic clock; `None` if the writer's build does
    /// not write it.
    pub clock_reference: Option<ClockReference>,
    /// Time at which the file was written.
    pub written_at: Timestamp,
    /// Number of this write, counted by the writing process from 1.
    pub sequence: u64,
    /// Phase of the writing process.
    pub phase: Phase,
    /// Time at which the phase began.
    pub phase_since: Timestamp,
    /// Processes with which the writer shares its budgets, oldest first: the writer spends no more than its
    /// own part.
    pub sharing_peers: Vec<Process>,
    /// State of other parts of the program.
    pub snapshot: StateSnapshot,
}

impl StateFile {
    /// Converts the times in the file to the reader's clock. If a clock reference is missing, or the machine
    /// was rebooted since the file was written, the times are not changed: the two processes then have only
    /// the wall clock in common.
    pub fn convert_to_clock(&mut self, reader: Option<&ClockReference>) {
        let (Some(writer), Some(reader)) = (&self.clock_reference, reader) else { return };
        if writer.boot_id != reader.boot_id {
            return;
        }
        let shift = reader.offset - writer.offset;
        self.written_at = self.written_at + shift;
        self.phase_since = self.phase_since + shift;
        for record in &mut self.snapshot.cordons {
            record.entry.changed_at = record.entry.changed_at + shift;
            record.entry.lease_expires_at = record.entry.lease_expires_at.map(|expiry| expiry + shift);
        }
        for bucket in &mut self.snapshot.retry_budget {
            bucket.start = bucket.start + shift;
        }
        for bucket in self.snapshot.warmup.iter_mut().flat_map(|load| &mut load.buckets) {
            bucket.start = bucket.start + shift;
        }
        if let Some(change) = &mut self.snapshot.feed_change {
            change.changed_at = change.changed_at + shift;
        }
        for cancel in &mut self.snapshot.cancel_requests {
            cancel.received_at = cancel.received_at + shift;
        }
        for request in &mut self.snapshot.request_ids {
            request.started_at = request.started_at + shift;
        }
        self.clock_reference = Some(reader.clone());
    }
}
