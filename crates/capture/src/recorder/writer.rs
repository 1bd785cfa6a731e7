//! The writer's thread: compresses what the recorder hands over, and appends it to the files of the ring.

use super::store::Store;
use crate::frame::{self, FrameKind};
use crate::pb;
use crate::ring::{evict, Limits};
use prost::Message;
use sprucelink_policy::{Policy, Timestamp};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use tracing::{info, warn};

/// Fast, and records still shrink to a fifth.
const LEVEL: i32 = 1;

/// What the writer is handed.
pub(super) enum Job {
    /// The module's copy is written down by the writer: that takes ten times as long as the copy, and grows to
    /// milliseconds with hundreds of engines.
    Begin {
        name: String,
        now: Timestamp,
        head: Vec<u8>,
        module: Box<Policy>,
        engines: Vec<pb::Numbered>,
        tail: Option<pb::Tail>,
    },
    Block {
        bytes: Vec<u8>,
        events: u64,
    },
    End(pb::Tail),
}

impl Job {
    /// Bytes that it holds while it waits.
    pub(super) fn bytes(&self) -> u64 {
        match self {
            Job::Begin { head, module, .. } => head.len() as u64 + module.footprint(),
            Job::Block { bytes, .. } => bytes.len() as u64,
            Job::End(_) => 0,
        }
    }
}

/// What both sides see of each other.
#[derive(Default)]
pub(super) struct Shared {
    pub(super) queued: AtomicU64,
    /// The writer could not write: the segment is over.
    pub(super) broken: AtomicBool,
    /// Events that the writer lost and the recorder has not heard of yet.
    pub(super) lost: AtomicU64,
    pub(super) written: AtomicU64,
    pub(super) segments: AtomicU64,
    pub(super) all_lost: AtomicU64,
}

/// The writer's thread.
pub(super) struct Writer {
    pub(super) store: Box<dyn Store>,
    pub(super) limits: Limits,
    pub(super) shared: Arc<Shared>,
    /// Bytes of the file that is open.
    pub(super) open: Option<u64>,
}

impl Writer {
    pub(super) fn run(mut self, jobs: &Receiver<Job>) {
        for job in jobs {
            let bytes = job.bytes();
            match job {
                Job::Begin { name, now, head, module, engines, tail } => {
                    if let Some(tail) = tail.filter(|_| self.open.is_some()) {
                        let done = self.frame(FrameKind::Tail, &tail.encode_to_vec());
                        self.check(done, 0);
                    }
                    let state = rmp_serde::to_vec_named(&*module).map_err(io::Error::other);
                    let done = state.and_then(|state| {
                        let point = pb::Checkpoint { at_us: now.as_micros(), state, engines };
                        self.begin(&name, now, &head, &point.encode_to_vec())
                    });
                    self.check(done, 0);
                }
                Job::Block { bytes, events } => {
                    let done = match self.open {
                        Some(_) => self.packed(FrameKind::Block, &bytes),
                        None => Err(io::Error::other("no segment is open")),
                    };
                    self.check(done, events);
                }
                Job::End(tail) if self.open.is_some() => {
                    let done = self.frame(FrameKind::Tail, &tail.encode_to_vec());
                    self.check(done, 0);
                }
                Job::End(_) => {}
            }
            self.shared.queued.fetch_sub(bytes, Ordering::Relaxed);
        }
    }

    fn begin(&mut self, name: &str, now: Timestamp, head: &[u8], checkpoint: &[u8]) -> io::Result<()> {
        self.open = None;
        // A folder that is not there yet holds nothing to let go.
        let files = self.store.list().unwrap_or_default();
        let sizes: Vec<(u64, Timestamp)> = files.iter().map(|f| (f.1, f.2)).collect();
        for (old, ..) in &files[..evict(&self.limits, &sizes, self.limits.segment_bytes, now)] {
            self.store.remove(old)?;
        }
        self.store.create(name)?;
        self.open = Some(0);
        self.frame(FrameKind::Head, head)?;
        self.packed(FrameKind::Checkpoint, checkpoint)?;
        self.shared.segments.fetch_add(1, Ordering::Relaxed);
        info!(segment = name, "capture: segment {name} begun");
        Ok(())
    }

    fn packed(&mut self, kind: FrameKind, body: &[u8]) -> io::Result<()> {
        let packed = zstd::bulk::compress(body, LEVEL)?;
        self.frame(kind, &packed)
    }

    fn frame(&mut self, kind: FrameKind, body: &[u8]) -> io::Result<()> {
        let mut out = Vec::with_capacity(frame::HEADER_BYTES + body.len());
        if !frame::append_frame(&mut out, kind, body) {
            return Err(io::Error::other("a frame longer than any may be"));
        }
        self.store.append(&out)?;
        self.open = self.open.map(|len| len + out.len() as u64);
        self.shared.written.fetch_add(out.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    /// After an error the file is cut back to its last whole frame, so that a full disk leaves no half one, and
    /// the segment is over. The first loss of a run is said; counters tell of the others.
    fn check(&mut self, done: io::Result<()>, events: u64) {
        let Err(why) = done else { return };
        if let Some(len) = self.open.take() {
            let cut = self.store.cut(len);
            let left = if cut.is_err() { ", and half a record stays behind" } else { "" };
            warn!("capture: not written, the segment ends here{left}: {why}");
        } else if !self.shared.broken.load(Ordering::Relaxed) {
            warn!("capture: not written: {why}");
        }
        self.shared.lost.fetch_add(events, Ordering::Relaxed);
        self.shared.all_lost.fetch_add(events, Ordering::Relaxed);
        self.shared.broken.store(true, Ordering::Relaxed);
    }
}
