//! The recorder: on the serving path it puts each event and its answer behind the others and hands them
//! over; a thread of its own compresses and writes. The serving path never waits: what does not fit is lost,
//! counted, and ends the segment.

use crate::frame::{self, Kind};
use crate::identity;
use crate::pb;
use crate::ring::{evict, Limits, Ring, Verdict};
use crate::settings::{Answers, Settings};
use crate::wire;
use prost::Message;
use sprucelink_policy::Policy;
use sprucelink_policy::{Action, Event, TimeDelta, Timestamp};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Records go to the writer in blocks of about this size: small enough to be soon on disk, large enough to
/// compress well.
const BLOCK: usize = 32 * 1024;
/// Blocks that wait for the writer, besides the bound in bytes: each is some kilobytes at least but for those
/// that time flushes, of which a writer that stands still for ten seconds is given fifty.
const SLOTS: usize = 256;
/// Fast, and records still shrink to a fifth.
const LEVEL: i32 = 1;
/// At the end the writer is given so long for what is in its queue; a disk that hangs must not hold up the stop.
const CLOSE: Duration = Duration::from_secs(2);
/// How the ring's files end.
pub const SUFFIX: &str = ".slc";
/// Protobuf's key of field 1, length-delimited: `Block.records`.
const RECORDS: u8 = 0x0a;

/// Where a ring's files are kept: a seam, so that tests can make every call fail.
pub trait Store: Send {
    /// Files of the ring, oldest first: name, bytes, Unix microseconds of the last write.
    fn list(&mut self) -> io::Result<Vec<(String, u64, Timestamp)>>;
    /// Begins a file; what is appended goes to it from now on.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to the file begun last.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Cuts the file begun last back to a length.
    fn cut(&mut self, len: u64) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Files in a folder.
pub struct Folder {
    dir: PathBuf,
    file: Option<std::fs::File>,
}

impl Folder {
    /// A folder, which is made if it does not exist when the first file is begun.
    pub fn new(dir: &Path) -> Folder {
        Folder { dir: dir.to_owned(), file: None }
    }
}

fn unix(t: std::time::SystemTime) -> Timestamp {
    Timestamp::from_micros(t.duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_micros() as i64)
}

impl Store for Folder {
    fn list(&mut self) -> io::Result<Vec<(String, u64, Timestamp)>> {
        let mut all = Vec::new();
        for entry in std::fs::read_dir(&self.dir)? {
            let entry = entry?;
            let name = entry.file_name().to_string_lossy().into_owned();
            let meta = entry.metadata()?;
            if name.ends_with(SUFFIX) && meta.is_file() {
                all.push((name, meta.len(), unix(meta.modified()?)));
            }
        }
        // Names begin with the time, at full width.
        all.sort();
        Ok(all)
    }
    fn create(&mut self, name: &str) -> io::Result<()> {
        std::fs::create_dir_all(&self.dir)?;
        self.file = Some(std::fs::File::create_new(self.dir.join(name))?);
        Ok(())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.as_mut().map_or_else(|| Err(io::ErrorKind::NotFound.into()), |f| f.write_all(bytes))
    }
    fn cut(&mut self, len: u64) -> io::Result<()> {
        self.file.as_mut().map_or(Ok(()), |f| f.set_len(len))
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.dir.join(name))
    }
}

/// What the writer is handed.
enum Job {
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
    fn bytes(&self) -> u64 {
        match self {
            Job::Begin { head, module, .. } => head.len() as u64 + module.footprint(),
            Job::Block { bytes, .. } => bytes.len() as u64,
            Job::End(_) => 0,
        }
    }
}

/// What both sides see of each other.
#[derive(Default)]
struct Shared {
    queued: AtomicU64,
    /// The writer could not write: the segment is over.
    broken: AtomicBool,
    /// Events that the writer lost and the recorder has not heard of yet.
    lost: AtomicU64,
    written: AtomicU64,
    segments: AtomicU64,
    all_lost: AtomicU64,
}

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

/// The writer's thread.
struct Writer {
    store: Box<dyn Store>,
    limits: Limits,
    shared: Arc<Shared>,
    /// Bytes of the file that is open.
    open: Option<u64>,
}

impl Writer {
    fn run(mut self, jobs: &Receiver<Job>) {
        for job in jobs {
            let bytes = job.bytes();
            match job {
                Job::Begin { name, now, head, module, engines, tail } => {
                    if let Some(tail) = tail.filter(|_| self.open.is_some()) {
                        let done = self.frame(Kind::Tail, &tail.encode_to_vec());
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
                        Some(_) => self.packed(Kind::Block, &bytes),
                        None => Err(io::Error::other("no segment is open")),
                    };
                    self.check(done, events);
                }
                Job::End(tail) if self.open.is_some() => {
                    let done = self.frame(Kind::Tail, &tail.encode_to_vec());
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
        self.frame(Kind::Head, head)?;
        self.packed(Kind::Checkpoint, checkpoint)?;
        self.shared.segments.fetch_add(1, Ordering::Relaxed);
        info!(segment = name, "capture: segment {name} begun");
        Ok(())
    }

    fn packed(&mut self, kind: Kind, body: &[u8]) -> io::Result<()> {
        let packed = zstd::bulk::compress(body, LEVEL)?;
        self.frame(kind, &packed)
    }

    fn frame(&mut self, kind: Kind, body: &[u8]) -> io::Result<()> {
        let mut out = Vec::with_capacity(frame::HEADER + body.len());
        if !frame::write(&mut out, kind, body) {
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
