//! What a run is like, and the named plans of CI and of the long runs.

use super::faults::Fault;
use crate::config::Timing;
use sprucelink_time::TimeDelta;

/// A bug put into every host on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// The vote, and a term beyond the last entry's, are left out of what goes to disk.
    VoteNotPersisted,
    /// Messages are sent, and the batch counts as written, before it is on disk.
    AckBeforeSync,
    /// A member trusts its disk when it starts: no acknowledgement check and no floors.
    TrustDisk,
    /// Messages don't carry the boots of the members.
    NoCrashVectors,
    /// The state machine does not drop duplicates.
    DuplicatesApplied,
    /// A leader accepts proposals that were meant for another term.
    AnyTermProposals,
}

/// What a run is like.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Number of founders, 3 to 7.
    pub members: u32,
    /// How long faults are injected.
    pub fault_time: TimeDelta,
    /// How long the group then has to recover.
    pub recovery_time: TimeDelta,
    /// Time between proposals, on average.
    pub propose_every: TimeDelta,
    /// Time between faults, on average; zero for none.
    pub fault_every: TimeDelta,
    /// The faults to choose from; one that is listed several times is chosen more often.
    pub faults: Vec<Fault>,
    /// How many members' disks may lie or rot, one after another; each lies at most once.
    pub lying_disks: u32,
    /// How many members may be down or rejoining at a time before no more are crashed.
    pub max_down: u32,
    /// Fraction of messages that are lost, in thousandths.
    pub loss_per_mille: u32,
    /// Fraction of messages that are delivered twice, in thousandths.
    pub duplicate_per_mille: u32,
    /// Longest delay of a message; the shortest is a tenth of a millisecond.
    pub max_delay: TimeDelta,
    /// Longest time of a sync without faults.
    pub max_sync_time: TimeDelta,
    /// The members' times.
    pub timing: Timing,
    /// Bugs put in on purpose.
    pub bugs: Vec<InjectedBug>,
}

impl Default for Plan {
    /// Five members through 20 s of all faults but lying disks.
    fn default() -> Self {
        Plan {
            members: 5,
            fault_time: TimeDelta::from_secs(20),
            recovery_time: TimeDelta::from_secs(20),
            propose_every: TimeDelta::from_millis(50),
            fault_every: TimeDelta::from_millis(800),
            faults: Fault::ALL_BUT_LYING_DISKS.to_vec(),
            lying_disks: 0,
            max_down: u32::MAX,
            loss_per_mille: 20,
            duplicate_per_mille: 20,
            max_delay: TimeDelta::from_millis(20),
            max_sync_time: TimeDelta::from_millis(5),
            timing: Timing { snapshot_every: 64, ..Timing::default() },
            bugs: Vec::new(),
        }
    }
}

impl Plan {
    /// Whether a bug is put in.
    pub fn has(&self, bug: InjectedBug) -> bool {
        self.bugs.contains(&bug)
    }

    /// All faults, but disks keep what they acknowledged; any number of members may be down at once.
    pub fn correct_disks(members: u32) -> Plan {
        Plan { members, ..Plan::default() }
    }

    /// One disk lies or rots, and any number of members may be down at once.
    pub fn one_lying_disk(members: u32) -> Plan {
        let mut faults = Fault::ALL_BUT_LYING_DISKS.to_vec();
        faults.extend([Fault::LyingDisk, Fault::LyingDisk, Fault::BitFlip, Fault::CrashLeader]);
        Plan { members, lying_disks: 1, faults, ..Plan::default() }
    }

    /// A minority of the disks lie, while a majority takes part all the time; rejoining members wait for that
    /// majority as long as it takes.
    pub fn minority_lying_disks(members: u32) -> Plan {
        let minority = (members - 1) / 2;
        let mut plan = Plan { lying_disks: minority, max_down: minority, ..Plan::one_lying_disk(members) };
        plan.timing.rejoin_patience = TimeDelta::from_secs(600);
        plan
    }

    /// Only the leader crashes, again and again, in an otherwise healthy group: for the time to a new leader.
    pub fn leader_crashes(members: u32) -> Plan {
        Plan {
            members,
            fault_time: TimeDelta::from_secs(120),
            fault_every: TimeDelta::from_secs(6),
            faults: vec![Fault::CrashLeader],
            loss_per_mille: 0,
            duplicate_per_mille: 0,
            max_delay: TimeDelta::from_millis(1),
            ..Plan::default()
        }
    }

    /// A shorter run, for many seeds in little time.
    pub fn shorter(self, fault_time: TimeDelta) -> Plan {
        Plan {
            fault_time,
            recovery_time: TimeDelta::from_secs(10),
            propose_every: TimeDelta::from_millis(80),
            ..self
        }
    }
}
