//! The recorder: on the serving path it appends each event and its answer to a batch and queues full batches;
//! a writer thread compresses and writes them. The serving path never waits: records for which the queue has
//! no room are dropped and counted, and the segment ends there.

mod store;
mod writer;

pub use store::{DirectoryStore, SegmentStore};

use crate::codec::{digest_actions, encode_action, encode_engine, encode_event, encode_header};
use crate::file_name::segment_file_name;
use crate::identity;
use crate::pb;
use crate::pb::record::What as InputKind;
use crate::ring::{BatchDecision, Ring};
use crate::segment::SegmentHeader;
use crate::settings::{AnswerFormat, Settings};
use prost::Message;
use sprucelink_policy::{Action, Event, Policy, TimeDelta, Timestamp};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use writer::{Job, Shared, Writer};

/// Size at which a batch of records is queued for the writer, in bytes: small enough to reach the disk soon,
/// large enough to compress well.
const BLOCK_BYTES: usize = 32 * 1024;
/// Maximum number of jobs in the queue, in addition to its bound in bytes. Blocks that are flushed by age may
/// be small: fifty of them accumulate while the writer stalls for ten seconds.
const MAX_QUEUED_JOBS: usize = 256;
/// Maximum time that the writer has for the rest of its queue when the recorder is dropped: a disk that hangs
/// must not delay the shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The protobuf key of `Block.records`: field 1, length-delimited.
const RECORDS_KEY: u8 = 0x0a;

/// Counters of a recorder since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecorderCounters {
    /// Bytes written to files.
    pub bytes: u64,
    /// Segments that were started.
    pub segments: u64,
    /// Events that were lost because the queue was full, the write rate was exceeded or a file could not be
    /// written.
    pub lost: u64,
}

/// Records the events that a policy is given, and the policy's answers. Dropping the recorder closes the
/// segment and waits a limited time for the writer.
pub struct Recorder {
    ring: Ring,
    answers: AnswerFormat,
    /// Maximum size of the queue, in bytes.
    max_queued_bytes: u64,
    /// Age at which a batch is queued even if it is not full.
    flush_interval: TimeDelta,
    next_header: SegmentHeader,
    /// Encoded records that are not queued yet.
    batch: Vec<u8>,
    batch_events: u64,
    batch_begun_at: Timestamp,
    last_record_at: Timestamp,
    /// Number of records queued for the open segment.
    segment_records: u64,
    /// The event that the policy has not answered yet.
    unanswered: Option<UnansweredEvent>,
    /// Buffer for the actions of a record, reused.
    actions: Vec<pb::Action>,
    /// Buffer for the computation of digests, reused.
    digest_buffer: Vec<u8>,
    shared: Arc<Shared>,
    /// `None` only while the recorder is dropped.
    writer: Option<WriterThread>,
}

/// An event for which the policy's answer was not recorded yet.
struct UnansweredEvent {
    at: Timestamp,
    event: InputKind,
}

/// The writer thread, and the sending side of its queue.
struct WriterThread {
    jobs: SyncSender<Job>,
    thread: JoinHandle<()>,
}

impl Recorder {
    /// Starts a recorder that writes to the directory of the settings, for a policy that started at
    /// `started_at` with `seed`.
    ///
    /// # Errors
    /// The writer thread cannot be started.
    pub fn start(settings: &Settings, seed: u64, started_at: Timestamp) -> io::Result<Recorder> {
        Recorder::with_store(settings, Box::new(DirectoryStore::new(&settings.dir)), seed, started_at)
    }

    /// Starts a recorder that writes to `store`; otherwise like [`Recorder::start`].
    ///
    /// # Errors
    /// The writer thread cannot be started.
    pub fn with_store(
        settings: &Settings,
        store: Box<dyn SegmentStore>,
        seed: u64,
        started_at: Timestamp,
    ) -> io::Result<Recorder> {
        let shared = Arc::<Shared>::default();
        let limits = settings.limits();
        let (jobs, queued_jobs) = sync_channel(MAX_QUEUED_JOBS);
        let writer_shared = Arc::clone(&shared);
        let thread = std::thread::Builder::new().name("capture".into()).spawn(move || {
            Writer { store, limits, shared: writer_shared, open_length: None }.run(&queued_jobs)
        })?;
        let next_header = SegmentHeader {
            format: identity::FORMAT,
            build: identity::build_description(),
            policy_checksum: identity::policy_checksum(),
            float_digest: identity::float_digest(),
            policy_started_at: started_at,
            seed,
            has_complete_answers: settings.answers == AnswerFormat::Complete,
            ..SegmentHeader::default()
        };
        Ok(Recorder {
            ring: Ring::new(limits, started_at),
            answers: settings.answers,
            max_queued_bytes: settings.queue_kb * 1024,
            flush_interval: TimeDelta::from_millis(settings.flush_ms as i64),
            next_header,
            batch: Vec::with_capacity(2 * BLOCK_BYTES),
            batch_events: 0,
            batch_begun_at: started_at,
            last_record_at: started_at,
            segment_records: 0,
            unanswered: None,
            actions: Vec::new(),
            digest_buffer: Vec::new(),
            shared,
            writer: Some(WriterThread { jobs, thread }),
        })
    }

    /// Starts the record of an event, before the policy handles the event. Begins a new segment with a
    /// checkpoint of the policy if one is due; only then `engines` is called for the engines' ids and
    /// numbers.
    pub fn record_event<'a>(
        &mut self,
        now: Timestamp,
        policy: &Policy,
        event: &Event,
        engines: impl FnOnce() -> Vec<(&'a str, u32)>,
    ) {
        if self.ring.is_segment_due(now) {
            self.begin_segment(now, policy, engines());
        }
        self.unanswered = Some(UnansweredEvent { at: now, event: encode_event(event) });
    }

    /// Completes the record of the last event with the policy's answer.
    pub fn record_answer(&mut self, actions: &[Action]) {
        let Some(UnansweredEvent { at, event }) = self.unanswered.take() else { return };
        let mut encoded = std::mem::take(&mut self.actions);
        encoded.clear();
        encoded.extend(actions.iter().filter_map(encode_action));
        let count = encoded.len() as u32;
        let mut digest = 0;
        if self.answers == AnswerFormat::Digest {
            digest = digest_actions(&encoded, &mut self.digest_buffer);
            encoded.clear();
        }
        let record =
            pb::Record { what: Some(event), actions: encoded, count, digest, ..pb::Record::default() };
        self.append(at, record);
    }

    /// Records that an engine was given a number, or that its number was freed.
    pub fn record_engine_number(&mut self, now: Timestamp, id: &str, number: u32, freed: bool) {
        let numbered = InputKind::Numbered(pb::Numbered { id: id.to_owned(), number, freed });
        self.append(now, pb::Record { what: Some(numbered), ..pb::Record::default() });
    }

    /// Counters since the recorder started.
    pub fn counters(&self) -> RecorderCounters {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let Shared { written_bytes, segments, lost_events, .. } = &*self.shared;
        RecorderCounters { bytes: load(written_bytes), segments: load(segments), lost: load(lost_events) }
    }

    /// Sets a record's time since the previous record, and appends the record to the batch. Queues the batch
    /// if it is full or old, or if the clock was set back.
    fn append(&mut self, now: Timestamp, mut record: pb::Record) {
        if self.batch_events == 0 {
            self.batch_begun_at = now;
        }
        record.after_us = (now - self.last_record_at).as_micros();
        self.last_record_at = now;
        self.batch.push(RECORDS_KEY);
        // Cannot fail: a Vec grows as needed.
        let _ = record.encode_length_delimited(&mut self.batch);
        self.actions = record.actions;
        self.batch_events += 1;
        let is_full = self.batch.len() >= BLOCK_BYTES;
        let is_old = now - self.batch_begun_at >= self.flush_interval;
        let is_clock_set_back = now < self.batch_begun_at;
        if is_full || is_old || is_clock_set_back {
            self.flush(now);
        }
    }

    /// Queues the batch for the writer, or drops it if no segment is open, the write rate is exceeded or the
    /// queue is full.
    fn flush(&mut self, now: Timestamp) {
        let events = std::mem::take(&mut self.batch_events);
        if self.shared.is_segment_failed.swap(false, Ordering::Relaxed) {
            let lost = self.shared.unreported_lost_events.swap(0, Ordering::Relaxed);
            self.ring.records_lost(now, lost);
        }
        let decision = self.ring.admit(now, self.batch.len() as u64, events);
        let is_queued = decision == BatchDecision::Write && {
            let bytes = std::mem::replace(&mut self.batch, Vec::with_capacity(2 * BLOCK_BYTES));
            self.send(Job::AppendBlock { bytes, events })
        };
        self.batch.clear();
        if is_queued {
            self.segment_records += events;
            return;
        }
        if decision == BatchDecision::Write {
            self.ring.records_lost(now, events);
        }
        self.shared.lost_events.fetch_add(events, Ordering::Relaxed);
    }

    /// Queues a job; returns `false` if the queue is full or closed. An empty queue accepts a job that alone
    /// exceeds the bound in bytes.
    fn send(&self, job: Job) -> bool {
        let Some(writer) = &self.writer else { return false };
        let bytes = job.queued_bytes();
        let queued = self.shared.queued_bytes.load(Ordering::Relaxed);
        if queued > 0 && queued + bytes > self.max_queued_bytes {
            return false;
        }
        self.shared.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        match writer.jobs.try_send(job) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.shared.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
                false
            }
        }
    }

    /// Ends the open segment, if there is one, and begins a new one with a checkpoint of the policy.
    fn begin_segment(&mut self, now: Timestamp, policy: &Policy, engines: Vec<(&str, u32)>) {
        if self.batch_events > 0 {
            self.flush(now);
        }
        let engines = engines.into_iter().map(|(id, number)| encode_engine(id, number)).collect();
        let lost = self.ring.lost_events();
        let tail = (self.next_header.number > 0).then_some(pb::Tail { records: self.segment_records, lost });
        self.next_header.lost_events_before = lost;
        let head = encode_header(&self.next_header).encode_to_vec();
        let policy = Box::new(policy.clone());
        let name = segment_file_name(now, self.next_header.number);
        if self.send(Job::BeginSegment { name, now, head, policy, engines, tail }) {
            self.ring.segment_begun(now);
            self.last_record_at = now;
            self.segment_records = 0;
            self.next_header.number += 1;
        } else {
            self.ring.records_lost(now, 0);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        if let Some(UnansweredEvent { at, event }) = self.unanswered.take() {
            // The policy panicked while it handled this event: the record is needed to reproduce the panic.
            let record = pb::Record { what: Some(event), unanswered: true, ..pb::Record::default() };
            self.append(at, record);
        }
        if self.batch_events > 0 {
            self.flush(self.last_record_at);
        }
        let tail = pb::Tail { records: self.segment_records, lost: self.ring.lost_events() };
        // No tail is written after a panic: readers report the segment as cut off, as after a crash.
        if !std::thread::panicking() {
            self.send(Job::EndSegment(tail));
        }
        let Some(WriterThread { jobs, thread }) = self.writer.take() else { return };
        // The thread ends when its queue is closed.
        drop(jobs);
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        while !thread.is_finished() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(1));
        }
        if thread.is_finished() {
            drop(thread.join());
        }
    }
}
