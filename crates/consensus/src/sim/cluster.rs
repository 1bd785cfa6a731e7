//! The hosts, the network between them, and the queue of events.

use super::checker::Checker;
use super::draw;
use super::event_queue::{Event, EventQueue, ProcessRun};
use super::host::{Host, StartOptions};
use super::network::Network;
use super::plan::{InjectedBug, Plan};
use super::state_machine::StateMachine;
use crate::frame::Frame;
use crate::ids::{MemberId, ProposalId};
use crate::role::Role;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Longest time from the start of a process to its first tick.
const MAX_FIRST_TICK: TimeDelta = TimeDelta::from_millis(50);

/// Makes a new state machine for a host that starts.
type MakeStateMachine<A> = Box<dyn Fn(MemberId) -> A + Send>;

/// Hosts, network, time and checker of one run.
pub struct Cluster<A> {
    pub(super) rng: ChaCha8Rng,
    /// Parameters of the run, fixed at its start.
    pub plan: Plan,
    /// The hosts by node, one for each.
    pub hosts: BTreeMap<u32, Host<A>>,
    /// The network between the hosts.
    pub network: Network,
    /// Checker of the invariants, with the first violation.
    pub checker: Checker,
    founders: Vec<MemberId>,
    /// Members to which a node that joined later sends rejoin requests, by node.
    contacts: BTreeMap<u32, Vec<MemberId>>,
    pub(super) queue: EventQueue,
    pub(super) now: Timestamp,
    proposal_count: u64,
    /// Time at which the leader crashed; `None` once there is another leader.
    leaderless_since: Option<Timestamp>,
    /// Times from a leader's crash to the next leader.
    pub(super) elections: Vec<TimeDelta>,
    make_state_machine: MakeStateMachine<A>,
}

impl<A: StateMachine> Cluster<A> {
    /// A cluster of the founders, all started at time 0.
    pub(super) fn new(plan: Plan, seed: u64, make_state_machine: MakeStateMachine<A>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let founders: Vec<MemberId> = (1..=plan.founders).map(|node| MemberId::new(node, 1)).collect();
        let mut hosts = BTreeMap::new();
        for &id in &founders {
            hosts.insert(id.node, Host::new(id, make_state_machine(id), &plan, &mut rng));
        }
        let mut cluster = Cluster {
            rng,
            network: Network::new(&plan),
            hosts,
            checker: Checker::default(),
            contacts: BTreeMap::new(),
            queue: EventQueue::default(),
            now: Timestamp::ZERO,
            proposal_count: 0,
            leaderless_since: None,
            elections: Vec::new(),
            make_state_machine,
            founders: founders.clone(),
            plan,
        };
        for id in founders {
            cluster.start(id);
        }
        cluster
    }

    /// Current virtual time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// The host of a member's node.
    pub fn host(&self, id: MemberId) -> &Host<A> {
        &self.hosts[&id.node]
    }

    /// The host of a member's node. Work that a call causes in its raft node is processed at the host's next
    /// event.
    pub fn host_mut(&mut self, id: MemberId) -> &mut Host<A> {
        self.hosts.get_mut(&id.node).expect("every node has a host")
    }

    /// The host of a member, if the member is still the current one of its node.
    pub(super) fn current_host(&self, id: MemberId) -> Option<&Host<A>> {
        self.hosts.get(&id.node).filter(|host| host.id == id)
    }

    /// Whether this run of a process is still the current one.
    pub(super) fn is_running(&self, run: ProcessRun) -> bool {
        self.current_host(run.member).is_some_and(|host| host.start_count == run.start_count && host.is_up())
    }

    /// The members of all hosts.
    pub(super) fn members(&self) -> Vec<MemberId> {
        self.hosts.values().map(|host| host.id).collect()
    }

    /// The running member whose own role is leader; the one with the highest term if there are several.
    pub fn leader(&self) -> Option<MemberId> {
        let leads = |host: &&Host<A>| host.is_up() && !host.is_paused && host.role == Some(Role::Leader);
        let term = |host: &&Host<A>| host.node.as_ref().map_or(0, |node| node.term());
        self.hosts.values().filter(leads).max_by_key(term).map(|host| host.id)
    }

    /// Starts a member's process, unless the process runs, its store is damaged, or the node has another
    /// member.
    pub fn start(&mut self, id: MemberId) {
        let state_machine = (self.make_state_machine)(id);
        let contacts = self.contacts.get(&id.node);
        let options = StartOptions {
            founders: if contacts.is_some() { &[] } else { &self.founders },
            contacts: contacts.unwrap_or(&self.founders),
            plan: &self.plan,
        };
        let Some(host) = self.hosts.get_mut(&id.node) else { return };
        if host.id != id || host.is_up() || host.store_error.is_some() {
            return;
        }
        host.start(self.now, &options, state_machine);
        let run = ProcessRun { member: id, start_count: host.start_count };
        let first_tick = draw::duration(&mut self.rng, TimeDelta::from_micros(1), MAX_FIRST_TICK);
        self.queue.push(self.now + first_tick, Event::Tick(run));
        self.process_ready(id);
    }

    /// Crashes a member's process and its machine; with `torn_writes`, unsynced bytes may partly survive.
    pub fn crash(&mut self, id: MemberId, torn_writes: bool) {
        if self.leader() == Some(id) {
            self.leaderless_since = Some(self.now);
        }
        let host = self.host_mut(id);
        let has_disk_lied = host.has_disk_lied;
        host.crash(torn_writes);
        if has_disk_lied {
            self.checker.members_with_lost_writes.insert(id);
        }
    }

    /// Adds a host for a member that is to join, on a new node or on one whose disk is erased. Returns false
    /// when the member already has a host.
    pub(super) fn add_host(&mut self, id: MemberId, contacts: Vec<MemberId>) -> bool {
        if self.current_host(id).is_some() {
            return false;
        }
        if let Some(old) = self.hosts.get(&id.node).map(|host| host.id) {
            self.crash(old, false);
        }
        let state_machine = (self.make_state_machine)(id);
        let host = Host::new(id, state_machine, &self.plan, &mut self.rng);
        self.hosts.insert(id.node, host);
        self.contacts.insert(id.node, contacts);
        self.start(id);
        true
    }

    /// Removes a member's host, unless the node has a newer member.
    pub(super) fn remove_host(&mut self, id: MemberId) {
        if self.current_host(id).is_some() {
            self.crash(id, false);
            self.hosts.remove(&id.node);
        }
    }

    /// Makes a proposal at a host drawn from the seed.
    pub fn propose(&mut self, bytes: Vec<u8>) -> ProposalId {
        let nodes: Vec<u32> = self.hosts.keys().copied().collect();
        let node = nodes[self.rng.gen_range(0..nodes.len())];
        let member = self.hosts[&node].id;
        self.proposal_count += 1;
        let id = ProposalId { origin: member.raw(), sequence: self.proposal_count };
        // A rejected proposal was not sent to any member, so there is nothing to check.
        let _ = self.host_mut(member).propose(bytes, id);
        self.process_ready(member);
        id
    }

    /// Carries out the pending work of a member's node, and sends its messages.
    pub fn process_ready(&mut self, id: MemberId) {
        let mut outgoing = Vec::new();
        let Some(host) = self.hosts.get_mut(&id.node) else { return };
        let sync_due_before = host.sync_due;
        host.process_ready(self.now, &self.plan, &mut self.rng, &mut self.checker, &mut outgoing);
        let run = ProcessRun { member: id, start_count: host.start_count };
        if let Some(at) = host.sync_due.filter(|_| host.sync_due != sync_due_before) {
            self.queue.push(at, Event::WriteEnded(run));
        }
        self.send(outgoing);
        if let (Some(since), Some(_)) = (self.leaderless_since, self.leader()) {
            self.leaderless_since = None;
            self.elections.push(self.now - since);
        }
    }

    pub(super) fn send(&mut self, frames: Vec<Frame>) {
        for mut frame in frames {
            if self.plan.has(InjectedBug::NoBootsInMessages) {
                frame.0.boots.clear();
            }
            self.checker.check_sent_frame(&frame);
            for at in self.network.arrivals(&mut self.rng, frame.from(), frame.to(), self.now) {
                self.queue.push(at, Event::Deliver(Box::new(frame.clone())));
            }
        }
    }

    /// Delivers a frame, if its receiver is still a member of its node.
    pub(super) fn deliver(&mut self, frame: Frame) {
        let from = frame.from();
        let to = frame.to();
        if self.current_host(to).is_none() {
            return;
        }
        let frame = self.network.transmit(&mut self.rng, frame);
        if let Some(host) = self.hosts.get_mut(&to.node) {
            host.deliver(self.now, from, frame, &self.plan);
        }
        self.process_ready(to);
    }

    /// Completes or rejects the write in progress of a running process. Returns false when the process can't
    /// continue.
    pub(super) fn complete_write(&mut self, id: MemberId) -> bool {
        let mut outgoing = Vec::new();
        let Some(host) = self.hosts.get_mut(&id.node) else { return true };
        let can_continue = host.complete_write(self.now, &self.plan, &mut outgoing);
        self.send(outgoing);
        can_continue
    }

    /// Resumes a paused process.
    pub(super) fn resume(&mut self, id: MemberId) {
        if let Some(host) = self.hosts.get_mut(&id.node) {
            host.resume(self.now, &mut self.rng, &self.plan);
        }
        self.process_ready(id);
    }

    /// One line with the state of each host, for debugging a run.
    pub fn describe(&self) -> String {
        self.hosts.values().map(describe_host).collect()
    }
}

fn describe_host<A: StateMachine>(host: &Host<A>) -> String {
    let flags =
        [("paused", host.is_paused), ("lied", host.has_disk_lied), ("damaged", host.store_error.is_some())];
    let flags: Vec<&str> = flags.iter().filter(|(_, is_set)| *is_set).map(|(name, _)| *name).collect();
    let node = host.node.as_ref().map_or_else(|| "down".to_owned(), |node| node.describe());
    format!("  {} starts {} {flags:?} {node}\n", host.id, host.start_count)
}
