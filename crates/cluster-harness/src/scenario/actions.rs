//! What happens in a run: the steps, their actions and the managers that they apply to.

use super::{InvalidScenario, Scenario, GROUPS};
use crate::fault_proxy::{ConnectionCut, Rule};
use rand::seq::index::sample;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use sprucelink_failpoints::fault_file::DiskFaults;
use sprucelink_settings::check_range;
use std::collections::BTreeMap;
use std::fmt;

/// Repetitions of a step.
pub(super) const MAX_TIMES: usize = 1_000;

/// A range of the managers or engines, in fractions of their number; `to` is excluded.
#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRange {
    /// Where it begins; 0 to 1.
    pub from: f64,
    /// Where it ends; `from` to 1.
    pub to: f64,
    /// The action is spread evenly over this time, in milliseconds; 0 to 60,000.
    #[serde(default)]
    pub over_ms: f64,
}

/// A history holds an action's debug form, in which a range is called `Part`.
impl fmt::Debug for FleetRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Part")
            .field("from", &self.from)
            .field("to", &self.to)
            .field("over_ms", &self.over_ms)
            .finish()
    }
}

impl FleetRange {
    /// The indices that it covers, of `n`.
    pub fn indices(&self, n: usize) -> std::ops::Range<usize> {
        let at = |share: f64| ((share * n as f64).round() as usize).min(n);
        at(self.from)..at(self.to)
    }

    pub(super) fn check(&self) -> Result<(), InvalidScenario> {
        let good = self.from >= 0.0 && self.to >= self.from && self.to <= 1.0;
        if !good {
            return Err(InvalidScenario::UnorderedFractions { from: self.from, to: self.to });
        }
        Ok(check_range("over_ms", self.over_ms, 0.0, 60_000.0)?)
    }
}

/// Selects managers in one of four ways: a fraction of them (`from`, `to`), `names`, a `group`, or a number `drawn` at
/// random by the scenario's seed, again for each time.
#[derive(Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ManagerSelector {
    /// Where the fraction begins; 0 to 1.
    pub from: Option<f64>,
    /// Where it ends; `from` to 1.
    pub to: Option<f64>,
    /// Names: `n0`, `n1`, ...
    pub names: Option<Vec<String>>,
    /// A group: `a`, `b`, ...
    pub group: Option<String>,
    /// How many are drawn at random.
    pub drawn: Option<usize>,
    /// The action is spread evenly over this time, in milliseconds; 0 to 60,000.
    pub over_ms: f64,
}

/// A history holds an action's debug form, in which a selector is called `Who`.
impl fmt::Debug for ManagerSelector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Who")
            .field("from", &self.from)
            .field("to", &self.to)
            .field("names", &self.names)
            .field("group", &self.group)
            .field("drawn", &self.drawn)
            .field("over_ms", &self.over_ms)
            .finish()
    }
}

impl From<FleetRange> for ManagerSelector {
    fn from(p: FleetRange) -> ManagerSelector {
        ManagerSelector {
            from: Some(p.from),
            to: Some(p.to),
            over_ms: p.over_ms,
            ..ManagerSelector::default()
        }
    }
}

impl ManagerSelector {
    /// A single manager.
    pub fn single(i: usize) -> ManagerSelector {
        ManagerSelector { names: Some(vec![format!("n{i}")]), ..ManagerSelector::default() }
    }

    /// The managers' numbers, without duplicates; `draw` distinguishes one random draw from another.
    pub fn select(&self, scenario: &Scenario, draw: u64) -> Vec<usize> {
        let n = scenario.managers;
        if let Some(names) = &self.names {
            let mut all: Vec<usize> = names.iter().filter_map(|name| scenario.number_of(name)).collect();
            let mut seen = std::collections::BTreeSet::new();
            all.retain(|i| seen.insert(*i));
            return all;
        }
        if let Some(group) = &self.group {
            return (0..n).filter(|i| GROUPS[scenario.group_of(*i)] == group).collect();
        }
        if let Some(drawn) = self.drawn {
            let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed ^ 0xd4a3 << 40 ^ draw);
            return sample(&mut rng, n, drawn.min(n)).into_vec();
        }
        let range = FleetRange { from: self.from.unwrap_or(0.0), to: self.to.unwrap_or(1.0), over_ms: 0.0 };
        range.indices(n).collect()
    }

    pub(super) fn check(&self, scenario: &Scenario) -> Result<(), InvalidScenario> {
        check_range("over_ms", self.over_ms, 0.0, 60_000.0)?;
        let by_fraction = self.from.is_some() || self.to.is_some();
        let selectors = [by_fraction, self.names.is_some(), self.group.is_some(), self.drawn.is_some()];
        if selectors.iter().filter(|given| **given).count() != 1 {
            return Err(InvalidScenario::NotOneSelector);
        }
        if by_fraction {
            let from = self.from.unwrap_or(0.0);
            let to = self.to.unwrap_or(1.0);
            return FleetRange { from, to, over_ms: self.over_ms }.check();
        }
        if let Some(bad) = self.names.iter().flatten().find(|n| scenario.number_of(n).is_none()) {
            return Err(InvalidScenario::UnknownManager { name: bad.clone(), last: scenario.managers - 1 });
        }
        if let Some(g) = self.group.as_ref().filter(|g| !scenario.groups_named().any(|n| n == g.as_str())) {
            return Err(InvalidScenario::UnknownManagerGroup(g.clone()));
        }
        Ok(check_range("drawn", self.drawn.unwrap_or(1) as f64, 1.0, scenario.managers as f64)?)
    }
}

/// How the list service answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lists {
    /// It serves.
    Serve,
    /// It answers 503.
    Refuse,
    /// It takes calls and says nothing.
    Stall,
}

/// Two sides between which the fault proxy lets nothing pass, or lets pass again.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sides {
    /// The parties of one side: groups, managers by name, `lists`, `engines`, a zone, `subscribers`.
    pub from: Vec<String>,
    /// Those of the other; who is in neither reaches both.
    pub to: Vec<String>,
    /// Only from the first side to the second; else both ways.
    #[serde(default)]
    pub one_way: bool,
    /// What a parted side's new TCP connections meet: they come up and say nothing (`hold`, until it is over; the
    /// default), lead nowhere for good (`blackhole`) or are closed (`refuse`).
    #[serde(default)]
    pub new: NewConnections,
}

/// What new TCP connections meet in a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NewConnections {
    /// They come up and are carried once it is over.
    #[default]
    Hold,
    /// They come up and are never carried.
    Blackhole,
    /// They are closed.
    Refuse,
}

/// A call to managers: an operator's word, recorded as acknowledged when it is answered so.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Whom; each gets a call of its own.
    pub to: ManagerSelector,
    /// The port, by its name among the scenario's.
    pub port: String,
    /// The method.
    #[serde(default = "post")]
    pub method: String,
    /// The path, with the templates of `files` and `{op}`.
    pub path: String,
    /// The body, with the same templates; null: none.
    #[serde(default)]
    pub body: serde_json::Value,
    /// The operation's name, recorded as `NAME-K` for its K-th call, from 0 on; absent: nothing is recorded.
    pub op: Option<String>,
    /// Where the answer, a JSON object, tells the operation's cursor.
    #[serde(default)]
    pub cursor_at: Option<String>,
}

fn post() -> String {
    "POST".into()
}

/// What happens to stand-in subscribers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubscriberAction {
    /// A share of them lose their connections at once, and come back by their backoff: 0 to 1.
    Drop(f64),
    /// A share of them go to another manager at once, without waiting: 0 to 1.
    Hop(f64),
    /// A fraction of them read at a limited rate from now on.
    Slow {
        /// Which share; 0 to 1.
        share: f64,
        /// Bytes a second; 0: no limit.
        bytes_s: f64,
    },
}

/// What a step does.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Managers are killed outright (SIGKILL).
    Kill(ManagerSelector),
    /// Managers are restarted, killed first where they run, with their folders as they are.
    Restart(ManagerSelector),
    /// As `restart`, with their folders emptied.
    RestartEmpty(ManagerSelector),
    /// Managers get SIGTERM and are restarted once they have exited.
    Roll(ManagerSelector),
    /// Managers are paused (SIGSTOP).
    Pause(ManagerSelector),
    /// Managers are resumed (SIGCONT).
    Resume(ManagerSelector),
    /// From their next start on managers' stores have these faults.
    Disk {
        /// Whose.
        who: ManagerSelector,
        /// Which.
        fault: DiskFaults,
    },
    /// A file in managers' folders loses its last bytes, as a torn write leaves it. They must be down.
    Tear {
        /// Whose.
        who: ManagerSelector,
        /// The file, by its path in the folder.
        file: String,
        /// How many; at most the file's length.
        bytes: u64,
    },
    /// Managers' folders are copied, each stopped for that moment, in place of an earlier copy.
    KeepCopy(ManagerSelector),
    /// Managers' folders are as they were when copied: what was acknowledged since is lost. They must be down.
    PutBack(ManagerSelector),
    /// The list service answers so from now on.
    Lists(Lists),
    /// New engines come under new ids, cold, and the list tells them.
    EnginesCome(usize),
    /// The list tells that engines drain, by their number among all so far.
    EnginesDrain(FleetRange),
    /// Engines end and the list tells it.
    EnginesGo(FleetRange),
    /// Engines end and nobody tells it.
    EnginesVanish(FleetRange),
    /// The engines of a zone restart under their ids, in slow start, and the endpoint list says so.
    ZoneCold(String),
    /// The list service tells the first list again, as whole and under its old revision.
    OlderList,
    /// The list service tells, in one event, that the first engine drains and that it is ready.
    ContradictoryList,
    /// What goes from one party to another goes by this rule.
    Fault {
        /// The party from which.
        from: String,
        /// The party to which.
        to: String,
        /// The rule.
        rule: Rule,
    },
    /// Nothing passes between two sides.
    Part(Sides),
    /// All passes again between two sides, whatever rule there was.
    Join(Sides),
    /// Open connections from one party to another are cut.
    Cut {
        /// The party from which.
        from: String,
        /// The party to which.
        to: String,
        /// How.
        how: ConnectionCut,
    },
    /// All rules of the fault proxy are lifted.
    Heal,
    /// Managers are called.
    Call(Call),
    /// Something happens to the stand-in subscribers.
    Subscribers(SubscriberAction),
}

/// A step: an action and when it is performed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Seconds after the first start.
    pub at: f64,
    /// How often the action is performed.
    #[serde(default = "once")]
    pub times: usize,
    /// Seconds from one time to the next.
    #[serde(default)]
    pub every: f64,
    /// Longest random delay of each time, in seconds, drawn by the seed.
    #[serde(default)]
    pub spread: f64,
    /// The action.
    #[serde(rename = "do")]
    pub action: Action,
}

fn once() -> usize {
    1
}

/// What happens to a process that reaches a failpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessFault {
    /// It is killed (SIGKILL).
    Kill,
    /// It is stopped (SIGSTOP).
    Stop,
}

/// A fault of managers that reach a failpoint.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailpointFault {
    /// The failpoint.
    pub point: String,
    /// The managers; each once.
    #[serde(rename = "who")]
    pub managers: ManagerSelector,
    /// At which pass of the failpoint in one process, from 1 on.
    #[serde(default = "first")]
    pub pass: u32,
    /// Only the first of them that reaches it has the fault.
    #[serde(default)]
    pub only_one: bool,
    /// What happens to the process.
    #[serde(rename = "do")]
    pub fault: ProcessFault,
    /// Milliseconds after which it is restarted or resumed; absent: never. 0 to 600,000.
    #[serde(rename = "back_ms")]
    pub resume_ms: Option<f64>,
    /// Further actions at the moment of the fault.
    #[serde(default, rename = "also")]
    pub further_actions: Vec<Action>,
    /// How long a process waits at the failpoint, in milliseconds; 0 to 10,000.
    #[serde(default = "wait")]
    pub wait_ms: u64,
}

fn first() -> u32 {
    1
}

fn wait() -> u64 {
    2_000
}

/// Clock offsets in milliseconds, by a manager's name or a group's.
pub type Clocks = BTreeMap<String, i64>;
