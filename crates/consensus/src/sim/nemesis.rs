//! The nemesis: draws faults from the seed and injects them.

use super::cluster::Cluster;
use super::draw;
use super::faults::{Fault, FaultEnd, Link};
use super::operator::Operator;
use super::plan::Plan;
use super::state_machine::StateMachine;
use crate::ids::MemberId;
use rand::seq::SliceRandom;
use rand::Rng;
use sprucelink_time::{TimeDelta, Timestamp};

/// Shortest duration of a fault that lasts.
const MIN_FAULT_TIME: TimeDelta = TimeDelta::from_millis(50);
/// Longest duration of a fault that lasts.
const MAX_FAULT_TIME: TimeDelta = TimeDelta::from_millis(3_000);
/// Shortest time until a crashed process restarts.
const MIN_DOWN_TIME: TimeDelta = TimeDelta::from_millis(10);
/// Longest time until a crashed process restarts.
const MAX_DOWN_TIME: TimeDelta = TimeDelta::from_millis(2_000);
/// Longest duration of a sync on a slow disk.
const SLOW_SYNC_TIME: TimeDelta = TimeDelta::from_millis(1_000);

/// The end of an injected fault, and its time.
pub(super) struct ScheduledEnd {
    pub ends_at: Timestamp,
    pub end: FaultEnd,
}

/// Injects the faults of a plan.
#[derive(Debug)]
pub(super) struct Nemesis {
    /// Number of faults that make a disk lose acknowledged writes and may still be injected.
    write_loss_faults_left: u32,
    /// Number of faults injected so far.
    pub injected: u64,
}

/// Parameters drawn for one fault.
struct DrawnFault {
    /// The member to inject the fault into.
    target: MemberId,
    /// Time at which the fault ends, for faults that last.
    until: Timestamp,
    /// Number of members that may still be crashed.
    max_more_down: u32,
}

impl Nemesis {
    pub fn new(plan: &Plan) -> Self {
        Nemesis { write_loss_faults_left: plan.max_write_loss_faults, injected: 0 }
    }

    /// Injects one fault, if the plan and the state of the cluster allow it. Returns the events that end it.
    pub fn inject<A: StateMachine>(
        &mut self,
        cluster: &mut Cluster<A>,
        operator: &mut Operator,
    ) -> Vec<ScheduledEnd> {
        let until = cluster.now() + draw::duration(&mut cluster.rng, MIN_FAULT_TIME, MAX_FAULT_TIME);
        let hosts = cluster.hosts.values();
        let running: Vec<MemberId> =
            hosts.filter(|host| host.is_up() && !host.is_paused).map(|host| host.id).collect();
        let hosts = cluster.hosts.values();
        let down = hosts.filter(|host| !host.is_excluded() && !host.is_established()).count() as u32;
        let Some(&target) = running.choose(&mut cluster.rng) else { return Vec::new() };
        let Some(&fault) = cluster.plan.faults.choose(&mut cluster.rng) else { return Vec::new() };
        let max_more_down = cluster.plan.max_down.saturating_sub(down);
        let drawn = DrawnFault { target, until, max_more_down };
        self.injected += 1;
        match fault {
            Fault::Crash | Fault::CrashLeader | Fault::CrashMany => {
                inject_crash(cluster, fault, &drawn, &running)
            }
            Fault::BitFlip | Fault::LyingDisk => self.inject_lost_writes(cluster, fault, &drawn),
            Fault::Partition | Fault::OneWayLoss | Fault::Isolate => {
                inject_link_fault(cluster, fault, &drawn, &running)
            }
            Fault::Pause | Fault::SlowLinks | Fault::SlowSync | Fault::DiskFull => {
                inject_delay(cluster, fault, &drawn)
            }
            Fault::Replace => {
                let node = cluster.hosts.keys().next_back().map_or(1, |last| last + 1);
                operator.replace(target, MemberId::new(node, 1));
                Vec::new()
            }
            Fault::Transfer => {
                operator.transfer_leadership(target);
                Vec::new()
            }
        }
    }

    fn inject_lost_writes<A: StateMachine>(
        &mut self,
        cluster: &mut Cluster<A>,
        fault: Fault,
        drawn: &DrawnFault,
    ) -> Vec<ScheduledEnd> {
        if self.write_loss_faults_left == 0 {
            return Vec::new();
        }
        let target = drawn.target;
        if fault == Fault::BitFlip && drawn.max_more_down > 0 {
            self.write_loss_faults_left -= 1;
            let ends = crash_all(cluster, vec![target]);
            cluster.host_mut(target).flip_bit();
            return ends;
        }
        if fault == Fault::LyingDisk && !cluster.host(target).has_disk_lied {
            self.write_loss_faults_left -= 1;
            cluster.host_mut(target).is_disk_lying = true;
            return vec![ScheduledEnd { ends_at: drawn.until, end: FaultEnd::CrashWithLyingDisk(target) }];
        }
        Vec::new()
    }
}

fn inject_crash<A: StateMachine>(
    cluster: &mut Cluster<A>,
    fault: Fault,
    drawn: &DrawnFault,
    running: &[MemberId],
) -> Vec<ScheduledEnd> {
    if drawn.max_more_down == 0 {
        return Vec::new();
    }
    match fault {
        Fault::CrashLeader => match cluster.leader() {
            Some(leader) => crash_all(cluster, vec![leader]),
            None => Vec::new(),
        },
        Fault::CrashMany => {
            let count = cluster.rng.gen_range(1..=running.len()).min(drawn.max_more_down as usize);
            let members = running.choose_multiple(&mut cluster.rng, count).copied().collect();
            crash_all(cluster, members)
        }
        _ => crash_all(cluster, vec![drawn.target]),
    }
}

/// Crashes processes; each restarts after a separately drawn time.
fn crash_all<A: StateMachine>(cluster: &mut Cluster<A>, members: Vec<MemberId>) -> Vec<ScheduledEnd> {
    let torn_writes = cluster.rng.gen();
    let mut ends = Vec::new();
    for member in members {
        cluster.crash(member, torn_writes);
        let ends_at = cluster.now() + draw::duration(&mut cluster.rng, MIN_DOWN_TIME, MAX_DOWN_TIME);
        ends.push(ScheduledEnd { ends_at, end: FaultEnd::Restart(member) });
    }
    ends
}

fn inject_link_fault<A: StateMachine>(
    cluster: &mut Cluster<A>,
    fault: Fault,
    drawn: &DrawnFault,
    running: &[MemberId],
) -> Vec<ScheduledEnd> {
    let target = drawn.target.node;
    let links: Vec<Link> = match fault {
        Fault::Partition => partition(cluster),
        Fault::OneWayLoss => {
            let other = running.choose(&mut cluster.rng).map_or(target, |other| other.node);
            vec![Link::new(target, other)]
        }
        _ => {
            let is_outgoing = cluster.rng.gen();
            let link = |&other| if is_outgoing { Link::new(target, other) } else { Link::new(other, target) };
            cluster.hosts.keys().map(link).collect()
        }
    };
    cluster.network.cut_links.extend(&links);
    vec![ScheduledEnd { ends_at: drawn.until, end: FaultEnd::RestoreLinks(links) }]
}

/// The links between two halves of the nodes, drawn from the seed.
fn partition<A: StateMachine>(cluster: &mut Cluster<A>) -> Vec<Link> {
    let mut left: Vec<u32> = cluster.hosts.keys().copied().collect();
    left.shuffle(&mut cluster.rng);
    let right = left.split_off(left.len() / 2 + cluster.rng.gen_range(0..=1));
    let mut links = Vec::new();
    for &left_node in &left {
        for &right_node in &right {
            links.push(Link::new(left_node, right_node));
            links.push(Link::new(right_node, left_node));
        }
    }
    links
}

fn inject_delay<A: StateMachine>(
    cluster: &mut Cluster<A>,
    fault: Fault,
    drawn: &DrawnFault,
) -> Vec<ScheduledEnd> {
    let target = drawn.target;
    let end = match fault {
        Fault::Pause => {
            cluster.host_mut(target).is_paused = true;
            FaultEnd::Resume(target)
        }
        Fault::SlowLinks => {
            cluster.network.slow_nodes.insert(target.node);
            FaultEnd::RestoreSpeed(target.node)
        }
        Fault::SlowSync => {
            cluster.host_mut(target).max_sync_time = SLOW_SYNC_TIME;
            FaultEnd::RestoreDisk(target)
        }
        _ => {
            cluster.host_mut(target).is_disk_full = true;
            FaultEnd::RestoreDisk(target)
        }
    };
    vec![ScheduledEnd { ends_at: drawn.until, end }]
}
