//! The description of a run in a JSON5 file: the managers and engines, the clients' load, and the steps of
//! the run. Unknown fields are rejected by name; every count and time has a limit.
//!
//! [`actions`] contains the steps and their actions, [`parts`] the other sections.

pub mod actions;
mod check;
mod error;
pub mod parts;
#[cfg(test)]
mod tests;

pub use actions::{
    Action, Call, Clocks, FailpointFault, FleetRange, ListServiceMode, ManagerSelector, NewConnections,
    ProcessFault, Sides, Step, SubscriberAction,
};
pub use error::{InvalidScenario, ScenarioError};
pub use parts::{
    Engines, HaltMark, HaltOverMark, History, Load, Marks, Membership, Port, ReleaseMark, SchemaMark,
    Subscribers, Supervise, Watch,
};

use crate::ledger::DRAIN_GRACE;
use serde::Deserialize;
use sprucelink_history_checker::config::CheckConfig;
use std::collections::BTreeMap;

/// Maximum number of engines of a run, including those that are added later.
pub const MAX_ENGINES: usize = 200;
/// Longest run, in seconds.
pub const MAX_RUN_SECONDS: f64 = 600.0;
/// Maximum number of stand-in subscribers of a run.
pub const MAX_SUBSCRIBERS: usize = 300;
/// Maximum number of managers of a run in which each is a party of its own in the fault proxy: each pair of
/// managers needs a path for each port.
pub const MAX_PAIRED_MANAGERS: usize = 32;
/// Names of the zones of engines. If managers know their zone, those of group `a` are in the first zone,
/// those of group `b` in the second, ...
pub const ZONES: [&str; 4] = ["hall-a", "hall-b", "hall-c", "hall-d"];
/// Names of the groups of managers.
pub const GROUPS: [&str; 4] = ["a", "b", "c", "d"];

/// The description of a run.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Name of the scenario in tables and file names.
    pub name: String,
    /// Number of managers; 1 to 1,000, and at most [`MAX_PAIRED_MANAGERS`] with `pairs`.
    pub managers: usize,
    /// Time over which the managers start one after the other, in milliseconds; 0: all at once.
    pub start_over_ms: f64,
    /// Fractions of the managers in the groups `a`, `b`, ...; they add up to 1. With more than one group, or
    /// with network faults, all traffic goes through the fault proxy.
    pub groups: Vec<f64>,
    /// Number and properties of the engines when the run begins.
    pub engines: Engines,
    /// Number of zones, to which engines are assigned in turn; 1 to 4.
    pub zones: usize,
    /// Managers know their zone, which is that of their group.
    #[serde(rename = "told_zone")]
    pub zone_aware: bool,
    /// The zone whose loss the report has figures on; absent: these figures are not computed.
    pub watch: Option<Watch>,
    /// Settings of the failover between zones, in the format of their file; absent: failover is off.
    pub failover: Option<serde_json::Value>,
    /// Settings of the membership protocol, by which managers keep a view of the fleet over UDP through the
    /// fault proxy; absent: managers keep no view.
    pub membership: Option<Membership>,
    /// Rate and kind of the clients' requests.
    pub load: Load,
    /// How the list services answer at the start.
    pub lists: ListServiceMode,
    /// Duration of the run, in seconds; 0.5 to 600.
    pub seconds: f64,
    /// Time after the publication of a drain during which attempts may still reach the engine, in
    /// milliseconds; 0 to 60,000. The protocol's value is 550; tests on busy machines need more.
    pub drain_grace_ms: f64,
    /// Seed of everything that is drawn at random.
    pub seed: u64,
    /// Actions that are performed during the run, each with its time.
    pub steps: Vec<Step>,
    /// The version with which managers are first started, the template `{version}`.
    pub version: String,
    /// Each manager is a party of its own in the fault proxy, so that routes between two managers can have
    /// rules. There may be at most [`MAX_PAIRED_MANAGERS`] managers then. For UDP each manager always is a
    /// party of its own.
    pub pairs: bool,
    /// TCP ports that managers open for one another and for subscribers; at most 4.
    pub ports: Vec<Port>,
    /// Files that are written into each manager's folder at each start, by name: JSON with templates in its
    /// strings.
    pub files: BTreeMap<String, serde_json::Value>,
    /// Additional arguments of `serve`, with templates.
    pub args: Vec<String>,
    /// Clock offsets in milliseconds, by the name of a manager or group. The template `{clock_offset_ms}`
    /// stands for a manager's offset.
    pub clocks: Clocks,
    /// Restarts of processes that exit by themselves.
    pub supervise: Supervise,
    /// Faults of managers that reach a failpoint.
    #[serde(rename = "strikes")]
    pub failpoint_faults: Vec<FailpointFault>,
    /// The recorded history; absent: a history with the defaults is recorded if `check` is present.
    pub history: Option<History>,
    /// Configuration of the history checker; absent: the history is not checked.
    pub check: Option<CheckConfig>,
    /// Stand-in subscribers of the managers' journal; by default there are none.
    pub subscribers: Subscribers,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            name: "run".into(),
            managers: 3,
            start_over_ms: 0.0,
            groups: vec![1.0],
            engines: Engines::default(),
            zones: 2,
            zone_aware: false,
            watch: None,
            failover: None,
            membership: None,
            load: Load::default(),
            lists: ListServiceMode::Serve,
            seconds: 10.0,
            drain_grace_ms: DRAIN_GRACE.as_secs_f64() * 1e3,
            seed: 1,
            steps: Vec::new(),
            version: "v1".into(),
            pairs: false,
            ports: Vec::new(),
            files: BTreeMap::new(),
            args: Vec::new(),
            clocks: Clocks::new(),
            supervise: Supervise::default(),
            failpoint_faults: Vec::new(),
            history: None,
            check: None,
            subscribers: Subscribers::default(),
        }
    }
}

impl Scenario {
    /// Parses and validates a scenario in JSON5.
    ///
    /// # Errors
    /// If the text is not valid JSON5 or a field is unknown, or if a field violates a rule.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = json5::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Whether the managers' connections to engines and list services go through the fault proxy.
    pub fn uses_fault_proxy(&self) -> bool {
        let is_network_fault =
            |action: &Action| matches!(action, Action::Fault { .. } | Action::Cut { .. } | Action::Part(_));
        let in_steps = self.steps.iter().map(|step| &step.action);
        let at_failpoints = self.failpoint_faults.iter().flat_map(|fault| &fault.further_actions);
        self.groups.len() > 1 || self.pairs || in_steps.chain(at_failpoints).any(is_network_fault)
    }

    /// The names of the scenario's groups of managers.
    pub fn group_names(&self) -> impl Iterator<Item = &'static str> + '_ {
        GROUPS.iter().take(self.groups.len()).copied()
    }

    /// The index of the manager of this name, if there is one.
    pub fn manager_index(&self, name: &str) -> Option<usize> {
        let i: usize = name.strip_prefix('n')?.parse().ok()?;
        // Leading zeros and signs are rejected, so that each manager has a single name.
        (i < self.managers && name == format!("n{i}")).then_some(i)
    }

    /// The offset of manager `i`'s clock, in milliseconds: its own, else its group's, else 0.
    pub fn clock_offset_ms(&self, i: usize) -> i64 {
        let own = self.clocks.get(&format!("n{i}"));
        own.or_else(|| self.clocks.get(GROUPS[self.group_of(i)])).copied().unwrap_or(0)
    }

    /// Whether a history is recorded.
    pub fn records_history(&self) -> bool {
        self.history.is_some() || self.check.is_some()
    }

    /// The names of the managers' parties in the fault proxy: the managers' names with `pairs`, else the
    /// groups' names.
    pub fn parties(&self) -> Vec<String> {
        match self.pairs {
            true => (0..self.managers).map(|i| format!("n{i}")).collect(),
            false => self.group_names().map(str::to_owned).collect(),
        }
    }

    /// The index of manager `i`'s party in [`Scenario::parties`].
    pub fn party_of(&self, i: usize) -> usize {
        if self.pairs {
            i
        } else {
            self.group_of(i)
        }
    }

    /// The index of manager `i`'s group.
    pub fn group_of(&self, i: usize) -> usize {
        let position = (i as f64 + 0.5) / self.managers as f64;
        let mut sum = 0.0;
        let ends = self.groups.iter().map(|fraction| {
            sum += fraction;
            sum
        });
        ends.take(self.groups.len() - 1).filter(|end| position >= *end).count()
    }
}
