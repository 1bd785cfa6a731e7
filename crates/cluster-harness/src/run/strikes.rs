//! Processes struck where they come to a named point, and what follows later.

use super::{Life, Rig, RunError};
use crate::scenario::{Act, Blow, Scenario, Strike, Who};
use nix::sys::signal::Signal;
use sprucelink_failpoints::fault_file::Failpoints;
use sprucelink_history_checker::event::Event;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Actions that wait for their time after a failpoint fault.
const MAX_PENDING_ACTIONS: usize = 1_000;

/// A strike and whom it still waits for.
struct Waiting {
    strike: Strike,
    left: BTreeSet<usize>,
}

/// All strikes of a run.
#[derive(Default)]
pub(super) struct Strikes(Vec<Waiting>);

impl Strikes {
    /// The strikes of a scenario; whoever is drawn is drawn now.
    pub(super) fn new(scenario: &Scenario) -> Strikes {
        let one = |(k, strike): (usize, &Strike)| {
            let left = strike.who.of(scenario, 1 << 40 | k as u64).into_iter().collect();
            Waiting { strike: strike.clone(), left }
        };
        Strikes(scenario.strikes.iter().enumerate().map(one).collect())
    }

    /// The points that manager `i`'s next process is to tell.
    pub(super) fn armed(&self, i: usize) -> Failpoints {
        let own: Vec<&Waiting> = self.0.iter().filter(|w| w.left.contains(&i)).collect();
        let wait_ms = own.iter().map(|w| w.strike.wait_ms).max().unwrap_or(Failpoints::default().wait_ms);
        Failpoints { arm: own.iter().map(|w| (w.strike.point.clone(), w.strike.pass)).collect(), wait_ms }
    }

    /// Whether manager `i` may come to a point.
    fn awaits(&self, i: usize) -> bool {
        self.0.iter().any(|w| w.left.contains(&i))
    }

    /// Manager `i` has come to a point: the strike for it, taken.
    fn take(&mut self, i: usize, point: &str) -> Option<Strike> {
        let w = self.0.iter_mut().find(|w| w.strike.point == point && w.left.contains(&i))?;
        w.left.remove(&i);
        if w.strike.only_one {
            w.left.clear();
        }
        Some(w.strike.clone())
    }
}

impl Rig<'_> {
    /// Reads what logs tell of ports and points, and strikes at once.
    pub(super) fn read_logs(&mut self) -> Result<(), RunError> {
        for i in 0..self.procs.len() {
            let wanted = !self.procs[i].unbound.is_empty() || self.strikes.awaits(i);
            let Some(tail) = self.procs[i].tail.as_mut().filter(|_| wanted) else { continue };
            for line in tail.new_lines() {
                if let Some(point) = line.trim().strip_prefix(sprucelink_failpoints::HIT_LINE_PREFIX) {
                    self.at_point(i, point)?;
                } else {
                    self.find_ports(i, &line);
                }
            }
        }
        Ok(())
    }

    /// A line may say where the process listens.
    fn find_ports(&mut self, i: usize, line: &str) {
        let (ports, peers) = (&self.scenario.ports, &self.peers);
        self.procs[i].unbound.retain(|p| {
            let rest = line.split_once(ports[*p].said.as_str()).map(|(_, rest)| rest);
            let real = rest.and_then(|r| r.split([',', ' ', '"']).next()).and_then(|a| a.parse().ok());
            if real.is_some() {
                peers.bind(&ports[*p].name, i, real);
            }
            real.is_none()
        });
    }

    fn at_point(&mut self, i: usize, point: &str) -> Result<(), RunError> {
        let Some(strike) = self.strikes.take(i, point) else { return Ok(()) };
        self.history.note(Event::FailpointHit { process: format!("n{i}"), point: point.to_owned() });
        let back = match strike.blow {
            Blow::Kill => {
                self.kill(i);
                Act::Restart(Who::one(i))
            }
            Blow::Stop => {
                self.stop(i)?;
                Act::Resume(Who::one(i))
            }
        };
        if let Some(ms) = strike.back_ms {
            if self.later.len() >= MAX_PENDING_ACTIONS {
                return Err(RunError::TooManyPendingActions { max: MAX_PENDING_ACTIONS });
            }
            self.later.push((Instant::now() + Duration::from_secs_f64(ms / 1e3), back));
        }
        strike.also.iter().try_for_each(|act| self.act(act))
    }

    /// Stops manager `i` (SIGSTOP), whatever it is at.
    pub(super) fn stop(&mut self, i: usize) -> Result<(), RunError> {
        self.strike(i);
        self.fleet.signal(i, Signal::SIGSTOP)?;
        self.lives[i] = Life::Paused;
        self.history.note(Event::Suspended { process: format!("n{i}") });
        Ok(())
    }

    /// Lets manager `i` go on, if it is stopped.
    pub(super) fn go_on(&mut self, i: usize) -> Result<(), RunError> {
        if self.lives[i] == Life::Paused {
            self.history.note(Event::Resumed { process: format!("n{i}") });
            self.fleet.signal(i, Signal::SIGCONT)?;
            self.lives[i] = Life::Starting;
        }
        Ok(())
    }

    /// Does what is due of what follows strikes.
    pub(super) fn follow_up(&mut self) -> Result<(), RunError> {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.later).into_iter().partition(|(at, _)| *at <= now);
        self.later = later;
        let due: Vec<(Instant, Act)> = due;
        due.iter().try_for_each(|(_, act)| self.act(act))
    }
}
