//! The simulated operator. Step by step, through commands to the leader, it replaces members that are
//! permanently excluded or chosen by the nemesis, and transfers leadership. While there is no leader for
//! long, it declares the stores of excluded members permanently lost.

use super::cluster::Cluster;
use super::state_machine::StateMachine;
use crate::ids::MemberId;
use crate::limits::{MAX_VOTERS, MIN_VOTERS};
use sprucelink_time::{TimeDelta, Timestamp};

/// Time without a leader after which the operator declares members lost.
const MAX_TIME_WITHOUT_LEADER: TimeDelta = TimeDelta::from_secs(8);

/// A member that is to be replaced, and its successor.
#[derive(Debug, Clone, Copy)]
struct Replacement {
    old: MemberId,
    new: MemberId,
}

/// Pending work of the operator.
#[derive(Debug, Default)]
pub(super) struct Operator {
    /// Pending replacements, done one after another.
    replacements: Vec<Replacement>,
    transfer_to: Option<MemberId>,
    /// Members whose stores were erased by a replacement on the same node.
    lost: Vec<MemberId>,
    /// Time at which there last was a leader, or members were declared lost.
    last_leader_at: Timestamp,
    /// Number of members replaced so far.
    pub replaced: u64,
}

impl Operator {
    /// Requests to replace a healthy member by one on another node, unless a replacement is in progress.
    pub fn replace(&mut self, old: MemberId, new: MemberId) {
        if self.replacements.is_empty() {
            self.replacements.push(Replacement { old, new });
        }
    }

    /// Requests a transfer of leadership at the next step.
    pub fn transfer_leadership(&mut self, to: MemberId) {
        self.transfer_to = Some(to);
    }

    /// Takes the next step.
    pub fn step<A: StateMachine>(&mut self, cluster: &mut Cluster<A>) {
        self.plan_replacements(cluster);
        let Some(leader) = cluster.leader() else {
            self.declare_lost_members(cluster);
            return;
        };
        self.last_leader_at = cluster.now();
        if let Some(to) = self.transfer_to.take() {
            if let Some(node) = cluster.host_mut(leader).node.as_mut() {
                // A transfer that is rejected now is not repeated.
                let _ = node.transfer_leadership(to);
            }
        }
        if let Some(&replacement) = self.replacements.first() {
            self.step_replacement(cluster, leader, replacement);
        }
    }

    /// Plans to replace permanently excluded members by new incarnations on the same nodes.
    fn plan_replacements<A: StateMachine>(&mut self, cluster: &Cluster<A>) {
        for host in cluster.hosts.values().filter(|host| host.is_excluded()) {
            let old = host.id;
            if !self.replacements.iter().any(|replacement| replacement.old == old) {
                let new = MemberId::new(old.node, old.incarnation + 1);
                self.replacements.push(Replacement { old, new });
            }
        }
    }

    /// Takes the next step of a replacement. A command that is rejected now is repeated at the next step.
    fn step_replacement<A: StateMachine>(
        &mut self,
        cluster: &mut Cluster<A>,
        leader: MemberId,
        Replacement { old, new }: Replacement,
    ) {
        let is_old_excluded = cluster.current_host(old).is_none_or(|host| host.is_excluded());
        let Some(node) = cluster.host_mut(leader).node.as_mut() else { return };
        let membership = node.membership();
        let voters = membership.voters.len();
        if old == leader {
            if let Some(&other) = membership.voters.iter().find(|&&voter| voter != old) {
                let _ = node.transfer_leadership(other);
            }
        } else if membership.contains(old) && voters > MIN_VOTERS && (is_old_excluded || voters == MAX_VOTERS)
        {
            // The old member is removed first if it is excluded and only makes a majority harder to reach, or
            // if the number of voters is at its limit.
            let _ = node.remove(old);
        } else if !membership.contains(new) {
            let _ = node.add_learner(new);
            if cluster.add_host(new, membership.voters) && old.node == new.node {
                self.lost.push(old);
            }
        } else if membership.learners.contains(&new) {
            let _ = node.promote(new);
        } else if membership.contains(old) {
            let _ = node.remove(old);
        } else {
            self.replacements.remove(0);
            self.replaced += 1;
            cluster.remove_host(old);
        }
    }

    /// After [`MAX_TIME_WITHOUT_LEADER`], declares the stores of excluded and replaced members lost at every
    /// running member.
    fn declare_lost_members<A: StateMachine>(&mut self, cluster: &mut Cluster<A>) {
        if cluster.now() - self.last_leader_at < MAX_TIME_WITHOUT_LEADER {
            return;
        }
        self.last_leader_at = cluster.now();
        let excluded = cluster.hosts.values().filter(|host| host.is_excluded()).map(|host| host.id);
        let lost: Vec<MemberId> = excluded.chain(self.lost.iter().copied()).collect();
        for node in cluster.hosts.values_mut().filter_map(|host| host.node.as_mut()) {
            let id = node.id();
            for &member in lost.iter().filter(|&&member| member != id) {
                node.declare_lost(member);
            }
        }
    }
}
