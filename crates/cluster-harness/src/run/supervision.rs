//! Supervision of the managers' processes: readiness, exits and restarts.

use super::{Availability, Harness, ProcessState, RunError};
use crate::procs::ProcessExit;
use sprucelink_history_checker::event::{Event, ExitCause, EXIT_STATUS_NEXT_VERSION};
use std::sync::PoisonError;
use std::time::{Duration, Instant};

/// Time after SIGTERM for which clients keep sending to a manager; the platform's clients keep sending for
/// 0.2 to 0.4 s.
pub(super) const CLIENT_GRACE: Duration = Duration::from_millis(300);
/// Time after SIGTERM at which a manager that still runs is killed; longer than any deadline in the settings.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_secs(30);

impl Harness<'_> {
    pub(super) fn update_availability(&self, i: usize, update: impl FnOnce(&mut Availability)) {
        update(&mut self.availability[i].lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Stops the clients of manager `i` from sending to it; its requests in flight may be lost.
    pub(super) fn mark_unavailable(&self, i: usize) {
        self.update_availability(i, |availability| {
            availability.address = None;
            availability.until = None;
            availability.unavailable_since = Some(Instant::now());
        });
    }

    /// Detects managers that have become ready or have exited by themselves.
    pub(super) fn observe_processes(&mut self) {
        for i in 0..self.fleet.managers.len() {
            match self.process_states[i] {
                ProcessState::Starting => {
                    if let Some(address) = self.fleet.serving(i) {
                        self.update_availability(i, |availability| {
                            availability.address = Some(address);
                            availability.until = None;
                        });
                        self.process_states[i] = ProcessState::Up;
                        self.became_ready[i] = true;
                        self.history.record(Event::Ready { process: format!("n{i}") });
                        self.bind_membership(i);
                    }
                }
                ProcessState::Up => {}
                _ => continue,
            }
            if let Some(exit) = self.fleet.exited(i) {
                self.handle_exit(i, exit);
            }
        }
    }

    /// Handles the exit of a process by itself, and schedules its restart where the supervisor restarts it.
    fn handle_exit(&mut self, i: usize, exit: ProcessExit) {
        self.mark_unavailable(i);
        let requests_version = exit.status == Some(EXIT_STATUS_NEXT_VERSION);
        let next = if requests_version { self.next_version(i).ok() } else { None };
        self.record_exit(i, exit, ExitCause::Own, next.clone());
        let supervise = self.scenario.supervise;
        let restarts = next.is_some() || supervise.crashed;
        // A process that requests another version without naming a valid one counts as crashed, too.
        self.crashed += usize::from(next.is_none());
        self.procs[i].version = next.unwrap_or(std::mem::take(&mut self.procs[i].version));
        self.process_states[i] = ProcessState::Down;
        if restarts && self.procs[i].supervised_restarts < supervise.max_restarts {
            self.procs[i].supervised_restarts += 1;
            self.process_states[i] = ProcessState::RestartPending(
                Instant::now() + Duration::from_secs_f64(supervise.restart_delay_ms / 1e3),
            );
        }
    }

    /// Passes the address on which a ready manager listens for membership messages to the fault proxy.
    pub(super) fn bind_membership(&mut self, i: usize) {
        if self.membership_addresses.is_empty() {
            return;
        }
        let log = self.fleet.log(i);
        let line = log
            .lines()
            .find_map(|l| l.split_once("membership listening local_address="))
            .map(|(_, rest)| rest);
        let address = line.and_then(|l| l.split([',', ' ']).next()).and_then(|a| a.parse().ok());
        if let Some(address) = address {
            self.membership_listeners[i] = Some(address);
            self.membership_net.bind(self.membership_addresses[i], address);
        }
    }

    /// Restarts managers that have exited after SIGTERM, and those whose scheduled restart is due.
    pub(super) fn restart_exited(&mut self) -> Result<(), RunError> {
        for i in 0..self.fleet.managers.len() {
            let since = match self.process_states[i] {
                ProcessState::Terminating(since) => since,
                ProcessState::RestartPending(until) if Instant::now() >= until => {
                    self.start_manager(i, false)?;
                    continue;
                }
                _ => continue,
            };
            match self.fleet.exited(i) {
                Some(exit) => {
                    self.crashed += usize::from(exit.status != Some(0));
                    self.record_exit(i, exit, ExitCause::Nemesis, None);
                    self.start_manager(i, false)?;
                }
                // A hang in the shutdown counts as a crash.
                None if since.elapsed() > MAX_SHUTDOWN_TIME => {
                    self.crashed += 1;
                    self.start_manager(i, false)?;
                }
                None => {}
            }
        }
        Ok(())
    }
}
