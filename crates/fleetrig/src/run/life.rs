//! The managers' processes during a run: begun, looked after, started anew.

use super::{io, Life, Rig, Seat};
use std::sync::PoisonError;
use std::time::{Duration, Instant};

/// A manager that is to end by SIGTERM gets no new requests from this long after it on: the platform's new
/// connections go on for 0.2 to 0.4 s.
pub(super) const STILL_COMING: Duration = Duration::from_millis(300);
/// One that has not ended so long after SIGTERM is killed: the longest deadline of the rig's settings and more.
const LONGEST_END: Duration = Duration::from_secs(30);

impl Rig<'_> {
    pub(super) fn seat<T>(&self, i: usize, f: impl FnOnce(&mut Seat) -> T) -> T {
        f(&mut self.seats[i].lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Nobody is sent to manager `i` any more, and what is open there may die with it.
    pub(super) fn strike(&self, i: usize) {
        self.seat(i, |s| (s.at, s.until, s.struck) = (None, None, Some(Instant::now())));
    }

    pub(super) fn begin(&mut self, i: usize) -> Result<(), String> {
        self.strike(i);
        let config = self.config(i);
        let args = self.args(i)?;
        self.real[i] = None;
        if i < self.fleet.managers.len() {
            self.fleet.restart(i, &config).map_err(io("restart"))?;
        } else {
            self.fleet.start(&format!("n{i}"), &config, &args).map_err(io("start"))?;
        }
        self.lives[i] = Life::Starting;
        Ok(())
    }

    /// Looks which managers have come up, and which have ended by themselves.
    pub(super) fn look(&mut self) {
        for i in 0..self.fleet.managers.len() {
            match self.lives[i] {
                Life::Starting => {
                    if let Some(at) = self.fleet.serving(i) {
                        self.seat(i, |s| (s.at, s.until) = (Some(at), None));
                        (self.lives[i], self.up_once[i]) = (Life::Up, true);
                        self.bind(i);
                    }
                }
                Life::Up => {}
                _ => continue,
            }
            if self.fleet.ended(i).is_some() {
                self.crashed += 1;
                self.strike(i);
                self.lives[i] = Life::Dead;
            }
        }
    }

    /// Lets the middle know where a manager that has come up listens for others.
    pub(super) fn bind(&mut self, i: usize) {
        if self.members.is_empty() {
            return;
        }
        let log = self.fleet.log(i);
        let line = log.lines().find_map(|l| l.split_once("membership on ")).map(|(_, rest)| rest);
        let real = line.and_then(|l| l.split([',', ' ']).next()).and_then(|a| a.parse().ok());
        if let Some(real) = real {
            self.real[i] = Some(real);
            self.net.bind(self.members[i], real);
        }
    }

    /// Starts those anew that have ended after SIGTERM.
    pub(super) fn come_back(&mut self) -> Result<(), String> {
        for i in 0..self.fleet.managers.len() {
            let Life::Ending(since) = self.lives[i] else { continue };
            match self.fleet.ended(i) {
                Some(code) => {
                    self.crashed += usize::from(code != Some(0));
                    self.begin(i)?;
                }
                // It had its time: what is open there is lost by its own fault, so it is not struck.
                None if since.elapsed() > LONGEST_END => self.fleet.kill(i),
                None => {}
            }
        }
        Ok(())
    }
}
