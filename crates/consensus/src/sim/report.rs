//! What a run comes to: the end that must hold, and the sums.

use super::checker::Violation;
use super::host::Host;
use super::recorder::ProposalRecorder;
use super::simulation::Simulation;
use super::{InjectedBug, Plan, StateMachine};
use crate::{MemberId, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// What a run came to.
#[derive(Debug, Default)]
pub struct Report {
    /// The first thing that must not be, if there was one.
    pub violation: Option<Violation>,
    /// Times from a leader's death to the next leader, where the world was otherwise whole.
    pub elections: Vec<TimeDelta>,
    /// Proposals told committed, lost, unknown.
    pub outcomes: [u64; 3],
    /// Troubles made.
    pub faults_injected: u64,
    /// Members replaced.
    pub replaced: u64,
    /// Messages sent.
    pub messages: u64,
    /// Their bytes, estimated from one in sixteen.
    pub bytes: u64,
    /// Alarms by kind.
    pub alarms: BTreeMap<&'static str, u64>,
    /// Members found damaged at a start.
    pub damaged: u64,
    /// Last place with a record.
    pub last: u64,
    /// So many members were out for good at the end that nobody could lead.
    pub unavailable: bool,
}

impl Simulation<ProposalRecorder> {
    /// Runs a plan under a seed, with the plain application.
    pub fn run(plan: Plan, seed: u64) -> Report {
        let careless = plan.has(InjectedBug::RepeatsApplied);
        let mut world = Simulation::new(plan, seed, move |_| ProposalRecorder::new(careless));
        let healed_at = Timestamp::ZERO + world.plan.fault_time;
        let quiet_at = healed_at + world.plan.recovery_time;
        world.run_until(healed_at);
        world.heal();
        world.run_until(quiet_at);
        // Without new proposals everybody comes to the same end.
        world.proposing = false;
        world.run_until(quiet_at + TimeDelta::from_whole_secs(3));
        world.judge();
        world.report()
    }

    /// What must hold once all is whole again: everybody who takes part has all that was told committed, once.
    pub fn judge(&mut self) {
        if self.check.violation.is_some() {
            return;
        }
        let Some(leader) = self.leader() else {
            if !self.could_lead() {
                self.unavailable = true;
                return;
            }
            let state = self.describe();
            return self.check.fail(format!("no leader at the end\n{state}"));
        };
        let members = self.host(leader).council.as_ref().map(|council| council.members()).unwrap_or_default();
        let last = self.check.last_committed();
        let mut faults = Vec::new();
        for host in self.hosts.values().filter(|host| members.contains(host.id) && host.is_established()) {
            let lost = self.check.told_committed.iter().find(|(id, _)| !host.app.applied.contains_key(id));
            if let Some((id, index)) = lost {
                faults.push(format!("{} lacks {id:?}, told committed at {index}, last is {last}", host.id));
            }
            if let Some((id, times)) = host.app.applied.iter().find(|(_, &times)| times != 1) {
                faults.push(format!("{} applied {id:?} {times} times", host.id));
            }
        }
        faults.into_iter().for_each(|fault| self.check.fail(fault));
    }
}

impl<A: StateMachine> Simulation<A> {
    /// Whether a majority of the voters, by the newest list that anybody has, is not out for good.
    fn could_lead(&self) -> bool {
        let lists = self
            .hosts
            .values()
            .filter_map(|host| host.council.as_ref())
            .map(|council| council.members_from());
        let Some((_, members)) = lists.max_by_key(|(from, _)| *from) else { return false };
        let sound = |voter: &&MemberId| self.held(**voter).is_some_and(|host| !host.is_out());
        members.voters.iter().filter(sound).count() > members.voters.len() / 2
    }

    /// One line a host, for whoever looks into a run.
    pub fn describe(&self) -> String {
        let line = |host: &Host<A>| {
            let flags = [("stopped", host.stopped), ("lied", host.lied), ("damaged", host.damaged.is_some())];
            let flags: Vec<&str> = flags.iter().filter(|(_, on)| *on).map(|(name, _)| *name).collect();
            let state = host.council.as_ref().map(|council| council.describe());
            format!(
                "  {} starts {} {flags:?} {}\n",
                host.id,
                host.starts,
                state.unwrap_or_else(|| "down".to_owned())
            )
        };
        self.hosts.values().map(line).collect()
    }

    /// What the run came to.
    pub fn report(&mut self) -> Report {
        Report {
            violation: self.check.violation.clone(),
            elections: std::mem::take(&mut self.elections),
            outcomes: self.check.outcomes,
            faults_injected: self.nemesis.as_ref().map_or(0, |nemesis| nemesis.faults_injected),
            replaced: self.operator.replaced,
            messages: self.net.sent,
            bytes: self.net.bytes,
            alarms: std::mem::take(&mut self.check.alarms),
            damaged: self.hosts.values().filter(|host| host.damaged.is_some()).count() as u64,
            last: self.check.last_committed(),
            unavailable: self.unavailable,
        }
    }
}
