//! A simulated run: handles the events in virtual time.

use super::cluster::Cluster;
use super::draw;
use super::event_queue::{Event, ProcessRun};
use super::faults::FaultEnd;
use super::nemesis::Nemesis;
use super::operator::Operator;
use super::plan::Plan;
use super::state_machine::StateMachine;
use crate::ids::MemberId;
use rand::Rng;
use sprucelink_time::{TimeDelta, Timestamp};

/// Interval of the operator's steps.
const OPERATOR_STEP_EVERY: TimeDelta = TimeDelta::from_millis(200);
/// Shortest time between two ticks of a process.
const MIN_TICK: TimeDelta = TimeDelta::from_millis(45);
/// Longest time between two ticks of a process.
const MAX_TICK: TimeDelta = TimeDelta::from_millis(55);
/// Time from the start of the run to the first fault.
const FIRST_FAULT: TimeDelta = TimeDelta::from_secs(1);
/// Upper bound of a proposal's length (exclusive), bytes.
const PROPOSAL_LENGTH_BOUND: usize = 64;
/// Interval of checking whether a paused process has resumed, so that its write can complete.
const PAUSED_SYNC_RETRY: TimeDelta = TimeDelta::from_millis(10);
/// Time after which a process that could not continue after a failed write restarts.
const RESTART_AFTER_FAILED_WRITE: TimeDelta = TimeDelta::from_millis(100);
/// Shortest time after which a process that crashed with its lying disk restarts.
const MIN_LYING_DISK_DOWN_TIME: TimeDelta = TimeDelta::from_millis(10);
/// Longest time after which a process that crashed with its lying disk restarts.
const MAX_LYING_DISK_DOWN_TIME: TimeDelta = TimeDelta::from_secs(1);

/// One run: a cluster, the nemesis and the operator.
pub struct Simulation<A> {
    /// The hosts and the network.
    pub cluster: Cluster<A>,
    nemesis: Nemesis,
    operator: Operator,
    injects_faults: bool,
    /// Whether proposals are made; the caller may unset it to let the members reach the same state.
    pub is_proposing: bool,
    /// Whether no leader could be elected at the end, because too many members were permanently excluded.
    pub(super) is_unavailable: bool,
}

impl<A: StateMachine> Simulation<A> {
    /// A group of founders, all started at time 0; `make_state_machine` makes a new state machine at each
    /// start of a host.
    pub fn new(plan: Plan, seed: u64, make_state_machine: impl Fn(MemberId) -> A + Send + 'static) -> Self {
        let nemesis = Nemesis::new(&plan);
        let injects_faults = plan.fault_every > TimeDelta::ZERO;
        let is_proposing = plan.propose_every > TimeDelta::ZERO;
        let mut cluster = Cluster::new(plan, seed, Box::new(make_state_machine));
        cluster.queue.push(Timestamp::ZERO, Event::Propose);
        cluster.queue.push(Timestamp::ZERO + OPERATOR_STEP_EVERY, Event::OperatorStep);
        cluster.queue.push(Timestamp::ZERO + FIRST_FAULT, Event::InjectFault);
        Simulation {
            cluster,
            nemesis,
            operator: Operator::default(),
            injects_faults,
            is_proposing,
            is_unavailable: false,
        }
    }

    /// Runs until a time, or until the first violation.
    pub fn run_until(&mut self, end: Timestamp) {
        while self.cluster.checker.violation.is_none() {
            let Some((at, event)) = self.cluster.queue.pop_until(end) else { break };
            self.cluster.now = at;
            self.cluster.checker.set_time(at);
            self.handle(event);
        }
        self.cluster.now = self.cluster.now.max(end);
    }

    /// Ends all faults of links, disks and processes, and stops injecting faults.
    pub fn heal(&mut self) {
        self.injects_faults = false;
        self.cluster.network.heal();
        for id in self.cluster.members() {
            self.heal_host(id);
        }
    }

    fn heal_host(&mut self, id: MemberId) {
        let max_sync_time = self.cluster.plan.max_sync_time;
        let host = self.cluster.host_mut(id);
        host.max_sync_time = max_sync_time;
        host.is_disk_full = false;
        let loses_writes = host.is_disk_lying && host.is_up();
        if loses_writes {
            // From now on the disk syncs correctly. Data that the disk did not write is lost with the
            // machine's memory.
            host.crash(true);
        }
        host.is_disk_lying = false;
        let is_paused = host.is_paused;
        if loses_writes {
            self.cluster.checker.members_with_lost_writes.insert(id);
        }
        if is_paused {
            self.cluster.resume(id);
        }
        self.cluster.start(id);
    }

    /// Number of faults injected so far.
    pub fn faults_injected(&self) -> u64 {
        self.nemesis.injected
    }

    /// Number of members replaced so far.
    pub fn members_replaced(&self) -> u64 {
        self.operator.replaced
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(run) => self.tick(run),
            Event::Deliver(frame) => self.cluster.deliver(*frame),
            Event::WriteEnded(run) => self.complete_write(run),
            Event::Propose => self.propose(),
            Event::InjectFault => self.inject_fault(),
            Event::EndFault(end) => self.end_fault(end),
            Event::OperatorStep => self.step_operator(),
        }
    }

    fn schedule(&mut self, after: TimeDelta, event: Event) {
        self.cluster.queue.push(self.cluster.now + after, event);
    }

    fn tick(&mut self, run: ProcessRun) {
        if !self.cluster.is_running(run) {
            return;
        }
        let now = self.cluster.now;
        self.cluster.host_mut(run.member).tick(now);
        self.cluster.process_ready(run.member);
        let next = draw::duration(&mut self.cluster.rng, MIN_TICK, MAX_TICK);
        self.schedule(next, Event::Tick(run));
    }

    fn complete_write(&mut self, run: ProcessRun) {
        if !self.cluster.is_running(run) {
            return;
        }
        if self.cluster.host(run.member).is_paused {
            self.schedule(PAUSED_SYNC_RETRY, Event::WriteEnded(run));
            return;
        }
        if self.cluster.complete_write(run.member) {
            self.cluster.process_ready(run.member);
        } else {
            self.cluster.crash(run.member, true);
            self.schedule(RESTART_AFTER_FAILED_WRITE, Event::EndFault(FaultEnd::Restart(run.member)));
        }
    }

    fn propose(&mut self) {
        if !self.is_proposing {
            return;
        }
        let byte: u8 = self.cluster.rng.gen();
        let length = self.cluster.rng.gen_range(0..PROPOSAL_LENGTH_BOUND);
        self.cluster.propose(vec![byte; length]);
        let next = draw::duration_around(&mut self.cluster.rng, self.cluster.plan.propose_every);
        self.schedule(next, Event::Propose);
    }

    fn step_operator(&mut self) {
        self.operator.step(&mut self.cluster);
        for id in self.cluster.members() {
            self.cluster.process_ready(id);
        }
        self.schedule(OPERATOR_STEP_EVERY, Event::OperatorStep);
    }

    fn inject_fault(&mut self) {
        if !self.injects_faults {
            return;
        }
        for scheduled in self.nemesis.inject(&mut self.cluster, &mut self.operator) {
            self.cluster.queue.push(scheduled.ends_at, Event::EndFault(scheduled.end));
        }
        let next = draw::duration_around(&mut self.cluster.rng, self.cluster.plan.fault_every);
        self.schedule(next, Event::InjectFault);
    }

    fn end_fault(&mut self, end: FaultEnd) {
        match end {
            FaultEnd::Restart(id) => self.cluster.start(id),
            FaultEnd::RestoreLinks(links) => {
                for link in &links {
                    self.cluster.network.cut_links.remove(link);
                }
            }
            FaultEnd::RestoreSpeed(node) => {
                self.cluster.network.slow_nodes.remove(&node);
            }
            FaultEnd::Resume(id) => {
                if self.cluster.current_host(id).is_some_and(|host| host.is_paused) {
                    self.cluster.resume(id);
                }
            }
            FaultEnd::RestoreDisk(id) => {
                let max_sync_time = self.cluster.plan.max_sync_time;
                if let Some(host) = self.cluster.hosts.get_mut(&id.node) {
                    host.is_disk_full = false;
                    host.max_sync_time = max_sync_time;
                }
            }
            FaultEnd::CrashWithLyingDisk(id) => self.crash_with_lying_disk(id),
        }
    }

    fn crash_with_lying_disk(&mut self, id: MemberId) {
        if !self.cluster.current_host(id).is_some_and(|host| host.is_disk_lying) {
            return;
        }
        self.cluster.crash(id, true);
        self.cluster.host_mut(id).is_disk_lying = false;
        let down_time =
            draw::duration(&mut self.cluster.rng, MIN_LYING_DISK_DOWN_TIME, MAX_LYING_DISK_DOWN_TIME);
        self.schedule(down_time, Event::EndFault(FaultEnd::Restart(id)));
    }
}
