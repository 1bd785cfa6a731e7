//! What a run does, as a JSON5 file: how many managers and engines, what clients ask, and the steps in which
//! things happen. A field that is not known is refused by name; every count and time has a bound.
//!
//! [`actions`] holds what happens, [`parts`] what there is.

pub mod actions;
mod check;
mod error;
pub mod parts;
#[cfg(test)]
mod tests;

pub use actions::{
    Action, Call, Clocks, FailpointFault, FleetRange, Lists, ManagerSelector, NewConnections, ProcessFault,
    Sides, Step, SubscriberAction,
};
pub use error::{InvalidScenario, ScenarioError};
pub use parts::{
    Engines, HaltMark, History, Load, Marks, Membership, OverMark, Port, ReleaseMark, SchemaMark,
    Subscribers, Supervise, Watch,
};

use crate::ledger::DRAIN_GRACE;
use serde::Deserialize;
use sprucelink_history_checker::config::CheckConfig;
use std::collections::BTreeMap;

/// Engines of a run, those that are added later included.
pub const MAX_ENGINES: usize = 200;
/// Longest run, in seconds.
pub const MAX_RUN_SECONDS: f64 = 600.0;
/// Stand-in subscribers of a run.
pub const MAX_SUBSCRIBERS: usize = 300;
/// Managers of a run in which each is a party of its own in the fault proxy: every two need a path for each port.
pub const MAX_PAIRED_MANAGERS: usize = 32;
/// Zones of engines, by name. Managers that know their zone are in the first as group `a`, in the second as `b`, ...
pub const ZONES: [&str; 4] = ["hall-a", "hall-b", "hall-c", "hall-d"];
/// Groups of managers, by name.
pub const GROUPS: [&str; 4] = ["a", "b", "c", "d"];

/// A run.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Its name, in tables and file names.
    pub name: String,
    /// Managers.
    pub managers: usize,
    /// They start one after the other over this time, in milliseconds; 0: at once.
    pub start_over_ms: f64,
    /// Shares of the managers by group (`a`, `b`, ...); with more than one, or with faults, all goes through the
    /// fault proxy.
    pub groups: Vec<f64>,
    /// The engines at the start.
    pub engines: Engines,
    /// Zones over which engines are spread in turn; 1 to 4.
    pub zones: usize,
    /// Managers know their zone: that of their group.
    #[serde(rename = "told_zone")]
    pub zone_aware: bool,
    /// The zone that the run is about, and when it is away.
    pub watch: Option<Watch>,
    /// Settings of failover between zones, as their JSON5 words them; absent: it is off.
    pub failover: Option<serde_json::Value>,
    /// Managers keep a view of the fleet, by UDP through the fault proxy; absent: they do not talk.
    pub membership: Option<Membership>,
    /// What clients ask.
    pub load: Load,
    /// How the list service answers at first.
    pub lists: Lists,
    /// How long it lasts, in seconds.
    pub seconds: f64,
    /// A send to a draining engine later than this after its drain was told breaks the rule, in milliseconds; 0 to
    /// 60,000. The protocol's is 550; tests on busy machines take more.
    pub drain_grace_ms: f64,
    /// For all that is drawn.
    pub seed: u64,
    /// What happens.
    pub steps: Vec<Step>,
    /// The version under which managers are started at first.
    pub version: String,
    /// Each manager is a party of its own in the fault proxy, so that ways between two of them can have rules; at most
    /// [`MAX_PAIRED_MANAGERS`] managers then. UDP has them always.
    pub pairs: bool,
    /// TCP ports that managers open for one another and for subscribers; at most 4.
    pub ports: Vec<Port>,
    /// Files written into each manager's folder at each start, by name, as JSON with templates in their texts.
    pub files: BTreeMap<String, serde_json::Value>,
    /// Further arguments of `serve`, with templates.
    pub args: Vec<String>,
    /// Clock offsets in milliseconds, by a manager's name or a group's: `{clock_offset_ms}` in templates.
    pub clocks: Clocks,
    /// What is done with processes that end by themselves.
    pub supervise: Supervise,
    /// Faults of managers that reach a failpoint.
    #[serde(rename = "strikes")]
    pub failpoint_faults: Vec<FailpointFault>,
    /// A history is recorded; absent: only where `check` is there.
    pub history: Option<History>,
    /// What the history is held against; absent: it is not.
    pub check: Option<CheckConfig>,
    /// Stand-in subscribers.
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
            lists: Lists::Serve,
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
    /// Reads a scenario from a JSON5 text.
    ///
    /// # Errors
    /// The line and field, or the field and rule.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let set: Scenario = json5::from_str(text)?;
        set.check()?;
        Ok(set)
    }

    /// Whether what managers do goes through the fault proxy.
    pub fn uses_fault_proxy(&self) -> bool {
        let is_network_fault =
            |action: &Action| matches!(action, Action::Fault { .. } | Action::Cut { .. } | Action::Part(_));
        let in_steps = self.steps.iter().map(|step| &step.action);
        let at_failpoints = self.failpoint_faults.iter().flat_map(|fault| &fault.further_actions);
        self.groups.len() > 1 || self.pairs || in_steps.chain(at_failpoints).any(is_network_fault)
    }

    /// The names of the groups of managers.
    pub fn groups_named(&self) -> impl Iterator<Item = &'static str> + '_ {
        GROUPS.iter().take(self.groups.len()).copied()
    }

    /// The number of the manager of this name, if there is one.
    pub fn number_of(&self, name: &str) -> Option<usize> {
        let i: usize = name.strip_prefix('n')?.parse().ok()?;
        // No leading zeros or signs: one manager has one name.
        (i < self.managers && name == format!("n{i}")).then_some(i)
    }

    /// The offset of manager `i`'s clock, in milliseconds: its own, or its group's.
    pub fn clock_of(&self, i: usize) -> i64 {
        let own = self.clocks.get(&format!("n{i}"));
        own.or_else(|| self.clocks.get(GROUPS[self.group_of(i)])).copied().unwrap_or(0)
    }

    /// Whether a history is recorded.
    pub fn records(&self) -> bool {
        self.history.is_some() || self.check.is_some()
    }

    /// The parties that the fault proxy tells apart among managers: each by its name with `pairs`, else the groups.
    pub fn parties(&self) -> Vec<String> {
        match self.pairs {
            true => (0..self.managers).map(|i| format!("n{i}")).collect(),
            false => self.groups_named().map(str::to_owned).collect(),
        }
    }

    /// The number of manager `i`'s party among them.
    pub fn party_of(&self, i: usize) -> usize {
        if self.pairs {
            i
        } else {
            self.group_of(i)
        }
    }

    /// The group of manager `i`, by its number.
    pub fn group_of(&self, i: usize) -> usize {
        let place = (i as f64 + 0.5) / self.managers as f64;
        let mut upto = 0.0;
        let ends = self.groups.iter().map(|share| {
            upto += share;
            upto
        });
        ends.take(self.groups.len() - 1).filter(|end| place >= *end).count()
    }
}
