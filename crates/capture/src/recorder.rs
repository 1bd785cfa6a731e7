//! The recorder: on the serving path it puts each event and its answer behind the others and hands them
//! over; a thread of its own compresses and writes. The serving path never waits: what does not fit is lost,
//! counted, and ends the segment.

mod store;
mod writer;

pub use store::{Folder, Store, SUFFIX};

use crate::identity;
use crate::pb;
use crate::ring::{Ring, Verdict};
use crate::settings::{Answers, Settings};
use crate::wire;
use prost::Message;
use sprucelink_policy::{Action, Event, Policy, TimeDelta, Timestamp};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use writer::{Job, Shared, Writer};

/// Records go to the writer in blocks of about this size: small enough to be soon on disk, large enough to
/// compress well.
const BLOCK: usize = 32 * 1024;
/// Blocks that wait for the writer, besides the bound in bytes: each is some kilobytes at least but for those
/// that time flushes, of which a writer that stands still for ten seconds is given fifty.
const SLOTS: usize = 256;
/// At the end the writer is given so long for what is in its queue; a disk that hangs must not hold up the stop.
const CLOSE: Duration = Duration::from_secs(2);
/// Protobuf's key of field 1, length-delimited: `Block.records`.
const RECORDS: u8 = 0x0a;

/// Counters of a recorder, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes written to files.
    pub bytes: u64,
    /// Segments begun.
    pub segments: u64,
    /// Events lost: no room in the queue, over the rate, or not written.
    pub lost: u64,
}

/// Records what the deciding part is told and answers.
pub struct Recorder {
    ring: Ring,
    answers: Answers,
    queue: u64,
    flush: TimeDelta,
    head: pb::Head,
    batch: Vec<u8>,
    events: u64,
    begun: Timestamp,
    last: Timestamp,
    records: u64,
    /// An event that the module has not answered yet.
    asked: Option<(Timestamp, pb::record::What)>,
    /// Used again from record to record.
    actions: Vec<pb::Action>,
    scratch: Vec<u8>,
    shared: Arc<Shared>,
    writer: Option<(SyncSender<Job>, JoinHandle<()>)>,
}

impl Recorder {
    /// A recorder into a folder, for a module that started at `born` with `seed`.
    pub fn start(set: &Settings, seed: u64, born: Timestamp) -> io::Result<Recorder> {
        Recorder::with(set, Box::new(Folder::new(&set.dir)), seed, born)
    }

    /// The same into any store.
    pub fn with(set: &Settings, store: Box<dyn Store>, seed: u64, born: Timestamp) -> io::Result<Recorder> {
        let (shared, limits) = (Arc::<Shared>::default(), set.limits());
        let (sender, jobs) = sync_channel(SLOTS);
        let theirs = Arc::clone(&shared);
        let writer = std::thread::Builder::new()
            .name("capture".into())
            .spawn(move || Writer { store, limits, shared: theirs, open: None }.run(&jobs))?;
        let head = pb::Head {
            format: identity::FORMAT,
            build: identity::build(),
            module: identity::module(),
            floats: identity::floats(),
            born_us: born.as_micros(),
            seed,
            whole_answers: set.answers == Answers::Whole,
            ..pb::Head::default()
        };
        Ok(Recorder {
            ring: Ring::new(limits, born),
            answers: set.answers,
            queue: set.queue_kb * 1024,
            flush: TimeDelta::from_millis(set.flush_ms as i64),
            head,
            batch: Vec::with_capacity(2 * BLOCK),
            events: 0,
            begun: born,
            last: born,
            records: 0,
            asked: None,
            actions: Vec::new(),
            scratch: Vec::new(),
            shared,
            writer: Some((sender, writer)),
        })
    }

    /// The module is about to be given an event. `engines` gives the numbers of engines, where a segment begins.
    pub fn asked<'a>(
        &mut self,
        now: Timestamp,
        brain: &Policy,
        event: &Event,
        engines: impl FnOnce() -> Vec<(&'a str, u32)>,
    ) {
        if self.ring.rolls(now) {
            self.begin(now, brain, engines());
        }
        self.asked = Some((now, wire::event_out(event)));
    }

    /// The module has answered the event that it was given last.
    pub fn answered(&mut self, actions: &[Action]) {
        let Some((now, what)) = self.asked.take() else { return };
        let mut all = std::mem::take(&mut self.actions);
        all.clear();
        all.extend(actions.iter().filter_map(wire::action_out));
        let count = all.len() as u32;
        let mut digest = 0;
        if self.answers == Answers::Digest {
            digest = wire::digest(&all, &mut self.scratch);
            all.clear();
        }
        self.put(now, what, all, count, digest, false);
    }

    /// An engine's id got a number, or gave it back.
    pub fn numbered(&mut self, now: Timestamp, id: &str, number: u32, freed: bool) {
        let what = pb::record::What::Numbered(pb::Numbered { id: id.to_owned(), number, freed });
        self.put(now, what, Vec::new(), 0, 0, false);
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        let get = |n: &AtomicU64| n.load(Ordering::Relaxed);
        let Shared { written, segments, all_lost, .. } = &*self.shared;
        Counters { bytes: get(written), segments: get(segments), lost: get(all_lost) }
    }

    fn put(
        &mut self,
        now: Timestamp,
        what: pb::record::What,
        actions: Vec<pb::Action>,
        count: u32,
        digest: u64,
        unanswered: bool,
    ) {
        if self.events == 0 {
            self.begun = now;
        }
        let after_us = (now - self.last).as_micros();
        self.last = now;
        let record = pb::Record { after_us, what: Some(what), actions, count, digest, unanswered };
        self.batch.push(RECORDS);
        // A Vec grows as it must: this cannot fail.
        let _ = record.encode_length_delimited(&mut self.batch);
        self.actions = record.actions;
        self.events += 1;
        if self.batch.len() >= BLOCK || now - self.begun >= self.flush || now < self.begun {
            self.hand_over(now);
        }
    }

    /// Hands the records in hand to the writer, or loses them.
    fn hand_over(&mut self, now: Timestamp) {
        let events = std::mem::take(&mut self.events);
        if self.shared.broken.swap(false, Ordering::Relaxed) {
            let lost = self.shared.lost.swap(0, Ordering::Relaxed);
            self.ring.failed(now, lost);
        }
        let verdict = self.ring.offer(now, self.batch.len() as u64, events);
        let written = verdict == Verdict::Write && {
            let bytes = std::mem::replace(&mut self.batch, Vec::with_capacity(2 * BLOCK));
            self.send(Job::Block { bytes, events })
        };
        self.batch.clear();
        if written {
            self.records += events;
            return;
        }
        if verdict == Verdict::Write {
            self.ring.failed(now, events);
        }
        self.shared.all_lost.fetch_add(events, Ordering::Relaxed);
    }

    /// Queues a job, unless that would take the queue over its bound; a job that is larger than that by itself
    /// goes into an empty queue.
    fn send(&self, job: Job) -> bool {
        let Some((sender, _)) = &self.writer else { return false };
        let (bytes, queued) = (job.bytes(), self.shared.queued.load(Ordering::Relaxed));
        if queued > 0 && queued + bytes > self.queue {
            return false;
        }
        self.shared.queued.fetch_add(bytes, Ordering::Relaxed);
        match sender.try_send(job) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.shared.queued.fetch_sub(bytes, Ordering::Relaxed);
                false
            }
        }
    }

    /// Ends the open segment, if there is one, and begins another with the module's whole state.
    fn begin(&mut self, now: Timestamp, brain: &Policy, engines: Vec<(&str, u32)>) {
        if self.events > 0 {
            self.hand_over(now);
        }
        let engines = engines
            .into_iter()
            .map(|(id, number)| pb::Numbered { id: id.to_owned(), number, freed: false })
            .collect();
        let lost = self.ring.lost();
        let tail = (self.head.segment > 0).then_some(pb::Tail { records: self.records, lost });
        self.head.lost_before = lost;
        let head = self.head.encode_to_vec();
        let module = Box::new(brain.clone());
        let name = format!("{:020}-{:06}{SUFFIX}", now.as_micros().max(0), self.head.segment);
        if self.send(Job::Begin { name, now, head, module, engines, tail }) {
            self.ring.begun(now);
            (self.last, self.records) = (now, 0);
            self.head.segment += 1;
        } else {
            self.ring.failed(now, 0);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        if let Some((now, what)) = self.asked.take() {
            // The module did not come back from it: that is the event to look at.
            self.put(now, what, Vec::new(), 0, 0, true);
        }
        if self.events > 0 {
            self.hand_over(self.last);
        }
        let tail = pb::Tail { records: self.records, lost: self.ring.lost() };
        // After a panic there is no tail: the segment ends as one that a crash cut off.
        if !std::thread::panicking() {
            self.send(Job::End(tail));
        }
        let Some((sender, writer)) = self.writer.take() else { return };
        drop(sender);
        let end = Instant::now() + CLOSE;
        while !writer.is_finished() && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(1));
        }
        if writer.is_finished() {
            drop(writer.join());
        }
    }
}
