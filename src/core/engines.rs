//! Engines as the control feed names them, and their links: which are there, which are let go.

use super::attempts::{InFlightAttempt, UNDO_LANDS};
use super::engine_connection::{self, EngineConnection, Withdrawal};
use super::facade::{AttemptOutcome, PolicyCommand, PolicyEvent};
use super::now;
use super::request_table::{Core, RequestTable};
use crate::proto::events::{ListEvent, Member, Phase};
use sprucelink_policy::Timestamp;
use sprucelink_startup::dials::DialStager;
use sprucelink_startup::held::Says;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{info, warn};

#[derive(Default)]
pub(super) struct Engine {
    /// Its id in the list: what the cold start's slots hang on, for numbers differ between managers.
    pub(super) id: String,
    pub(super) address: Option<SocketAddr>,
    pub(super) since: i64,
    pub(super) links: Vec<Rc<EngineConnection>>,
    /// Since when the list has it no more.
    pub(super) gone: Option<Timestamp>,
    /// When it last said anything.
    pub(super) word: Option<Timestamp>,
    /// What the list said of it last, whatever was made of that.
    pub(super) told: Option<Member>,
    /// The list held has it ready, and nobody has taken it out: attempts may leave for it.
    pub(super) ready: bool,
    /// The number of the event that said so.
    said: u64,
}

impl Engine {
    /// Whether the list held has it, and not as gone.
    pub(super) fn is_listed(&self) -> bool {
        self.address.is_some() && self.gone.is_none()
    }
}

impl Core {
    /// News of the list of engines. Of an event that was had before, or comes late, only what is new is taken.
    pub fn on_list(self: &Rc<Self>, list: &ListEvent, remembered: bool) {
        let mut inner = self.inner.borrow_mut();
        let Some(fresh) = inner.fresh(list) else { return };
        let mut list = inner.guarded(&fresh).unwrap_or(fresh);
        cautious(&mut list);
        inner.end_unnamed(&mut list);
        inner.note_listed(&list);
        inner.forget_gone();
        let orders = inner.on_members(&list, remembered);
        inner.note_said(&list);
        let listed = inner.listed();
        if let Some(cold) = &mut inner.cold {
            cold.ready.listed(listed);
        }
        inner.work(self, orders);
        self.wake.notify_one();
    }
}

/// Leaves one entry of each engine that a list names more than once: the most cautious.
fn cautious(list: &mut ListEvent) {
    let weight = |m: &Member| match m.phase {
        Phase::Ready => 0,
        Phase::Draining => 1,
        Phase::Gone => 2,
    };
    let mut most: BTreeMap<String, u8> = BTreeMap::new();
    for m in &list.members {
        let held = most.entry(m.id.clone()).or_default();
        *held = weight(m).max(*held);
    }
    // Of several as cautious the last counts.
    let mut rest: Vec<Member> = list.members.drain(..).rev().collect();
    rest.retain(|m| most.get(&m.id) == Some(&weight(m)) && most.remove(&m.id).is_some());
    list.members = rest.into_iter().rev().collect();
}

impl RequestTable {
    /// What an event tells that is new, and its number as the last where it counts on from there.
    ///
    /// Under a number that was passed already there is news in two cases. Its revision is above all that were told: then
    /// the numbering has begun anew, and the feed would never be heard again if that went by numbers alone. Or it comes
    /// late, out of its turn: then it counts for the engines that are known and of which nothing later was said.
    fn fresh(&mut self, list: &ListEvent) -> Option<ListEvent> {
        let (n, last) = (list.n, self.last_event);
        if n > last {
            self.last_event = n;
            return Some(list.clone());
        }
        let held = self.revision;
        if list.revision > held {
            let revision = list.revision;
            warn!(
                n,
                last,
                revision,
                held,
                "list {n} comes after {last}, but {revision} is a new revision: numbers begin anew"
            );
            self.engines.iter_mut().for_each(|e| e.said = 0);
            self.last_event = n;
            return Some(list.clone());
        }
        let old = |m: &Member| self.engines.iter().any(|e| e.id == m.id && e.said < n);
        let members: Vec<Member> = list.members.iter().filter(|m| old(m)).cloned().collect();
        (!members.is_empty()).then_some(ListEvent { n, revision: list.revision, complete: false, members })
    }

    /// Names the engines that a whole list leaves out, as gone: what a list ends, it ends in one way.
    fn end_unnamed(&self, list: &mut ListEvent) {
        if !list.complete {
            return;
        }
        let named: BTreeSet<&str> = list.members.iter().map(|m| m.id.as_str()).collect();
        let left = self.engines.iter().filter(|e| e.gone.is_none() && !named.contains(e.id.as_str()));
        let told = left.filter_map(|e| e.told.clone());
        let gone: Vec<Member> = told.map(|m| Member { phase: Phase::Gone, ..m }).collect();
        list.members.extend(gone);
    }

    /// Notes which event spoke last of the engines that a list names, and its revision also where it names none.
    fn note_said(&mut self, list: &ListEvent) {
        self.revision = self.revision.max(list.revision);
        for member in &list.members {
            let engine = self.facade.engine(&member.id);
            if let Some(e) = self.engines.get_mut(engine) {
                e.said = list.n;
            }
        }
    }

    /// Takes in what a list says of engines; what follows from it.
    pub(super) fn on_members(&mut self, list: &ListEvent, remembered: bool) -> Vec<PolicyCommand> {
        let masked = self.masked(list);
        let heard = masked.as_ref().unwrap_or(list);
        let mut orders = self.facade.report(now(), PolicyEvent::List(heard, remembered));
        for (member, told) in heard.members.iter().zip(&list.members) {
            let i = self.facade.engine(&member.id);
            let most = self.engines.len().max(i + 1);
            self.engines.resize_with(most, Engine::default);
            let engine = &mut self.engines[i];
            engine.told = Some(told.clone());
            let address = member.address.parse().ok();
            let moved = engine.address != address || engine.since != member.up_since_ms;
            if moved {
                engine.links.iter().for_each(|l| l.retire());
            }
            (engine.address, engine.since) = (address, member.up_since_ms);
            engine.ready = member.phase == Phase::Ready;
            engine.id.clone_from(&member.id);
            engine.gone = (member.phase == Phase::Gone).then(now);
            if engine.gone.is_some() {
                engine.links.iter().for_each(|l| l.retire());
            }
            if moved {
                // What was meant for the process before would reach the one that has started since, or another
                // engine that has its address now.
                orders.extend(self.recall(i));
            }
            let (id, phase, address) = (&told.id, told.phase, &member.address);
            let out = if member.phase == phase { "" } else { ", taken out" };
            info!(engine = %id, number = i, "engine {id} is {phase:?} at {address}, number {i}{out}");
        }
        // Guards the rule on drains: what waits for a connection, or behind a slow peer, would go out after the word.
        for i in 0..self.engines.len() {
            if !self.engines[i].ready {
                orders.extend(self.recall(i));
            }
        }
        orders
    }

    /// Takes back what has not begun to leave for an engine, and gives up its dials: none of it ever ran, so it is
    /// moved elsewhere at no cost to its class's rule.
    fn recall(&mut self, engine: usize) -> Vec<PolicyCommand> {
        let mut orders = Vec::new();
        for link in self.engines[engine].links.clone() {
            for id in link.waiting() {
                let here = |o: &InFlightAttempt| Rc::ptr_eq(&o.link, &link);
                let out = self.open.get(&id).and_then(|e| e.out.as_ref());
                if out.is_some_and(here) && link.withdraw(id) == Withdrawal::Whole {
                    orders.extend(self.end(id, AttemptOutcome::NotRun));
                }
            }
            if link.dialing() {
                orders.extend(self.close_link(&link, false));
            }
        }
        orders
    }

    /// What the cold start's guard leaves of a list that is older than the one held, or contradicts itself;
    /// `None`: all of it.
    fn guarded(&mut self, list: &ListEvent) -> Option<ListEvent> {
        let cold = self.cold.as_mut()?;
        let says = |phase| match phase {
            Phase::Ready => Says::Ready,
            Phase::Draining => Says::Draining,
            Phase::Gone => Says::Gone,
        };
        let said: Vec<(&str, Says)> = list.members.iter().map(|m| (m.id.as_str(), says(m.phase))).collect();
        let verdict = cold.held.judge(now(), list.revision, list.complete, &said);
        if !verdict.older && verdict.contradicted == 0 {
            return None;
        }
        let (n, revision, held) = (list.n, list.revision, cold.held.revision());
        let (taken, of, twice) = (verdict.take.len(), list.members.len(), verdict.contradicted);
        warn!(
            n,
            revision,
            held,
            taken,
            "list {n} of revision {revision}, {held} held: {taken} of {of} entries taken, {twice} contradicted"
        );
        let members = verdict.take.iter().map(|i| list.members[*i].clone()).collect();
        Some(ListEvent { n, revision, complete: verdict.whole, members })
    }

    /// Engines of the list held that have an address and are not gone.
    pub(super) fn listed(&self) -> usize {
        self.engines.iter().filter(|e| e.is_listed()).count()
    }

    /// Forgets the engines that have been gone for long enough and have no connection left.
    pub(super) fn forget_gone(&mut self) {
        let at = now();
        for i in 0..self.engines.len() {
            let engine = &mut self.engines[i];
            if engine.links.is_empty() && engine.gone.is_some_and(|t| at - t > self.keep) {
                *engine = Engine::default();
                self.facade.forget(i);
            }
        }
    }

    /// Ends a link and every attempt on it, each once. What was never written never ran. One break is
    /// one fault of its engine, however many were out; where this side closes, what was out counts as out
    /// until the close has landed, for the next attempt would overtake it.
    pub(super) fn close_link(&mut self, link: &Rc<EngineConnection>, ours: bool) -> Vec<PolicyCommand> {
        if let Some(engine) = self.engines.get_mut(link.engine) {
            engine.links.retain(|l| !Rc::ptr_eq(l, link));
        }
        let (mut orders, mut blamed, dialing) = (Vec::new(), ours, link.dialing());
        for (id, attempt, unwritten) in link.close() {
            let out = self.open.get_mut(&id).and_then(|e| e.out.as_mut());
            let out = out.filter(|o| o.attempt == attempt && Rc::ptr_eq(&o.link, link));
            let Some(out) = out else { continue };
            let end = match unwritten {
                true if dialing => AttemptOutcome::Unreachable,
                true => AttemptOutcome::NotRun,
                false if std::mem::replace(&mut blamed, true) => AttemptOutcome::Cut,
                false => AttemptOutcome::Broken,
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
}

/// A link of an engine with room for a request: the fullest, so that others fall idle; or a new one.
pub(super) fn link_for(
    e: &mut Engine,
    dials: Option<&mut DialStager>,
    core: &Rc<Core>,
    id: u64,
    engine: usize,
    more: bool,
) -> Result<Rc<EngineConnection>, AttemptOutcome> {
    let open = e.links.iter().filter(|l| l.takes(id, core.terms()));
    if let Some(link) = open.max_by_key(|l| (!l.dialing(), l.riders())) {
        return Ok(Rc::clone(link));
    }
    let address = e.address.ok_or(AttemptOutcome::Unreachable)?;
    // Descriptors are kept back for both sides: neither may take the other's.
    if e.links.len() >= core.terms().most || !more {
        return Err(AttemptOutcome::NotRun);
    }
    let link = EngineConnection::new(engine, address);
    if let Some(dials) = dials {
        // Guards the engines against managers that start together and dial in step.
        link.dial_at(dials.dial_at(now(), &e.id));
    }
    e.links.push(Rc::clone(&link));
    tokio::task::spawn_local(engine_connection::run(Rc::clone(core), Rc::clone(&link)));
    Ok(link)
}
