//! The world: hosts, network and time, driven by one seed.

use super::checker::Checker;
use super::host::{Host, Start};
use super::nemesis::{FaultEnd, Nemesis};
use super::network::Network;
use super::operator::Operator;
use super::recorder::ProposalRecorder;
use super::{draw_around, draw_span, InjectedBug, Plan, StateMachine};
use crate::frame::Frame;
use crate::ready::Role;
use crate::{MemberId, ProposalId, TimeDelta, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// How often the operator looks.
const OPERATOR_EVERY: TimeDelta = TimeDelta::from_millis(200);
/// How often a host is ticked, on average.
const TICK_EVERY: TimeDelta = TimeDelta::from_millis(50);
/// Shortest time between two ticks of a host.
const MIN_TICK: TimeDelta = TimeDelta::from_millis(45);
/// Longest time between two ticks of a host.
const MAX_TICK: TimeDelta = TimeDelta::from_millis(55);
/// When the nemesis strikes first.
const FIRST_STRIKE: TimeDelta = TimeDelta::from_whole_secs(1);
/// Bytes of a proposal, at most.
const PROPOSAL: usize = 64;

#[derive(Debug)]
enum Event {
    Tick(MemberId, u64),
    Frame(Box<Frame>),
    Synced(MemberId, u64),
    Propose,
    Strike,
    FaultEnd(FaultEnd),
    Operate,
}

struct Timed(Timestamp, u64, Event);

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Hosts, network, time, nemesis and checker of one run.
pub struct Simulation<A = ProposalRecorder> {
    pub(crate) rng: ChaCha8Rng,
    /// The plan of the run.
    pub plan: Plan,
    /// One host a node.
    pub hosts: BTreeMap<u32, Host<A>>,
    /// The network.
    pub net: Network,
    /// The checker.
    pub check: Checker,
    pub(crate) operator: Operator,
    pub(crate) nemesis: Option<Nemesis>,
    founders: Vec<MemberId>,
    contacts: BTreeMap<u32, Vec<MemberId>>,
    queue: BinaryHeap<Reverse<Timed>>,
    events: u64,
    now: Timestamp,
    next_proposal: u64,
    broken: bool,
    /// Whether the seed proposes.
    pub proposing: bool,
    /// When a leader died, for the times of elections.
    leaderless: Option<Timestamp>,
    pub(crate) unavailable: bool,
    pub(crate) elections: Vec<TimeDelta>,
    make: Box<dyn Fn(MemberId) -> A + Send>,
}

impl<A: StateMachine> Simulation<A> {
    /// A council of founders, all started at time 0; `make` gives a new application at each start of a host.
    pub fn new(plan: Plan, seed: u64, make: impl Fn(MemberId) -> A + Send + 'static) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let founders: Vec<MemberId> = (1..=plan.members).map(|node| MemberId::new(node, 1)).collect();
        let hosts = founders.iter().map(|&id| (id.node, Host::new(id, make(id), &plan, &mut rng))).collect();
        let mut world = Simulation {
            rng,
            net: Network::new(&plan),
            nemesis: Some(Nemesis::new(&plan)),
            hosts,
            check: Checker::default(),
            operator: Operator::default(),
            contacts: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: 0,
            now: Timestamp::ZERO,
            next_proposal: 0,
            broken: plan.fault_every > TimeDelta::ZERO,
            proposing: plan.propose_every > TimeDelta::ZERO,
            leaderless: None,
            unavailable: false,
            elections: Vec::new(),
            make: Box::new(make),
            founders: founders.clone(),
            plan,
        };
        founders.iter().for_each(|&id| world.start(id));
        world.push(Timestamp::ZERO, Event::Propose);
        world.push(Timestamp::ZERO + OPERATOR_EVERY, Event::Operate);
        world.push(Timestamp::ZERO + FIRST_STRIKE, Event::Strike);
        world
    }

    /// The time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// A node's host.
    pub fn host(&self, id: MemberId) -> &Host<A> {
        &self.hosts[&id.node]
    }

    /// A node's host. What is done to its council shows at its next event.
    pub fn host_mut(&mut self, id: MemberId) -> &mut Host<A> {
        self.hosts.get_mut(&id.node).expect("every node has a host")
    }

    /// The member that leads in the highest term, if one that is up thinks that it does.
    pub fn leader(&self) -> Option<MemberId> {
        let leads = |host: &&Host<A>| host.is_up() && !host.stopped && host.role == Some(Role::Leader);
        let term = |host: &&Host<A>| host.council.as_ref().map_or(0, |council| council.term());
        self.hosts.values().filter(leads).max_by_key(term).map(|host| host.id)
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.events += 1;
        self.queue.push(Reverse(Timed(at, self.events, event)));
    }

    /// Starts a node's process, if its disk lets it.
    pub fn start(&mut self, id: MemberId) {
        let now = self.now;
        let app = (self.make)(id);
        let joins = self.contacts.get(&id.node);
        let founders: &[MemberId] = if joins.is_some() { &[] } else { &self.founders };
        let start = Start { founders, contacts: joins.unwrap_or(&self.founders), plan: &self.plan };
        let Some(host) = self.hosts.get_mut(&id.node) else { return };
        if host.id != id || host.is_up() || host.damaged.is_some() {
            return;
        }
        host.start(now, &start, app);
        let jitter = draw_span(&mut self.rng, TimeDelta::from_micros(1), TICK_EVERY);
        let starts = self.host(id).starts;
        self.push(now + jitter, Event::Tick(id, starts));
        self.work(id);
    }

    /// A process dies.
    pub fn crash(&mut self, id: MemberId, torn: bool) {
        if self.leader() == Some(id) {
            self.leaderless = Some(self.now);
        }
        let host = self.host_mut(id);
        let lied = host.lied;
        host.crash(torn);
        if lied {
            self.check.forgetful.insert(id);
        }
    }

    /// A node, new or with its disk emptied, gets a member that is to join. False when it has it already.
    pub(crate) fn renew(&mut self, id: MemberId, contacts: Vec<MemberId>) -> bool {
        if self.hosts.get(&id.node).is_some_and(|host| host.id == id) {
            return false;
        }
        if let Some(old) = self.hosts.get(&id.node).map(|host| host.id) {
            self.crash(old, false);
        }
        let app = (self.make)(id);
        let host = Host::new(id, app, &self.plan, &mut self.rng);
        self.hosts.insert(id.node, host);
        self.contacts.insert(id.node, contacts);
        self.start(id);
        true
    }

    /// A member that was removed goes away with its node, unless the node has a newer one.
    pub(crate) fn retire(&mut self, id: MemberId) {
        if self.hosts.get(&id.node).is_some_and(|host| host.id == id) {
            self.crash(id, false);
            self.hosts.remove(&id.node);
        }
    }

    /// A member's host, if the node still has that member.
    pub(crate) fn held(&self, id: MemberId) -> Option<&Host<A>> {
        self.hosts.get(&id.node).filter(|host| host.id == id)
    }

    /// Proposes at a host chosen by the seed.
    pub fn propose(&mut self, bytes: Vec<u8>) -> ProposalId {
        let nodes: Vec<u32> = self.hosts.keys().copied().collect();
        let node = nodes[self.rng.gen_range(0..nodes.len())];
        let id = self.hosts[&node].id;
        self.next_proposal += 1;
        let name = ProposalId { origin: id.raw(), sequence: self.next_proposal };
        let _ = self.host_mut(id).propose(bytes, name);
        self.work(id);
        name
    }

    /// Everything whole again: links, disks and processes; the nemesis rests.
    pub fn heal(&mut self) {
        self.broken = false;
        self.net.heal();
        let sync = self.plan.max_sync_time;
        let ids: Vec<MemberId> = self.hosts.values().map(|host| host.id).collect();
        for id in ids {
            let host = self.host_mut(id);
            (host.max_sync_time, host.full) = (sync, false);
            if host.lying && host.is_up() {
                // The disk tells the truth from here on; what it swallowed is gone with the machine's memory.
                host.crash(true);
                self.check.forgetful.insert(id);
            }
            self.host_mut(id).lying = false;
            if self.host(id).stopped {
                self.undo(FaultEnd::Wake(id));
            }
            self.start(id);
        }
    }

    /// Runs to a time, or to the first violation.
    pub fn run_until(&mut self, end: Timestamp) {
        while self.check.violation.is_none() && self.queue.peek().is_some_and(|Reverse(next)| next.0 <= end) {
            let Some(Reverse(Timed(at, _, event))) = self.queue.pop() else { break };
            self.now = at;
            self.check.at(at);
            self.happen(event);
        }
        self.now = self.now.max(end);
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(id, starts) => {
                if !self.held(id).is_some_and(|host| host.starts == starts && host.is_up()) {
                    return;
                }
                self.host_mut(id).tick(now);
                self.work(id);
                let next = now + draw_span(&mut self.rng, MIN_TICK, MAX_TICK);
                self.push(next, Event::Tick(id, starts));
            }
            Event::Frame(frame) => {
                let (from, to) = (frame.from(), frame.to());
                if self.hosts.get(&to.node).is_some_and(|host| host.id == to) {
                    let frame = self.net.pass(&mut self.rng, *frame);
                    if let Some(host) = self.hosts.get_mut(&to.node) {
                        host.deliver(now, from, frame, &self.plan);
                    }
                    self.work(to);
                }
            }
            Event::Synced(id, starts) => {
                if !self.held(id).is_some_and(|host| host.starts == starts && host.is_up()) {
                    return;
                }
                if self.host(id).stopped {
                    return self.push(now + TimeDelta::from_millis(10), Event::Synced(id, starts));
                }
                let mut out = Vec::new();
                let goes_on = match self.hosts.get_mut(&id.node) {
                    Some(host) => host.synced(now, &self.plan, &mut out),
                    None => true,
                };
                self.send(out);
                if goes_on {
                    self.work(id);
                } else {
                    self.crash(id, true);
                    self.push(now + TimeDelta::from_millis(100), Event::FaultEnd(FaultEnd::Restart(id)));
                }
            }
            Event::Propose if !self.proposing => {}
            Event::Propose => {
                let bytes = vec![self.rng.gen(); self.rng.gen_range(0..PROPOSAL)];
                self.propose(bytes);
                let every = self.plan.propose_every;
                let next = now + draw_around(&mut self.rng, every);
                self.push(next, Event::Propose);
            }
            Event::Strike => self.strike(),
            Event::FaultEnd(undo) => self.undo(undo),
            Event::Operate => {
                Operator::step(self);
                let ids: Vec<MemberId> = self.hosts.values().map(|host| host.id).collect();
                ids.into_iter().for_each(|id| self.work(id));
                self.push(now + OPERATOR_EVERY, Event::Operate);
            }
        }
    }

    fn strike(&mut self) {
        let every = self.plan.fault_every;
        if !self.broken || every == TimeDelta::ZERO {
            return;
        }
        let Some(mut nemesis) = self.nemesis.take() else { return };
        let undos = nemesis.strike(self);
        self.nemesis = Some(nemesis);
        undos.into_iter().for_each(|(at, undo)| self.push(at, Event::FaultEnd(undo)));
        let next = self.now + draw_around(&mut self.rng, every);
        self.push(next, Event::Strike);
    }

    fn undo(&mut self, undo: FaultEnd) {
        match undo {
            FaultEnd::Restart(id) => self.start(id),
            FaultEnd::Cuts(cuts) => cuts.iter().for_each(|cut| {
                self.net.cut.remove(cut);
            }),
            FaultEnd::Slow(node) => {
                self.net.slow.remove(&node);
            }
            FaultEnd::Wake(id) if self.held(id).is_some_and(|host| host.stopped) => {
                let now = self.now;
                if let Some(host) = self.hosts.get_mut(&id.node) {
                    host.wake(now, &mut self.rng, &self.plan);
                }
                self.work(id);
            }
            FaultEnd::Wake(_) => {}
            FaultEnd::Disk(id) => {
                let sync = self.plan.max_sync_time;
                if let Some(host) = self.hosts.get_mut(&id.node) {
                    (host.full, host.max_sync_time) = (false, sync);
                }
            }
            FaultEnd::CrashLiar(id) if self.held(id).is_some_and(|host| host.lying) => {
                self.crash(id, true);
                self.host_mut(id).lying = false;
                let back = self.now
                    + draw_span(&mut self.rng, TimeDelta::from_millis(10), TimeDelta::from_whole_secs(1));
                self.push(back, Event::FaultEnd(FaultEnd::Restart(id)));
            }
            FaultEnd::CrashLiar(_) => {}
        }
    }

    /// Does what a member wants done, and sends what it says.
    pub fn work(&mut self, id: MemberId) {
        let mut out = Vec::new();
        let Some(host) = self.hosts.get_mut(&id.node) else { return };
        let before = host.sync_due;
        host.work(self.now, &self.plan, &mut self.rng, &mut self.check, &mut out);
        let (due, starts) = (host.sync_due, host.starts);
        if let Some(at) = due.filter(|_| due != before) {
            self.push(at, Event::Synced(id, starts));
        }
        self.send(out);
        if let (Some(since), Some(_)) = (self.leaderless, self.leader()) {
            self.leaderless = None;
            self.elections.push(self.now - since);
        }
    }

    fn send(&mut self, frames: Vec<Frame>) {
        for mut frame in frames {
            if self.plan.has(InjectedBug::NoCrashVectors) {
                frame.0.boots.clear();
            }
            self.check.sent(&frame);
            for at in self.net.arrivals(&mut self.rng, frame.from(), frame.to(), self.now) {
                self.push(at, Event::Frame(Box::new(frame.clone())));
            }
        }
    }
}
