//! The result of a run: the checks at its end, and the totals.

use super::checker::{OutcomeCounts, Violation, ViolationKind};
use super::plan::{InjectedBug, Plan};
use super::recorder::ProposalRecorder;
use super::simulation::Simulation;
use super::state_machine::StateMachine;
use crate::ids::MemberId;
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Time without proposals at the end of a run, in which all members must reach the same state.
const QUIET_TIME: TimeDelta = TimeDelta::from_secs(3);

/// The result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// The first violation, if there was one.
    pub violation: Option<Violation>,
    /// For each crash of a leader, the time until there was a leader again.
    pub elections: Vec<TimeDelta>,
    /// Number of proposals by reported outcome.
    pub outcomes: OutcomeCounts,
    /// Number of faults injected.
    pub faults_injected: u64,
    /// Number of members replaced.
    pub members_replaced: u64,
    /// Number of messages sent, including lost ones.
    pub messages: u64,
    /// Size of the messages, bytes, estimated from one in sixteen.
    pub bytes: u64,
    /// Number of alarms by kind.
    pub alarm_counts: BTreeMap<&'static str, u64>,
    /// Number of members whose store was found damaged.
    pub damaged_stores: u64,
    /// Index of the last committed proposal; 0 when there is none.
    pub last_committed: u64,
    /// Whether too many members were permanently excluded at the end for a leader to be elected.
    pub is_unavailable: bool,
}

impl Simulation<ProposalRecorder> {
    /// Runs a plan with a seed, with [`ProposalRecorder`] as the state machine.
    pub fn run(plan: Plan, seed: u64) -> Report {
        let applies_duplicates = plan.has(InjectedBug::DuplicatesApplied);
        let healed_at = Timestamp::ZERO + plan.fault_time;
        let quiet_at = healed_at + plan.recovery_time;
        let mut simulation = Simulation::new(plan, seed, move |_| ProposalRecorder::new(applies_duplicates));
        simulation.run_until(healed_at);
        simulation.heal();
        simulation.run_until(quiet_at);
        simulation.is_proposing = false;
        simulation.run_until(quiet_at + QUIET_TIME);
        simulation.check_end();
        simulation.report()
    }

    /// Checks the invariants that must hold after all faults have ended: there is a leader, and every member
    /// that takes part has applied every proposal reported as committed exactly once.
    pub fn check_end(&mut self) {
        if self.cluster.checker.violation.is_some() {
            return;
        }
        let Some(leader) = self.cluster.leader() else {
            if self.has_electable_majority() {
                let hosts = self.cluster.describe();
                self.cluster.checker.fail(ViolationKind::NoLeader { hosts });
            } else {
                self.is_unavailable = true;
            }
            return;
        };
        for violation in self.end_violations(leader) {
            self.cluster.checker.fail(violation);
        }
    }

    fn end_violations(&self, leader: MemberId) -> Vec<ViolationKind> {
        let node = self.cluster.host(leader).node.as_ref();
        let membership = node.map(|node| node.membership()).unwrap_or_default();
        let checker = &self.cluster.checker;
        let mut violations = Vec::new();
        for host in self.cluster.hosts.values() {
            let member = host.id;
            if !membership.contains(member) || !host.is_established() {
                continue;
            }
            let apply_counts = &host.state_machine.apply_counts;
            let mut lost = checker.reported_committed.iter().filter(|(id, _)| !apply_counts.contains_key(id));
            if let Some((&id, &index)) = lost.next() {
                let last_committed = checker.last_committed();
                violations.push(ViolationKind::ProposalLost { member, id, index, last_committed });
            }
            if let Some((&id, &count)) = apply_counts.iter().find(|(_, &count)| count != 1) {
                violations.push(ViolationKind::AppliedRepeatedly { member, id, count });
            }
        }
        violations
    }
}

impl<A: StateMachine> Simulation<A> {
    /// Whether a majority of the voters, by the newest membership that any member has, is not permanently
    /// excluded.
    fn has_electable_majority(&self) -> bool {
        let nodes = self.cluster.hosts.values().filter_map(|host| host.node.as_ref());
        let memberships = nodes.map(|node| node.versioned_membership());
        let Some(newest) = memberships.max_by_key(|membership| membership.index) else { return false };
        let voters = newest.membership.voters;
        let can_vote =
            |voter: &&MemberId| self.cluster.current_host(**voter).is_some_and(|host| !host.is_excluded());
        voters.iter().filter(can_vote).count() > voters.len() / 2
    }

    /// The result of the run.
    pub fn report(&mut self) -> Report {
        let faults_injected = self.faults_injected();
        let members_replaced = self.members_replaced();
        let cluster = &mut self.cluster;
        let damaged_stores = cluster.hosts.values().filter(|host| host.store_error.is_some()).count() as u64;
        Report {
            violation: cluster.checker.violation.clone(),
            elections: std::mem::take(&mut cluster.elections),
            outcomes: cluster.checker.outcomes,
            faults_injected,
            members_replaced,
            messages: cluster.network.sent,
            bytes: cluster.network.bytes,
            alarm_counts: std::mem::take(&mut cluster.checker.alarm_counts),
            damaged_stores,
            last_committed: cluster.checker.last_committed(),
            is_unavailable: self.is_unavailable,
        }
    }
}
