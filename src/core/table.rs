//! The table of requests: every request taken gets its one final answer here, whichever front
//! took it, and every attempt its one end.

use super::facade::{Asked, End, Facade, News, Order};
use super::links::{self, Link, Terms};
use super::pool::{Buf, Pool, SIZE};
use super::{now, span};
use crate::proto::events::{ListEvent, Phase};
use crate::proto::resp::{self, Answer, Stats, Word};
use crate::proto::Malformed;
use sprucelink_policy::interface::{Micros, Settings};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// Longest page.
const PAGE: usize = 6_000;
/// Longest result.
const MOST_RESULT: usize = 48_000;
/// Longest statement; its command fits a buffer.
pub const MOST_STATEMENT: usize = SIZE - 2_048;
/// Before its deadline by less than this a refusal is one for lack of time.
const NO_TIME: Micros = Micros(60_000);
/// Between two lines of figures.
const FIGURES: Micros = Micros(10_000_000);
/// Advice to come back is never shorter: a client that returns at once meets the same jam.
const COME_BACK_LEAST: Micros = Micros(100_000);
/// An attempt called off counts as out for so much longer once its undo has left: that must reach its
/// engine before the next attempt reaches another. Paths differ by under 2 ms, and by more when a
/// machine is busy.
const UNDO_LANDS: Micros = Micros(10_000);
/// Ids of requests are known for so long, and so many of them at most.
const PAST: Micros = Micros(30_000_000);
const MOST_PAST: usize = 20_000;
/// Between two looks at whether an undo has left.
const UNDO_LEAVES: Micros = Micros(1_000);

/// A result: its pages one behind the other in as few buffers as hold them, in the order they came.
#[derive(Debug, Default)]
pub struct ResultSet {
    bufs: Vec<Buf>,
    /// By page: its buffer, and where it begins and ends there.
    pages: Vec<Option<(usize, usize, usize)>>,
}

impl ResultSet {
    fn put(&mut self, pool: &Pool, page: usize, body: &[u8]) -> bool {
        if !self.bufs.last().is_some_and(|buf| buf.has_room(body.len())) {
            let Some(buf) = pool.get() else { return false };
            self.bufs.push(buf);
        }
        let last = self.bufs.len() - 1;
        let at = self.bufs[last].len();
        self.bufs[last].extend_from_slice(body);
        self.pages[page] = Some((last, at, at + body.len()));
        true
    }

    /// Bytes of it.
    fn len(&self) -> usize {
        self.pages.iter().flatten().map(|p| p.2 - p.1).sum()
    }

    /// The row at a place, without its line feed, and the place behind it. A place is a page and a
    /// byte in it; a result begins at (0, 0).
    pub fn row(&self, (mut page, mut byte): (usize, usize)) -> Option<(&[u8], (usize, usize))> {
        loop {
            let (buf, at, end) = self.pages.get(page).copied()?.unwrap_or_default();
            if byte < end - at {
                let rest = &self.bufs[buf][at + byte..end];
                let end = rest.iter().position(|b| *b == b'\n').unwrap_or(rest.len());
                return Some((&rest[..end], (page, byte + end + 1)));
            }
            (page, byte) = (page + 1, 0);
        }
    }
}

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// There is more to do than can be done in time.
    Busy,
    /// Its time ran out.
    Deadline,
    /// The engine answered with an error.
    Engine,
    /// The connection to its engine broke.
    Lost,
    /// No engine could be reached.
    Unreachable,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Final {
    /// Served.
    Served(ResultSet),
    /// Refused: a repeat does no harm.
    Refused(Cause, Micros),
    /// Failed: it may have run.
    Failed(Cause, Micros),
}

/// What a front asks for.
#[derive(Debug)]
pub struct Request {
    /// What the module is told.
    pub asked: Asked,
    /// The class, by name.
    pub class: String,
    /// The idempotency key.
    pub once: Option<String>,
    /// The statement.
    pub statement: Buf,
}

struct Out {
    attempt: u32,
    link: Rc<Link>,
    sent: Micros,
    result: ResultSet,
    bill: Option<(f64, f64)>,
    stats: Stats,
    served: bool,
    /// Where its undo ends in the link's stream, and since when that was seen to have left.
    undone: Option<(u64, Option<Micros>)>,
    /// As what it ends once that has landed.
    ends: End,
}

struct Entry {
    class: String,
    once: Option<String>,
    statement: Buf,
    deadline: Micros,
    grant_mb: Option<f64>,
    level: u8,
    sends: u32,
    out: Option<Out>,
    last: Option<End>,
    answer: Option<oneshot::Sender<Final>>,
}

#[derive(Default)]
struct Engine {
    address: Option<SocketAddr>,
    since: i64,
    links: Vec<Rc<Link>>,
    /// Since when the list has it no more.
    gone: Option<Micros>,
}

/// What became of requests since the last line of figures.
#[derive(Default)]
struct Tally {
    taken: u32,
    served: u32,
    refused: u32,
    failed: u32,
    given_up: u32,
    attempts: u32,
}

/// Ids of requests taken of late, each with a mark of its statement. Guards against an id that comes
/// again with another statement once the first has ended: its answer could be taken for the other's, by
/// engines and clients alike. The same again is a client whose connection broke.
#[derive(Default)]
struct Past {
    marks: BTreeMap<u64, u64>,
    order: VecDeque<(Micros, u64)>,
}

impl Past {
    /// Notes an id; false if another statement had it.
    fn note(&mut self, id: u64, statement: &[u8], at: Micros) -> bool {
        let old = |o: &(Micros, u64), n: usize| at - o.0 > PAST || n >= MOST_PAST;
        while self.order.front().is_some_and(|o| old(o, self.order.len())) {
            if let Some((_, gone)) = self.order.pop_front() {
                self.marks.remove(&gone);
            }
        }
        let mut hash = DefaultHasher::new();
        hash.write(statement);
        let mark = hash.finish();
        let known = self.marks.get(&id).copied();
        if known.is_none() {
            self.marks.insert(id, mark);
            self.order.push_back((at, id));
        }
        known.is_none_or(|k| k == mark)
    }
}

struct Inner {
    facade: Facade,
    tally: Tally,
    next_figures: Micros,
    open: BTreeMap<u64, Entry>,
    deadlines: BTreeSet<(Micros, u64)>,
    /// Attempts called off whose undo is on its way, by when it has landed.
    landing: BTreeSet<(Micros, u64, u32)>,
    engines: Vec<Engine>,
    last_event: u64,
    /// An engine is remembered for so long after it has gone: no request is open for longer.
    keep: Micros,
    past: Past,
    seed: u64,
}

/// The core: what both fronts stand on.
pub struct Core {
    inner: RefCell<Inner>,
    pool: Pool,
    terms: Terms,
    wake: Notify,
}

/// A request that was taken. Dropped before its answer, it is given up.
pub struct Ticket {
    core: Rc<Core>,
    id: u64,
    answer: oneshot::Receiver<Final>,
}

impl Ticket {
    /// The final answer.
    pub async fn wait(&mut self) -> Final {
        // The sender lives in the table until it is used: it cannot be lost before.
        (&mut self.answer).await.unwrap_or(Final::Failed(Cause::Lost, COME_BACK_LEAST))
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.core.give_up(self.id);
    }
}

impl Core {
    /// A core that knows no engine yet.
    pub fn new(set: Settings, seed: u64, names: [Vec<String>; 2], terms: Terms, pool: Pool) -> Rc<Core> {
        let [zones, kinds] = names;
        let keep = set.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let facade = Facade::new(set, seed, zones, kinds, now());
        let (open, deadlines, landing) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        let (tally, next_figures) = (Tally::default(), now() + FIGURES);
        let inner = Inner {
            facade,
            tally,
            next_figures,
            open,
            deadlines,
            landing,
            engines: Vec::new(),
            last_event: 0,
            keep,
            past: Past::default(),
            seed,
        };
        Rc::new(Core { inner: RefCell::new(inner), pool, terms, wake: Notify::new() })
    }

    /// The pool of buffers.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }
    /// What the settings say of connections.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }
    /// Requests that are open.
    pub fn open(&self) -> usize {
        self.inner.borrow().open.len()
    }
    /// The number of the last event of the feed.
    pub fn last_event(&self) -> u64 {
        self.inner.borrow().last_event
    }
    /// An event that says nothing here.
    pub fn passed_event(&self, n: u64) {
        let mut inner = self.inner.borrow_mut();
        inner.last_event = inner.last_event.max(n);
    }
    /// A line for the people on call.
    pub fn log(&self, text: &str) {
        log(text);
    }
    /// A number that this life has not given out before, short of chance.
    pub fn draw(&self) -> u64 {
        let mut inner = self.inner.borrow_mut();
        inner.seed = inner.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = inner.seed ^ (now().0 as u64).rotate_left(32);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Takes a request. `None` if its id is open, or was another statement's not long ago.
    pub fn take(self: &Rc<Self>, request: Request) -> Option<Ticket> {
        let mut inner = self.inner.borrow_mut();
        let (id, at) = (request.asked.id, now());
        if inner.open.contains_key(&id) || !inner.past.note(id, &request.statement, at) {
            return None;
        }
        let (sender, answer) = oneshot::channel();
        let deadline = at + request.asked.left;
        inner.deadlines.insert((deadline, id));
        let entry = Entry {
            class: request.class,
            once: request.once,
            statement: request.statement,
            deadline,
            grant_mb: None,
            level: 1,
            sends: 0,
            out: None,
            last: None,
            answer: Some(sender),
        };
        inner.open.insert(id, entry);
        inner.tally.taken += 1;
        let orders = inner.facade.pick(at, &request.asked);
        inner.work(self, orders);
        self.wake.notify_one();
        Some(Ticket { core: Rc::clone(self), id, answer })
    }

    fn give_up(self: &Rc<Self>, id: u64) {
        let mut inner = self.inner.borrow_mut();
        let Some(entry) = inner.open.get_mut(&id) else { return };
        if entry.answer.take().is_some() {
            inner.tally.given_up += 1;
            let orders = inner.facade.report(now(), News::GivenUp(id));
            inner.work(self, orders);
            inner.tidy(id);
        }
    }

    /// News of the list of engines. Events that came before are passed over.
    pub fn on_list(self: &Rc<Self>, list: &ListEvent, remembered: bool) {
        let mut inner = self.inner.borrow_mut();
        if list.n <= inner.last_event {
            return;
        }
        inner.last_event = list.n;
        inner.forget_gone(list);
        let mut orders = inner.facade.report(now(), News::List(list, remembered));
        for member in &list.members {
            let i = inner.facade.engine(&member.id);
            let most = inner.engines.len().max(i + 1);
            inner.engines.resize_with(most, Engine::default);
            let engine = &mut inner.engines[i];
            let address = member.address.parse().ok();
            if engine.address != address || engine.since != member.up_since_ms {
                engine.links.iter().for_each(|l| l.retire());
            }
            (engine.address, engine.since) = (address, member.up_since_ms);
            engine.gone = (member.phase == Phase::Gone).then(now);
            if engine.gone.is_some() {
                engine.links.iter().for_each(|l| l.retire());
            }
            if member.phase != Phase::Ready {
                // Guards the rule on drains: what waits for a connection would go out after the word.
                let dialing: Vec<_> = engine.links.iter().filter(|l| l.dialing()).cloned().collect();
                for link in dialing {
                    orders.extend(inner.close_link(&link, false));
                }
            }
            log(&format!("engine {} is {:?} at {}, number {i}", member.id, member.phase, member.address));
        }
        inner.work(self, orders);
        self.wake.notify_one();
    }

    /// An engine answered. Only what is said of an attempt on this link is read: second copies, and answers
    /// under ids that never were here, are passed over whatever they hold.
    pub fn on_answer(self: &Rc<Self>, link: &Link, parts: &[&[u8]]) -> Result<(), Malformed> {
        let text = parts.first().and_then(|id| std::str::from_utf8(id).ok()).filter(|t| t.len() == 16);
        let id = text.and_then(|t| u64::from_str_radix(t, 16).ok());
        let id = id.ok_or_else(|| Malformed::field("id", "is not 16 hex digits"))?;
        let mut inner = self.inner.borrow_mut();
        let Some(attempt) = link.attempt(id) else {
            // A late answer to an attempt that was here: its pages are not wanted.
            let late = link.undone(id).then(|| resp::read_answer(parts).ok()).flatten();
            if late.is_some_and(|a| matches!(a.word, Word::Served { pages } if pages > 1)) {
                link.command(&self.pool, &[b"forget", format!("{id:016x}").as_bytes()]);
            }
            return Ok(());
        };
        let answer = resp::read_answer(parts)?;
        let orders = inner.answered(&self.pool, id, attempt, &answer)?;
        inner.work(self, orders);
        Ok(())
    }

    /// A link has ended; `ours` if this side gave up on it.
    pub fn on_link_down(self: &Rc<Self>, link: &Rc<Link>, why: &str, ours: bool) {
        let mut inner = self.inner.borrow_mut();
        if !why.is_empty() {
            log(&format!("link to engine {} ended with {} out: {why}", link.engine, link.riders()));
        }
        let orders = inner.close_link(link, ours);
        self.wake.notify_one();
        inner.work(self, orders);
    }

    /// Wakes what is due, for good.
    pub async fn run(self: Rc<Self>) {
        loop {
            let next = self.inner.borrow_mut().due();
            let rest = next.map_or(std::time::Duration::from_secs(1), |t| span(t - now()));
            tokio::select! {
                () = tokio::time::sleep(rest) => {}
                () = self.wake.notified() => {}
            }
            self.tick();
        }
    }

    fn tick(self: &Rc<Self>) {
        let mut inner = self.inner.borrow_mut();
        if now() >= inner.next_figures {
            inner.next_figures = now() + FIGURES;
            let t = std::mem::take(&mut inner.tally);
            let (open, out) = (inner.open.len(), self.pool.out());
            if t.taken > 0 || open > 0 {
                log(&format!(
                    "figures: taken {}, served {}, refused {}, failed {}, given up {}, attempts {}, open {open}, \
                     buffers {out}",
                    t.taken, t.served, t.refused, t.failed, t.given_up, t.attempts
                ));
            }
        }
        let orders = inner.facade.tick(now());
        inner.work(self, orders);
        while let Some(&(at, id, attempt)) = inner.landing.first().filter(|l| l.0 <= now()) {
            inner.landing.remove(&(at, id, attempt));
            inner.land(self, id, attempt);
        }
        while let Some(&(at, id)) = inner.deadlines.first().filter(|d| d.0 <= now()) {
            inner.deadlines.remove(&(at, id));
            inner.expire(self, id);
        }
    }
}

impl Inner {
    /// Forgets the engines that have been gone for long enough and have no connection left.
    fn forget_gone(&mut self, list: &ListEvent) {
        let at = now();
        for i in 0..self.engines.len() {
            let engine = &mut self.engines[i];
            if list.complete {
                // What a whole list does not name is gone, too.
                engine.gone.get_or_insert(at);
            }
            if engine.links.is_empty() && engine.gone.is_some_and(|t| at - t > self.keep) {
                *engine = Engine::default();
                self.facade.forget(i);
            }
        }
    }

    fn due(&self) -> Option<Micros> {
        let deadline = self.deadlines.first().map(|d| d.0);
        let landing = self.landing.first().map(|l| l.0);
        self.facade.due().into_iter().chain(deadline).chain(landing).min()
    }

    /// Carries orders out, and those that follow from them.
    fn work(&mut self, core: &Rc<Core>, orders: Vec<Order>) {
        let mut queue = VecDeque::from(orders);
        while let Some(order) = queue.pop_front() {
            match order {
                Order::Terms(id, grant_mb, level) => {
                    let Some(entry) = self.open.get_mut(&id) else { continue };
                    if let Some(out) = entry.out.as_ref().filter(|o| !o.served && entry.level != level) {
                        let (id, n) = (format!("{id:016x}"), level.to_string());
                        out.link.command(&core.pool, &[b"bump", id.as_bytes(), n.as_bytes()]);
                    }
                    (entry.grant_mb, entry.level) = (grant_mb, level);
                }
                Order::Send(id, engine) => queue.extend(self.send(core, id, engine)),
                Order::Undo(id, attempt) => {
                    if self.undo(core, id, attempt) {
                        self.landing.insert((now() + UNDO_LEAVES, id, attempt));
                        core.wake.notify_one();
                    }
                }
                Order::Refuse(id, wait) => self.refuse(id, wait),
                Order::Fail(id, wait) => {
                    let cause = self.cause(id);
                    self.settle(id, Final::Failed(cause, wait.max(COME_BACK_LEAST)));
                }
                Order::Log(text) => log(&text),
            }
        }
    }

    fn refuse(&mut self, id: u64, wait: Micros) {
        let Some(entry) = self.open.get(&id) else { return };
        let late = entry.deadline - now() < NO_TIME;
        let cause = if late { Cause::Deadline } else { Cause::Busy };
        self.settle(id, Final::Refused(cause, wait.max(COME_BACK_LEAST)));
    }

    fn cause(&self, id: u64) -> Cause {
        let Some(entry) = self.open.get(&id) else { return Cause::Busy };
        match entry.last {
            _ if entry.deadline - now() < NO_TIME => Cause::Deadline,
            Some(End::Crashed) => Cause::Engine,
            Some(End::Broken | End::Cut) => Cause::Lost,
            Some(End::Unreachable) => Cause::Unreachable,
            Some(End::Expired) => Cause::Deadline,
            _ => Cause::Busy,
        }
    }

    /// The one place from which a final answer leaves. A second one has nowhere to go.
    fn settle(&mut self, id: u64, answer: Final) {
        let Some(entry) = self.open.get_mut(&id) else { return };
        match entry.answer.take() {
            Some(sender) => {
                match answer {
                    Final::Served(_) => self.tally.served += 1,
                    Final::Refused(..) => self.tally.refused += 1,
                    Final::Failed(..) => self.tally.failed += 1,
                }
                drop(sender.send(answer));
            }
            None => log(&format!("a second answer to {id:016x} was dropped")),
        }
        self.tidy(id);
    }

    /// Forgets a request that is answered and has nothing out.
    fn tidy(&mut self, id: u64) {
        let over = self.open.get(&id).is_some_and(|e| e.answer.is_none() && e.out.is_none());
        if let Some(entry) = over.then(|| self.open.remove(&id)).flatten() {
            self.deadlines.remove(&(entry.deadline, id));
        }
    }

    fn send(&mut self, core: &Rc<Core>, id: u64, engine: usize) -> Vec<Order> {
        let Some(entry) = self.open.get_mut(&id) else { return Vec::new() };
        let attempt = entry.sends;
        entry.sends += 1;
        self.tally.attempts += 1;
        let left = entry.deadline - now();
        let links = self.engines.iter().map(|e| e.links.len()).sum::<usize>();
        let link = match self.engines.get_mut(engine) {
            Some(e) => link_for(e, core, id, engine, links < core.terms.most_links),
            None => Err(End::Unreachable),
        };
        let Some(entry) = self.open.get_mut(&id) else { return Vec::new() };
        let link = match link {
            Ok(link) => link,
            Err(end) => return self.tell_end(id, attempt, end, Micros(0), None, Stats::default()),
        };
        let mut fields = format!("class={},wait={}", entry.class, (left.0 / 1000).max(1));
        if let Some(key) = &entry.once {
            fields.push_str(&format!(",once={key}"));
        }
        if let Some(mb) = entry.grant_mb {
            fields.push_str(&format!(",mb={}", mb.ceil().max(1.0)));
        }
        fields.push_str(&format!(",nice={}", entry.level));
        let name = format!("{id:016x}");
        let parts = [b"do", name.as_bytes(), fields.as_bytes(), &entry.statement[..]];
        if !link.send(&core.pool, id, attempt, &parts) {
            return self.tell_end(id, attempt, End::NotRun, Micros(0), None, Stats::default());
        }
        let (result, stats) = (ResultSet::default(), Stats::default());
        entry.out = Some(Out {
            attempt,
            link,
            sent: now(),
            result,
            bill: None,
            stats,
            served: false,
            undone: None,
            ends: End::Undone,
        });
        Vec::new()
    }

    /// Tells the module how an attempt ended: what came before must have taken it off `out`.
    fn tell_end(
        &mut self,
        id: u64,
        attempt: u32,
        end: End,
        latency: Micros,
        bill: Option<(f64, f64)>,
        stats: Stats,
    ) -> Vec<Order> {
        let Some(entry) = self.open.get_mut(&id) else { return Vec::new() };
        entry.last = Some(end);
        let complete = end == End::Served || entry.answer.is_none();
        let news = News::Ended { id: (id, attempt), end, latency, complete, bill, stats };
        let orders = self.facade.report(now(), news);
        self.tidy(id);
        orders
    }

    /// Ends the attempt that is out, as `end`.
    fn end(&mut self, id: u64, end: End) -> Vec<Order> {
        let Some(out) = self.open.get_mut(&id).and_then(|e| e.out.take()) else { return Vec::new() };
        out.link.release(id, end != End::Served);
        let latency = now() - out.sent;
        let orders = self.tell_end(id, out.attempt, end, latency, out.bill, out.stats);
        // One that was given up before has nobody to answer.
        if end == End::Served && self.open.get(&id).is_some_and(|e| e.answer.is_some()) {
            self.settle(id, Final::Served(out.result));
        }
        orders
    }

    /// Calls the attempt that is out off at its engine. Until the undo has landed its own end may
    /// still come, as in the simulator.
    fn undo(&mut self, core: &Rc<Core>, id: u64, attempt: u32) -> bool {
        let out = self.open.get_mut(&id).and_then(|e| e.out.as_mut());
        let Some(out) = out.filter(|o| o.attempt == attempt && o.undone.is_none()) else { return false };
        let (word, name): (&[u8], _) = (if out.served { b"forget" } else { b"undo" }, format!("{id:016x}"));
        out.link.command(&core.pool, &[word, name.as_bytes()]);
        out.undone = Some((out.link.queued(), None));
        true
    }

    /// Ends an attempt that was called off, once its undo has left and has had the time to land. Guards
    /// the rule on second copies where this side is slow: an undo that still waits for its connection,
    /// or for a turn on the processor, is overtaken by the next attempt.
    fn land(&mut self, core: &Rc<Core>, id: u64, attempt: u32) {
        let out = self.open.get_mut(&id).and_then(|e| e.out.as_mut()).filter(|o| o.attempt == attempt);
        let Some(Out { undone: Some((place, left)), link, ends, .. }) = out else { return };
        let ends = *ends;
        let wait = match *left {
            Some(at) => at + UNDO_LANDS - now(),
            None if link.gone(*place) => {
                *left = Some(now());
                UNDO_LANDS
            }
            None => UNDO_LEAVES,
        };
        if wait > Micros(0) {
            self.landing.insert((now() + wait, id, attempt));
            return;
        }
        let orders = self.end(id, ends);
        self.work(core, orders);
    }

    /// A request's time is over. The module answers before that; this is for when it did not.
    fn expire(&mut self, core: &Rc<Core>, id: u64) {
        let out = self.open.get(&id).and_then(|e| e.out.as_ref()).map(|o| o.attempt);
        if let Some(attempt) = out {
            self.undo(core, id, attempt);
            let orders = self.end(id, End::Expired);
            self.work(core, orders);
        }
        if self.open.get(&id).is_some_and(|e| e.answer.is_some()) {
            self.settle(id, Final::Failed(Cause::Deadline, COME_BACK_LEAST));
            let orders = self.facade.report(now(), News::GivenUp(id));
            self.work(core, orders);
        }
    }

    /// Ends a link and every attempt on it, each once. What was never written never ran. One break is
    /// one fault of its engine, however many were out; where this side closes, what was out counts as out
    /// until the close has landed, for the next attempt would overtake it.
    fn close_link(&mut self, link: &Rc<Link>, ours: bool) -> Vec<Order> {
        if let Some(engine) = self.engines.get_mut(link.engine) {
            engine.links.retain(|l| !Rc::ptr_eq(l, link));
        }
        let (mut orders, mut blamed, dialing) = (Vec::new(), ours, link.dialing());
        for (id, attempt, unwritten) in link.close() {
            let out = self.open.get_mut(&id).and_then(|e| e.out.as_mut());
            let out = out.filter(|o| o.attempt == attempt && Rc::ptr_eq(&o.link, link));
            let Some(out) = out else { continue };
            let end = match unwritten {
                true if dialing => End::Unreachable,
                true => End::NotRun,
                false if std::mem::replace(&mut blamed, true) => End::Cut,
                false => End::Broken,
            };
            if ours && !unwritten {
                out.ends = end;
                out.undone = Some((0, Some(now())));
                self.landing.insert((now() + UNDO_LANDS, id, attempt));
            } else {
                orders.extend(self.end(id, end));
            }
        }
        orders
    }

    fn answered(&mut self, pool: &Pool, id: u64, attempt: u32, a: &Answer) -> Result<Vec<Order>, Malformed> {
        let name = format!("{id:016x}");
        let out = self.open.get_mut(&id).and_then(|e| e.out.as_mut()).filter(|o| o.attempt == attempt);
        let Some(out) = out else { return Ok(Vec::new()) };
        let page = match a.word {
            Word::Update { how, num } => {
                let note = how.map(|how| self.facade.report(now(), News::Note(id, attempt, how, num)));
                return Ok(note.unwrap_or_default());
            }
            Word::Green => return Ok(Vec::new()),
            Word::Other => return Err(Malformed::field("word", "is not known")),
            Word::Overload | Word::Nobody if out.served => return Ok(Vec::new()),
            Word::Overload | Word::Crashed | Word::Nobody => {
                out.stats = a.stats;
                let end = match a.word {
                    Word::Overload => End::Overload,
                    Word::Nobody => End::NotRun,
                    _ => End::Crashed,
                };
                return Ok(self.end(id, end));
            }
            // Its further pages went with the undo.
            Word::Served { pages } if out.undone.is_some() && pages > 1 => {
                out.link.command(pool, &[b"forget", name.as_bytes()]);
                return Ok(Vec::new());
            }
            // A second copy.
            Word::Served { .. } if out.served => return Ok(Vec::new()),
            Word::Served { .. } => 0,
            Word::Rows { .. } if out.undone.is_some() || !out.served => return Ok(Vec::new()),
            Word::Rows { page } => match out.result.pages.get(page) {
                Some(None) => page,
                Some(Some(_)) => return Ok(Vec::new()),
                None => return Err(Malformed::field("batch", "is out of place")),
            },
        };
        if a.body.len() > PAGE || !resp::is_page(a.body) {
            return Err(Malformed::field("body", "is no page of whole rows"));
        }
        if out.result.len() + a.body.len() > MOST_RESULT {
            return Err(Malformed::field("body", "makes the result longer than any may be"));
        }
        if let Word::Served { pages } = a.word {
            (out.served, out.stats, out.bill) = (true, a.stats, a.bill);
            out.result.pages = vec![None; pages];
            for n in 1..pages {
                let n = n.to_string();
                out.link.command(pool, &[b"page", name.as_bytes(), n.as_bytes()]);
            }
        }
        if !out.result.put(pool, page, a.body) {
            out.link.command(pool, &[b"forget", name.as_bytes()]);
            return Ok(self.end(id, End::Cut));
        }
        let whole = out.result.pages.iter().all(Option::is_some);
        Ok(if whole { self.end(id, End::Served) } else { Vec::new() })
    }
}

/// A link of an engine with room for a request: the fullest, so that others fall idle; or a new one.
fn link_for(e: &mut Engine, core: &Rc<Core>, id: u64, engine: usize, more: bool) -> Result<Rc<Link>, End> {
    let open = e.links.iter().filter(|l| l.takes(id, &core.terms));
    if let Some(link) = open.max_by_key(|l| (!l.dialing(), l.riders())) {
        return Ok(Rc::clone(link));
    }
    let address = e.address.ok_or(End::Unreachable)?;
    // Descriptors are kept back for both sides: neither may take the other's.
    if e.links.len() >= core.terms.most || !more {
        return Err(End::NotRun);
    }
    let link = Link::new(engine, address);
    e.links.push(Rc::clone(&link));
    tokio::task::spawn_local(links::run(Rc::clone(core), Rc::clone(&link)));
    Ok(link)
}

fn log(text: &str) {
    let at = now();
    println!("{}.{:03} {text}", at.0 / 1_000_000, at.0 / 1000 % 1000);
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::proto::events::Member;
    use sprucelink_policy::interface::*;
    use std::time::Duration;
    use tokio::net::TcpListener;

    fn settings() -> Settings {
        let class = ClassSettings {
            worth: 1.0,
            late_worth: 0.5,
            aim: Micros(1_000),
            aim_stretch: 0.0,
            deadline: Micros(20_000_000),
            effect: Effect::Safe,
            group: DedupGroup::All,
            repeat_window: Micros(0),
            in_turn: false,
            threads: 1.0,
            load: false,
            kinds: None,
            zones: None,
        };
        let (kind_cores, cancel, max_attempts) = (vec![8.0], true, 6);
        Settings { classes: vec![class], kind_cores, cancel, max_attempts, ..Settings::default() }
    }

    /// A core with two engines that accept connections and say nothing.
    async fn core() -> (Rc<Core>, Vec<TcpListener>) {
        let dial = Micros(5_000_000);
        let terms =
            Terms { streams: 32, dial, idle: Micros(15_000_000), notes: Micros(0), most: 4, most_links: 8 };
        let core = Core::new(settings(), 7, [Vec::new(), Vec::new()], terms, Pool::new(64));
        let (mut members, mut listeners) = (Vec::new(), Vec::new());
        for id in ["s-1", "s-2"] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address").to_string();
            let (zone, kind) = (String::new(), String::new());
            let (id, phase, cell, up_since_ms) = (id.to_owned(), Phase::Ready, 0, 0);
            members.push(Member { id, address, zone, kind, cell, phase, up_since_ms });
            listeners.push(listener);
        }
        core.on_list(&ListEvent { n: 1, complete: true, members }, true);
        (core, listeners)
    }

    fn request(core: &Core, id: u64) -> Request {
        let (cost_ms, left) = (Some(1.0), Micros(20_000_000));
        let asked = Asked { id, class: 0, tenant: 0, tables: 1, left, cost_ms, memory_mb: None };
        let statement = core.pool().get().expect("a buffer");
        Request { asked, class: "c".into(), once: None, statement }
    }

    fn local<T>(test: impl std::future::Future<Output = T>) -> T {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, test)
    }

    /// Guards against two copies of one request: on the bench the next attempt left a median 26 us
    /// after the undo, by another path, and now and then overtook it.
    #[test]
    fn an_attempt_called_off_is_out_until_its_undo_has_landed() {
        local(async {
            let (core, _engines) = core().await;
            let _ticket = core.take(request(&core, 1)).expect("taken");
            let link = {
                let inner = core.inner.borrow();
                let out = inner.open[&1].out.as_ref().expect("an attempt is out");
                Rc::clone(&out.link)
            };
            tokio::time::sleep(Duration::from_millis(50)).await;
            // Hardly begun long after the wanted time: the module calls it off.
            let note: [&[u8]; 3] = [b"0000000000000001", b"update", b"how=so_far,num=0.0"];
            core.on_answer(&link, &note).expect("understood");
            {
                let inner = core.inner.borrow();
                assert!(inner.open[&1].out.as_ref().expect("still out").undone.is_some());
                assert_eq!(inner.open[&1].sends, 1, "sent again before the undo has landed");
            }
            tokio::task::spawn_local(Rc::clone(&core).run());
            for _ in 0..1000 {
                tokio::time::sleep(Duration::from_millis(5)).await;
                if core.inner.borrow().open[&1].sends == 2 {
                    return;
                }
            }
            panic!("never sent again");
        });
    }

    /// Guards against two copies where this side is slow: the undo waits for its connection, so the
    /// next attempt waits for the undo.
    #[test]
    fn an_undo_that_has_not_left_has_not_landed() {
        local(async {
            let (core, _engines) = core().await;
            let _ticket = core.take(request(&core, 1)).expect("taken");
            let stuck = Link::new(0, "127.0.0.1:9".parse().expect("an address"));
            let (attempt, place) = {
                let mut inner = core.inner.borrow_mut();
                let out = inner.open.get_mut(&1).and_then(|e| e.out.as_mut()).expect("out");
                stuck.command(&core.pool, &[b"undo"]);
                out.undone = Some((stuck.queued(), None));
                out.link = Rc::clone(&stuck);
                (out.attempt, stuck.queued())
            };
            let lands = || {
                core.inner.borrow_mut().land(&core, 1, attempt);
                core.inner.borrow().open[&1].out.as_ref().is_none_or(|o| o.attempt != attempt)
            };
            assert!(!lands() && !stuck.gone(place));
            tokio::time::sleep(Duration::from_millis(30)).await;
            assert!(!lands(), "it is still in the queue");
            stuck.close();
            assert!(!lands(), "it has left only now");
            tokio::time::sleep(Duration::from_millis(30)).await;
            assert!(lands());
        });
    }

    /// Guards memory and time per request on long days: engines come under new ids for ever, and each took
    /// a number that every decision looked at from then on.
    #[test]
    fn engines_that_are_gone_make_room_for_new_ones() {
        local(async {
            let (core, engines) = core().await;
            core.inner.borrow_mut().keep = Micros(0);
            let address = engines[0].local_addr().expect("an address").to_string();
            let member = |id: u64, phase: Phase| Member {
                id: format!("e-{id}"),
                address: address.clone(),
                zone: String::new(),
                kind: String::new(),
                cell: 0,
                phase,
                up_since_ms: 0,
            };
            for n in 2..500 {
                let members = vec![member(n - 1, Phase::Gone), member(n, Phase::Ready)];
                core.on_list(&ListEvent { n, complete: false, members }, false);
                tokio::time::sleep(Duration::from_micros(10)).await;
            }
            assert!(core.inner.borrow().engines.len() < 10, "{}", core.inner.borrow().engines.len());
            // A whole list that names one only: the others go, and what it names is used.
            let members = vec![member(499, Phase::Ready)];
            core.on_list(&ListEvent { n: 500, complete: true, members }, false);
            let _ticket = core.take(request(&core, 1)).expect("taken");
            let mut inner = core.inner.borrow_mut();
            let number = inner.facade.engine("e-499");
            assert_eq!(inner.open[&1].out.as_ref().expect("out").link.engine, number);
        });
    }

    /// Guards the one final answer: a second one has nowhere to go, whoever words it.
    #[test]
    fn a_request_is_answered_once() {
        local(async {
            let (core, _engines) = core().await;
            let mut ticket = core.take(request(&core, 1)).expect("taken");
            assert!(core.take(request(&core, 1)).is_none(), "an open id is not taken twice");
            {
                let mut inner = core.inner.borrow_mut();
                inner.settle(1, Final::Refused(Cause::Busy, Micros(5)));
                inner.settle(1, Final::Failed(Cause::Lost, Micros(5)));
            }
            assert!(matches!(ticket.wait().await, Final::Refused(Cause::Busy, _)));
            let mut other = request(&core, 1);
            other.statement.extend_from_slice(b"SELECT 2");
            assert!(core.take(other).is_none(), "nor one that was another statement's");
            let (mut past, late) = (Past::default(), Micros(PAST.0 + 1));
            assert!(past.note(1, b"a", Micros(0)) && past.note(1, b"a", PAST), "its client's second try");
            assert!(!past.note(1, b"b", PAST) && past.note(1, b"b", late));
            (2..2 * MOST_PAST as u64).for_each(|id| assert!(past.note(id, b"", late)));
            assert!(past.order.len() <= MOST_PAST && past.marks.len() <= MOST_PAST);
        });
    }

    /// Guards against a late answer to an old attempt that is taken for one to the new.
    #[test]
    fn a_link_does_not_carry_a_request_again_that_was_undone_on_it() {
        local(async {
            let (core, _engines) = core().await;
            let link = Link::new(0, "127.0.0.1:9".parse().expect("an address"));
            assert!(link.send(core.pool(), 5, 0, &[b"do"]));
            link.release(5, true);
            assert!(!link.takes(5, core.terms()) && link.takes(6, core.terms()));
        });
    }

    /// Guards the rule on drains: an attempt that waited for its connection would go out after the
    /// word. It never left, so it goes elsewhere as a further attempt.
    #[test]
    fn what_waits_for_a_connection_to_a_draining_engine_goes_elsewhere() {
        local(async {
            let (core, engines) = core().await;
            let _ticket = core.take(request(&core, 1)).expect("taken");
            let engine = |core: &Core| core.inner.borrow().open[&1].out.as_ref().expect("out").link.engine;
            let first = engine(&core);
            let member = Member {
                id: format!("s-{}", first + 1),
                address: engines[first].local_addr().expect("an address").to_string(),
                zone: String::new(),
                kind: String::new(),
                cell: 0,
                phase: Phase::Draining,
                up_since_ms: 0,
            };
            core.on_list(&ListEvent { n: 2, complete: false, members: vec![member] }, false);
            assert_eq!(engine(&core), 1 - first);
            assert_eq!(core.inner.borrow().open[&1].sends, 2);
            // The event comes again after a reconnect: it is passed over.
            let again = ListEvent { n: 2, complete: true, members: Vec::new() };
            core.on_list(&again, false);
            assert_eq!(engine(&core), 1 - first);
        });
    }

    /// Guards against machines that vanished: their connections stay open and take all that comes.
    #[test]
    fn a_link_that_owes_notes_takes_nothing_new() {
        local(async {
            let (core, _engines) = core().await;
            let link = Link::new(0, "127.0.0.1:9".parse().expect("an address"));
            assert!(link.send(core.pool(), 5, 0, &[b"do"]));
            let noting = Terms { notes: Micros(1_000), ..*core.terms() };
            tokio::time::sleep(Duration::from_millis(20)).await;
            assert!(!link.takes(6, &noting), "three notes are missing");
            assert!(link.takes(6, core.terms()), "where there are no notes none is missed");
            link.release(5, false);
            assert!(link.takes(6, &noting), "nothing is out, so nothing is owed");
        });
    }

    /// Guards the memory limit: an empty pool means no, and what comes back is used again.
    #[test]
    fn the_pool_has_a_bound_and_a_send_without_a_buffer_never_ran() {
        let pool = Pool::new(1);
        let held = pool.get().expect("the only one");
        assert!(pool.get().is_none());
        let link = Link::new(0, "127.0.0.1:9".parse().expect("an address"));
        assert!(!link.send(&pool, 1, 0, &[b"do"]) && link.riders() == 0);
        // An undo is said all the same: unsaid, its attempt would run on beside the next one.
        link.command(&pool, &[b"undo"]);
        assert!(link.queued() > 0 && !link.gone(link.queued()));
        drop(held);
        assert!(link.send(&pool, 1, 0, &[b"do"]));
        assert_eq!(link.close(), [(1, 0, true)], "never written: it never ran");
    }

    #[test]
    fn rows_come_back_in_order_over_pages_and_buffers() {
        let pool = Pool::new(3);
        let mut set = ResultSet { bufs: Vec::new(), pages: vec![None; 13] };
        for page in (0..13).rev() {
            assert!(set.put(&pool, page, format!("{page}\ta\n{page}\tb\n").as_bytes()));
        }
        let (mut at, mut seen) = ((0, 0), Vec::new());
        while let Some((row, next)) = set.row(at) {
            seen.push(String::from_utf8_lossy(row).into_owned());
            at = next;
        }
        let wanted: Vec<String> = (0..13).flat_map(|p| [format!("{p}\ta"), format!("{p}\tb")]).collect();
        assert_eq!(seen, wanted);
    }
}
