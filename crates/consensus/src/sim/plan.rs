//! Parameters of a run, and the named plans of CI and of the long runs.

use super::faults::Fault;
use crate::config::Timing;
use sprucelink_time::TimeDelta;

/// A bug added to every host on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// The vote, and a term above that of the last committed entry, are not written to disk.
    VoteNotPersisted,
    /// A batch counts as written, and messages that depend on it are sent, before the batch is on disk.
    AckBeforeSync,
    /// A member skips the rejoin protocol when it starts: it votes and acknowledges at once, although its
    /// disk may have lost writes.
    TrustDisk,
    /// Messages don't contain the boots of the members.
    NoBootsInMessages,
    /// The state machine does not drop duplicates.
    DuplicatesApplied,
    /// A leader accepts forwarded proposals that were sent to the leader of another term.
    AnyTermProposals,
}

/// Parameters of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Number of members at the start of the run, 3 to 7.
    pub founders: u32,
    /// Duration of the phase in which faults are injected.
    pub fault_time: TimeDelta,
    /// Duration of the following phase without faults, in which the group has to recover.
    pub recovery_time: TimeDelta,
    /// Average time between proposals.
    pub propose_every: TimeDelta,
    /// Average time between faults; zero for no faults.
    pub fault_every: TimeDelta,
    /// Faults to choose from; a fault that occurs several times is chosen more often.
    pub faults: Vec<Fault>,
    /// Maximum number of faults that make a disk lose acknowledged writes (lying syncs or a flipped bit).
    /// Each disk gets lying syncs at most once.
    pub max_write_loss_faults: u32,
    /// Number of members that are down or rejoining at which no further member is crashed.
    pub max_down: u32,
    /// Fraction of messages that are lost, per mille.
    pub loss_per_mille: u32,
    /// Fraction of messages that are delivered twice, per mille.
    pub duplicate_per_mille: u32,
    /// Longest delay of a message; the shortest is 0.1 ms.
    pub max_delay: TimeDelta,
    /// Longest duration of a sync on a disk without faults.
    pub max_sync_time: TimeDelta,
    /// Timer intervals and time-outs of the members.
    pub timing: Timing,
    /// Bugs added to every host on purpose.
    pub bugs: Vec<InjectedBug>,
}

impl Default for Plan {
    /// Five members, and 20 s of all faults except those that lose acknowledged writes.
    fn default() -> Self {
        Plan {
            founders: 5,
            fault_time: TimeDelta::from_secs(20),
            recovery_time: TimeDelta::from_secs(20),
            propose_every: TimeDelta::from_millis(50),
            fault_every: TimeDelta::from_millis(800),
            faults: Fault::ALL_WITHOUT_WRITE_LOSS.to_vec(),
            max_write_loss_faults: 0,
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
    /// Whether `bug` is among the injected bugs.
    pub fn has(&self, bug: InjectedBug) -> bool {
        self.bugs.contains(&bug)
    }

    /// All faults except disks that lose acknowledged writes; any number of members may be down at once.
    pub fn correct_disks(founders: u32) -> Plan {
        Plan { founders, ..Plan::default() }
    }

    /// One disk loses acknowledged writes, and any number of members may be down at once.
    pub fn one_lying_disk(founders: u32) -> Plan {
        let mut faults = Fault::ALL_WITHOUT_WRITE_LOSS.to_vec();
        faults.extend([Fault::LyingDisk, Fault::LyingDisk, Fault::BitFlip, Fault::CrashLeader]);
        Plan { founders, max_write_loss_faults: 1, faults, ..Plan::default() }
    }

    /// A minority of the disks lose acknowledged writes, while a majority of the members takes part all the
    /// time. Rejoining members wait for that majority (up to 10 min).
    pub fn minority_lying_disks(founders: u32) -> Plan {
        let minority = (founders - 1) / 2;
        let mut plan =
            Plan { max_write_loss_faults: minority, max_down: minority, ..Plan::one_lying_disk(founders) };
        plan.timing.rejoin_patience = TimeDelta::from_secs(600);
        plan
    }

    /// Only the leader crashes, repeatedly, in an otherwise healthy group. Used to measure the time to a new
    /// leader.
    pub fn leader_crashes(founders: u32) -> Plan {
        Plan {
            founders,
            fault_time: TimeDelta::from_secs(120),
            fault_every: TimeDelta::from_secs(6),
            faults: vec![Fault::CrashLeader],
            loss_per_mille: 0,
            duplicate_per_mille: 0,
            max_delay: TimeDelta::from_millis(1),
            ..Plan::default()
        }
    }

    /// This plan with shorter phases and fewer proposals, to run many seeds.
    pub fn shorter(self, fault_time: TimeDelta) -> Plan {
        Plan {
            fault_time,
            recovery_time: TimeDelta::from_secs(10),
            propose_every: TimeDelta::from_millis(80),
            ..self
        }
    }
}
