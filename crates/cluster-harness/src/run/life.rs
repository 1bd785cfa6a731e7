//! The managers' processes during a run: begun, looked after, started anew.

use super::{Life, Rig, RunError, Seat};
use crate::procs::Ended;
use sprucelink_history_checker::event::{Event, ExitCause, EXIT_STATUS_NEXT_VERSION};
use std::sync::PoisonError;
use std::time::{Duration, Instant};

/// A manager that is to end by SIGTERM gets no new requests from this long after it on: the platform's new
/// connections go on for 0.2 to 0.4 s.
pub(super) const STILL_COMING: Duration = Duration::from_millis(300);
/// A manager that is still running this long after SIGTERM is killed; longer than any deadline of the settings.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_secs(30);

impl Rig<'_> {
    pub(super) fn seat<T>(&self, i: usize, f: impl FnOnce(&mut Seat) -> T) -> T {
        f(&mut self.seats[i].lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Nobody is sent to manager `i` any more, and what is open there may die with it.
    pub(super) fn strike(&self, i: usize) {
        self.seat(i, |s| (s.at, s.until, s.struck) = (None, None, Some(Instant::now())));
    }

    /// Looks which managers have come up, and which have ended by themselves.
    pub(super) fn look(&mut self) {
        for i in 0..self.fleet.managers.len() {
            match self.lives[i] {
                Life::Starting => {
                    if let Some(at) = self.fleet.serving(i) {
                        self.seat(i, |s| (s.at, s.until) = (Some(at), None));
                        (self.lives[i], self.up_once[i]) = (Life::Up, true);
                        self.history.note(Event::Ready { process: format!("n{i}") });
                        self.bind(i);
                    }
                }
                Life::Up => {}
                _ => continue,
            }
            if let Some(how) = self.fleet.ended(i) {
                self.has_ended(i, how);
            }
        }
    }

    /// A process has ended by itself: it is brought back where its supervisor does that.
    fn has_ended(&mut self, i: usize, how: Ended) {
        self.strike(i);
        let asked = how.status == Some(EXIT_STATUS_NEXT_VERSION);
        let next = if asked { self.next_version(i).ok() } else { None };
        self.over(i, how, ExitCause::Own, next.clone());
        let supervise = self.scenario.supervise;
        let back = next.is_some() || supervise.crashed;
        // One that asks for a version it does not name has crashed, too.
        self.crashed += usize::from(next.is_none());
        self.procs[i].version = next.unwrap_or(std::mem::take(&mut self.procs[i].version));
        self.lives[i] = Life::Dead;
        if back && self.procs[i].brought_back < supervise.max_restarts {
            self.procs[i].brought_back += 1;
            self.lives[i] = Life::Waiting(Instant::now() + Duration::from_secs_f64(supervise.back_ms / 1e3));
        }
    }

    /// Lets the fault proxy know where a manager that has come up listens for others.
    pub(super) fn bind(&mut self, i: usize) {
        if self.members.is_empty() {
            return;
        }
        let log = self.fleet.log(i);
        let line = log
            .lines()
            .find_map(|l| l.split_once("membership listening local_address="))
            .map(|(_, rest)| rest);
        let real = line.and_then(|l| l.split([',', ' ']).next()).and_then(|a| a.parse().ok());
        if let Some(real) = real {
            self.real[i] = Some(real);
            self.net.bind(self.members[i], real);
        }
    }

    /// Starts those anew that have ended after SIGTERM, and those that their supervisor brings back.
    pub(super) fn come_back(&mut self) -> Result<(), RunError> {
        for i in 0..self.fleet.managers.len() {
            let since = match self.lives[i] {
                Life::Ending(since) => since,
                Life::Waiting(until) if Instant::now() >= until => {
                    self.begin(i, false)?;
                    continue;
                }
                _ => continue,
            };
            match self.fleet.ended(i) {
                Some(how) => {
                    self.crashed += usize::from(how.status != Some(0));
                    self.over(i, how, ExitCause::Nemesis, None);
                    self.begin(i, false)?;
                }
                // It had its time: it hangs, and that is a crash.
                None if since.elapsed() > MAX_SHUTDOWN_TIME => {
                    self.crashed += 1;
                    self.begin(i, false)?;
                }
                None => {}
            }
        }
        Ok(())
    }
}
