//! Connections to engines. A link carries many attempts; it belongs to an engine's id, not to its
//! address, for addresses are used again. What breaks a link ends each attempt on it once.

use super::buffer_pool::{read_into, Buffer, BufferPool, SIZE};
use super::{now, span};
use crate::proto::{resp, Malformed};
use socket2::SockRef;
use sprucelink_policy::{TimeDelta, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// How often a link looks whether it has been idle for too long.
const LOOK: Duration = Duration::from_secs(1);
/// An answer that has begun and grows no further for so long will not be whole: engines write answers in
/// one go, and this is long even for a busy machine.
const STALL: Duration = Duration::from_millis(500);
/// An answer must be whole so long after its first byte, however it grows: all that is out on the link waits behind
/// it, and one that grows by a byte now and then would hold it for ever.
const WHOLE: TimeDelta = TimeDelta::from_micros(2_000_000);
/// Share of the idle time after which this side closes: engines close at the whole of it, and a
/// request that crosses their close would count as one that may have run.
const IDLE_SHARE: f64 = 0.8;
/// Notes missed in a row after which a link that has old attempts out takes nothing new.
const NOTES_MISSED: i64 = 3;
/// Attempts called off on one link before it is retired.
const MOST_UNDONE: usize = 512;

/// What the settings say of connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Attempts that one connection carries at a time.
    pub streams: usize,
    /// A connection that is not up by then has failed.
    pub dial: TimeDelta,
    /// An idle connection is closed after this.
    pub idle: TimeDelta,
    /// Time between notes on an attempt; zero where there are none.
    pub notes: TimeDelta,
    /// Connections to one engine at a time.
    pub most: usize,
    /// Connections to all engines at a time.
    pub most_links: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Dialing,
    Up,
    Dead,
}

/// An attempt on a link: its number, where its command begins and ends in the stream, and when it was sent.
#[derive(Clone, Copy, Debug)]
struct Rider {
    attempt: u32,
    start: u64,
    end: u64,
    sent: Timestamp,
    /// It was taken back before its first byte.
    withdrawn: bool,
}

/// A command that sends an attempt and has not left whole: its request, and where it begins and ends in the stream.
#[derive(Clone, Copy, Debug)]
struct Unsent {
    id: u64,
    attempt: u32,
    start: u64,
    end: u64,
}

/// What became of an attempt that is not to leave any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// No byte of it has left, and none will.
    Whole,
    /// A part of it has left: only the link's end keeps the rest back.
    InPart,
    /// It has left.
    Late,
}

/// One connection to an engine.
#[derive(Debug)]
pub struct EngineConnection {
    /// The engine, by number.
    pub engine: usize,
    address: SocketAddr,
    state: Cell<State>,
    stale: Cell<bool>,
    queue: RefCell<VecDeque<Buffer>>,
    queued: Cell<u64>,
    written: Cell<u64>,
    /// Bytes that the writer has taken off the queue.
    taken: Cell<u64>,
    riders: RefCell<BTreeMap<u64, Rider>>,
    /// Parts of the stream that are passed over when their turn comes: from where to where.
    withdrawn: RefCell<BTreeMap<u64, u64>>,
    /// The commands that send attempts, of those that have not left whole, in the stream's order.
    unsent: RefCell<VecDeque<Unsent>>,
    undone: RefCell<BTreeSet<u64>>,
    heard: Cell<Timestamp>,
    /// Not dialled before this: the cold start's slot.
    dial_at: Cell<Timestamp>,
    wake: Notify,
}

impl EngineConnection {
    /// A link that is about to be dialled.
    pub fn new(engine: usize, address: SocketAddr) -> Rc<EngineConnection> {
        Rc::new(EngineConnection {
            engine,
            address,
            state: Cell::new(State::Dialing),
            stale: Cell::new(false),
            queue: RefCell::default(),
            queued: Cell::new(0),
            written: Cell::new(0),
            taken: Cell::new(0),
            riders: RefCell::default(),
            withdrawn: RefCell::default(),
            unsent: RefCell::default(),
            undone: RefCell::default(),
            heard: Cell::new(now()),
            dial_at: Cell::new(Timestamp::ZERO),
            wake: Notify::new(),
        })
    }

    /// Whether request `id` may go out on it. Not where it was called off before: a late answer to
    /// the old attempt could not be told from one to the new.
    pub fn takes(&self, id: u64, terms: &ConnectionLimits) -> bool {
        let riders = self.riders.borrow();
        let quiet = |r: &Rider| {
            now() - r.sent.max(self.heard.get())
                > TimeDelta::from_micros(terms.notes.as_micros() * NOTES_MISSED)
        };
        // Guards against machines that vanished: their connections stay open and silent.
        let silent = terms.notes > TimeDelta::ZERO && riders.values().any(quiet);
        self.state.get() != State::Dead
            && !self.stale.get()
            && !silent
            && riders.len() < terms.streams
            && !self.undone.borrow().contains(&id)
    }

    /// It is not to be dialled before `at`; what is sent on it meanwhile waits for the connection.
    pub fn dial_at(&self, at: Timestamp) {
        self.dial_at.set(at);
    }

    /// Nothing new goes out on it: its engine has started anew, or moved.
    pub fn retire(&self) {
        self.stale.set(true);
    }

    /// Whether it is still being dialled.
    pub fn dialing(&self) -> bool {
        self.state.get() == State::Dialing
    }

    /// Returns once it is closed here.
    async fn closed(&self) {
        while self.state.get() != State::Dead {
            self.wake.notified().await;
        }
    }

    /// Whether nothing is out on it: what is on it has still to leave.
    fn rests(&self) -> bool {
        self.riders.borrow().values().all(|r| r.withdrawn || r.start >= self.written.get())
    }

    /// Attempts on it.
    pub fn riders(&self) -> usize {
        self.riders.borrow().len()
    }

    /// Queues a command on an attempt that is out; on a dead link there is none any more. Guards the
    /// rule on second copies: an undo that found no buffer was never said, and the next attempt left.
    pub fn command(&self, pool: &BufferPool, parts: &[&[u8]]) {
        if self.state.get() != State::Dead {
            self.put(parts, || Some(pool.must()));
        }
    }

    fn put(&self, parts: &[&[u8]], buffer: impl FnOnce() -> Option<Buffer>) -> bool {
        let size = 16 + parts.iter().map(|p| p.len() + 16).sum::<usize>();
        let mut queue = self.queue.borrow_mut();
        if !queue.back().is_some_and(|b| b.has_room(size)) {
            let Some(buf) = buffer().filter(|b| b.has_room(size)) else { return false };
            queue.push_back(buf);
        }
        if let Some(buf) = queue.back_mut() {
            let before = buf.len();
            resp::write_command(buf, parts);
            self.queued.set(self.queued.get() + (buf.len() - before) as u64);
        }
        self.wake.notify_one();
        true
    }

    /// Bytes queued so far.
    pub fn queued(&self) -> u64 {
        self.queued.get()
    }

    /// Bytes that have left so far, or were passed over.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Whether all up to a place in the stream has left, or never will.
    pub fn gone(&self, place: u64) -> bool {
        self.written.get() >= place || self.state.get() == State::Dead
    }

    /// Queues the command that sends an attempt.
    pub fn send(&self, pool: &BufferPool, id: u64, attempt: u32, parts: &[&[u8]]) -> bool {
        let start = self.queued.get();
        let queued = self.put(parts, || pool.get());
        if queued {
            let (end, sent) = (self.queued.get(), now());
            self.unsent.borrow_mut().push_back(Unsent { id, attempt, start, end });
            self.riders.borrow_mut().insert(id, Rider { attempt, start, end, sent, withdrawn: false });
        }
        queued
    }

    /// Whether some of the command that sends a request's attempt has still to leave.
    pub fn unsent(&self, id: u64) -> bool {
        self.state.get() != State::Dead
            && self.riders.borrow().get(&id).is_some_and(|r| !r.withdrawn && r.end > self.written.get())
    }

    /// Takes the command that sends a request's attempt back, if it has not left: its bytes are passed over.
    /// Guards the one final answer: a connection that comes up late would send on what was answered long ago.
    pub fn withdraw(&self, id: u64) -> Withdrawal {
        if self.riders.borrow().get(&id).is_some_and(|r| r.withdrawn) {
            return Withdrawal::Whole;
        }
        if !self.unsent(id) {
            return Withdrawal::Late;
        }
        let mut riders = self.riders.borrow_mut();
        let Some(rider) = riders.get_mut(&id).filter(|r| r.start >= self.written.get()) else {
            return Withdrawal::InPart;
        };
        rider.withdrawn = true;
        self.withdrawn.borrow_mut().insert(rider.start, rider.end);
        self.unsent.borrow_mut().retain(|u| u.end != rider.end);
        Withdrawal::Whole
    }

    /// The attempts of which some has still to leave: their requests.
    pub fn waiting(&self) -> Vec<u64> {
        self.unsent.borrow().iter().map(|u| u.id).collect()
    }

    /// The first attempt that would begin to leave with the bytes up to a place, from `from` on.
    fn next_start(&self, from: u64, to: u64) -> Option<Unsent> {
        self.unsent.borrow().iter().find(|u| u.start >= from && u.start < to).copied()
    }

    /// Bytes were written: attempts that have left whole by them.
    fn wrote(&self, n: usize) -> u64 {
        let written = self.written.get() + n as u64;
        self.written.set(written);
        let mut unsent = self.unsent.borrow_mut();
        let mut whole = 0;
        while unsent.front().is_some_and(|u| u.end <= written) {
            unsent.pop_front();
            whole += 1;
        }
        whole
    }

    /// Passes over what was withdrawn where the stream now stands; up to where it may be written then.
    fn next_cut(&self) -> Option<u64> {
        let mut withdrawn = self.withdrawn.borrow_mut();
        while let Some(cut) = withdrawn.first_entry().filter(|c| *c.key() <= self.written.get()) {
            self.written.set(self.written.get().max(cut.remove()));
        }
        withdrawn.first_key_value().map(|c| *c.0)
    }

    /// The attempts on it: request and attempt's number.
    pub fn out(&self) -> Vec<(u64, u32)> {
        self.riders.borrow().iter().map(|(id, r)| (*id, r.attempt)).collect()
    }

    /// The attempt of a request that is out on this link.
    pub fn attempt(&self, id: u64) -> Option<u32> {
        self.riders.borrow().get(&id).map(|r| r.attempt)
    }

    /// An attempt has ended; `undone` if the engine may still answer it, or has answered in a way that it
    /// may answer again: second copies come.
    pub fn release(&self, id: u64, undone: bool) {
        let was = self.riders.borrow_mut().remove(&id).is_some();
        if was && undone {
            let mut undone = self.undone.borrow_mut();
            undone.insert(id);
            // Bounds what a link remembers: a new one takes its place.
            self.stale.set(self.stale.get() || undone.len() >= MOST_UNDONE);
        }
        if self.riders.borrow().is_empty() {
            self.heard.set(now());
        }
    }

    /// Whether an attempt of a request was on it and did not end served.
    pub fn undone(&self, id: u64) -> bool {
        self.undone.borrow().contains(&id)
    }

    /// Closes it: what was on it, and whether each command never left whole. An engine runs whole commands only, so
    /// one that was cut never ran.
    pub fn close(&self) -> Vec<(u64, u32, bool)> {
        self.state.set(State::Dead);
        self.queue.borrow_mut().clear();
        self.unsent.borrow_mut().clear();
        self.wake.notify_one();
        let written = self.written.get();
        let riders = std::mem::take(&mut *self.riders.borrow_mut());
        riders.into_iter().map(|(id, r)| (id, r.attempt, r.withdrawn || r.end > written)).collect()
    }

    fn idle(&self, terms: &ConnectionLimits) -> bool {
        let rest = TimeDelta::from_micros((terms.idle.as_micros() as f64 * IDLE_SHARE) as i64);
        self.riders.borrow().is_empty() && (self.stale.get() || now() - self.heard.get() > rest)
    }
}

/// Who a link's attempts belong to.
pub trait ConnectionOwner: 'static {
    /// The pool of buffers.
    fn pool(&self) -> &BufferPool;
    /// What the settings say of connections.
    fn terms(&self) -> &ConnectionLimits;
    /// An engine answered; an error spoils the link.
    fn on_answer(self: &Rc<Self>, link: &EngineConnection, parts: &[&[u8]]) -> Result<(), Malformed>;
    /// A link has ended; `ours` if this side gave up on it.
    fn on_link_down(self: &Rc<Self>, link: &Rc<EngineConnection>, why: &str, ours: bool);
    /// Whether an attempt may leave, asked just before its first byte; with a no it has been withdrawn. Guards every
    /// rule on what is sent: between the choice and this moment lie dials, slow peers and turns on the processor.
    fn may_leave(self: &Rc<Self>, _link: &EngineConnection, _id: u64, _attempt: u32) -> bool {
        true
    }
    /// So many attempts have been written whole.
    fn on_forwarded(&self, _attempts: u64) {}
    /// A link has come up.
    fn on_link_up(self: &Rc<Self>, _link: &EngineConnection) {}
}

/// Why a link ended: in words, and whether this side gave up on it.
type Why = (String, bool);

fn theirs(why: impl ToString) -> Why {
    (why.to_string(), false)
}

/// What was read makes no sense: what else comes on this link is of no use either.
fn spoilt(why: impl std::fmt::Display) -> Why {
    (format!("unreadable: {why}"), true)
}

/// Dials a link and serves it until it ends.
pub async fn run<O: ConnectionOwner>(core: Rc<O>, link: Rc<EngineConnection>) {
    let wait = link.dial_at.get() - now();
    if wait > TimeDelta::ZERO {
        tokio::time::sleep(span(wait)).await;
    }
    // A dial that is not wanted any more gives its descriptor back at once.
    let dialled = tokio::select! {
        dialled = timeout(span(core.terms().dial), TcpStream::connect(link.address)) => dialled,
        () = link.closed() => return core.on_link_down(&link, "", true),
    };
    let why = match dialled {
        Ok(Ok(stream)) if link.state.get() == State::Dialing => serve(&core, &link, stream).await,
        Ok(Ok(_)) => theirs("not wanted any more"),
        Ok(Err(e)) => theirs(format!("no connection: {e}")),
        Err(_) => theirs("no connection in time"),
    };
    core.on_link_down(&link, &why.0, why.1);
}

async fn serve<O: ConnectionOwner>(core: &Rc<O>, link: &EngineConnection, stream: TcpStream) -> Why {
    if let Err(e) = stream.set_nodelay(true) {
        return theirs(e);
    }
    link.state.set(State::Up);
    core.on_link_up(link);
    let (reader, writer) = stream.into_split();
    tokio::select! {
        // An end that has come is seen before anything more is written: what was not written never left.
        biased;
        why = read(core, link, reader) => why,
        why = write(core, link, writer) => why,
    }
}

/// Writes what is queued. What leaves next is looked up before each write, never held over a wait: it may be
/// withdrawn meanwhile.
async fn write<O: ConnectionOwner>(core: &Rc<O>, link: &EngineConnection, writer: OwnedWriteHalf) -> Why {
    // The buffer in hand, and where its first byte stands in the stream.
    let mut hand: Option<(Buffer, u64)> = None;
    loop {
        if link.state.get() == State::Dead {
            return theirs("closed here");
        }
        let cut = link.next_cut();
        let at = link.written.get();
        hand = hand.filter(|(buf, start)| start + (buf.len() as u64) > at);
        let Some((buf, start)) = &hand else {
            let next = link.queue.borrow_mut().pop_front();
            match next {
                Some(buf) => hand = Some((buf, link.taken.get())),
                None => link.wake.notified().await,
            }
            if let Some((buf, start)) = &hand {
                link.taken.set(start + buf.len() as u64);
            }
            continue;
        };
        let from = (at - start) as usize;
        let to = cut.map_or(buf.len(), |c| ((c - start) as usize).min(buf.len()));
        if link.rests() && link.next_start(at, start + to as u64).is_some() && closed(writer.as_ref()) {
            return theirs("closed by the engine");
        }
        if !cleared(core, link, at, start + to as u64) {
            // What was withdrawn is passed over on the next round.
            continue;
        }
        match writer.try_write(&buf[from..to]) {
            Ok(0) => return theirs("closed by the engine"),
            Ok(n) => core.on_forwarded(link.wrote(n)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => tokio::select! {
                ready = writer.writable() => if let Err(e) = ready {
                    return theirs(e);
                },
                () = link.wake.notified() => {}
            },
            Err(e) => return theirs(e),
        }
    }
}

/// Whether the other side has closed a connection on which nothing was said since, asked of the system itself: the
/// runtime hears of it only with its next look. Guards what is sent on a link that its engine closes for being idle in
/// that moment: written, it would count as one that may have run.
fn closed(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(n) => n == 0,
        Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
    }
}

/// Whether all attempts that begin in this part of the stream may leave; those that may not are withdrawn.
fn cleared<O: ConnectionOwner>(core: &Rc<O>, link: &EngineConnection, mut at: u64, to: u64) -> bool {
    let mut all = true;
    while let Some(u) = link.next_start(at, to) {
        all &= core.may_leave(link, u.id, u.attempt);
        at = u.end;
    }
    all
}

async fn read<O: ConnectionOwner>(core: &Rc<O>, link: &EngineConnection, mut reader: OwnedReadHalf) -> Why {
    let mut held = None;
    // Since when an answer is here in part.
    let mut begun = None;
    loop {
        let whole_by = begun.map(|since: Timestamp| since + WHOLE);
        let patience = whole_by.map_or(LOOK, |by| STALL.min(span(by - now())));
        match timeout(patience, read_into(core.pool(), &mut reader, &mut held)).await {
            Ok(Ok(0)) => return theirs("closed by the engine"),
            Ok(Ok(_)) => {}
            Ok(Err(e)) => return theirs(e),
            // Guards against an answer that stops short: all that is out here would wait behind it.
            Err(_) if held.is_some() => return spoilt("an answer does not become whole"),
            Err(_) if link.idle(core.terms()) => return theirs(""),
            Err(_) => continue,
        }
        link.heard.set(now());
        let Some(buf) = &mut held else { continue };
        let mut at = 0;
        loop {
            match resp::read_array(&buf[at..], SIZE) {
                Ok(Some((parts, len))) => {
                    if let Err(e) = core.on_answer(link, &parts) {
                        return spoilt(e);
                    }
                    at += len;
                }
                Ok(None) => break,
                Err(e) => return spoilt(e),
            }
        }
        buf.drain(..at);
        if buf.is_empty() {
            (held, begun) = (None, None);
        } else if !buf.has_room(1) {
            return spoilt("an answer longer than any may be");
        } else if at > 0 || begun.is_none() {
            begun = Some(now());
        }
    }
}
