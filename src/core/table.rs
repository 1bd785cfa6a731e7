//! The table of requests: every request taken gets its one final answer here, whichever front
//! took it, and every attempt its one end.

use super::facade::{Asked, End, Facade, News, Order};
use super::links::{self, Link, Terms};
use super::pool::{Buf, Pool, SIZE};
use super::{now, span};
use crate::interface::{Micros, Settings};
use crate::proto::events::{ListEvent, Phase};
use crate::proto::resp::{Answer, Stats, Word};
use crate::proto::Malformed;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// Room for one page in a result's buffer; none is longer than 6,000 bytes.
const SLOT: usize = 6_000;
const SLOTS: usize = SIZE / SLOT;
/// Pages of a result: 48,000 bytes in whole rows come nowhere near.
const MOST_PAGES: usize = 64;
/// Longest statement; its command fits a buffer.
pub const MOST_STATEMENT: usize = SIZE - 2_048;
/// Before its deadline by less than this a refusal is one for lack of time.
const NO_TIME: Micros = Micros(60_000);
/// Advice to come back is never shorter: a client that returns at once meets the same jam.
const COME_BACK_LEAST: Micros = Micros(100_000);

/// A result, whole.
#[derive(Debug, Default)]
pub struct ResultSet {
    bufs: Vec<Buf>,
    lens: Vec<Option<usize>>,
}

impl ResultSet {
    fn put(&mut self, pool: &Pool, page: usize, body: &[u8]) -> bool {
        while self.bufs.len() <= page / SLOTS {
            let Some(mut buf) = pool.get() else { return false };
            buf.resize(SIZE, 0);
            self.bufs.push(buf);
        }
        let at = page % SLOTS * SLOT;
        self.bufs[page / SLOTS][at..at + body.len()].copy_from_slice(body);
        self.lens[page] = Some(body.len());
        true
    }

    /// The row at a place, without its line feed, and the place behind it. A place is a page and a
    /// byte in it; a result begins at (0, 0).
    pub fn row(&self, (mut page, mut byte): (usize, usize)) -> Option<(&[u8], (usize, usize))> {
        loop {
            let len = self.lens.get(page).copied()?.unwrap_or(0);
            if byte < len {
                let at = page % SLOTS * SLOT;
                let rest = &self.bufs[page / SLOTS][at + byte..at + len];
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
}

struct Inner {
    facade: Facade,
    open: BTreeMap<u64, Entry>,
    deadlines: BTreeSet<(Micros, u64)>,
    engines: Vec<Engine>,
    last_event: u64,
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
        let facade = Facade::new(set, seed, zones, kinds, now());
        let (open, deadlines, engines) = (BTreeMap::new(), BTreeSet::new(), Vec::new());
        let inner = Inner { facade, open, deadlines, engines, last_event: 0, seed };
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

    /// Takes a request. `None` if one with its id is open.
    pub fn take(self: &Rc<Self>, request: Request) -> Option<Ticket> {
        let mut inner = self.inner.borrow_mut();
        let (id, at) = (request.asked.id, now());
        if inner.open.contains_key(&id) {
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
        let orders = inner.facade.pick(at, &request.asked);
        inner.work(self, orders);
        self.wake.notify_one();
        Some(Ticket { core: Rc::clone(self), id, answer })
    }

    fn give_up(self: &Rc<Self>, id: u64) {
        let mut inner = self.inner.borrow_mut();
        let Some(entry) = inner.open.get_mut(&id) else { return };
        if entry.answer.take().is_some() {
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
            if member.phase != Phase::Ready {
                // Guards the rule on drains: what waits for a connection would go out after the word.
                let dialing: Vec<_> = engine.links.iter().filter(|l| l.dialing()).cloned().collect();
                for link in dialing {
                    orders.extend(inner.close_link(&link));
                }
            }
            log(&format!("engine {} is {:?} at {}", member.id, member.phase, member.address));
        }
        inner.work(self, orders);
        self.wake.notify_one();
    }

    /// An engine answered.
    pub fn on_answer(self: &Rc<Self>, link: &Link, answer: &Answer) -> Result<(), Malformed> {
        let text = std::str::from_utf8(answer.id).ok().filter(|t| t.len() == 16);
        let id = text.and_then(|t| u64::from_str_radix(t, 16).ok());
        let id = id.ok_or_else(|| Malformed::field("id", "is not 16 hex digits"))?;
        let mut inner = self.inner.borrow_mut();
        let orders = inner.answered(&self.pool, link, id, answer)?;
        inner.work(self, orders);
        Ok(())
    }

    /// A link has ended.
    pub fn on_link_down(self: &Rc<Self>, link: &Rc<Link>, why: &str) {
        let mut inner = self.inner.borrow_mut();
        if !why.is_empty() {
            log(&format!("link to engine {} ended with {} out: {why}", link.engine, link.riders()));
        }
        let orders = inner.close_link(link);
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
        let orders = inner.facade.tick(now());
        inner.work(self, orders);
        while let Some(&(at, id)) = inner.deadlines.first().filter(|d| d.0 <= now()) {
            inner.deadlines.remove(&(at, id));
            inner.expire(self, id);
        }
    }
}

impl Inner {
    fn due(&self) -> Option<Micros> {
        let deadline = self.deadlines.first().map(|d| d.0);
        self.facade.due().into_iter().chain(deadline).min()
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
                Order::Undo(id, attempt) => queue.extend(self.undo(&core.pool, id, attempt, End::Undone)),
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
            Some(End::Broken) => Cause::Lost,
            Some(End::Unreachable) => Cause::Unreachable,
            Some(End::Expired) => Cause::Deadline,
            _ => Cause::Busy,
        }
    }

    /// The one place from which a final answer leaves. A second one has nowhere to go.
    fn settle(&mut self, id: u64, answer: Final) {
        let Some(entry) = self.open.get_mut(&id) else { return };
        match entry.answer.take() {
            Some(sender) => drop(sender.send(answer)),
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
        let left = entry.deadline - now();
        let link = match self.engines.get_mut(engine) {
            Some(e) => link_for(e, core, id, engine),
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
        entry.out = Some(Out { attempt, link, sent: now(), result, bill: None, stats, served: false });
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
        out.link.release(id, matches!(end, End::Undone | End::Expired));
        let latency = now() - out.sent;
        let orders = self.tell_end(id, out.attempt, end, latency, out.bill, out.stats);
        if end == End::Served {
            self.settle(id, Final::Served(out.result));
        }
        orders
    }

    /// Calls the attempt that is out off at its engine, and ends it.
    fn undo(&mut self, pool: &Pool, id: u64, attempt: u32, end: End) -> Vec<Order> {
        let out = self.open.get(&id).and_then(|e| e.out.as_ref());
        let Some(out) = out.filter(|o| o.attempt == attempt) else { return Vec::new() };
        let (word, name): (&[u8], _) = (if out.served { b"forget" } else { b"undo" }, format!("{id:016x}"));
        out.link.command(pool, &[word, name.as_bytes()]);
        self.end(id, end)
    }

    /// A request's time is over. The module answers before that; this is for when it did not.
    fn expire(&mut self, core: &Rc<Core>, id: u64) {
        let out = self.open.get(&id).and_then(|e| e.out.as_ref()).map(|o| o.attempt);
        if let Some(attempt) = out {
            let orders = self.undo(&core.pool, id, attempt, End::Expired);
            self.work(core, orders);
        }
        if self.open.get(&id).is_some_and(|e| e.answer.is_some()) {
            self.settle(id, Final::Failed(Cause::Deadline, COME_BACK_LEAST));
            let orders = self.facade.report(now(), News::GivenUp(id));
            self.work(core, orders);
        }
    }

    fn close_link(&mut self, link: &Rc<Link>) -> Vec<Order> {
        if let Some(engine) = self.engines.get_mut(link.engine) {
            engine.links.retain(|l| !Rc::ptr_eq(l, link));
        }
        let mut orders = Vec::new();
        for (id, attempt, unwritten) in link.close() {
            let out = self.open.get(&id).and_then(|e| e.out.as_ref());
            if out.is_some_and(|o| o.attempt == attempt && Rc::ptr_eq(&o.link, link)) {
                orders.extend(self.end(id, if unwritten { End::Unreachable } else { End::Broken }));
            }
        }
        orders
    }

    fn answered(&mut self, pool: &Pool, link: &Link, id: u64, a: &Answer) -> Result<Vec<Order>, Malformed> {
        let name = format!("{id:016x}");
        let Some(attempt) = link.attempt(id) else {
            // A late answer to an attempt that has ended: its pages are not wanted.
            if matches!(a.word, Word::Served { pages } if pages > 1) {
                link.command(pool, &[b"forget", name.as_bytes()]);
            }
            return Ok(Vec::new());
        };
        let out = self.open.get_mut(&id).and_then(|e| e.out.as_mut()).filter(|o| o.attempt == attempt);
        let Some(out) = out else { return Ok(Vec::new()) };
        if a.body.len() > SLOT {
            return Err(Malformed::field("body", "is longer than a page may be"));
        }
        let page = match a.word {
            Word::Update { how, num } => {
                let note = how.map(|how| self.facade.report(now(), News::Note(id, attempt, how, num)));
                return Ok(note.unwrap_or_default());
            }
            Word::Green | Word::Other => return Ok(Vec::new()),
            Word::Overload | Word::Crashed | Word::Nobody => {
                out.stats = a.stats;
                let end = match a.word {
                    Word::Overload => End::Overload,
                    Word::Nobody => End::NotRun,
                    _ => End::Crashed,
                };
                return Ok(self.end(id, end));
            }
            Word::Served { pages } if !out.served && (1..=MOST_PAGES).contains(&pages) => {
                (out.served, out.stats, out.bill) = (true, a.stats, a.bill);
                out.result.lens = vec![None; pages];
                for n in 1..pages {
                    let n = n.to_string();
                    out.link.command(pool, &[b"page", name.as_bytes(), n.as_bytes()]);
                }
                0
            }
            Word::Rows { page } if out.served && (1..out.result.lens.len()).contains(&page) => page,
            _ => return Err(Malformed::field("batch", "is out of place")),
        };
        if !out.result.put(pool, page, a.body) {
            out.link.command(pool, &[b"forget", name.as_bytes()]);
            return Ok(self.end(id, End::Crashed));
        }
        let whole = out.result.lens.iter().all(Option::is_some);
        Ok(if whole { self.end(id, End::Served) } else { Vec::new() })
    }
}

/// A link of an engine with room for a request: the fullest, so that others fall idle; or a new one.
fn link_for(e: &mut Engine, core: &Rc<Core>, id: u64, engine: usize) -> Result<Rc<Link>, End> {
    let open = e.links.iter().filter(|l| l.takes(id, &core.terms));
    if let Some(link) = open.max_by_key(|l| (!l.dialing(), l.riders())) {
        return Ok(Rc::clone(link));
    }
    let address = e.address.ok_or(End::Unreachable)?;
    if e.links.len() >= core.terms.most {
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
