//! What a run does, as a JSON5 file: how many managers and engines, what clients ask, and the steps in which
//! things happen. A field that is not known is refused by name; every count and time has a bound.

use crate::ledger::DRAIN_GRACE;
use crate::middle::{Cut, Rule};
use crate::procs::MOST_MANAGERS;
use serde::Deserialize;
use sprucelink_membership::terms::{Protocol, Share};
use sprucelink_stable::within;

/// Engines of a run at most, those that come later included.
pub const MOST_ENGINES: usize = 200;
/// Longest run, in seconds.
pub const LONGEST: f64 = 600.0;
/// Steps at most.
const MOST_STEPS: usize = 200;
/// Zones of engines, by name; managers of group `a` are in the first, and so on, where managers are told their zone.
pub const HALLS: [&str; 4] = ["hall-a", "hall-b", "hall-c", "hall-d"];
/// Groups of managers, by name.
pub const GROUPS: [&str; 4] = ["a", "b", "c", "d"];

/// A part of the fleet (or of the engines), in shares of it: from the first up to, without, the second.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Where it begins; 0 to 1.
    pub from: f64,
    /// Where it ends; `from` to 1.
    pub to: f64,
    /// It happens one after the other, evenly over this time in milliseconds; 0 to 60,000.
    #[serde(default)]
    pub over_ms: f64,
}

impl Part {
    /// The numbers it covers, of `n`.
    pub fn of(&self, n: usize) -> std::ops::Range<usize> {
        let at = |share: f64| ((share * n as f64).round() as usize).min(n);
        at(self.from)..at(self.to)
    }

    fn check(&self) -> Result<(), String> {
        let good = self.from >= 0.0 && self.to >= self.from && self.to <= 1.0;
        if !good {
            return Err(format!("must lie within 0 and 1, in order, is {} to {}", self.from, self.to));
        }
        within("over_ms", self.over_ms, 0.0, 60_000.0)
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

/// Something that happens.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// Managers are killed outright (SIGKILL).
    Kill(Part),
    /// Managers are started anew, killed first where they run.
    Restart(Part),
    /// Managers get SIGTERM and are started anew once they have ended.
    Roll(Part),
    /// Managers are stopped (SIGSTOP).
    Pause(Part),
    /// Managers go on (SIGCONT).
    Resume(Part),
    /// The list service answers so from now on.
    Lists(Lists),
    /// New engines come under new ids, cold, and the list tells them.
    EnginesCome(usize),
    /// The list tells that engines drain, by their number among all so far.
    EnginesDrain(Part),
    /// Engines end and the list tells it.
    EnginesGo(Part),
    /// Engines end and nobody tells it.
    EnginesVanish(Part),
    /// The engines of a zone start anew, cold, under their ids, and the list tells it.
    ZoneCold(String),
    /// The list service tells the first list again, as whole and under its old revision.
    OlderList,
    /// The list service tells, in one event, that the first engine drains and that it is ready.
    ContradictoryList,
    /// What goes from one group to another goes by this rule.
    Fault {
        /// The group from which.
        from: String,
        /// The group to which.
        to: String,
        /// The rule.
        rule: Rule,
    },
    /// Open connections from one group to another are cut.
    Cut {
        /// The group from which.
        from: String,
        /// The group to which.
        to: String,
        /// How.
        how: Cut,
    },
    /// All rules of the fault middle are lifted.
    Heal,
}

/// A step: when something happens.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Seconds after the first start.
    pub at: f64,
    /// What.
    #[serde(rename = "do")]
    pub act: Act,
}

/// A zone that a run is about: what the table says of it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Watch {
    /// The zone.
    pub zone: String,
    /// When it is lost, in seconds.
    pub from: f64,
    /// When it comes back.
    pub to: f64,
}

/// The engines at the start.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Engines {
    /// How many.
    pub count: usize,
    /// Of these, so many start cold with the run.
    pub cold: usize,
    /// Of these, the last so many do not exist: the list names them and their ports are closed.
    pub missing: usize,
    /// Of these, the first so many work ten times more slowly than they should.
    pub slow: usize,
    /// Cores of each.
    pub cores: f64,
    /// Work of a light query on one core, in milliseconds.
    pub light_ms: f64,
    /// Work of a load, in milliseconds.
    pub heavy_ms: f64,
}

impl Default for Engines {
    fn default() -> Engines {
        Engines { count: 8, cold: 0, missing: 0, slow: 0, cores: 8.0, light_ms: 20.0, heavy_ms: 200.0 }
    }
}

/// What clients ask.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests a second of the whole fleet, spread evenly over the managers; 0 to 5,000.
    pub rate: f64,
    /// Share of them that are loads.
    pub heavy: f64,
    /// How long clients wait, in milliseconds; 100 to 20,000.
    pub timeout_ms: f64,
    /// Clients of a manager that is down go to another, drawn anew for each request; else they ask nobody.
    pub follow: bool,
}

impl Default for Load {
    fn default() -> Load {
        Load { rate: 100.0, heavy: 0.05, timeout_ms: 4_000.0, follow: false }
    }
}

/// The view of the fleet that managers keep among themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// The protocol's figures.
    pub protocol: Protocol,
    /// What is shared.
    pub share: Share,
}

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
    /// fault middle.
    pub groups: Vec<f64>,
    /// The engines at the start.
    pub engines: Engines,
    /// Zones over which engines are spread in turn; 1 to 4.
    pub zones: usize,
    /// Managers are told their zone: that of their group.
    pub told_zone: bool,
    /// The zone that the run is about, and when it is away.
    pub watch: Option<Watch>,
    /// Settings of failover between zones, as their JSON5 words them; absent: it is off.
    pub failover: Option<serde_json::Value>,
    /// Managers keep a view of the fleet, by UDP through the fault middle; absent: they do not talk.
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
            told_zone: false,
            watch: None,
            failover: None,
            membership: None,
            load: Load::default(),
            lists: Lists::Serve,
            seconds: 10.0,
            drain_grace_ms: DRAIN_GRACE.as_secs_f64() * 1e3,
            seed: 1,
            steps: Vec::new(),
        }
    }
}

impl Scenario {
    /// Reads a scenario from a JSON5 text.
    ///
    /// # Errors
    /// The line and field, or the field and rule.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let set: Scenario = json5::from_str(text).map_err(|e| format!("scenario: {e}"))?;
        set.check().map_err(|e| format!("scenario: {e}"))?;
        Ok(set)
    }

    /// What is wrong with it, if anything, by path.
    ///
    /// # Errors
    /// The field and rule.
    pub fn check(&self) -> Result<(), String> {
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if self.name.is_empty() || self.name.len() > 64 || !self.name.chars().all(plain) {
            return Err(format!("name: letters, digits, '-' and '_', 1 to 64 of them, is {:?}", self.name));
        }
        within("managers", self.managers as f64, 1.0, MOST_MANAGERS as f64)?;
        within("start_over_ms", self.start_over_ms, 0.0, 60_000.0)?;
        within("seconds", self.seconds, 0.5, LONGEST)?;
        within("drain_grace_ms", self.drain_grace_ms, 0.0, 60_000.0)?;
        let e = &self.engines;
        let come: usize =
            self.steps.iter().map(|s| if let Act::EnginesCome(n) = s.act { n } else { 0 }).sum();
        within("engines.count", e.count.saturating_add(come) as f64, 1.0, MOST_ENGINES as f64)?;
        within("engines.cold", e.cold as f64, 0.0, e.count as f64)?;
        within("engines.missing", e.missing as f64, 0.0, e.count as f64)?;
        within("engines.slow", e.slow as f64, 0.0, e.count as f64)?;
        within("engines.cores", e.cores, 0.5, 1_000.0)?;
        within("engines.light_ms", e.light_ms, 0.0, 10_000.0)?;
        within("engines.heavy_ms", e.heavy_ms, 0.0, 10_000.0)?;
        within("load.rate", self.load.rate, 0.0, 5_000.0)?;
        within("load.heavy", self.load.heavy, 0.0, 1.0)?;
        within("load.timeout_ms", self.load.timeout_ms, 100.0, 20_000.0)?;
        within("zones", self.zones as f64, 1.0, HALLS.len() as f64)?;
        if self.told_zone && self.groups.len() > self.zones {
            return Err("told_zone: there are more groups than zones".into());
        }
        if let Some(w) = &self.watch {
            let known = HALLS[..self.zones].contains(&w.zone.as_str());
            known.then_some(()).ok_or_else(|| format!("watch.zone: {:?} is no zone", w.zone))?;
            within("watch.from", w.from, 0.0, self.seconds)?;
            within("watch.to", w.to, w.from, self.seconds)?;
        }
        if let Some(m) = &self.membership {
            m.protocol.check().map_err(|e| format!("membership.protocol.{e}"))?;
        }
        within("groups", self.groups.len() as f64, 1.0, GROUPS.len() as f64)?;
        within("groups: their sum", self.groups.iter().sum(), 0.999, 1.001)?;
        within("steps", self.steps.len() as f64, 0.0, MOST_STEPS as f64)?;
        for (i, step) in self.steps.iter().enumerate() {
            self.check_step(step).map_err(|e| format!("steps[{i}]: {e}"))?;
        }
        Ok(())
    }

    fn check_step(&self, step: &Step) -> Result<(), String> {
        within("at", step.at, 0.0, self.seconds)?;
        let known = |g: &String| {
            let managers = GROUPS[..self.groups.len()].contains(&g.as_str());
            let hall = HALLS[..self.zones.min(HALLS.len())].contains(&g.as_str());
            let named = managers || hall || g == "lists" || g == "engines";
            named.then_some(()).ok_or_else(|| {
                format!("{g:?} is no group: a, b, ... of `groups`, lists, engines, hall-a, ...")
            })
        };
        match &step.act {
            Act::Kill(p) | Act::Restart(p) | Act::Roll(p) | Act::Pause(p) | Act::Resume(p) => p.check(),
            Act::EnginesDrain(p) | Act::EnginesGo(p) | Act::EnginesVanish(p) => p.check(),
            Act::Fault { from, to, rule } => {
                known(from)?;
                known(to)?;
                rule.check()
            }
            Act::Cut { from, to, .. } => {
                known(from)?;
                known(to)
            }
            Act::ZoneCold(zone) => known(zone),
            Act::EnginesCome(_) | Act::Lists(_) | Act::OlderList | Act::ContradictoryList | Act::Heal => {
                Ok(())
            }
        }
    }

    /// Whether what managers do goes through the fault middle.
    pub fn through_middle(&self) -> bool {
        let faulty = |s: &Step| matches!(s.act, Act::Fault { .. } | Act::Cut { .. });
        self.groups.len() > 1 || self.steps.iter().any(faulty)
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_scenario_is_read_with_comments_and_defaults() {
        let s = Scenario::parse(
            "{ // a fleet\n name: 'herd', managers: 10, groups: [0.7, 0.3], seconds: 20,
               steps: [ { at: 1, do: { kill: { from: 0, to: 0.7 } } }, { at: 2, do: { lists: 'refuse' } },
                        { at: 3, do: 'older_list' }, { at: 3, do: { engines_come: 2 } },
                        { at: 4, do: { fault: { from: 'a', to: 'lists', rule: { drop: 0.1 } } } } ] }",
        )
        .expect("read");
        assert_eq!(s.steps.len(), 5);
        assert_eq!(s.steps[0].act, Act::Kill(Part { from: 0.0, to: 0.7, over_ms: 0.0 }));
        assert!(s.through_middle());
        assert_eq!((s.group_of(0), s.group_of(6), s.group_of(7), s.group_of(9)), (0, 0, 1, 1));
        assert_eq!(Part { from: 0.25, to: 0.5, over_ms: 0.0 }.of(8), 2..4);
    }

    #[test]
    fn what_cannot_be_meant_is_named() {
        let wrong = |text: &str| Scenario::parse(text).unwrap_err();
        assert!(wrong("{ managrs: 3 }").contains("managrs"));
        assert!(wrong("{ managers: 100000 }").contains("managers"));
        assert!(wrong("{ seconds: 1, steps: [ { at: 5, do: 'heal' } ] }").contains("steps[0]: at"));
        assert!(wrong("{ steps: [ { at: 5, do: { kill: { from: 0.5, to: 0.2 } } } ] }").contains("in order"));
        assert!(wrong("{ groups: [0.5, 0.2] }").contains("groups"));
        assert!(wrong("{ name: '../x' }").contains("name"));
        let e = wrong("{ steps: [ { at: 1, do: { cut: { from: 'b', to: 'lists', how: 'close' } } } ] }");
        assert!(e.contains("\"b\" is no group"), "{e}");
    }
}
