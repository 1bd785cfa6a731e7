//! The table of requests: every request taken gets its one final answer here, whichever front
//! took it, and every attempt its one end.

use super::attempts::{InFlightAttempt, UNDO_LEAVES};
use super::buffer_pool::{Buffer, BufferPool, SIZE};
use super::engine_connection::{ConnectionLimits, Withdrawal};
use super::engines::Engine;
use super::facade::{AttemptOutcome, PolicyCommand, PolicyDriver, PolicyEvent, RequestSpec};
use super::gossip_facts::GossipFacts;
use super::recent_requests::RecentRequests;
use super::result_buffer::ResultSet;
use super::send_guard::SendGuard;
use super::zone_routing::ZoneRouting;
use super::{now, span};
use sprucelink_capture::recorder::Recorder;
use sprucelink_cordon::{CordonLimits, CordonState};
use sprucelink_membership::facts::Facts;
use sprucelink_metrics::{Metrics, Taken};
use sprucelink_policy::{Settings, TimeDelta, Timestamp};
use sprucelink_startup::admission::WarmAdmission;
use sprucelink_startup::dials::DialStager;
use sprucelink_startup::held::HeldList;
use sprucelink_startup::ready::Readiness;
use sprucelink_startup::settings::ColdStart;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};
use tracing::{error, info, warn};

/// Longest statement; its command fits a buffer.
pub const MOST_STATEMENT: usize = SIZE - 2_048;
/// Before its deadline by less than this a refusal is one for lack of time.
const NO_TIME: TimeDelta = TimeDelta::from_micros(60_000);
/// Between two lines of figures.
const FIGURES: TimeDelta = TimeDelta::from_micros(10_000_000);
/// Advice to come back is never shorter: a client that returns at once meets the same jam.
const COME_BACK_LEAST: TimeDelta = TimeDelta::from_micros(100_000);
/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
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
pub enum Response {
    /// Served.
    Served(ResultSet),
    /// Refused: a repeat does no harm.
    Refused(RejectReason, TimeDelta),
    /// Failed: it may have run.
    Failed(RejectReason, TimeDelta),
}

/// What a front asks for.
#[derive(Debug)]
pub struct Request {
    /// What the module is told.
    pub asked: RequestSpec,
    /// The class, by name.
    pub class: String,
    /// The idempotency key.
    pub once: Option<String>,
    /// The statement.
    pub statement: Buffer,
}

pub(super) struct PendingRequest {
    pub(super) class: String,
    /// The class, by number.
    pub(super) class_number: usize,
    pub(super) once: Option<String>,
    pub(super) statement: Buffer,
    pub(super) taken: Timestamp,
    /// The client's estimate, or 0.
    pub(super) cost_ms: f64,
    pub(super) deadline: Timestamp,
    pub(super) grant_mb: Option<f64>,
    pub(super) level: u8,
    pub(super) sends: u32,
    pub(super) out: Option<InFlightAttempt>,
    pub(super) last: Option<AttemptOutcome>,
    /// When the first attempt that may have run was sent.
    pub(super) may_have_run: Option<Timestamp>,
    pub(super) answer: Option<oneshot::Sender<Response>>,
    /// In the figures, until it has ended.
    pub(super) counted: Option<Taken>,
}

/// What became of requests since the last line of figures.
#[derive(Default)]
pub(super) struct RequestCounters {
    pub(super) taken: u32,
    pub(super) served: u32,
    pub(super) refused: u32,
    pub(super) failed: u32,
    pub(super) given_up: u32,
    pub(super) attempts: u32,
}

pub(super) struct RequestTable {
    pub(super) facade: PolicyDriver,
    pub(super) tally: RequestCounters,
    pub(super) next_figures: Timestamp,
    pub(super) open: BTreeMap<u64, PendingRequest>,
    pub(super) deadlines: BTreeSet<(Timestamp, u64)>,
    /// Attempts called off whose undo is on its way, by when it has landed.
    pub(super) landing: BTreeSet<(Timestamp, u64, u32)>,
    /// What an attempt must still be fit for when it leaves.
    pub(super) gate: SendGuard,
    pub(super) engines: Vec<Engine>,
    pub(super) last_event: u64,
    /// The highest revision of the list that was told; it outlives the engines that it named.
    pub(super) revision: u64,
    /// An engine is remembered for so long after it has gone: no request is open for longer.
    pub(super) keep: TimeDelta,
    pub(super) past: RecentRequests,
    pub(super) seed: u64,
    /// Events that the recorder had lost when that was last said.
    pub(super) capture_lost: u64,
    /// The cold start's dials and readiness, where it is on.
    pub(super) cold: Option<StartupControl>,
    /// What is told to other managers, where they keep a view of the fleet.
    pub(super) shared: Option<GossipFacts>,
    /// Managers of the fleet, and what the others leave of their further attempts.
    fleet: (u32, f64),
    /// Processes of this manager.
    parts: u32,
    /// Which engines are cordoned at this manager, and by whom.
    pub(super) cordons: CordonState,
    /// Failover between zones, where it is on.
    pub(super) failover: Option<ZoneRouting>,
}

/// What the cold start decides in the core: when new connections may be dialled, what is taken in hand while it
/// warms, what a list may change of the one held, and when it is ready.
pub(super) struct StartupControl {
    pub(super) dials: DialStager,
    pub(super) admission: WarmAdmission,
    pub(super) held: HeldList,
    pub(super) ready: Readiness,
}

/// The core: what both fronts stand on.
pub struct Core {
    pub(super) inner: RefCell<RequestTable>,
    pool: BufferPool,
    terms: ConnectionLimits,
    pub(super) wake: Notify,
    figures: Metrics,
}

/// A request that was taken. Dropped before its answer, it is given up.
pub struct RequestHandle {
    core: Rc<Core>,
    id: u64,
    answer: oneshot::Receiver<Response>,
    /// Its client is told so: it counts among the failed.
    cancelled: bool,
}

impl RequestHandle {
    /// Its client has called it off, and hears that as its answer.
    pub fn cancel(mut self) {
        self.cancelled = true;
    }

    /// The final answer.
    pub async fn wait(&mut self) -> Response {
        // The sender lives in the table until it is used: it cannot be lost before.
        (&mut self.answer).await.unwrap_or(Response::Failed(RejectReason::Lost, COME_BACK_LEAST))
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.core.give_up(self.id, self.cancelled);
    }
}

impl Core {
    /// A core that knows no engine yet.
    pub fn new(
        set: Settings,
        seed: u64,
        names: [Vec<String>; 2],
        terms: ConnectionLimits,
        pool: BufferPool,
        figures: Metrics,
    ) -> Rc<Core> {
        let [zones, kinds] = names;
        let keep = set.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let fleet = (set.gateways, set.spare);
        let gate = SendGuard::new(&set);
        let facade = PolicyDriver::new(set, seed, zones, kinds, now());
        let (open, deadlines, landing) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        let (tally, next_figures) = (RequestCounters::default(), now() + FIGURES);
        let inner = RequestTable {
            facade,
            tally,
            next_figures,
            open,
            deadlines,
            landing,
            gate,
            engines: Vec::new(),
            last_event: 0,
            revision: 0,
            keep,
            past: RecentRequests::default(),
            seed,
            capture_lost: 0,
            cold: None,
            shared: None,
            fleet,
            parts: 1,
            cordons: CordonState::new(CordonLimits::default()),
            failover: None,
        };
        Rc::new(Core { inner: RefCell::new(inner), pool, terms, wake: Notify::new(), figures })
    }

    /// Switches the cold start on for dials, admission, lists and readiness: `name` is this manager's, as told.
    /// To be called before the first list, so that what is held is known from the start.
    pub fn cold_start(&self, set: &ColdStart, name: &str) {
        let mut inner = self.inner.borrow_mut();
        let mut cold = StartupControl {
            dials: DialStager::new(set.dials, name, now()),
            admission: WarmAdmission::new(set.admission, inner.seed, now()),
            held: HeldList::new(set.held),
            ready: Readiness::new(set.ready, now()),
        };
        cold.ready.listed(inner.listed());
        inner.cold = Some(cold);
        drop(inner);
        self.wake.notify_one();
    }

    /// The feed answered a call.
    pub fn fed(&self) {
        if let Some(cold) = &mut self.inner.borrow_mut().cold {
            cold.ready.fed();
        }
    }

    /// A connection to an engine came up.
    pub fn linked(&self) {
        if let Some(cold) = &mut self.inner.borrow_mut().cold {
            cold.ready.linked();
        }
    }

    /// Says once, when it is so, that this manager is ready; when to look again.
    fn look_ready(&self) -> Option<Timestamp> {
        let mut inner = self.inner.borrow_mut();
        let cold = inner.cold.as_mut()?;
        if let Some(r) = cold.ready.look(now()) {
            let (after, staged) = (r.after.as_secs_f64(), cold.dials.staged());
            let turned_away = cold.admission.refused();
            info!(
                after,
                feed = r.feed,
                link = r.link,
                engines = r.engines,
                staged,
                turned_away,
                "ready after {after:.3} s: feed {}, link {}, {} engines, {staged} dials staged, {turned_away} turned away",
                if r.feed { "answered" } else { "not yet" },
                if r.link { "up" } else { "not yet" },
                r.engines
            );
        }
        cold.ready.next_look()
    }

    /// From now on this manager counts what it tells others: over the ration's span, that of cold budgets, and for
    /// engines cold for so long.
    pub fn share(&self, ration: TimeDelta, cold: TimeDelta, cold_for: TimeDelta) {
        self.inner.borrow_mut().shared = Some(GossipFacts::new(ration, cold, cold_for));
    }

    /// What it tells others as of now; `None` where nothing is counted.
    pub fn facts(&self) -> Option<Facts> {
        let mut inner = self.inner.borrow_mut();
        let silent = inner.silent_engines();
        inner.shared.as_mut().map(|s| s.facts(now(), silent))
    }

    /// The fleet's view has changed: among how many managers the module parts what is shared, and what the others
    /// leave of their further attempts.
    pub fn fleet(self: &Rc<Self>, gateways: u32, spare: f64) {
        self.inner.borrow_mut().fleet = (gateways, spare);
        self.tell_fleet();
    }

    /// Among how many processes this manager's own part is shared.
    pub fn parted(self: &Rc<Self>, parts: u32) {
        self.inner.borrow_mut().parts = parts.max(1);
        self.tell_fleet();
    }

    fn tell_fleet(self: &Rc<Self>) {
        let mut inner = self.inner.borrow_mut();
        let (gateways, spare) = inner.fleet;
        let news = PolicyEvent::Fleet(gateways.saturating_mul(inner.parts), spare);
        let orders = inner.facade.report(now(), news);
        inner.work(self, orders);
        self.wake.notify_one();
    }

    /// The pool of buffers.
    pub fn pool(&self) -> &BufferPool {
        &self.pool
    }
    /// The figures: what is counted here, and what others count beside it.
    pub fn figures(&self) -> &Metrics {
        &self.figures
    }
    /// What the settings say of connections.
    pub fn terms(&self) -> &ConnectionLimits {
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
    /// A number that this life has not given out before, short of chance.
    pub fn draw(&self) -> u64 {
        let mut inner = self.inner.borrow_mut();
        inner.seed = inner.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = inner.seed ^ (now().as_micros() as u64).rotate_left(32);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Records what the deciding part is told and answers from now on; `None` ends that, and waits a little for
    /// the writer.
    pub fn record(&self, recorder: Option<Recorder>) {
        let old = {
            let mut inner = self.inner.borrow_mut();
            inner.capture_lost = 0;
            inner.facade.record(recorder)
        };
        drop(old);
    }

    /// Takes a request. `None` if its id is open, or was another statement's not long ago.
    pub fn take(self: &Rc<Self>, mut request: Request) -> Option<RequestHandle> {
        let mut inner = self.inner.borrow_mut();
        let (id, at) = (request.asked.id, now());
        if inner.open.contains_key(&id) || !inner.past.note(id, &request.statement, at) {
            return None;
        }
        let (sender, answer) = oneshot::channel();
        let deadline = inner.gate.answer_by(at + request.asked.left);
        request.asked.left = deadline - at;
        inner.gate.took(at);
        inner.deadlines.insert((deadline, id));
        let entry = PendingRequest {
            class: request.class,
            class_number: request.asked.class,
            once: request.once,
            statement: request.statement,
            taken: at,
            cost_ms: request.asked.cost_ms.unwrap_or(0.0),
            deadline,
            grant_mb: None,
            level: 1,
            sends: 0,
            out: None,
            last: None,
            may_have_run: None,
            answer: Some(sender),
            counted: Some(self.figures.take(request.asked.class)),
        };
        let in_hand = inner.open.len();
        inner.open.insert(id, entry);
        inner.tally.taken += 1;
        if let Some(shared) = &mut inner.shared {
            shared.took(at);
        }
        // What a start does not take in hand yet is refused before the module hears of it: it is told of none
        // that it does not decide on.
        let closed = inner.gate.closed(at).then_some(COME_BACK_LEAST);
        let over = closed.or_else(|| inner.cold.as_mut().and_then(|c| c.admission.admit(at, in_hand).err()));
        let orders = match over {
            Some(wait) => vec![PolicyCommand::Refuse(id, wait)],
            None => inner.facade.pick(at, &request.asked),
        };
        inner.work(self, orders);
        self.wake.notify_one();
        Some(RequestHandle { core: Rc::clone(self), id, answer, cancelled: false })
    }

    fn give_up(self: &Rc<Self>, id: u64, answered: bool) {
        let mut inner = self.inner.borrow_mut();
        let Some(entry) = inner.open.get_mut(&id) else { return };
        if entry.answer.take().is_some() {
            let end = if answered { Taken::aborted } else { Taken::abandoned };
            entry.counted.take().into_iter().for_each(end);
            inner.tally.given_up += 1;
            let mut orders = inner.withdraw(id);
            orders.extend(inner.facade.report(now(), PolicyEvent::GivenUp(id)));
            inner.work(self, orders);
            inner.tidy(id);
        }
    }

    /// This process ends: what comes from now on is answered by then, whatever its client would wait for, and
    /// nothing leaves for an engine later.
    pub fn ends_by(&self, by: Timestamp) {
        self.inner.borrow_mut().gate.ends_by(by);
    }

    /// Gives every open request its final answer now, for this process ends: those of which no attempt has left are
    /// refused, the others failed. How many.
    pub fn end_all(self: &Rc<Self>) -> usize {
        let mut inner = self.inner.borrow_mut();
        let open: Vec<u64> =
            inner.open.iter().filter(|(_, e)| e.answer.is_some()).map(|(id, _)| *id).collect();
        for id in &open {
            let Some(entry) = inner.open.get(id) else { continue };
            let unsent = entry.out.as_ref().is_some_and(|o| o.link.withdraw(*id) == Withdrawal::Whole);
            let answer = match entry.sends {
                0 => Response::Refused(RejectReason::Busy, COME_BACK_LEAST),
                1 if unsent => Response::Refused(RejectReason::Busy, COME_BACK_LEAST),
                _ => Response::Failed(RejectReason::Busy, COME_BACK_LEAST),
            };
            let mut orders = inner.settle(*id, answer);
            orders.extend(inner.facade.report(now(), PolicyEvent::GivenUp(*id)));
            inner.work(self, orders);
        }
        open.len()
    }

    /// Wakes what is due, for good.
    pub async fn run(self: Rc<Self>) {
        loop {
            let ready = self.look_ready();
            let next = self.inner.borrow_mut().due();
            let next = match (next, ready) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
            let rest = next.map_or(std::time::Duration::from_secs(1), |t| span(t - now()));
            tokio::select! {
                () = tokio::time::sleep(rest) => {}
                () = self.wake.notified() => {}
            }
            self.tick();
            self.judge_zones();
        }
    }

    fn tick(self: &Rc<Self>) {
        let mut inner = self.inner.borrow_mut();
        if now() >= inner.next_figures {
            inner.next_figures = now() + FIGURES;
            if let Some(c) = inner.facade.recorded().filter(|c| c.lost > inner.capture_lost) {
                let lost = c.lost - inner.capture_lost;
                inner.capture_lost = c.lost;
                warn!(lost, "capture: {lost} events lost in {} s", FIGURES.as_micros() / 1_000_000);
            }
            let t = std::mem::take(&mut inner.tally);
            let (open, out) = (inner.open.len(), self.pool.out());
            if t.taken > 0 || open > 0 {
                info!(
                    taken = t.taken,
                    served = t.served,
                    refused = t.refused,
                    failed = t.failed,
                    given_up = t.given_up,
                    attempts = t.attempts,
                    open,
                    buffers = out,
                    "figures: taken {}, served {}, refused {}, failed {}, given up {}, attempts {}, open {open}, \
                     buffers {out}",
                    t.taken,
                    t.served,
                    t.refused,
                    t.failed,
                    t.given_up,
                    t.attempts
                );
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

impl RequestTable {
    /// Further attempts that the others of the fleet leave to this manager.
    pub(super) fn spare(&self) -> f64 {
        self.fleet.1
    }

    /// A connection to an engine came up, or failed to.
    pub(super) fn reached(&mut self, engine: usize, up: bool) {
        let (Some(shared), Some(e)) = (&mut self.shared, self.engines.get(engine)) else { return };
        shared.reached(now(), &e.id, up);
    }

    fn due(&self) -> Option<Timestamp> {
        let zones = self.failover.as_ref().map(|f| f.next);
        let deadline = self.deadlines.first().map(|d| d.0);
        let landing = self.landing.first().map(|l| l.0);
        self.facade.due().into_iter().chain(deadline).chain(landing).chain(zones).min()
    }

    /// Carries orders out, and those that follow from them.
    pub(super) fn work(&mut self, core: &Rc<Core>, orders: Vec<PolicyCommand>) {
        let mut queue = VecDeque::from(orders);
        while let Some(order) = queue.pop_front() {
            match order {
                PolicyCommand::Terms(id, grant_mb, level) => {
                    let Some(entry) = self.open.get_mut(&id) else { continue };
                    if let Some(out) = entry.out.as_ref().filter(|o| !o.served && entry.level != level) {
                        let (id, n) = (format!("{id:016x}"), level.to_string());
                        out.link.command(&core.pool, &[b"bump", id.as_bytes(), n.as_bytes()]);
                    }
                    (entry.grant_mb, entry.level) = (grant_mb, level);
                }
                PolicyCommand::Send(id, engine) => queue.extend(self.send(core, id, engine)),
                PolicyCommand::Undo(id, attempt) => {
                    if self.undo(core, id, attempt) {
                        self.landing.insert((now() + UNDO_LEAVES, id, attempt));
                        core.wake.notify_one();
                    }
                }
                PolicyCommand::Refuse(id, wait) => queue.extend(self.refuse(id, wait)),
                PolicyCommand::Fail(id, wait) => {
                    let cause = self.cause(id);
                    queue.extend(self.settle(id, Response::Failed(cause, wait.max(COME_BACK_LEAST))));
                }
                PolicyCommand::Log(text) => info!(from = "module", "{text}"),
            }
        }
        if self.landing.first().is_some_and(|l| l.0 <= now()) {
            core.wake.notify_one();
        }
    }

    fn refuse(&mut self, id: u64, wait: TimeDelta) -> Vec<PolicyCommand> {
        let Some(entry) = self.open.get(&id) else { return Vec::new() };
        let late = entry.deadline - now() < NO_TIME;
        let cause = if late { RejectReason::Deadline } else { RejectReason::Busy };
        self.settle(id, Response::Refused(cause, wait.max(COME_BACK_LEAST)))
    }

    fn cause(&self, id: u64) -> RejectReason {
        let Some(entry) = self.open.get(&id) else { return RejectReason::Busy };
        match entry.last {
            _ if entry.deadline - now() < NO_TIME => RejectReason::Deadline,
            Some(AttemptOutcome::Crashed) => RejectReason::Engine,
            Some(AttemptOutcome::Broken | AttemptOutcome::Cut) => RejectReason::Lost,
            Some(AttemptOutcome::Unreachable) => RejectReason::Unreachable,
            Some(AttemptOutcome::Expired) => RejectReason::Deadline,
            _ => RejectReason::Busy,
        }
    }

    /// The one place from which a final answer leaves. A second one has nowhere to go. What has not left for an
    /// engine by then never will.
    pub(super) fn settle(&mut self, id: u64, answer: Response) -> Vec<PolicyCommand> {
        let orders = self.withdraw(id);
        let Some(entry) = self.open.get_mut(&id) else { return orders };
        match entry.answer.take() {
            Some(sender) => {
                let counted = entry.counted.take().into_iter();
                match answer {
                    Response::Served(_) => {
                        counted.for_each(Taken::succeeded);
                        self.tally.served += 1;
                        if let Some(cold) = &mut self.cold {
                            cold.admission.served(now() - entry.taken);
                        }
                    }
                    Response::Refused(..) => {
                        counted.for_each(Taken::declined);
                        self.tally.refused += 1;
                    }
                    Response::Failed(..) => {
                        counted.for_each(Taken::aborted);
                        self.tally.failed += 1;
                    }
                }
                drop(sender.send(answer));
            }
            None => {
                let request = format!("{id:016x}");
                error!(request, "a second answer to {request} was dropped");
            }
        }
        self.tidy(id);
        orders
    }

    /// Forgets a request that is answered and has nothing out.
    pub(super) fn tidy(&mut self, id: u64) {
        let over = self.open.get(&id).is_some_and(|e| e.answer.is_none() && e.out.is_none());
        if let Some(entry) = over.then(|| self.open.remove(&id)).flatten() {
            self.deadlines.remove(&(entry.deadline, id));
        }
    }

    /// A request's time is over. The module answers before that; this is for when it did not.
    fn expire(&mut self, core: &Rc<Core>, id: u64) {
        let out = self.open.get(&id).and_then(|e| e.out.as_ref()).map(|o| o.attempt);
        if let Some(attempt) = out {
            self.undo(core, id, attempt);
            let orders = self.end(id, AttemptOutcome::Expired);
            self.work(core, orders);
        }
        if self.open.get(&id).is_some_and(|e| e.answer.is_some()) {
            let mut orders = self.settle(id, Response::Failed(RejectReason::Deadline, COME_BACK_LEAST));
            orders.extend(self.facade.report(now(), PolicyEvent::GivenUp(id)));
            self.work(core, orders);
        }
    }
}

#[cfg(test)]
mod leaving_tests;
#[cfg(test)]
mod tests;
