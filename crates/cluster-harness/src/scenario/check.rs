//! Validation of scenarios: every count, time and name is checked against its limits, and an error contains
//! the field's path.

use super::actions::MAX_TIMES;
use super::{
    Action, Call, FailpointFault, InvalidScenario, Scenario, Sides, Step, SubscriberAction, GROUPS,
    MAX_ENGINES, MAX_PAIRED_MANAGERS, MAX_RUN_SECONDS, MAX_SUBSCRIBERS, ZONES,
};
use crate::procs::MAX_MANAGERS;
use crate::template;
use sprucelink_failpoints::fault_file::{Failpoints, FaultFile};
use sprucelink_settings::check_range;

/// Maximum number of steps of a scenario.
const MAX_STEPS: usize = 200;
/// Maximum number of failpoint faults of a scenario.
const MAX_FAILPOINT_FAULTS: usize = 16;
/// Maximum number of TCP ports of a manager.
const MAX_PORTS: usize = 4;
/// Maximum number of files that are written into a manager's folder.
const MAX_FILES: usize = 8;
/// Maximum number of further arguments of a manager's process.
const MAX_ARGS: usize = 32;
/// Maximum number of further actions of one failpoint fault.
const MAX_FURTHER_ACTIONS: usize = 8;
/// Largest clock offset, ahead or behind: a day, in milliseconds.
const MAX_CLOCK_OFFSET_MS: i64 = 86_400_000;
/// Maximum number of entries of each list in the subscribers' section: versions, filters, pointers.
const MAX_LIST_ENTRIES: usize = 64;

fn check_name(path: &str, name: &str) -> Result<(), InvalidScenario> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    let is_valid =
        !name.is_empty() && name.len() <= 64 && name.chars().all(is_allowed) && !name.starts_with('.');
    is_valid
        .then_some(())
        .ok_or_else(|| InvalidScenario::InvalidName { path: path.to_owned(), name: name.to_owned() })
}

fn check_pointer(path: &str, pointer: &str) -> Result<(), InvalidScenario> {
    let is_valid = pointer.starts_with('/') && pointer.len() <= 128;
    is_valid
        .then_some(())
        .ok_or_else(|| InvalidScenario::InvalidPointer { path: path.to_owned(), pointer: pointer.to_owned() })
}

impl Scenario {
    /// Validates the scenario.
    ///
    /// # Errors
    /// The path of the first invalid field, and the rule that the field violates.
    pub fn check(&self) -> Result<(), InvalidScenario> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if self.name.is_empty() || self.name.len() > 64 || !self.name.chars().all(is_allowed) {
            return Err(InvalidScenario::InvalidScenarioName(self.name.clone()));
        }
        let max_managers = if self.pairs { MAX_PAIRED_MANAGERS } else { MAX_MANAGERS };
        check_range("managers", self.managers as f64, 1.0, max_managers as f64)?;
        check_range("start_over_ms", self.start_over_ms, 0.0, 60_000.0)?;
        check_range("seconds", self.seconds, 0.5, MAX_RUN_SECONDS)?;
        check_range("drain_grace_ms", self.drain_grace_ms, 0.0, 60_000.0)?;
        self.check_engines()?;
        check_range("load.rate", self.load.rate, 0.0, 5_000.0)?;
        check_range("load.heavy", self.load.heavy, 0.0, 1.0)?;
        check_range("load.timeout_ms", self.load.timeout_ms, 100.0, 20_000.0)?;
        self.check_zones()?;
        if let Some(m) = &self.membership {
            m.protocol.validate().map_err(|e| e.in_section("membership.protocol"))?;
        }
        check_range("groups", self.groups.len() as f64, 1.0, GROUPS.len() as f64)?;
        check_range("groups: their sum", self.groups.iter().sum(), 0.999, 1.001)?;
        check_range("steps", self.steps.len() as f64, 0.0, MAX_STEPS as f64)?;
        for (i, step) in self.steps.iter().enumerate() {
            self.check_step(step).map_err(|e| e.at(format!("steps[{i}]")))?;
        }
        self.check_processes()?;
        check_range("strikes", self.failpoint_faults.len() as f64, 0.0, MAX_FAILPOINT_FAULTS as f64)?;
        for (i, fault) in self.failpoint_faults.iter().enumerate() {
            self.check_failpoint_fault(fault).map_err(|e| e.at(format!("strikes[{i}]")))?;
        }
        if let Some(h) = self.history {
            check_range("history.most_mb", h.max_mb as f64, 1.0, 1_024.0)?;
        }
        if let Some(check_config) = &self.check {
            check_config.check().map_err(InvalidScenario::Check)?;
        }
        self.check_subscribers().map_err(|e| InvalidScenario::Subscribers(Box::new(e)))
    }

    fn check_engines(&self) -> Result<(), InvalidScenario> {
        let e = &self.engines;
        let added: usize = self
            .steps
            .iter()
            .map(|s| if let Action::EnginesCome(n) = s.action { n.saturating_mul(s.times) } else { 0 })
            .sum();
        check_range("engines.count", e.count.saturating_add(added) as f64, 1.0, MAX_ENGINES as f64)?;
        check_range("engines.cold", e.cold as f64, 0.0, e.count as f64)?;
        check_range("engines.missing", e.missing as f64, 0.0, e.count as f64)?;
        check_range("engines.slow", e.slow as f64, 0.0, e.count as f64)?;
        check_range("engines.cores", e.cores, 0.5, 1_000.0)?;
        check_range("engines.light_ms", e.light_ms, 0.0, 10_000.0)?;
        Ok(check_range("engines.heavy_ms", e.heavy_ms, 0.0, 10_000.0)?)
    }

    fn check_zones(&self) -> Result<(), InvalidScenario> {
        check_range("zones", self.zones as f64, 1.0, ZONES.len() as f64)?;
        if self.zone_aware && self.groups.len() > self.zones {
            return Err(InvalidScenario::MoreGroupsThanZones);
        }
        if let Some(watch) = &self.watch {
            let known = ZONES[..self.zones].contains(&watch.zone.as_str());
            known.then_some(()).ok_or_else(|| InvalidScenario::UnknownWatchZone(watch.zone.clone()))?;
            check_range("watch.from", watch.from, 0.0, self.seconds)?;
            check_range("watch.to", watch.to, watch.from, self.seconds)?;
        }
        Ok(())
    }

    fn check_processes(&self) -> Result<(), InvalidScenario> {
        check_name("version", &self.version)?;
        check_range("ports", self.ports.len() as f64, 0.0, MAX_PORTS as f64)?;
        for p in &self.ports {
            check_name("ports: name", &p.name)?;
            if p.log_prefix.is_empty() || p.log_prefix.len() > 64 {
                return Err(InvalidScenario::InvalidPortLogText);
            }
        }
        check_range("files", self.files.len() as f64, 0.0, MAX_FILES as f64)?;
        check_range("args", self.args.len() as f64, 0.0, MAX_ARGS as f64)?;
        let is_port = |name: &str| self.ports.iter().any(|p| p.name == name);
        for (name, value) in &self.files {
            check_name("files", name)?;
            template::check_value(value, &is_port)
                .map_err(InvalidScenario::template(format!("files.{name}")))?;
        }
        for arg in &self.args {
            template::check(arg, &is_port).map_err(InvalidScenario::template("args"))?;
        }
        for (name, ms) in &self.clocks {
            let known = self.manager_index(name).is_some() || self.group_names().any(|g| g == name);
            known.then_some(()).ok_or_else(|| InvalidScenario::UnknownClock(name.clone()))?;
            check_range("clocks", *ms as f64, -MAX_CLOCK_OFFSET_MS as f64, MAX_CLOCK_OFFSET_MS as f64)?;
        }
        check_range("supervise.back_ms", self.supervise.restart_delay_ms, 0.0, 60_000.0)?;
        Ok(check_range("supervise.most", self.supervise.max_restarts as f64, 0.0, 1_000.0)?)
    }

    fn check_step(&self, step: &Step) -> Result<(), InvalidScenario> {
        check_range("at", step.at, 0.0, self.seconds)?;
        check_range("times", step.times as f64, 1.0, MAX_TIMES as f64)?;
        check_range("every", step.every, 0.0, self.seconds)?;
        check_range("spread", step.spread, 0.0, self.seconds)?;
        check_range(
            "the last time",
            step.at + step.every * (step.times - 1) as f64 + step.spread,
            0.0,
            self.seconds,
        )?;
        self.check_action(&step.action)
    }

    fn check_party(&self, name: &String) -> Result<(), InvalidScenario> {
        let is_group = self.group_names().any(|g| g == name);
        let is_zone = ZONES[..self.zones.min(ZONES.len())].contains(&name.as_str());
        let is_manager = self.manager_index(name).is_some() && (self.pairs || self.membership.is_some());
        let is_subscribers = name == "subscribers" && self.subscribers.count > 0;
        let is_party =
            is_group || is_zone || is_manager || is_subscribers || name == "lists" || name == "engines";
        is_party.then_some(()).ok_or_else(|| InvalidScenario::UnknownParty(name.clone()))
    }

    fn check_sides(&self, sides: &Sides) -> Result<(), InvalidScenario> {
        for (field, side) in [("from", &sides.from), ("to", &sides.to)] {
            check_range(field, side.len() as f64, 1.0, MAX_PAIRED_MANAGERS as f64)?;
            side.iter().try_for_each(|party| self.check_party(party))?;
        }
        match sides.from.iter().find(|party| sides.to.contains(party)) {
            Some(party) => Err(InvalidScenario::OnBothSides(party.clone())),
            None => Ok(()),
        }
    }

    fn check_call(&self, call: &Call) -> Result<(), InvalidScenario> {
        call.to.check(self).map_err(|e| e.at("call.to"))?;
        let is_port = |name: &str| self.ports.iter().any(|p| p.name == name);
        is_port(&call.port)
            .then_some(())
            .ok_or_else(|| InvalidScenario::UnknownCallPort(call.port.clone()))?;
        check_name("call.method", &call.method)?;
        template::check(&call.path, &is_port).map_err(InvalidScenario::template("call.path"))?;
        template::check_value(&call.body, &is_port).map_err(InvalidScenario::template("call.body"))?;
        call.op.as_ref().map_or(Ok(()), |op| check_name("call.op", op))?;
        call.cursor_at.as_ref().map_or(Ok(()), |p| check_pointer("call.cursor_at", p))
    }

    fn check_action(&self, action: &Action) -> Result<(), InvalidScenario> {
        match action {
            Action::Kill(w) | Action::Restart(w) | Action::Roll(w) | Action::Pause(w) | Action::Resume(w) => {
                w.check(self)
            }
            Action::RestartEmpty(w) | Action::KeepCopy(w) | Action::PutBack(w) => w.check(self),
            Action::Disk { who, fault } => {
                who.check(self)?;
                FaultFile { disk: *fault, ..FaultFile::default() }.check()?;
                Ok(())
            }
            Action::Tear { who, file, bytes } => {
                who.check(self)?;
                check_name("tear.file", file)?;
                Ok(check_range("tear.bytes", *bytes as f64, 1.0, 1e9)?)
            }
            Action::EnginesDrain(p) | Action::EnginesGo(p) | Action::EnginesVanish(p) => p.check(),
            Action::Fault { from, to, rule } => {
                self.check_party(from)?;
                self.check_party(to)?;
                Ok(rule.check()?)
            }
            Action::Part(sides) | Action::Join(sides) => self.check_sides(sides),
            Action::Cut { from, to, .. } => {
                self.check_party(from)?;
                self.check_party(to)
            }
            Action::ZoneCold(zone) => self.check_party(zone),
            Action::Call(call) => self.check_call(call),
            Action::Subscribers(s) => match s {
                SubscriberAction::Drop(share) | SubscriberAction::Hop(share) => {
                    Ok(check_range("subscribers", *share, 0.0, 1.0)?)
                }
                SubscriberAction::Slow { share, bytes_s } => {
                    check_range("subscribers.slow.share", *share, 0.0, 1.0)?;
                    Ok(check_range("subscribers.slow.bytes_s", *bytes_s, 0.0, 1e9)?)
                }
            },
            Action::EnginesCome(_)
            | Action::Lists(_)
            | Action::OlderList
            | Action::ContradictoryList
            | Action::Heal => Ok(()),
        }
    }

    fn check_failpoint_fault(&self, fault: &FailpointFault) -> Result<(), InvalidScenario> {
        fault.managers.check(self)?;
        let arm = [(fault.point.clone(), fault.pass)].into();
        FaultFile { points: Failpoints { arm, wait_ms: fault.wait_ms }, ..FaultFile::default() }.check()?;
        check_range("back_ms", fault.resume_ms.unwrap_or(0.0), 0.0, 600_000.0)?;
        check_range("also", fault.further_actions.len() as f64, 0.0, MAX_FURTHER_ACTIONS as f64)?;
        fault
            .further_actions
            .iter()
            .try_for_each(|action| self.check_action(action))
            .map_err(|e| e.at("also"))
    }

    fn check_subscribers(&self) -> Result<(), InvalidScenario> {
        let s = &self.subscribers;
        check_range("count", s.count as f64, 0.0, MAX_SUBSCRIBERS as f64)?;
        check_range("over_ms", s.over_ms, 0.0, 60_000.0)?;
        check_range("hop_s", s.hop_s, 0.0, MAX_RUN_SECONDS)?;
        check_range("retry_ms", s.retry_ms, 1.0, 60_000.0)?;
        check_range("silent_ms", s.silent_ms, 100.0, 600_000.0)?;
        check_range("versions", s.versions.len() as f64, 1.0, MAX_LIST_ENTRIES as f64)?;
        check_range("filters", s.filters.len() as f64, 1.0, MAX_LIST_ENTRIES as f64)?;
        s.versions.iter().try_for_each(|v| check_name("versions", v))?;
        s.to.as_ref().map_or(Ok(()), |w| w.check(self).map_err(|e| e.at("to")))?;
        if s.count > 0 {
            check_range("at", s.at, 0.0, self.seconds)?;
            let is_port = self.ports.iter().any(|p| p.name == s.port);
            is_port.then_some(()).ok_or_else(|| InvalidScenario::UnknownSubscriberPort(s.port.clone()))?;
        }
        if !s.path.starts_with('/') || s.path.chars().any(|c| c.is_whitespace() || c.is_control()) {
            return Err(InvalidScenario::InvalidSubscriberPath(s.path.clone()));
        }
        check_pointer("prev_at", &s.previous_pointer)?;
        check_pointer("op_at", &s.operation_pointer)?;
        let needs = || s.needs.values().flat_map(|n| n.values()).flatten();
        check_range("needs", needs().count() as f64, 0.0, MAX_LIST_ENTRIES as f64)?;
        needs().try_for_each(|p| check_pointer("needs", p))?;
        let marks = &s.marks;
        check_range("marks.only", marks.only.len() as f64, 0.0, MAX_LIST_ENTRIES as f64)?;
        let only = marks.only.keys().chain(marks.release.iter().flat_map(|r| [&r.id, &r.version]));
        let halt =
            marks.halt.iter().flat_map(|h| [Some(&h.id), h.version.as_ref(), h.release.as_ref()]).flatten();
        let halt_over = marks.halt_over.iter().map(|h| &h.id);
        let schema = marks.schema.iter().flat_map(|s| [&s.publisher, &s.reads]);
        only.chain(halt).chain(halt_over).chain(schema).try_for_each(|p| check_pointer("marks", p))
    }
}
