//! Attempts: each leaves once, is called off at most once, and has its one end.

use super::buffer_pool::BufferPool;
use super::engine_connection::{ConnectionLimits, ConnectionOwner, EngineConnection, Withdrawal};
use super::engines::link_for;
use super::facade::{AttemptOutcome, PolicyCommand, PolicyEvent};
use super::now;
use super::request_table::{Core, RequestTable, Response};
use super::result_buffer::{ResultSet, MOST_RESULT, PAGE};
use super::send_guard::OutgoingAttempt;
use crate::proto::resp::{self, Answer, Stats, Word};
use crate::proto::Malformed;
use sprucelink_policy::{TimeDelta, Timestamp};
use std::rc::Rc;
use tracing::{debug, error, warn};

/// An attempt called off counts as out for so much longer once its undo has left: that must reach its
/// engine before the next attempt reaches another. Paths differ by under 2 ms, and by more when a
/// machine is busy.
pub(super) const UNDO_LANDS: TimeDelta = TimeDelta::from_micros(10_000);
/// Between two looks at whether an undo has left.
pub(super) const UNDO_LEAVES: TimeDelta = TimeDelta::from_micros(1_000);

pub(super) struct InFlightAttempt {
    pub(super) attempt: u32,
    pub(super) link: Rc<EngineConnection>,
    pub(super) sent: Timestamp,
    pub(super) result: ResultSet,
    pub(super) bill: Option<(f64, f64)>,
    pub(super) stats: Stats,
    pub(super) served: bool,
    /// Where its undo ends in the link's stream, and since when that was seen to have left.
    pub(super) undone: Option<(u64, Option<Timestamp>)>,
    /// As what it ends once that has landed.
    pub(super) ends: AttemptOutcome,
}

impl ConnectionOwner for Core {
    fn pool(&self) -> &BufferPool {
        self.pool()
    }
    fn terms(&self) -> &ConnectionLimits {
        self.terms()
    }
    fn may_leave(self: &Rc<Self>, link: &EngineConnection, id: u64, attempt: u32) -> bool {
        let fit = self.inner.borrow_mut().clear(link, id, attempt);
        if !fit {
            // Its end is told with the next tick.
            self.wake.notify_one();
        }
        fit
    }
    fn on_forwarded(&self, attempts: u64) {
        (0..attempts).for_each(|_| self.figures().forwarded());
    }
    fn on_link_up(self: &Rc<Self>, link: &EngineConnection) {
        self.linked();
        self.inner.borrow_mut().reached(link.engine, true);
    }
    /// An engine answered. Only what is said of an attempt on this link is read: second copies, and answers
    /// under ids that never were here, are passed over whatever they hold.
    fn on_answer(self: &Rc<Self>, link: &EngineConnection, parts: &[&[u8]]) -> Result<(), Malformed> {
        let text = parts.first().and_then(|id| std::str::from_utf8(id).ok()).filter(|t| t.len() == 16);
        let id = text.and_then(|t| u64::from_str_radix(t, 16).ok());
        let id = id.ok_or_else(|| Malformed::field("id", "is not 16 hex digits"))?;
        let mut inner = self.inner.borrow_mut();
        if let Some(engine) = inner.engines.get_mut(link.engine) {
            engine.word = Some(now());
        }
        let Some(attempt) = link.attempt(id) else {
            // A late answer to an attempt that was here: its pages are not wanted.
            let late = link.undone(id).then(|| resp::read_answer(parts).ok()).flatten();
            if late.is_some_and(|a| matches!(a.word, Word::Served { pages } if pages > 1)) {
                link.command(self.pool(), &[b"forget", format!("{id:016x}").as_bytes()]);
            }
            return Ok(());
        };
        let answer = resp::read_answer(parts)?;
        let orders = inner.answered(self.pool(), id, attempt, &answer)?;
        inner.work(self, orders);
        Ok(())
    }

    /// A link has ended; `ours` if this side gave up on it.
    fn on_link_down(self: &Rc<Self>, link: &Rc<EngineConnection>, why: &str, ours: bool) {
        let mut inner = self.inner.borrow_mut();
        if !why.is_empty() {
            let (number, out) = (link.engine, link.riders());
            warn!(number, out, "link to engine {number} ended with {out} out: {why}");
            for (request, attempt) in link.out() {
                debug!(number, request = format!("{request:016x}"), attempt, "was out on it");
            }
        }
        if link.dialing() {
            inner.reached(link.engine, false);
        }
        let orders = inner.close_link(link, ours);
        self.wake.notify_one();
        inner.work(self, orders);
    }
}

impl RequestTable {
    pub(super) fn send(&mut self, core: &Rc<Core>, id: u64, engine: usize) -> Vec<PolicyCommand> {
        let Some(entry) = self.open.get_mut(&id) else { return Vec::new() };
        let attempt = entry.sends;
        entry.sends += 1;
        // Guards the one final answer: nothing is sent on after it, whoever asks for it.
        if entry.answer.is_none() {
            error!(request = format!("{id:016x}"), "a send for a request that is over was dropped");
            return self.tell_end(
                id,
                attempt,
                AttemptOutcome::NotRun,
                TimeDelta::ZERO,
                None,
                Stats::default(),
            );
        }
        self.tally.attempts += 1;
        if let Some(shared) = &mut self.shared {
            let to = self.engines.get(engine).map_or(("", 0), |e| (e.id.as_str(), e.since));
            shared.sent(now(), attempt > 0, to, entry.cost_ms);
        }
        let left = entry.deadline - now();
        let links = self.engines.iter().map(|e| e.links.len()).sum::<usize>();
        let dials = self.cold.as_mut().map(|c| &mut c.dials);
        let link = match self.engines.get_mut(engine) {
            Some(e) => link_for(e, dials, core, id, engine, links < core.terms().most_links),
            None => Err(AttemptOutcome::Unreachable),
        };
        let Some(entry) = self.open.get_mut(&id) else { return Vec::new() };
        let link = match link {
            Ok(link) => link,
            Err(end) => return self.tell_end(id, attempt, end, TimeDelta::ZERO, None, Stats::default()),
        };
        let mut fields = format!("class={},wait={}", entry.class, left.as_millis().max(1));
        if let Some(key) = &entry.once {
            fields.push_str(&format!(",once={key}"));
        }
        if let Some(mb) = entry.grant_mb {
            fields.push_str(&format!(",mb={}", mb.ceil().max(1.0)));
        }
        fields.push_str(&format!(",nice={}", entry.level));
        let name = format!("{id:016x}");
        let parts = [b"do", name.as_bytes(), fields.as_bytes(), &entry.statement[..]];
        if !link.send(core.pool(), id, attempt, &parts) {
            return self.tell_end(
                id,
                attempt,
                AttemptOutcome::NotRun,
                TimeDelta::ZERO,
                None,
                Stats::default(),
            );
        }
        let (result, stats) = (ResultSet::default(), Stats::default());
        entry.out = Some(InFlightAttempt {
            attempt,
            link,
            sent: now(),
            result,
            bill: None,
            stats,
            served: false,
            undone: None,
            ends: AttemptOutcome::Undone,
        });
        Vec::new()
    }

    /// The one place by which an attempt leaves: whether it may, just before its first byte. One that may not is
    /// withdrawn, and ends as one that never ran. One without an owner is withdrawn, and that is all.
    fn clear(&mut self, link: &EngineConnection, id: u64, attempt: u32) -> bool {
        let (at, spare) = (now(), self.spare());
        let entry = self.open.get_mut(&id);
        let owner = entry.and_then(|e| {
            let here = |o: &&InFlightAttempt| {
                o.attempt == attempt && std::ptr::eq(&*o.link, link) && o.undone.is_none()
            };
            let _ = e.out.as_ref().filter(here)?;
            Some(e)
        });
        let Some(entry) = owner else {
            link.withdraw(id);
            return false;
        };
        let leaving = OutgoingAttempt {
            open: entry.answer.is_some(),
            deadline: entry.deadline,
            class: entry.class_number,
            further: attempt > 0,
            may_have_run: entry.may_have_run,
            engine_ready: self.engines.get(link.engine).is_some_and(|e| e.ready),
        };
        let Err(why) = self.gate.check(at, spare, &leaving) else {
            self.gate.left(at, leaving.further);
            return true;
        };
        link.withdraw(id);
        if let Some(out) = &mut entry.out {
            (out.ends, out.undone) = (AttemptOutcome::NotRun, Some((0, Some(at - UNDO_LANDS))));
        }
        self.landing.insert((at, id, attempt));
        debug!(request = format!("{id:016x}"), number = link.engine, attempt, "attempt held back: {why:?}");
        false
    }

    /// Tells the module how an attempt ended: what came before must have taken it off `out`.
    pub(super) fn tell_end(
        &mut self,
        id: u64,
        attempt: u32,
        end: AttemptOutcome,
        latency: TimeDelta,
        bill: Option<(f64, f64)>,
        stats: Stats,
    ) -> Vec<PolicyCommand> {
        let Some(entry) = self.open.get_mut(&id) else { return Vec::new() };
        entry.last = Some(end);
        let complete = end == AttemptOutcome::Served || entry.answer.is_none();
        let news = PolicyEvent::Ended { id: (id, attempt), end, latency, complete, bill, stats };
        if let Some(cold) =
            self.cold.as_mut().filter(|_| matches!(end, AttemptOutcome::Overload | AttemptOutcome::Crashed))
        {
            cold.admission.pushed_back();
        }
        let orders = self.facade.report(now(), news);
        self.tidy(id);
        orders
    }

    /// Ends the attempt that is out, as `end`.
    pub(super) fn end(&mut self, id: u64, end: AttemptOutcome) -> Vec<PolicyCommand> {
        let Some(out) = self.open.get_mut(&id).and_then(|e| e.out.take()) else { return Vec::new() };
        out.link.release(id, end != AttemptOutcome::Served);
        let latency = now() - out.sent;
        if let Some(e) = self.open.get(&id) {
            let ms = latency.as_millis();
            debug!(
                request = format!("{id:016x}"),
                number = out.link.engine,
                attempt = out.attempt,
                class = e.class,
                level = e.level,
                left_ms = (e.deadline - now()).as_millis(),
                answered = e.answer.is_none(),
                inflight = out.stats.inflight,
                ms,
                "attempt ended as {end:?} after {ms} ms"
            );
        }
        if !end.never_ran() {
            self.open.get_mut(&id).into_iter().for_each(|e| _ = e.may_have_run.get_or_insert(out.sent));
        }
        let orders = self.tell_end(id, out.attempt, end, latency, out.bill, out.stats);
        // One that was given up before has nobody to answer.
        if end == AttemptOutcome::Served && self.open.get(&id).is_some_and(|e| e.answer.is_some()) {
            let more = self.settle(id, Response::Served(out.result));
            return orders.into_iter().chain(more).collect();
        }
        orders
    }

    /// Takes the attempt back that has not left yet: of a request that is over, nothing is sent on. Its end is
    /// told with the next tick. Where a part of it has left, its link is given up, for nothing else keeps the
    /// rest back; what that ends.
    pub(super) fn withdraw(&mut self, id: u64) -> Vec<PolicyCommand> {
        let Some(entry) = self.open.get_mut(&id) else { return Vec::new() };
        let Some(out) = &mut entry.out else { return Vec::new() };
        match out.link.withdraw(id) {
            Withdrawal::Late => return Vec::new(),
            Withdrawal::InPart => {
                let link = Rc::clone(&out.link);
                warn!(
                    number = link.engine,
                    "link to engine {} given up: it takes a request in part", link.engine
                );
                return self.close_link(&link, true);
            }
            Withdrawal::Whole => {}
        }
        // Nothing has to land: it never left.
        (out.ends, out.undone) = (AttemptOutcome::NotRun, Some((0, Some(now() - UNDO_LANDS))));
        self.landing.insert((now(), id, out.attempt));
        Vec::new()
    }

    /// Calls the attempt that is out off at its engine. Until the undo has landed its own end may
    /// still come, as in the simulator. One that has not left is taken back instead.
    pub(super) fn undo(&mut self, core: &Rc<Core>, id: u64, attempt: u32) -> bool {
        let out = self.open.get_mut(&id).and_then(|e| e.out.as_mut());
        let Some(out) = out.filter(|o| o.attempt == attempt && o.undone.is_none()) else { return false };
        if out.link.withdraw(id) == Withdrawal::Whole {
            (out.ends, out.undone) = (AttemptOutcome::NotRun, Some((0, Some(now() - UNDO_LANDS))));
            return true;
        }
        let (word, name): (&[u8], _) = (if out.served { b"forget" } else { b"undo" }, format!("{id:016x}"));
        out.link.command(core.pool(), &[word, name.as_bytes()]);
        out.undone = Some((out.link.queued(), None));
        true
    }

    /// Ends an attempt that was called off, once its undo has left and has had the time to land. Guards
    /// the rule on second copies where this side is slow: an undo that still waits for its connection,
    /// or for a turn on the processor, is overtaken by the next attempt.
    pub(super) fn land(&mut self, core: &Rc<Core>, id: u64, attempt: u32) {
        let out = self.open.get_mut(&id).and_then(|e| e.out.as_mut()).filter(|o| o.attempt == attempt);
        let Some(InFlightAttempt { undone: Some((place, left)), link, ends, .. }) = out else { return };
        let ends = *ends;
        let wait = match *left {
            Some(at) => at + UNDO_LANDS - now(),
            None if link.gone(*place) => {
                *left = Some(now());
                UNDO_LANDS
            }
            None => UNDO_LEAVES,
        };
        if wait > TimeDelta::ZERO {
            self.landing.insert((now() + wait, id, attempt));
            return;
        }
        let orders = self.end(id, ends);
        self.work(core, orders);
    }

    pub(super) fn answered(
        &mut self,
        pool: &BufferPool,
        id: u64,
        attempt: u32,
        a: &Answer,
    ) -> Result<Vec<PolicyCommand>, Malformed> {
        let name = format!("{id:016x}");
        let out = self.open.get_mut(&id).and_then(|e| e.out.as_mut()).filter(|o| o.attempt == attempt);
        let Some(out) = out else { return Ok(Vec::new()) };
        let page = match a.word {
            Word::Update { how, num } => {
                let note = how.map(|how| self.facade.report(now(), PolicyEvent::Note(id, attempt, how, num)));
                return Ok(note.unwrap_or_default());
            }
            Word::Green => return Ok(Vec::new()),
            Word::Other => return Err(Malformed::field("word", "is not known")),
            Word::Overload | Word::Nobody if out.served => return Ok(Vec::new()),
            Word::Overload | Word::Crashed | Word::Nobody => {
                out.stats = a.stats;
                let end = match a.word {
                    Word::Overload => AttemptOutcome::Overload,
                    Word::Nobody => AttemptOutcome::NotRun,
                    _ => AttemptOutcome::Crashed,
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
            return Ok(self.end(id, AttemptOutcome::Cut));
        }
        let whole = out.result.pages.iter().all(Option::is_some);
        Ok(if whole { self.end(id, AttemptOutcome::Served) } else { Vec::new() })
    }
}
