//! Named plans: what CI and the long runs go through.

use super::{Plan, Trouble};
use crate::TimeDelta;

impl Plan {
    /// Everything breaks but disks keep what they promised; any number may be down at once.
    pub fn honest(members: u32) -> Plan {
        Plan { members, ..Plan::default() }
    }

    /// One disk lies or rots, and any number may be down at once.
    pub fn one_liar(members: u32) -> Plan {
        let mut troubles = Trouble::ALL.to_vec();
        // Named several times to be chosen more often.
        troubles.extend([Trouble::Lie, Trouble::Lie, Trouble::Rot, Trouble::CrashLeader]);
        Plan { members, liars: 1, troubles, ..Plan::default() }
    }

    /// As many disks lie as a council can spare, while at least a majority of the others takes part all the time; members
    /// wait for that majority as long as it takes.
    pub fn liars(members: u32) -> Plan {
        let spare = (members - 1) / 2;
        let mut plan = Plan { liars: spare, down: spare, ..Plan::one_liar(members) };
        plan.timing.patience = TimeDelta::from_whole_secs(600);
        plan
    }

    /// Only the leader dies, again and again, in an otherwise whole council: for the time to a new leader.
    pub fn leader_dies(members: u32) -> Plan {
        Plan {
            members,
            trouble: TimeDelta::from_whole_secs(120),
            strike_every: TimeDelta::from_whole_secs(6),
            troubles: vec![Trouble::CrashLeader],
            loss: 0,
            twice: 0,
            delay: TimeDelta::from_millis(1),
            ..Plan::default()
        }
    }

    /// Shorter, for many seeds in little time.
    pub fn shorter(mut self, trouble: TimeDelta) -> Plan {
        self.trouble = trouble;
        self.calm = TimeDelta::from_whole_secs(10);
        self.propose_every = TimeDelta::from_millis(80);
        self
    }
}
