//! The timeline of a run and the actions of its steps.

use super::setup::COLD_FOR;
use super::supervision::CLIENT_GRACE;
use super::{unix_ms, Harness, ProcessState, RunError};
use crate::procs::{self, Row};
use crate::scenario::{Action, FleetRange, ManagerSelector, ZONES};
use nix::sys::signal::Signal;
use rand::{Rng as _, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_history_checker::event::Event;
use std::time::{Duration, Instant};

/// Length, in bytes, to which an action's text in the history is truncated.
const MAX_ACTION_BYTES: usize = 400;

impl Harness<'_> {
    /// The managers' starts and the actions of the steps, the last due first, with one entry for each manager
    /// that an action applies to.
    pub(super) fn timeline(&self) -> Vec<(Duration, Action)> {
        let mut all = Vec::new();
        let starts = FleetRange { from: 0.0, to: 1.0, over_ms: self.scenario.start_over_ms };
        self.schedule(&mut all, 0.0, &Action::Restart(starts.into()), 0);
        let mut rng = ChaCha8Rng::seed_from_u64(self.scenario.seed ^ 0x57e9 << 32);
        for (k, step) in self.scenario.steps.iter().enumerate() {
            for repetition in 0..step.times {
                let delay = if step.spread > 0.0 { rng.gen_range(0.0..step.spread) } else { 0.0 };
                let at = step.at + step.every * repetition as f64 + delay;
                self.schedule(&mut all, at, &step.action, (k as u64) << 20 | repetition as u64);
            }
        }
        // The sort is stable: actions that are due at the same time keep the scenario's order.
        all.sort_by_key(|a| a.0);
        all.reverse();
        all
    }

    /// Adds an action to the timeline; one that applies to managers gets an entry for each, spread over its
    /// `over_ms`.
    fn schedule(&self, all: &mut Vec<(Duration, Action)>, at: f64, action: &Action, draw: u64) {
        let (selector, with_selector): (&ManagerSelector, fn(ManagerSelector) -> Action) = match action {
            Action::Kill(w) => (w, Action::Kill),
            Action::Restart(w) => (w, Action::Restart),
            Action::RestartEmpty(w) => (w, Action::RestartEmpty),
            Action::Roll(w) => (w, Action::Roll),
            Action::Pause(w) => (w, Action::Pause),
            Action::Resume(w) => (w, Action::Resume),
            other => return all.push((Duration::from_secs_f64(at), other.clone())),
        };
        let managers = selector.select(self.scenario, draw);
        let interval = selector.over_ms / 1e3 / managers.len().max(1) as f64;
        let due = |k: usize| Duration::from_secs_f64(at + interval * k as f64);
        all.extend(
            managers.iter().enumerate().map(|(k, i)| (due(k), with_selector(ManagerSelector::single(*i)))),
        );
    }

    /// The managers that an action applies to; a random selection is drawn anew at each call.
    pub(super) fn select_managers(&mut self, selector: &ManagerSelector) -> Vec<usize> {
        self.draws += 1;
        selector.select(self.scenario, 2 << 40 | self.draws)
    }

    /// Records an action in the history.
    fn record_action(&mut self, action: &Action) {
        if !self.history.is_enabled() {
            return;
        }
        let on = match action {
            Action::Kill(w) | Action::Restart(w) | Action::RestartEmpty(w) | Action::Roll(w) => {
                w.names.clone()
            }
            Action::Pause(w) | Action::Resume(w) => w.names.clone(),
            _ => None,
        };
        let mut text = format!("{action:?}");
        if let Some(end) = (MAX_ACTION_BYTES..text.len()).find(|i| text.is_char_boundary(*i)) {
            text.truncate(end);
        }
        self.history.record(Event::NemesisAction { act: text, on: on.unwrap_or_default() });
    }

    /// Records an action and performs it.
    pub(super) fn perform(&mut self, action: &Action) -> Result<(), RunError> {
        self.record_action(action);
        match action {
            Action::Restart(w) => {
                self.select_managers(w).into_iter().try_for_each(|i| self.start_manager(i, false))?
            }
            Action::RestartEmpty(w) => {
                self.select_managers(w).into_iter().try_for_each(|i| self.start_manager(i, true))?
            }
            Action::Kill(w) => self.select_managers(w).into_iter().for_each(|i| self.kill(i)),
            Action::Roll(w) => self.select_managers(w).into_iter().try_for_each(|i| self.terminate(i))?,
            Action::Pause(w) => self.select_managers(w).into_iter().try_for_each(|i| self.pause_if_up(i))?,
            Action::Resume(w) => self.select_managers(w).into_iter().try_for_each(|i| self.resume(i))?,
            Action::Disk { who, fault } => {
                self.select_managers(who).into_iter().for_each(|i| self.procs[i].disk = *fault)
            }
            Action::Tear { who, file, bytes } => {
                self.select_managers(who).into_iter().try_for_each(|i| self.tear(i, file, *bytes))?;
            }
            Action::KeepCopy(w) => {
                self.select_managers(w).into_iter().try_for_each(|i| self.copy_folder(i))?
            }
            Action::PutBack(w) => {
                self.select_managers(w).into_iter().try_for_each(|i| self.restore_folder(i))?
            }
            Action::Call(call) => self.call(call)?,
            Action::Subscribers(action) => {
                self.subscribers.iter_mut().for_each(|subscribers| subscribers.command(*action));
            }
            Action::Lists(mode) => self.set_list_service_mode(*mode),
            Action::EnginesCome(count) => self.start_cold_engines(*count)?,
            Action::EnginesDrain(p) => self.drain_engines(p)?,
            Action::EnginesGo(p) => self.withdraw_engines(p)?,
            Action::EnginesVanish(p) => self.stop_engines(p),
            Action::OlderList => self.publish_older_list()?,
            Action::ContradictoryList => self.publish_contradictory_list()?,
            Action::Fault { from, to, rule } => self.set_rule(from, to, *rule),
            Action::Part(sides) => self.set_partition(sides, true),
            Action::Join(sides) => self.set_partition(sides, false),
            Action::Cut { from, to, how } => {
                self.routes(from, to).into_iter().for_each(|(from, to)| self.faults.cut(&from, &to, *how));
            }
            Action::Heal => self.heal(),
            Action::ZoneCold(zone) => self.restart_zone(zone)?,
        }
        Ok(())
    }

    fn pause_if_up(&mut self, manager: usize) -> Result<(), RunError> {
        match self.process_states[manager] {
            ProcessState::Up => self.pause(manager),
            _ => Ok(()),
        }
    }

    /// Sends SIGTERM to a manager that runs; its clients keep sending to it for [`CLIENT_GRACE`].
    fn terminate(&mut self, manager: usize) -> Result<(), RunError> {
        if !matches!(self.process_states[manager], ProcessState::Up | ProcessState::Starting) {
            return Ok(());
        }
        self.update_availability(manager, |availability| {
            availability.until = Some(Instant::now() + CLIENT_GRACE)
        });
        self.fleet.signal(manager, Signal::SIGTERM)?;
        self.process_states[manager] = ProcessState::Terminating(Instant::now());
        Ok(())
    }

    fn start_cold_engines(&mut self, count: usize) -> Result<(), RunError> {
        let from = self.engines.len();
        (0..count).try_for_each(|_| self.add_engine(true))?;
        self.publish_engines(&(from..self.engines.len()).collect::<Vec<_>>())
    }

    fn drain_engines(&mut self, range: &FleetRange) -> Result<(), RunError> {
        let engines: Vec<usize> = range.indices(self.engines.len()).collect();
        self.record_permanent_fault(&engines);
        engines.iter().for_each(|i| self.engines[*i].phase = "draining");
        self.publish_engines(&engines)?;
        engines.iter().for_each(|i| self.ledger.record_drain(*i, Instant::now()));
        Ok(())
    }

    /// Publishes engines as gone, then stops them.
    fn withdraw_engines(&mut self, range: &FleetRange) -> Result<(), RunError> {
        let engines: Vec<usize> = range.indices(self.engines.len()).collect();
        self.record_permanent_fault(&engines);
        engines.iter().for_each(|i| self.engines[*i].phase = "gone");
        self.publish_engines(&engines)?;
        engines.iter().for_each(|i| self.stop_engine(*i));
        Ok(())
    }

    /// Stops engines that stay on the endpoint list.
    fn stop_engines(&mut self, range: &FleetRange) {
        let engines: Vec<usize> = range.indices(self.engines.len()).collect();
        self.record_permanent_fault(&engines);
        engines.into_iter().for_each(|i| self.stop_engine(i));
    }

    /// Publishes a complete list of revision 1, with the initial engines only, all of them ready.
    fn publish_older_list(&mut self) -> Result<(), RunError> {
        let initial = self.scenario.engines.count;
        for party in 0..self.lists.len() {
            let mut rows = self.rows(party);
            rows.truncate(initial);
            rows.iter_mut().for_each(|r| r.phase = "ready");
            self.lists[party].publish(|n| procs::event(n, 1, true, &rows))?;
        }
        Ok(())
    }

    /// Publishes a list that names the first engine twice, as draining and as ready.
    fn publish_contradictory_list(&mut self) -> Result<(), RunError> {
        self.engines[0].phase = "draining";
        self.revision += 1;
        for party in 0..self.lists.len() {
            let rows = [self.row(party, 0), Row { phase: "ready", ..self.row(party, 0) }];
            self.lists[party].publish(|n| procs::event(n, self.revision, false, &rows))?;
        }
        self.ledger.record_drain(0, Instant::now());
        Ok(())
    }

    /// Restarts all engines of a zone, which are then in slow start.
    fn restart_zone(&mut self, zone: &str) -> Result<(), RunError> {
        let in_zone = |i: &usize| ZONES[i % self.scenario.zones] == zone;
        let engines: Vec<usize> = (0..self.engines.len()).filter(in_zone).collect();
        for i in &engines {
            self.engines[*i].since_ms = unix_ms();
            if let Some(run) = &self.engines[*i].run {
                run.restart_cold(COLD_FOR);
            }
        }
        self.publish_engines(&engines)
    }
}
