//! The contents of a state file as protocol buffers messages (proto3 encoding, by prost).
//!
//! The meaning and tag of a field never change; new fields get new tags, which older builds skip. A change
//! that an older build would misread needs a new [`crate::FORMAT_VERSION`].

mod request_ids;

use crate::cancel_requests::{ForwardedCancel, MAX_CANCEL_REQUESTS};
use crate::error::InvalidState;
use crate::state::{
    ClockReference, FeedChange, Instance, Phase, Process, RetryBudgetBucket, StateFile, StateSnapshot,
    WarmupBucket, WarmupLoad, MAX_BUCKETS, MAX_NAME_BYTES, MAX_SHARING_PEERS, MAX_WARMING_ENGINES,
};
use crate::{TimeDelta, Timestamp};
use prost::Message;
use request_ids::RequestIdsMessage;
use sprucelink_cordon::{Cause, CordonEntry, CordonRecord, Target};

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct StateFileMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(string, tag = "2")]
    listen: String,
    #[prost(message, optional, tag = "3")]
    process: Option<ProcessMessage>,
    #[prost(string, tag = "4")]
    build: String,
    #[prost(int64, tag = "5")]
    written_at: i64,
    #[prost(uint64, tag = "6")]
    sequence: u64,
    #[prost(uint32, tag = "7")]
    phase: u32,
    #[prost(int64, tag = "8")]
    phase_since: i64,
    #[prost(message, repeated, tag = "9")]
    sharing_peers: Vec<ProcessMessage>,
    #[prost(message, repeated, tag = "10")]
    cordons: Vec<CordonMessage>,
    #[prost(fixed64, repeated, tag = "11")]
    pub(crate) known_ids: Vec<u64>,
    #[prost(message, repeated, tag = "12")]
    retry_budget: Vec<RetryBudgetMessage>,
    #[prost(message, repeated, tag = "13")]
    warmup: Vec<WarmupMessage>,
    #[prost(uint64, tag = "14")]
    last_event: u64,
    /// Offset of the writer's clock from the machine's monotonic clock, in microseconds.
    #[prost(int64, optional, tag = "15")]
    clock_offset: Option<i64>,
    #[prost(string, tag = "16")]
    boot_id: String,
    #[prost(message, repeated, tag = "17")]
    cancel_requests: Vec<CancelMessage>,
    #[prost(message, optional, tag = "18")]
    feed_change: Option<FeedChangeMessage>,
    #[prost(message, optional, tag = "19")]
    pub(crate) request_ids: Option<RequestIdsMessage>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct ProcessMessage {
    #[prost(uint64, tag = "1")]
    generation: u64,
    #[prost(int64, tag = "2")]
    started_at: i64,
    #[prost(uint32, tag = "3")]
    pid: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct CordonMessage {
    /// Id of the cordoned engine; absent if the manager itself is cordoned.
    #[prost(string, optional, tag = "1")]
    engine: Option<String>,
    /// Permit of a cordon by the fleet; absent if the operator cordoned.
    #[prost(uint64, optional, tag = "2")]
    permit: Option<u64>,
    #[prost(uint64, tag = "3")]
    version: u64,
    #[prost(bool, tag = "4")]
    cordoned: bool,
    #[prost(int64, optional, tag = "5")]
    lease_expires_at: Option<i64>,
    #[prost(int64, tag = "6")]
    changed_at: i64,
    #[prost(string, tag = "7")]
    reason: String,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct RetryBudgetMessage {
    #[prost(int64, tag = "1")]
    start: i64,
    #[prost(uint32, tag = "2")]
    retries: u32,
    #[prost(uint32, tag = "3")]
    admitted: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WarmupMessage {
    #[prost(string, tag = "1")]
    engine: String,
    #[prost(int64, repeated, tag = "2")]
    start: Vec<i64>,
    #[prost(uint32, repeated, tag = "3")]
    work_ms: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct FeedChangeMessage {
    #[prost(string, tag = "1")]
    address: String,
    #[prost(int64, tag = "2")]
    changed_at: i64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct CancelMessage {
    #[prost(uint64, tag = "1")]
    sequence: u64,
    #[prost(fixed32, tag = "2")]
    process_id: u32,
    #[prost(fixed32, tag = "3")]
    secret: u32,
    #[prost(int64, tag = "4")]
    received_at: i64,
}

/// Bytes of the tag and the length before each CancelRequest.
const CANCEL_HEADER_BYTES: usize = 3;

impl StateFileMessage {
    /// Leaves out the oldest CancelRequests, until the message is shorter by `bytes` or none is left.
    pub(crate) fn drop_oldest_cancels(&mut self, bytes: usize) {
        let mut dropped_bytes = 0;
        let is_dropped = |cancel: &&CancelMessage| {
            let is_needed = dropped_bytes < bytes;
            dropped_bytes += CANCEL_HEADER_BYTES + cancel.encoded_len();
            is_needed
        };
        let count = self.cancel_requests.iter().take_while(is_dropped).count();
        self.cancel_requests.drain(..count);
    }
}

/// Phases by their number in the format.
const PHASES: [Phase; 6] = [
    Phase::Starting,
    Phase::Ready,
    Phase::Serving,
    Phase::ServingBesideSuccessor,
    Phase::Draining,
    Phase::Terminated,
];

impl From<Process> for ProcessMessage {
    fn from(process: Process) -> ProcessMessage {
        ProcessMessage {
            generation: process.generation,
            started_at: process.started_at.as_micros(),
            pid: process.pid,
        }
    }
}

impl From<ProcessMessage> for Process {
    fn from(message: ProcessMessage) -> Process {
        Process {
            generation: message.generation,
            started_at: Timestamp::from_micros(message.started_at),
            pid: message.pid,
        }
    }
}

impl From<&CordonRecord> for CordonMessage {
    fn from(record: &CordonRecord) -> CordonMessage {
        CordonMessage {
            engine: match &record.target {
                Target::Manager => None,
                Target::Engine(id) => Some(id.clone()),
            },
            permit: match record.cause {
                Cause::Operator => None,
                Cause::Fleet { permit } => Some(permit),
            },
            version: record.entry.version,
            cordoned: record.entry.cordoned,
            lease_expires_at: record.entry.lease_expires_at.map(|expiry| expiry.as_micros()),
            changed_at: record.entry.changed_at.as_micros(),
            reason: record.entry.reason.clone(),
        }
    }
}

impl From<CordonMessage> for CordonRecord {
    fn from(message: CordonMessage) -> CordonRecord {
        CordonRecord {
            target: message.engine.map_or(Target::Manager, Target::Engine),
            cause: message.permit.map_or(Cause::Operator, |permit| Cause::Fleet { permit }),
            entry: CordonEntry {
                version: message.version,
                cordoned: message.cordoned,
                lease_expires_at: message.lease_expires_at.map(Timestamp::from_micros),
                changed_at: Timestamp::from_micros(message.changed_at),
                reason: message.reason,
            },
        }
    }
}

impl From<&FeedChange> for FeedChangeMessage {
    fn from(change: &FeedChange) -> FeedChangeMessage {
        FeedChangeMessage { address: change.address.clone(), changed_at: change.changed_at.as_micros() }
    }
}

impl TryFrom<FeedChangeMessage> for FeedChange {
    type Error = InvalidState;

    fn try_from(message: FeedChangeMessage) -> Result<FeedChange, InvalidState> {
        check_bytes("feed_change.address", &message.address)?;
        let changed_at = Timestamp::from_micros(message.changed_at);
        Ok(FeedChange { address: message.address, changed_at })
    }
}

impl From<&ForwardedCancel> for CancelMessage {
    fn from(cancel: &ForwardedCancel) -> CancelMessage {
        CancelMessage {
            sequence: cancel.sequence,
            process_id: cancel.process_id,
            secret: cancel.secret,
            received_at: cancel.received_at.as_micros(),
        }
    }
}

impl From<CancelMessage> for ForwardedCancel {
    fn from(message: CancelMessage) -> ForwardedCancel {
        ForwardedCancel {
            sequence: message.sequence,
            process_id: message.process_id,
            secret: message.secret,
            received_at: Timestamp::from_micros(message.received_at),
        }
    }
}

impl From<&RetryBudgetBucket> for RetryBudgetMessage {
    fn from(bucket: &RetryBudgetBucket) -> RetryBudgetMessage {
        RetryBudgetMessage {
            start: bucket.start.as_micros(),
            retries: bucket.retries,
            admitted: bucket.admitted,
        }
    }
}

impl From<RetryBudgetMessage> for RetryBudgetBucket {
    fn from(message: RetryBudgetMessage) -> RetryBudgetBucket {
        RetryBudgetBucket {
            start: Timestamp::from_micros(message.start),
            retries: message.retries,
            admitted: message.admitted,
        }
    }
}

impl From<&WarmupLoad> for WarmupMessage {
    fn from(load: &WarmupLoad) -> WarmupMessage {
        WarmupMessage {
            engine: load.engine.clone(),
            start: load.buckets.iter().map(|bucket| bucket.start.as_micros()).collect(),
            work_ms: load.buckets.iter().map(|bucket| bucket.work_ms).collect(),
        }
    }
}

impl TryFrom<WarmupMessage> for WarmupLoad {
    type Error = InvalidState;

    fn try_from(message: WarmupMessage) -> Result<WarmupLoad, InvalidState> {
        check_bytes("cold.engine", &message.engine)?;
        check_count("cold.at", message.start.len(), MAX_BUCKETS, "buckets")?;
        if message.start.len() != message.work_ms.len() {
            return Err(InvalidState::BucketCountsDiffer);
        }
        let start_and_work = message.start.iter().zip(&message.work_ms);
        let buckets = start_and_work.map(|(start, work_ms)| WarmupBucket {
            start: Timestamp::from_micros(*start),
            work_ms: *work_ms,
        });
        Ok(WarmupLoad { buckets: buckets.collect(), engine: message.engine })
    }
}

impl From<&StateFile> for StateFileMessage {
    fn from(file: &StateFile) -> StateFileMessage {
        let snapshot = &file.snapshot;
        StateFileMessage {
            name: file.instance.name.clone(),
            listen: file.instance.listen.clone(),
            process: Some(file.process.into()),
            build: file.build.clone(),
            written_at: file.written_at.as_micros(),
            sequence: file.sequence,
            phase: PHASES.iter().position(|phase| *phase == file.phase).unwrap_or(0) as u32,
            phase_since: file.phase_since.as_micros(),
            sharing_peers: file.sharing_peers.iter().copied().map(ProcessMessage::from).collect(),
            cordons: snapshot.cordons.iter().map(CordonMessage::from).collect(),
            known_ids: snapshot.known_ids.clone(),
            retry_budget: snapshot.retry_budget.iter().map(RetryBudgetMessage::from).collect(),
            warmup: snapshot.warmup.iter().map(WarmupMessage::from).collect(),
            last_event: snapshot.last_event,
            cancel_requests: snapshot.cancel_requests.iter().map(CancelMessage::from).collect(),
            request_ids: RequestIdsMessage::new(&snapshot.request_ids, file.written_at),
            feed_change: snapshot.feed_change.as_ref().map(FeedChangeMessage::from),
            clock_offset: file.clock_reference.as_ref().map(|clock| clock.offset.as_micros()),
            boot_id: file.clock_reference.as_ref().map_or_else(String::new, |clock| clock.boot_id.clone()),
        }
    }
}

impl TryFrom<StateFileMessage> for StateFile {
    type Error = InvalidState;

    /// Checks every bound, because readers of the file rely on them. Errors use the field names of the
    /// format.
    fn try_from(message: StateFileMessage) -> Result<StateFile, InvalidState> {
        check_bytes("name", &message.name)?;
        check_bytes("listen", &message.listen)?;
        check_bytes("build", &message.build)?;
        check_bytes("boot_id", &message.boot_id)?;
        check_count("ration", message.retry_budget.len(), MAX_BUCKETS, "buckets")?;
        check_count("room_for", message.sharing_peers.len(), MAX_SHARING_PEERS, "processes")?;
        check_count("cold", message.warmup.len(), MAX_WARMING_ENGINES, "engines")?;
        check_count("cancels", message.cancel_requests.len(), MAX_CANCEL_REQUESTS, "requests")?;
        let process = message.process.ok_or(InvalidState::MissingProcess)?;
        let phase = PHASES.get(message.phase as usize).ok_or(InvalidState::UnknownPhase)?;
        let cordons: Vec<CordonRecord> = message.cordons.into_iter().map(CordonRecord::from).collect();
        for (index, record) in cordons.iter().enumerate() {
            record.validate().map_err(|source| InvalidState::Cordon { index, source })?;
        }
        let warmup = message.warmup.into_iter().map(WarmupLoad::try_from).collect::<Result<_, _>>()?;
        let written_at = Timestamp::from_micros(message.written_at);
        let request_ids = message.request_ids.map(|ids| ids.into_records(written_at)).transpose()?;
        let snapshot = StateSnapshot {
            cordons,
            known_ids: message.known_ids,
            retry_budget: message.retry_budget.into_iter().map(RetryBudgetBucket::from).collect(),
            warmup,
            cancel_requests: message.cancel_requests.into_iter().map(ForwardedCancel::from).collect(),
            request_ids: request_ids.unwrap_or_default(),
            feed_change: message.feed_change.map(FeedChange::try_from).transpose()?,
            last_event: message.last_event,
        };
        let boot_id = message.boot_id;
        let offset = message.clock_offset.map(TimeDelta::from_micros);
        Ok(StateFile {
            clock_reference: offset.map(|offset| ClockReference { boot_id, offset }),
            instance: Instance { name: message.name, listen: message.listen },
            process: process.into(),
            build: message.build,
            written_at,
            sequence: message.sequence,
            phase: *phase,
            phase_since: Timestamp::from_micros(message.phase_since),
            sharing_peers: message.sharing_peers.into_iter().map(Process::from).collect(),
            snapshot,
        })
    }
}

fn check_bytes(field: &'static str, text: &str) -> Result<(), InvalidState> {
    check_count(field, text.len(), MAX_NAME_BYTES, "bytes")
}

fn check_count(
    field: &'static str,
    count: usize,
    max: usize,
    unit: &'static str,
) -> Result<(), InvalidState> {
    if count > max {
        return Err(InvalidState::TooLong { field, max, unit });
    }
    Ok(())
}
