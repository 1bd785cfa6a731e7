//! What a scenario may say: every count, time and name is held against its bound, and an error names its path.

use super::acts::MOST_TIMES;
use super::{
    Act, Call, Scenario, Sides, Step, Strike, Subs, GROUPS, HALLS, LONGEST, MOST_ENGINES, MOST_PAIRED,
    MOST_SUBSCRIBERS,
};
use crate::procs::MOST_MANAGERS;
use crate::range::within;
use crate::template;
use sprucelink_failpoints::fault_file::{Failpoints, FaultFile};

/// Steps at most, strikes, ports, files of each manager, further arguments, acts of one strike.
const MOST_STEPS: usize = 200;
const MOST_STRIKES: usize = 16;
const MOST_PORTS: usize = 4;
const MOST_FILES: usize = 8;
const MOST_ARGS: usize = 32;
const MOST_ALSO: usize = 8;
/// A clock is off by a day at most, in milliseconds.
const MOST_OFFSET_MS: i64 = 86_400_000;
/// Versions, filters and pointers of the subscribers at most.
const MOST_WORDS: usize = 64;

fn plain_word(what: &str, word: &str) -> Result<(), String> {
    let sign = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    let good = !word.is_empty() && word.len() <= 64 && word.chars().all(sign) && !word.starts_with('.');
    good.then_some(())
        .ok_or_else(|| format!("{what}: letters, digits, '.', '-' and '_', 1 to 64, not {word:?}"))
}

fn pointer(what: &str, p: &str) -> Result<(), String> {
    let good = p.starts_with('/') && p.len() <= 128;
    good.then_some(()).ok_or_else(|| format!("{what}: a JSON pointer such as /prev, not {p:?}"))
}

impl Scenario {
    /// What is wrong with it, if anything, by path.
    ///
    /// # Errors
    /// The field and rule.
    pub fn check(&self) -> Result<(), String> {
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if self.name.is_empty() || self.name.len() > 64 || !self.name.chars().all(plain) {
            return Err(format!("name: letters, digits, '-' and '_', 1 to 64 of them, is {:?}", self.name));
        }
        let most = if self.pairs { MOST_PAIRED } else { MOST_MANAGERS };
        within("managers", self.managers as f64, 1.0, most as f64)?;
        within("start_over_ms", self.start_over_ms, 0.0, 60_000.0)?;
        within("seconds", self.seconds, 0.5, LONGEST)?;
        within("drain_grace_ms", self.drain_grace_ms, 0.0, 60_000.0)?;
        self.check_engines()?;
        within("load.rate", self.load.rate, 0.0, 5_000.0)?;
        within("load.heavy", self.load.heavy, 0.0, 1.0)?;
        within("load.timeout_ms", self.load.timeout_ms, 100.0, 20_000.0)?;
        self.check_zones()?;
        if let Some(m) = &self.membership {
            m.protocol.validate().map_err(|e| format!("membership.protocol.{e}"))?;
        }
        within("groups", self.groups.len() as f64, 1.0, GROUPS.len() as f64)?;
        within("groups: their sum", self.groups.iter().sum(), 0.999, 1.001)?;
        within("steps", self.steps.len() as f64, 0.0, MOST_STEPS as f64)?;
        for (i, step) in self.steps.iter().enumerate() {
            self.check_step(step).map_err(|e| format!("steps[{i}]: {e}"))?;
        }
        self.check_processes()?;
        within("strikes", self.strikes.len() as f64, 0.0, MOST_STRIKES as f64)?;
        for (i, strike) in self.strikes.iter().enumerate() {
            self.check_strike(strike).map_err(|e| format!("strikes[{i}]: {e}"))?;
        }
        if let Some(h) = self.history {
            within("history.most_mb", h.most_mb as f64, 1.0, 1_024.0)?;
        }
        if let Some(terms) = &self.check {
            terms.check().map_err(|e| format!("check.{e}"))?;
        }
        self.check_subscribers().map_err(|e| format!("subscribers.{e}"))
    }

    fn check_engines(&self) -> Result<(), String> {
        let e = &self.engines;
        let come: usize = self
            .steps
            .iter()
            .map(|s| if let Act::EnginesCome(n) = s.act { n.saturating_mul(s.times) } else { 0 })
            .sum();
        within("engines.count", e.count.saturating_add(come) as f64, 1.0, MOST_ENGINES as f64)?;
        within("engines.cold", e.cold as f64, 0.0, e.count as f64)?;
        within("engines.missing", e.missing as f64, 0.0, e.count as f64)?;
        within("engines.slow", e.slow as f64, 0.0, e.count as f64)?;
        within("engines.cores", e.cores, 0.5, 1_000.0)?;
        within("engines.light_ms", e.light_ms, 0.0, 10_000.0)?;
        within("engines.heavy_ms", e.heavy_ms, 0.0, 10_000.0)
    }

    fn check_zones(&self) -> Result<(), String> {
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
        Ok(())
    }

    fn check_processes(&self) -> Result<(), String> {
        plain_word("version", &self.version)?;
        within("ports", self.ports.len() as f64, 0.0, MOST_PORTS as f64)?;
        for p in &self.ports {
            plain_word("ports: name", &p.name)?;
            if p.said.is_empty() || p.said.len() > 64 {
                return Err("ports: said: 1 to 64 letters".into());
            }
        }
        within("files", self.files.len() as f64, 0.0, MOST_FILES as f64)?;
        within("args", self.args.len() as f64, 0.0, MOST_ARGS as f64)?;
        let port = |name: &str| self.ports.iter().any(|p| p.name == name);
        for (name, value) in &self.files {
            plain_word("files", name)?;
            template::check_value(value, &port).map_err(|e| format!("files.{name}: {e}"))?;
        }
        for arg in &self.args {
            template::check(arg, &port).map_err(|e| format!("args: {e}"))?;
        }
        for (who, ms) in &self.clocks {
            let known = self.number_of(who).is_some() || self.groups_named().any(|g| g == who);
            known.then_some(()).ok_or_else(|| format!("clocks: {who:?} is no manager and no group"))?;
            within("clocks", *ms as f64, -MOST_OFFSET_MS as f64, MOST_OFFSET_MS as f64)?;
        }
        within("supervise.back_ms", self.supervise.back_ms, 0.0, 60_000.0)?;
        within("supervise.most", self.supervise.most as f64, 0.0, 1_000.0)
    }

    fn check_step(&self, step: &Step) -> Result<(), String> {
        within("at", step.at, 0.0, self.seconds)?;
        within("times", step.times as f64, 1.0, MOST_TIMES as f64)?;
        within("every", step.every, 0.0, self.seconds)?;
        within("spread", step.spread, 0.0, self.seconds)?;
        within(
            "the last time",
            step.at + step.every * (step.times - 1) as f64 + step.spread,
            0.0,
            self.seconds,
        )?;
        self.check_act(&step.act)
    }

    fn party(&self, name: &String) -> Result<(), String> {
        let managers = self.groups_named().any(|g| g == name);
        let hall = HALLS[..self.zones.min(HALLS.len())].contains(&name.as_str());
        let one = self.number_of(name).is_some() && (self.pairs || self.membership.is_some());
        let subscribers = name == "subscribers" && self.subscribers.count > 0;
        let named = managers || hall || one || subscribers || name == "lists" || name == "engines";
        named.then_some(()).ok_or_else(|| {
            let more = "n0, ... with `pairs` or `membership`, subscribers where there are some";
            format!("{name:?} is no group: a, b, ... of `groups`, lists, engines, hall-a, ...; {more}")
        })
    }

    fn check_sides(&self, sides: &Sides) -> Result<(), String> {
        for (what, side) in [("from", &sides.from), ("to", &sides.to)] {
            within(what, side.len() as f64, 1.0, MOST_PAIRED as f64)?;
            side.iter().try_for_each(|g| self.party(g))?;
        }
        match sides.from.iter().find(|g| sides.to.contains(g)) {
            Some(g) => Err(format!("{g:?} is on both sides")),
            None => Ok(()),
        }
    }

    fn check_call(&self, call: &Call) -> Result<(), String> {
        call.to.check(self).map_err(|e| format!("call.to: {e}"))?;
        let port = |name: &str| self.ports.iter().any(|p| p.name == name);
        port(&call.port).then_some(()).ok_or_else(|| format!("call.port: no port {:?}", call.port))?;
        plain_word("call.method", &call.method)?;
        template::check(&call.path, &port).map_err(|e| format!("call.path: {e}"))?;
        template::check_value(&call.body, &port).map_err(|e| format!("call.body: {e}"))?;
        call.op.as_ref().map_or(Ok(()), |op| plain_word("call.op", op))?;
        call.cursor_at.as_ref().map_or(Ok(()), |p| pointer("call.cursor_at", p))
    }

    fn check_act(&self, act: &Act) -> Result<(), String> {
        match act {
            Act::Kill(w) | Act::Restart(w) | Act::Roll(w) | Act::Pause(w) | Act::Resume(w) => w.check(self),
            Act::RestartEmpty(w) | Act::KeepCopy(w) | Act::PutBack(w) => w.check(self),
            Act::Disk { who, fault } => {
                who.check(self)?;
                FaultFile { disk: *fault, ..FaultFile::default() }.check().map_err(|e| e.to_string())
            }
            Act::Tear { who, file, bytes } => {
                who.check(self)?;
                plain_word("tear.file", file)?;
                within("tear.bytes", *bytes as f64, 1.0, 1e9)
            }
            Act::EnginesDrain(p) | Act::EnginesGo(p) | Act::EnginesVanish(p) => p.check(),
            Act::Fault { from, to, rule } => {
                self.party(from)?;
                self.party(to)?;
                rule.check()
            }
            Act::Part(sides) | Act::Join(sides) => self.check_sides(sides),
            Act::Cut { from, to, .. } => {
                self.party(from)?;
                self.party(to)
            }
            Act::ZoneCold(zone) => self.party(zone),
            Act::Call(call) => self.check_call(call),
            Act::Subscribers(s) => match s {
                Subs::Drop(share) | Subs::Hop(share) => within("subscribers", *share, 0.0, 1.0),
                Subs::Slow { share, bytes_s } => {
                    within("subscribers.slow.share", *share, 0.0, 1.0)?;
                    within("subscribers.slow.bytes_s", *bytes_s, 0.0, 1e9)
                }
            },
            Act::EnginesCome(_) | Act::Lists(_) | Act::OlderList | Act::ContradictoryList | Act::Heal => {
                Ok(())
            }
        }
    }

    fn check_strike(&self, s: &Strike) -> Result<(), String> {
        s.who.check(self)?;
        let arm = [(s.point.clone(), s.pass)].into();
        FaultFile { points: Failpoints { arm, wait_ms: s.wait_ms }, ..FaultFile::default() }
            .check()
            .map_err(|e| e.to_string())?;
        within("back_ms", s.back_ms.unwrap_or(0.0), 0.0, 600_000.0)?;
        within("also", s.also.len() as f64, 0.0, MOST_ALSO as f64)?;
        s.also.iter().try_for_each(|a| self.check_act(a)).map_err(|e| format!("also: {e}"))
    }

    fn check_subscribers(&self) -> Result<(), String> {
        let s = &self.subscribers;
        within("count", s.count as f64, 0.0, MOST_SUBSCRIBERS as f64)?;
        within("over_ms", s.over_ms, 0.0, 60_000.0)?;
        within("hop_s", s.hop_s, 0.0, LONGEST)?;
        within("retry_ms", s.retry_ms, 1.0, 60_000.0)?;
        within("silent_ms", s.silent_ms, 100.0, 600_000.0)?;
        within("versions", s.versions.len() as f64, 1.0, MOST_WORDS as f64)?;
        within("filters", s.filters.len() as f64, 1.0, MOST_WORDS as f64)?;
        s.versions.iter().try_for_each(|v| plain_word("versions", v))?;
        s.to.as_ref().map_or(Ok(()), |w| w.check(self).map_err(|e| format!("to: {e}")))?;
        if s.count > 0 {
            within("at", s.at, 0.0, self.seconds)?;
            let port = self.ports.iter().any(|p| p.name == s.port);
            port.then_some(()).ok_or_else(|| format!("port: no port {:?} among `ports`", s.port))?;
        }
        if !s.path.starts_with('/') || s.path.chars().any(|c| c.is_whitespace() || c.is_control()) {
            return Err(format!("path: begins with / and holds no blanks, not {:?}", s.path));
        }
        pointer("prev_at", &s.prev_at)?;
        pointer("op_at", &s.op_at)?;
        let needs = || s.needs.values().flat_map(|n| n.values()).flatten();
        within("needs", needs().count() as f64, 0.0, MOST_WORDS as f64)?;
        needs().try_for_each(|p| pointer("needs", p))?;
        let m = &s.marks;
        within("marks.only", m.only.len() as f64, 0.0, MOST_WORDS as f64)?;
        let only = m.only.keys().chain(m.release.iter().flat_map(|r| [&r.id, &r.version]));
        let halt =
            m.halt.iter().flat_map(|h| [Some(&h.id), h.version.as_ref(), h.release.as_ref()]).flatten();
        let over = m.halt_over.iter().map(|h| &h.id);
        let schema = m.schema.iter().flat_map(|s| [&s.publisher, &s.reads]);
        only.chain(halt).chain(over).chain(schema).try_for_each(|p| pointer("marks", p))
    }
}
