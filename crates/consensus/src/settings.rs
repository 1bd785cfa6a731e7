//! What a member is started with: its name, its times with their ranges, and what its disk gave back.

use crate::ids::MemberId;
use crate::limits::{MAX_VOTERS, MIN_VOTERS};
use crate::ready::Snapshot;
use crate::wire;
use sprucelink_time::TimeDelta;
use std::fmt;
use std::ops::RangeInclusive;

/// The council's times. Nothing about agreement depends on them, only how soon it comes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// One tick: 10 to 200 ms (50 ms).
    pub tick: TimeDelta,
    /// A leader's heartbeat, in ticks: 1 to 10 (2).
    pub heartbeat_ticks: u32,
    /// Shortest time without a leader's word before an election, in ticks: 5 to 100 (10), and at least three heartbeats,
    /// so that two lost ones do no harm.
    pub election_ticks: u32,
    /// How much longer it may be, drawn from the seed, in ticks: 5 to 100 (10).
    pub spread_ticks: u32,
    /// How often a member that has started asks the others: 20 ms to 10 s (100 ms).
    pub hello_every: TimeDelta,
    /// How long it waits for a majority of established members before answers from members in probation will do:
    /// 1 s to 10 min (10 s).
    pub patience: TimeDelta,
    /// After so long an undecided proposal is given up as unknown: 100 ms to 60 s (2 s).
    pub proposal_timeout: TimeDelta,
    /// A snapshot that was sent and not answered for so long is sent again: 500 ms to 60 s (2 s).
    pub snapshot_retry: TimeDelta,
    /// What was seen of the peers goes to disk by itself, if nothing else does, this often: 500 ms to 10 min (5 s).
    pub witness_every: TimeDelta,
    /// Entries since the last snapshot that make a new one due: 16 to 16384 (4096).
    pub snapshot_every: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            tick: TimeDelta::from_millis(50),
            heartbeat_ticks: 2,
            election_ticks: 10,
            spread_ticks: 10,
            hello_every: TimeDelta::from_millis(100),
            patience: TimeDelta::from_millis(10_000),
            proposal_timeout: TimeDelta::from_millis(2_000),
            snapshot_retry: TimeDelta::from_millis(2_000),
            witness_every: TimeDelta::from_millis(5_000),
            snapshot_every: 4096,
        }
    }
}

impl Timing {
    /// Checks every range.
    ///
    /// # Errors
    /// The first setting out of its range, with the range.
    pub fn check(&self) -> Result<(), ConfigError> {
        let within = |what, value: i64, range: RangeInclusive<i64>| {
            if range.contains(&value) {
                return Ok(());
            }
            Err(ConfigError::OutOfRange { what, value, low: *range.start(), high: *range.end() })
        };
        let within_millis = |what, value: TimeDelta, range: RangeInclusive<i64>| {
            let micros = |millis| TimeDelta::from_millis(millis).as_micros();
            within(what, value.as_micros(), micros(*range.start())..=micros(*range.end()))
        };
        within_millis("tick", self.tick, 10..=200)?;
        within("heartbeat_ticks", self.heartbeat_ticks.into(), 1..=10)?;
        within(
            "election_ticks",
            self.election_ticks.into(),
            (3 * i64::from(self.heartbeat_ticks)).max(5)..=100,
        )?;
        within("spread_ticks", self.spread_ticks.into(), 5..=100)?;
        within_millis("hello_every", self.hello_every, 20..=10_000)?;
        within_millis("patience", self.patience, 1_000..=600_000)?;
        within_millis("proposal_timeout", self.proposal_timeout, 100..=60_000)?;
        within_millis("snapshot_retry", self.snapshot_retry, 500..=60_000)?;
        within_millis("witness_every", self.witness_every, 500..=600_000)?;
        let snapshot_every = i64::try_from(self.snapshot_every).unwrap_or(i64::MAX);
        within("snapshot_every", snapshot_every, 16..=16_384)
    }

    /// A leader that was not ticked for so long was stopped, and steps down when it wakes.
    pub(crate) fn pause(&self) -> TimeDelta {
        TimeDelta::from_micros(self.tick.as_micros() * i64::from(self.election_ticks))
    }
}

/// What a member is told at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Its own name.
    pub member: MemberId,
    /// The first voters, the same list at each of them. Counts only where the store is empty; left empty at a member
    /// that is to join a council which is there.
    pub founders: Vec<MemberId>,
    /// Whom a member without a log asks at its start: the voters of the council that it is to join.
    pub contacts: Vec<MemberId>,
    /// The times.
    pub timing: Timing,
}

impl Config {
    /// Checks names, founders and times.
    ///
    /// # Errors
    /// The first rule broken.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.timing.check()?;
        let named = |member: &MemberId| member.node > 0 && member.incarnation > 0;
        if !named(&self.member) || !self.founders.iter().chain(&self.contacts).all(named) {
            return Err(ConfigError::Name);
        }
        let mut nodes: Vec<u32> = self.founders.iter().map(|member| member.node).collect();
        nodes.sort_unstable();
        nodes.dedup();
        if nodes.len() != self.founders.len() {
            return Err(ConfigError::Founders(self.founders.len()));
        }
        if !self.founders.is_empty() && !(MIN_VOTERS..=MAX_VOTERS).contains(&self.founders.len()) {
            return Err(ConfigError::Founders(self.founders.len()));
        }
        Ok(())
    }
}

/// Why settings will not do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigError {
    /// A figure out of its range; times in microseconds.
    OutOfRange {
        /// The setting's name.
        what: &'static str,
        /// What it was set to.
        value: i64,
        /// Lowest allowed.
        low: i64,
        /// Highest allowed.
        high: i64,
    },
    /// Nodes and incarnations count from 1.
    Name,
    /// So many founders: 3 to 7 different nodes, or none.
    Founders(usize),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::OutOfRange { what, value, low, high } => {
                write!(f, "{what} is {value}, allowed is {low} to {high}")
            }
            ConfigError::Name => write!(f, "nodes and incarnations count from 1"),
            ConfigError::Founders(n) => {
                write!(
                    f,
                    "{n} founders: {MIN_VOTERS} to {MAX_VOTERS} different nodes, or none to join a council"
                )
            }
        }
    }
}

impl std::error::Error for ConfigError {}

/// What a member's disk gave back; the default is an empty store.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RecoveredState {
    /// Number of the last write on disk.
    pub writes: u64,
    /// What is kept beside the log.
    pub state: wire::PersistentState,
    /// The last snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries behind it, without gaps.
    pub entries: Vec<wire::Entry>,
}

impl RecoveredState {
    /// The last entry's term and index, or the snapshot's, or zeros.
    pub(crate) fn last(&self) -> (u64, u64) {
        let base = self.snapshot.as_ref().map(|s| (s.term, s.index));
        self.entries.last().map(|e| (e.term, e.index)).or(base).unwrap_or((0, 0))
    }

    /// What this disk bears witness to.
    pub(crate) fn witness(&self) -> wire::AckState {
        let (last_term, last_index) = self.last();
        wire::AckState {
            writes: self.writes,
            term: self.state.term,
            vote: self.state.vote,
            last_term,
            last_index,
        }
    }
}
