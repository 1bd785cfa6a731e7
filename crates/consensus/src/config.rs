//! Configuration of a member: its id, the group's first members, and its timing with the allowed ranges.

use crate::ids::MemberId;
use crate::limits::{MAX_VOTERS, MIN_VOTERS};
use sprucelink_time::TimeDelta;
use std::ops::RangeInclusive;

/// Timing of a member. Safety does not depend on it, only how soon the group agrees. Each field has its
/// range, and its default in parentheses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// Length of a tick: 10 to 200 ms (50 ms).
    pub tick: TimeDelta,
    /// Interval of a leader's heartbeats, in ticks: 1 to 10 (2).
    pub heartbeat_ticks: u32,
    /// Shortest time without a heartbeat before an election, in ticks: 5 to 100 (10), and at least three
    /// heartbeats, so that two lost heartbeats don't cause an election.
    pub election_ticks: u32,
    /// Largest random addition to the election timeout, drawn from the seed, in ticks: 5 to 100 (10).
    pub spread_ticks: u32,
    /// Interval of a rejoining member's requests to the other members: 20 ms to 10 s (100 ms).
    pub rejoin_request_every: TimeDelta,
    /// Time for which a rejoining member waits for responses of a majority of established members, before
    /// responses of other rejoining members count: 1 s to 10 min (10 s).
    pub rejoin_patience: TimeDelta,
    /// Time after which the outcome of a pending proposal is reported as unknown: 100 ms to 60 s (2 s).
    pub proposal_timeout: TimeDelta,
    /// Time without a response after which a snapshot is sent again: 500 ms to 60 s (2 s).
    pub snapshot_retry: TimeDelta,
    /// Interval of writing the peers' acknowledgements to disk when nothing else is written: 500 ms to 10 min
    /// (5 s).
    pub peer_acks_every: TimeDelta,
    /// Number of entries since the last snapshot at which a new one is due: 16 to 16384 (4096).
    pub snapshot_every: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            tick: TimeDelta::from_millis(50),
            heartbeat_ticks: 2,
            election_ticks: 10,
            spread_ticks: 10,
            rejoin_request_every: TimeDelta::from_millis(100),
            rejoin_patience: TimeDelta::from_millis(10_000),
            proposal_timeout: TimeDelta::from_millis(2_000),
            snapshot_retry: TimeDelta::from_millis(2_000),
            peer_acks_every: TimeDelta::from_millis(5_000),
            snapshot_every: 4096,
        }
    }
}

impl Timing {
    /// Checks that every setting is within its range.
    ///
    /// # Errors
    /// The first setting that is out of its range, with the range.
    pub fn check(&self) -> Result<(), ConfigError> {
        let min_election_ticks = (3 * i64::from(self.heartbeat_ticks)).max(5);
        check_millis("tick", self.tick, 10..=200)?;
        check_range("heartbeat_ticks", self.heartbeat_ticks.into(), 1..=10)?;
        check_range("election_ticks", self.election_ticks.into(), min_election_ticks..=100)?;
        check_range("spread_ticks", self.spread_ticks.into(), 5..=100)?;
        check_millis("rejoin_request_every", self.rejoin_request_every, 20..=10_000)?;
        check_millis("rejoin_patience", self.rejoin_patience, 1_000..=600_000)?;
        check_millis("proposal_timeout", self.proposal_timeout, 100..=60_000)?;
        check_millis("snapshot_retry", self.snapshot_retry, 500..=60_000)?;
        check_millis("peer_acks_every", self.peer_acks_every, 500..=600_000)?;
        let snapshot_every = i64::try_from(self.snapshot_every).unwrap_or(i64::MAX);
        check_range("snapshot_every", snapshot_every, 16..=16_384)
    }

    /// Shortest time without a heartbeat before an election. A leader that was not ticked for this time steps
    /// down.
    pub(crate) fn election_timeout(&self) -> TimeDelta {
        TimeDelta::from_micros(self.tick.as_micros() * i64::from(self.election_ticks))
    }
}

fn check_range(setting: &'static str, value: i64, allowed: RangeInclusive<i64>) -> Result<(), ConfigError> {
    if allowed.contains(&value) {
        return Ok(());
    }
    Err(ConfigError::OutOfRange { setting, value, low: *allowed.start(), high: *allowed.end() })
}

fn check_millis(
    setting: &'static str,
    value: TimeDelta,
    allowed_millis: RangeInclusive<i64>,
) -> Result<(), ConfigError> {
    let low = TimeDelta::from_millis(*allowed_millis.start());
    let high = TimeDelta::from_millis(*allowed_millis.end());
    check_range(setting, value.as_micros(), low.as_micros()..=high.as_micros())
}

/// Configuration of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Id of this member.
    pub member: MemberId,
    /// The first voters, the same list at each of them. It is used only if the store is empty. It is empty at
    /// a member that joins an existing group.
    pub founders: Vec<MemberId>,
    /// The members that a member without a log sends rejoin requests to when it starts: the voters of the
    /// group that it joins.
    pub contacts: Vec<MemberId>,
    /// Intervals and time-outs of the member.
    pub timing: Timing,
}

impl Config {
    /// Checks the timing, the member ids and the founders.
    ///
    /// # Errors
    /// The first rule that is broken.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.timing.check()?;
        let is_valid = |member: &MemberId| member.node > 0 && member.incarnation > 0;
        if !is_valid(&self.member) || !self.founders.iter().chain(&self.contacts).all(is_valid) {
            return Err(ConfigError::InvalidMember);
        }
        let count = self.founders.len();
        let is_count_allowed = count == 0 || (MIN_VOTERS..=MAX_VOTERS).contains(&count);
        if !is_count_allowed || self.distinct_founder_nodes() != count {
            return Err(ConfigError::InvalidFounders { count });
        }
        Ok(())
    }

    fn distinct_founder_nodes(&self) -> usize {
        let mut nodes: Vec<u32> = self.founders.iter().map(|member| member.node).collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes.len()
    }
}

/// Why a configuration is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// A setting is out of its range; times are in microseconds.
    #[error("invalid {setting} {value}: expected {low} to {high}")]
    OutOfRange {
        /// The setting's name.
        setting: &'static str,
        /// The rejected value.
        value: i64,
        /// Lowest value allowed, in the unit of `value`.
        low: i64,
        /// Highest value allowed, in the unit of `value`.
        high: i64,
    },
    /// Nodes and incarnations count from 1.
    #[error("nodes and incarnations count from 1")]
    InvalidMember,
    /// The founders have to be [`MIN_VOTERS`] to [`MAX_VOTERS`] different nodes, or none to join an existing
    /// group.
    #[error(
        "{count} founders: expected {MIN_VOTERS} to {MAX_VOTERS} different nodes, or none to join a group"
    )]
    InvalidFounders {
        /// Number of founders.
        count: usize,
    },
}
