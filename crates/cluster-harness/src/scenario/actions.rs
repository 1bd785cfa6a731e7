//! The steps of a run: their times, their actions and the managers or engines that they apply to.

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

/// Maximum number of repetitions of a step.
pub(super) const MAX_TIMES: usize = 1_000;

/// A range of the managers or engines by index, in fractions of their number; `to` is excluded.
#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRange {
    /// Start of the range; 0 to 1.
    pub from: f64,
    /// End of the range; `from` to 1.
    pub to: f64,
    /// Time over which the action is spread evenly, in milliseconds; 0 to 60,000.
    #[serde(default)]
    pub over_ms: f64,
}

/// Histories contain the Debug text of actions, in which a range is called `Part`.
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
    /// The indices in the range, of `n` managers or engines.
    pub fn indices(&self, n: usize) -> std::ops::Range<usize> {
        let index = |fraction: f64| ((fraction * n as f64).round() as usize).min(n);
        index(self.from)..index(self.to)
    }

    pub(super) fn check(&self) -> Result<(), InvalidScenario> {
        let is_valid = self.from >= 0.0 && self.to >= self.from && self.to <= 1.0;
        if !is_valid {
            return Err(InvalidScenario::UnorderedFractions { from: self.from, to: self.to });
        }
        Ok(check_range("over_ms", self.over_ms, 0.0, 60_000.0)?)
    }
}

/// Selects managers in one of four ways: a range of them (`from`, `to`), by `names`, by `group`, or a number
/// of them `drawn` at random by the scenario's seed, anew at each use.
#[derive(Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ManagerSelector {
    /// Start of the range, as a fraction of the managers; 0 to 1.
    pub from: Option<f64>,
    /// End of the range, as a fraction of the managers; `from` to 1.
    pub to: Option<f64>,
    /// Names of managers: `n0`, `n1`, ...
    pub names: Option<Vec<String>>,
    /// Name of a group: `a`, `b`, ...
    pub group: Option<String>,
    /// Number of managers that are drawn at random.
    pub drawn: Option<usize>,
    /// Time over which the action is spread evenly, in milliseconds; 0 to 60,000.
    pub over_ms: f64,
}

/// Histories contain the Debug text of actions, in which a selector is called `Who`.
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
    fn from(range: FleetRange) -> ManagerSelector {
        ManagerSelector {
            from: Some(range.from),
            to: Some(range.to),
            over_ms: range.over_ms,
            ..ManagerSelector::default()
        }
    }
}

impl ManagerSelector {
    /// Selects the manager of index `i`.
    pub fn single(i: usize) -> ManagerSelector {
        ManagerSelector { names: Some(vec![format!("n{i}")]), ..ManagerSelector::default() }
    }

    /// The indices of the selected managers, without duplicates. A random selection depends on the scenario's
    /// seed and on `draw`, which must differ between the draws of a run.
    pub fn select(&self, scenario: &Scenario, draw: u64) -> Vec<usize> {
        let n = scenario.managers;
        if let Some(names) = &self.names {
            let mut indices: Vec<usize> =
                names.iter().filter_map(|name| scenario.manager_index(name)).collect();
            let mut known = std::collections::BTreeSet::new();
            indices.retain(|i| known.insert(*i));
            return indices;
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
        if let Some(name) = self.names.iter().flatten().find(|n| scenario.manager_index(n).is_none()) {
            return Err(InvalidScenario::UnknownManager { name: name.clone(), last: scenario.managers - 1 });
        }
        if let Some(group) = self.group.as_ref().filter(|g| !scenario.group_names().any(|n| n == g.as_str()))
        {
            return Err(InvalidScenario::UnknownManagerGroup(group.clone()));
        }
        Ok(check_range("drawn", self.drawn.unwrap_or(1) as f64, 1.0, scenario.managers as f64)?)
    }
}

/// The way in which the list services answer calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListServiceMode {
    /// The service sends the list and its changes.
    Serve,
    /// The service answers 503.
    Refuse,
    /// The service accepts calls without an answer.
    Stall,
}

/// The two sides of a partition.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sides {
    /// The parties of one side: groups, managers by name, `lists`, `engines`, a zone, `subscribers`.
    pub from: Vec<String>,
    /// The parties of the other side. A party on neither side reaches both.
    pub to: Vec<String>,
    /// Whether the partition blocks only traffic from the first side to the second; else it blocks both
    /// directions.
    #[serde(default)]
    pub one_way: bool,
    /// Handling of new TCP connections during the partition.
    #[serde(default)]
    pub new: NewConnections,
}

/// Handling of new TCP connections in a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NewConnections {
    /// New connections are established, and their data is forwarded after the partition's end.
    #[default]
    Hold,
    /// New connections are established, and their data is never forwarded.
    Blackhole,
    /// New connections are closed.
    Refuse,
}

/// An operator's HTTP call to managers. Its operation is recorded as acknowledged if the answer's status is
/// 2xx.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The called managers; each gets a call of its own.
    pub to: ManagerSelector,
    /// Name of the port, one of the scenario's `ports`.
    pub port: String,
    /// HTTP method; `POST` if absent.
    #[serde(default = "post")]
    pub method: String,
    /// The path, with the templates of the scenario's `files` and `{op}`, the operation's recorded name.
    pub path: String,
    /// The JSON body, with the templates of `path`; null: no body.
    #[serde(default)]
    pub body: serde_json::Value,
    /// Name of the operation, recorded as `NAME-K` for its K-th call, from 0 on; absent: no operation is
    /// recorded.
    pub op: Option<String>,
    /// JSON pointer to the operation's cursor in the answer; absent: the cursor is not recorded.
    #[serde(default)]
    pub cursor_at: Option<String>,
}

fn post() -> String {
    "POST".into()
}

/// An action on a random fraction of the stand-in subscribers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SubscriberAction {
    /// This fraction (0 to 1) of the subscribers lose their connections at once, and reconnect after their
    /// retry time.
    Drop(f64),
    /// This fraction (0 to 1) of the subscribers move to another manager at once, without a delay.
    Hop(f64),
    /// A fraction of the subscribers read at a limited rate from now on.
    Slow {
        /// Fraction of the subscribers; 0 to 1.
        share: f64,
        /// Maximum rate in bytes per second; 0: no limit.
        bytes_s: f64,
    },
}

/// An action of a step or after a failpoint fault.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Managers are killed (SIGKILL).
    Kill(ManagerSelector),
    /// Managers are restarted with their folders unchanged; running ones are killed first.
    Restart(ManagerSelector),
    /// Managers are restarted as by [`Action::Restart`], but with empty folders.
    RestartEmpty(ManagerSelector),
    /// Managers get SIGTERM and are restarted once they have exited.
    Roll(ManagerSelector),
    /// Managers are paused (SIGSTOP).
    Pause(ManagerSelector),
    /// Managers are resumed (SIGCONT).
    Resume(ManagerSelector),
    /// The disks under managers' stores are faulty from the managers' next start on.
    Disk {
        /// The managers whose disks are faulty.
        who: ManagerSelector,
        /// The faults, which replace earlier ones.
        fault: DiskFaults,
    },
    /// A file in managers' folders loses its last bytes, as a torn write leaves it. The managers must be
    /// down.
    Tear {
        /// The managers whose file is truncated.
        who: ManagerSelector,
        /// Name of the file in the folder.
        file: String,
        /// Number of bytes that are lost; a shorter file is emptied.
        bytes: u64,
    },
    /// Managers' folders are copied, each manager stopped meanwhile; a copy replaces an earlier one.
    KeepCopy(ManagerSelector),
    /// Managers' folders are restored from their copies, so operations acknowledged after the copy are lost.
    /// The managers must be down.
    PutBack(ManagerSelector),
    /// The list services answer calls in this mode from now on.
    Lists(ListServiceMode),
    /// This number of new engines start cold, under new ids, and are published on the endpoint list.
    EnginesCome(usize),
    /// Engines are published as draining. Here and in the actions below, the range selects among all engines
    /// started so far, by index.
    EnginesDrain(FleetRange),
    /// Engines are published as gone and stop.
    EnginesGo(FleetRange),
    /// Engines stop and stay on the endpoint list.
    EnginesVanish(FleetRange),
    /// The engines of a zone restart under their ids, in slow start, and the endpoint list shows it.
    ZoneCold(String),
    /// The list services publish the initial list again, as a complete list of revision 1.
    OlderList,
    /// The list services publish an event with the first engine both as draining and as ready.
    ContradictoryList,
    /// Sets the fault proxy's rule from one party to another.
    Fault {
        /// The sending party.
        from: String,
        /// The receiving party.
        to: String,
        /// The rule; it replaces an earlier one.
        rule: Rule,
    },
    /// Starts a partition between two sides.
    Part(Sides),
    /// Ends a partition: removes all rules between two sides.
    Join(Sides),
    /// Cuts open connections from one party to another.
    Cut {
        /// The party that made the connections.
        from: String,
        /// The party that accepted the connections.
        to: String,
        /// Way in which the connections are cut.
        how: ConnectionCut,
    },
    /// Removes all rules of the fault proxy.
    Heal,
    /// Makes an HTTP call to managers.
    Call(Call),
    /// Sends a command to the stand-in subscribers.
    Subscribers(SubscriberAction),
}

/// A step: an action and the times at which it is performed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time of the first repetition, in seconds after the start of the run.
    pub at: f64,
    /// Number of repetitions of the action; 1 if absent.
    #[serde(default = "once")]
    pub times: usize,
    /// Interval between two repetitions, in seconds.
    #[serde(default)]
    pub every: f64,
    /// Maximum random delay of each repetition, in seconds, drawn by the seed.
    #[serde(default)]
    pub spread: f64,
    /// Action that is performed at each repetition.
    #[serde(rename = "do")]
    pub action: Action,
}

fn once() -> usize {
    1
}

/// The fault that is injected into a process at a failpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessFault {
    /// The process is killed (SIGKILL).
    Kill,
    /// The process is stopped (SIGSTOP).
    Stop,
}

/// A fault of managers that reach a failpoint.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailpointFault {
    /// Name of the failpoint.
    pub point: String,
    /// Managers in which the fault can occur, at most once in each.
    #[serde(rename = "who")]
    pub managers: ManagerSelector,
    /// The pass of the failpoint at which the fault occurs, counted from 1 in each process.
    #[serde(default = "first_pass")]
    pub pass: u32,
    /// Whether the fault occurs only in the first of the managers that reaches the failpoint.
    #[serde(default)]
    pub only_one: bool,
    /// Fault that is injected into the process.
    #[serde(rename = "do")]
    pub fault: ProcessFault,
    /// Time after the fault at which the process is restarted or resumed, in milliseconds; 0 to 600,000;
    /// absent: never.
    #[serde(rename = "back_ms")]
    pub resume_ms: Option<f64>,
    /// Further actions, performed at once after the fault.
    #[serde(default, rename = "also")]
    pub further_actions: Vec<Action>,
    /// Maximum time that a process waits at the failpoint for the fault, in milliseconds; 0 to 10,000.
    #[serde(default = "default_wait_ms")]
    pub wait_ms: u64,
}

fn first_pass() -> u32 {
    1
}

fn default_wait_ms() -> u64 {
    2_000
}

/// Clock offsets in milliseconds, by the name of a manager or group.
pub type Clocks = BTreeMap<String, i64>;
