//! Named plans: what CI and the long runs go through.

use super::{Fault, Plan};
use crate::TimeDelta;

impl Plan {
    /// Everything breaks but disks keep what they promised; any number may be down at once.
    pub fn honest(members: u32) -> Plan {
        Plan { members, ..Plan::default() }
    }

    /// One disk lies or rots, and any number may be down at once.
    pub fn one_liar(members: u32) -> Plan {
        let mut faults = Fault::ALL.to_vec();
        // Named several times to be chosen more often.
        faults.extend([Fault::Lie, Fault::Lie, Fault::Rot, Fault::CrashLeader]);
        Plan { members, lying_disks: 1, faults, ..Plan::default() }
    }

    /// As many disks lie as a council can spare, while at least a majority of the others takes part all the time; members
    /// wait for that majority as long as it takes.
    pub fn liars(members: u32) -> Plan {
        let spare = (members - 1) / 2;
        let mut plan = Plan { lying_disks: spare, max_down: spare, ..Plan::one_liar(members) };
        plan.timing.patience = TimeDelta::from_whole_secs(600);
        plan
    }

    /// Only the leader dies, again and again, in an otherwise whole council: for the time to a new leader.
    pub fn leader_dies(members: u32) -> Plan {
        Plan {
            members,
            fault_time: TimeDelta::from_whole_secs(120),
            fault_every: TimeDelta::from_whole_secs(6),
            faults: vec![Fault::CrashLeader],
            loss_per_mille: 0,
            duplicate_per_mille: 0,
            max_delay: TimeDelta::from_millis(1),
            ..Plan::default()
        }
    }

    /// Shorter, for many seeds in little time.
    pub fn shorter(mut self, fault_time: TimeDelta) -> Plan {
        self.fault_time = fault_time;
        self.recovery_time = TimeDelta::from_whole_secs(10);
        self.propose_every = TimeDelta::from_millis(80);
        self
    }
}
