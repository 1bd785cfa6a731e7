//! What happens in a run: the scenario's steps with each manager's part of them, in order and when due.

use super::life::STILL_COMING;
use super::setup::COLD_FOR;
use super::{unix_ms, Life, Rig, RunError};
use crate::procs::{self, Row};
use crate::scenario::{Act, Part, Who, HALLS};
use nix::sys::signal::Signal;
use rand::{Rng as _, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_history_checker::event::Event;
use std::time::{Duration, Instant};

/// Bytes of an action's text that the history keeps.
const MAX_ACTION_TEXT: usize = 400;

impl Rig<'_> {
    /// All that happens, in order: starts, and the steps with each manager's part of them.
    pub(super) fn timeline(&self) -> Vec<(Duration, Act)> {
        let mut all = Vec::new();
        let starts = Part { from: 0.0, to: 1.0, over_ms: self.scenario.start_over_ms };
        self.spread(&mut all, 0.0, &Act::Restart(starts.into()), 0);
        let mut rng = ChaCha8Rng::seed_from_u64(self.scenario.seed ^ 0x57e9 << 32);
        for (k, step) in self.scenario.steps.iter().enumerate() {
            for time in 0..step.times {
                let late = if step.spread > 0.0 { rng.gen_range(0.0..step.spread) } else { 0.0 };
                let at = step.at + step.every * time as f64 + late;
                self.spread(&mut all, at, &step.act, (k as u64) << 20 | time as u64);
            }
        }
        // Stable: what is due at once happens in the file's order.
        all.sort_by_key(|a| a.0);
        all.reverse();
        all
    }

    /// An act, one manager after the other where it is on managers.
    fn spread(&self, all: &mut Vec<(Duration, Act)>, at: f64, act: &Act, draw: u64) {
        let (who, one): (&Who, fn(Who) -> Act) = match act {
            Act::Kill(w) => (w, Act::Kill),
            Act::Restart(w) => (w, Act::Restart),
            Act::RestartEmpty(w) => (w, Act::RestartEmpty),
            Act::Roll(w) => (w, Act::Roll),
            Act::Pause(w) => (w, Act::Pause),
            Act::Resume(w) => (w, Act::Resume),
            other => return all.push((Duration::from_secs_f64(at), other.clone())),
        };
        let managers = who.of(self.scenario, draw);
        let each = who.over_ms / 1e3 / managers.len().max(1) as f64;
        let due = |k: usize| Duration::from_secs_f64(at + each * k as f64);
        all.extend(managers.iter().enumerate().map(|(k, i)| (due(k), one(Who::one(*i)))));
    }

    /// The managers that an act is on, drawn anew each time where they are drawn.
    pub(super) fn who(&mut self, who: &Who) -> Vec<usize> {
        self.draws += 1;
        who.of(self.scenario, 2 << 40 | self.draws)
    }

    /// Notes what the nemesis does.
    fn note_act(&mut self, act: &Act) {
        if !self.history.on() {
            return;
        }
        let on = match act {
            Act::Kill(w) | Act::Restart(w) | Act::RestartEmpty(w) | Act::Roll(w) => w.names.clone(),
            Act::Pause(w) | Act::Resume(w) => w.names.clone(),
            _ => None,
        };
        let mut act = format!("{act:?}");
        if let Some(end) = (MAX_ACTION_TEXT..act.len()).find(|i| act.is_char_boundary(*i)) {
            act.truncate(end);
        }
        self.history.note(Event::NemesisAction { act, on: on.unwrap_or_default() });
    }

    pub(super) fn act(&mut self, act: &Act) -> Result<(), RunError> {
        self.note_act(act);
        match act {
            Act::Restart(w) => self.who(w).into_iter().try_for_each(|i| self.begin(i, false))?,
            Act::RestartEmpty(w) => self.who(w).into_iter().try_for_each(|i| self.begin(i, true))?,
            Act::Kill(w) => self.who(w).into_iter().for_each(|i| self.kill(i)),
            Act::Roll(w) => self.who(w).into_iter().try_for_each(|i| self.terminate(i))?,
            Act::Pause(w) => {
                for i in self.who(w) {
                    if self.lives[i] == Life::Up {
                        self.stop(i)?;
                    }
                }
            }
            Act::Resume(w) => self.who(w).into_iter().try_for_each(|i| self.go_on(i))?,
            Act::Disk { who, fault } => self.who(who).into_iter().for_each(|i| self.procs[i].disk = *fault),
            Act::Tear { who, file, bytes } => {
                self.who(who).into_iter().try_for_each(|i| self.tear(i, file, *bytes))?;
            }
            Act::KeepCopy(w) => self.who(w).into_iter().try_for_each(|i| self.keep_copy(i))?,
            Act::PutBack(w) => self.who(w).into_iter().try_for_each(|i| self.put_back(i))?,
            Act::Call(call) => self.call(call)?,
            Act::Subscribers(what) => {
                if let Some(s) = &mut self.subscribers {
                    s.order(*what);
                }
            }
            Act::Lists(how) => self.set_lists(*how),
            Act::EnginesCome(count) => self.start_cold_engines(*count)?,
            Act::EnginesDrain(p) => self.drain_engines(p)?,
            Act::EnginesGo(p) => self.withdraw_engines(p)?,
            Act::EnginesVanish(p) => self.stop_engines(p),
            Act::OlderList => self.send_older_list()?,
            Act::ContradictoryList => self.send_contradictory_list()?,
            Act::Fault { from, to, rule } => self.set_rule(from, to, *rule),
            Act::Part(sides) => self.part(sides, true),
            Act::Join(sides) => self.part(sides, false),
            Act::Cut { from, to, how } => {
                self.ways(from, to).into_iter().for_each(|(from, to)| self.faults.cut(&from, &to, *how));
            }
            Act::Heal => self.heal(),
            Act::ZoneCold(zone) => self.restart_zone(zone)?,
        }
        Ok(())
    }

    /// Sends SIGTERM to a manager that runs; its clients keep sending for a while.
    fn terminate(&mut self, manager: usize) -> Result<(), RunError> {
        if !matches!(self.lives[manager], Life::Up | Life::Starting) {
            return Ok(());
        }
        self.seat(manager, |s| s.until = Some(Instant::now() + STILL_COMING));
        self.fleet.signal(manager, Signal::SIGTERM)?;
        self.lives[manager] = Life::Ending(Instant::now());
        Ok(())
    }

    fn start_cold_engines(&mut self, count: usize) -> Result<(), RunError> {
        let from = self.engines.len();
        (0..count).try_for_each(|_| self.add_engine(true))?;
        self.tell(&(from..self.engines.len()).collect::<Vec<_>>())
    }

    fn drain_engines(&mut self, part: &Part) -> Result<(), RunError> {
        let engines: Vec<usize> = part.of(self.engines.len()).collect();
        self.struck(&engines);
        engines.iter().for_each(|i| self.engines[*i].phase = "draining");
        self.tell(&engines)?;
        engines.iter().for_each(|i| self.ledger.drained(*i, Instant::now()));
        Ok(())
    }

    /// Engines that the list has as gone and that end then.
    fn withdraw_engines(&mut self, part: &Part) -> Result<(), RunError> {
        let engines: Vec<usize> = part.of(self.engines.len()).collect();
        self.struck(&engines);
        engines.iter().for_each(|i| self.engines[*i].phase = "gone");
        self.tell(&engines)?;
        engines.iter().for_each(|i| self.stop_engine(*i));
        Ok(())
    }

    /// Engines that end, and stay on the list.
    fn stop_engines(&mut self, part: &Part) {
        let engines: Vec<usize> = part.of(self.engines.len()).collect();
        self.struck(&engines);
        engines.into_iter().for_each(|i| self.stop_engine(i));
    }

    /// A complete list of revision 1, with the first engines only, all of them ready.
    fn send_older_list(&mut self) -> Result<(), RunError> {
        let first = self.scenario.engines.count;
        for group in 0..self.lists.len() {
            let mut rows = self.rows(group);
            rows.truncate(first);
            rows.iter_mut().for_each(|r| r.phase = "ready");
            self.lists[group].tell(|n| procs::event(n, 1, true, &rows))?;
        }
        Ok(())
    }

    /// A list that has the first engine as draining and as ready.
    fn send_contradictory_list(&mut self) -> Result<(), RunError> {
        self.engines[0].phase = "draining";
        self.revision += 1;
        for group in 0..self.lists.len() {
            let rows = [self.row(group, 0), Row { phase: "ready", ..self.row(group, 0) }];
            self.lists[group].tell(|n| procs::event(n, self.revision, false, &rows))?;
        }
        self.ledger.drained(0, Instant::now());
        Ok(())
    }

    /// Restarts all engines of a zone, which are then in slow start.
    fn restart_zone(&mut self, zone: &str) -> Result<(), RunError> {
        let is_there = |i: &usize| HALLS[i % self.scenario.zones] == zone;
        let engines: Vec<usize> = (0..self.engines.len()).filter(is_there).collect();
        for i in &engines {
            self.engines[*i].since_ms = unix_ms();
            if let Some(run) = &self.engines[*i].run {
                run.restart_cold(COLD_FOR);
            }
        }
        self.tell(&engines)
    }
}
