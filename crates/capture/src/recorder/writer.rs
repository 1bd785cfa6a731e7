//! The writer thread: compresses the blocks that the recorder queues, and appends them to the files of the
//! ring.

use super::store::SegmentStore;
use crate::frame::{self, FrameKind};
use crate::pb;
use crate::ring::{count_expired, RingLimits};
use prost::Message;
use sprucelink_policy::{Policy, Timestamp};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use tracing::{info, warn};

/// zstd level: fast, and records still shrink to a fifth of their size.
const COMPRESSION_LEVEL: i32 = 1;

/// A job for the writer thread.
pub(super) enum Job {
    /// Write `tail` to the open segment, if there is one, and begin a new segment. The writer serializes the
    /// copy of the policy: that takes ten times as long as copying, milliseconds with hundreds of engines,
    /// which the serving path must not spend.
    BeginSegment {
        name: String,
        now: Timestamp,
        head: Vec<u8>,
        policy: Box<Policy>,
        engines: Vec<pb::Numbered>,
        tail: Option<pb::Tail>,
    },
    /// Append a block of records.
    AppendBlock { bytes: Vec<u8>, events: u64 },
    /// End the open segment.
    EndSegment(pb::Tail),
}

impl Job {
    /// Approximate memory of the job in the queue, in bytes.
    pub(super) fn queued_bytes(&self) -> u64 {
        match self {
            Job::BeginSegment { head, policy, .. } => head.len() as u64 + policy.estimated_bytes(),
            Job::AppendBlock { bytes, .. } => bytes.len() as u64,
            Job::EndSegment(_) => 0,
        }
    }
}

/// State that the recorder and the writer thread share.
#[derive(Default)]
pub(super) struct Shared {
    /// Bytes of the jobs in the queue.
    pub(super) queued_bytes: AtomicU64,
    /// Whether a write failed and ended the segment; the recorder clears the flag at its next flush.
    pub(super) is_segment_failed: AtomicBool,
    /// Events that the writer lost and the recorder has not taken into account yet.
    pub(super) unreported_lost_events: AtomicU64,
    /// Bytes written to files since the recorder started.
    pub(super) written_bytes: AtomicU64,
    /// Segments that were started since the recorder started.
    pub(super) segments: AtomicU64,
    /// Events that the recorder or the writer lost since the recorder started.
    pub(super) lost_events: AtomicU64,
}

/// The writer, which runs on its own thread until the recorder closes the queue.
pub(super) struct Writer {
    pub(super) store: Box<dyn SegmentStore>,
    pub(super) limits: RingLimits,
    pub(super) shared: Arc<Shared>,
    /// Length of the open file, in bytes; `None` while no segment is open.
    pub(super) open_length: Option<u64>,
}

impl Writer {
    /// Executes jobs until the queue is closed.
    pub(super) fn run(mut self, jobs: &Receiver<Job>) {
        for job in jobs {
            let queued_bytes = job.queued_bytes();
            match job {
                Job::BeginSegment { name, now, head, policy, engines, tail } => {
                    if let Some(tail) = tail.filter(|_| self.open_length.is_some()) {
                        let result = self.append_frame(FrameKind::Tail, &tail.encode_to_vec());
                        self.handle_result(result, 0);
                    }
                    let state = rmp_serde::to_vec_named(&*policy).map_err(io::Error::other);
                    let result = state.and_then(|state| {
                        let checkpoint = pb::Checkpoint { at_us: now.as_micros(), state, engines };
                        self.begin_segment(&name, now, &head, &checkpoint.encode_to_vec())
                    });
                    self.handle_result(result, 0);
                }
                Job::AppendBlock { bytes, events } => {
                    let result = match self.open_length {
                        Some(_) => self.append_compressed(FrameKind::Block, &bytes),
                        None => Err(io::Error::other("no segment is open")),
                    };
                    self.handle_result(result, events);
                }
                Job::EndSegment(tail) if self.open_length.is_some() => {
                    let result = self.append_frame(FrameKind::Tail, &tail.encode_to_vec());
                    self.handle_result(result, 0);
                }
                Job::EndSegment(_) => {}
            }
            self.shared.queued_bytes.fetch_sub(queued_bytes, Ordering::Relaxed);
        }
    }

    fn begin_segment(
        &mut self,
        name: &str,
        now: Timestamp,
        head: &[u8],
        checkpoint: &[u8],
    ) -> io::Result<()> {
        self.open_length = None;
        // Listing fails if the directory does not exist yet; then there is nothing to remove.
        let files = self.store.list().unwrap_or_default();
        let expired = count_expired(&self.limits, &files, self.limits.segment_bytes, now);
        for file in &files[..expired] {
            self.store.remove(&file.name)?;
        }
        self.store.create(name)?;
        self.open_length = Some(0);
        self.append_frame(FrameKind::Head, head)?;
        self.append_compressed(FrameKind::Checkpoint, checkpoint)?;
        self.shared.segments.fetch_add(1, Ordering::Relaxed);
        info!(segment = name, "capture segment started");
        Ok(())
    }

    fn append_compressed(&mut self, kind: FrameKind, body: &[u8]) -> io::Result<()> {
        let compressed = zstd::bulk::compress(body, COMPRESSION_LEVEL)?;
        self.append_frame(kind, &compressed)
    }

    fn append_frame(&mut self, kind: FrameKind, body: &[u8]) -> io::Result<()> {
        let mut out = Vec::with_capacity(frame::HEADER_BYTES + body.len());
        if !frame::append_frame(&mut out, kind, body) {
            return Err(io::Error::other("a frame exceeds the maximum length"));
        }
        self.store.append(&out)?;
        self.open_length = self.open_length.map(|length| length + out.len() as u64);
        self.shared.written_bytes.fetch_add(out.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    /// Handles the result of a write of `events` records. After an error the file is truncated to its last
    /// complete frame, so that a full disk leaves no partial frame, and the segment ends. Of several losses
    /// in a row only the first is logged; the counters include all of them.
    fn handle_result(&mut self, result: io::Result<()>, events: u64) {
        let Err(error) = result else { return };
        if let Some(length) = self.open_length.take() {
            let truncated = self.store.truncate(length);
            warn!(%error, truncated = truncated.is_ok(), "capture not written, segment ended");
        } else if !self.shared.is_segment_failed.load(Ordering::Relaxed) {
            warn!(%error, "capture not written");
        }
        self.shared.unreported_lost_events.fetch_add(events, Ordering::Relaxed);
        self.shared.lost_events.fetch_add(events, Ordering::Relaxed);
        self.shared.is_segment_failed.store(true, Ordering::Relaxed);
    }
}
