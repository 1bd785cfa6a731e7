//! What happens in a run: the scenario's steps with each manager's part of them, in order and when due.

use super::life::STILL_COMING;
use super::setup::COLD_FOR;
use super::{unix_ms, Life, Rig};
use crate::procs::{self, Row};
use crate::scenario::{Act, Part, HALLS};
use nix::sys::signal::Signal;
use std::time::{Duration, Instant};

impl Rig<'_> {
    /// All that happens, in order: starts, and the steps with each manager's part of them.
    pub(super) fn timeline(&self) -> Vec<(Duration, Act)> {
        let n = self.scenario.managers;
        let one = |i: usize| Part { from: i as f64 / n as f64, to: (i + 1) as f64 / n as f64, over_ms: 0.0 };
        let mut all = Vec::new();
        let spread = |all: &mut Vec<(Duration, Act)>, at: f64, p: &Part, act: fn(Part) -> Act| {
            let who = p.of(n);
            let each = p.over_ms / 1e3 / who.len().max(1) as f64;
            all.extend(
                who.enumerate().map(|(k, i)| (Duration::from_secs_f64(at + each * k as f64), act(one(i)))),
            );
        };
        let starts = Part { from: 0.0, to: 1.0, over_ms: self.scenario.start_over_ms };
        spread(&mut all, 0.0, &starts, Act::Restart);
        for step in &self.scenario.steps {
            match &step.act {
                Act::Kill(p) => spread(&mut all, step.at, p, Act::Kill),
                Act::Restart(p) => spread(&mut all, step.at, p, Act::Restart),
                Act::Roll(p) => spread(&mut all, step.at, p, Act::Roll),
                Act::Pause(p) => spread(&mut all, step.at, p, Act::Pause),
                Act::Resume(p) => spread(&mut all, step.at, p, Act::Resume),
                act => all.push((Duration::from_secs_f64(step.at), act.clone())),
            }
        }
        // Stable: what is due at once happens in the file's order.
        all.sort_by_key(|a| a.0);
        all.reverse();
        all
    }

    pub(super) fn act(&mut self, act: &Act) -> Result<(), String> {
        let n = self.scenario.managers;
        let engines = |p: &Part, rig: &Rig| p.of(rig.engines.len());
        match act {
            Act::Restart(p) => p.of(n).try_for_each(|i| self.begin(i))?,
            Act::Kill(p) => {
                for i in p.of(n) {
                    self.strike(i);
                    self.fleet.kill(i);
                    self.lives[i] = Life::Dead;
                }
            }
            Act::Roll(p) => {
                for i in p
                    .of(n)
                    .filter(|i| matches!(self.lives[*i], Life::Up | Life::Starting))
                    .collect::<Vec<_>>()
                {
                    self.seat(i, |s| s.until = Some(Instant::now() + STILL_COMING));
                    self.fleet.signal(i, Signal::SIGTERM).map_err(|e| e.to_string())?;
                    self.lives[i] = Life::Ending(Instant::now());
                }
            }
            Act::Pause(p) => {
                for i in p.of(n).filter(|i| self.lives[*i] == Life::Up).collect::<Vec<_>>() {
                    self.strike(i);
                    self.fleet.signal(i, Signal::SIGSTOP).map_err(|e| e.to_string())?;
                    self.lives[i] = Life::Paused;
                }
            }
            Act::Resume(p) => {
                for i in p.of(n).filter(|i| self.lives[*i] == Life::Paused).collect::<Vec<_>>() {
                    self.fleet.signal(i, Signal::SIGCONT).map_err(|e| e.to_string())?;
                    self.lives[i] = Life::Starting;
                }
            }
            Act::Lists(how) => self.set_lists(*how),
            Act::EnginesCome(count) => {
                let from = self.engines.len();
                (0..*count).try_for_each(|_| self.add_engine(true))?;
                self.tell(&(from..self.engines.len()).collect::<Vec<_>>())?;
            }
            Act::EnginesDrain(p) => {
                let who: Vec<usize> = engines(p, self).collect();
                who.iter().for_each(|i| self.engines[*i].phase = "draining");
                self.tell(&who)?;
                who.iter().for_each(|i| self.ledger.drained(*i, Instant::now()));
            }
            Act::EnginesGo(p) => {
                let who: Vec<usize> = engines(p, self).collect();
                who.iter().for_each(|i| self.engines[*i].phase = "gone");
                self.tell(&who)?;
                who.iter().for_each(|i| self.stop_engine(*i));
            }
            Act::EnginesVanish(p) => engines(p, self).for_each(|i| self.stop_engine(i)),
            Act::OlderList => {
                let first = self.scenario.engines.count;
                for group in 0..self.lists.len() {
                    let mut rows = self.rows(group);
                    rows.truncate(first);
                    rows.iter_mut().for_each(|r| r.phase = "ready");
                    self.lists[group].tell(|n| procs::event(n, 1, true, &rows))?;
                }
            }
            Act::ContradictoryList => {
                self.engines[0].phase = "draining";
                self.revision += 1;
                for group in 0..self.lists.len() {
                    let rows = [self.row(group, 0), Row { phase: "ready", ..self.row(group, 0) }];
                    self.lists[group].tell(|n| procs::event(n, self.revision, false, &rows))?;
                }
                self.ledger.drained(0, Instant::now());
            }
            Act::Fault { from, to, rule } => {
                self.ways(from, to).into_iter().for_each(|(from, to)| self.faults.set(&from, &to, *rule));
            }
            Act::Cut { from, to, how } => {
                self.ways(from, to).into_iter().for_each(|(from, to)| self.faults.cut(&from, &to, *how));
            }
            Act::Heal => self.faults.heal(),
            Act::ZoneCold(zone) => {
                let here = |i: &usize| HALLS[i % self.scenario.zones] == zone;
                let who: Vec<usize> = (0..self.engines.len()).filter(here).collect();
                for i in &who {
                    self.engines[*i].since_ms = unix_ms();
                    if let Some(run) = &self.engines[*i].run {
                        run.restart_cold(COLD_FOR);
                    }
                }
                self.tell(&who)?;
            }
        }
        Ok(())
    }

    /// The ways between two groups: `engines` are those of all zones.
    pub(super) fn ways(&self, from: &str, to: &str) -> Vec<(String, String)> {
        let all = |name: &str| -> Vec<String> {
            match name {
                "engines" => HALLS[..self.scenario.zones].iter().map(|h| (*h).to_owned()).collect(),
                one => vec![one.to_owned()],
            }
        };
        let to = all(to);
        all(from).into_iter().flat_map(|f| to.iter().map(move |t| (f.clone(), t.clone()))).collect()
    }
}
