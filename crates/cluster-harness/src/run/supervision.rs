//! Supervision of the managers' processes: readiness, exits and restarts.

use super::{Availability, ProcessState, Rig, RunError};
use crate::procs::ProcessExit;
use sprucelink_history_checker::event::{Event, ExitCause, EXIT_STATUS_NEXT_VERSION};
use std::sync::PoisonError;
use std::time::{Duration, Instant};

/// Time after SIGTERM for which clients go on sending to a manager, as the platform does for 0.2 to 0.4 s.
pub(super) const CLIENT_GRACE: Duration = Duration::from_millis(300);
/// A manager that is still running this long after SIGTERM is killed; longer than any deadline of the settings.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_secs(30);

impl Rig<'_> {
    pub(super) fn update_availability(&self, i: usize, update: impl FnOnce(&mut Availability)) {
        update(&mut self.availability[i].lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Clients send nothing more to manager `i`, and its requests in flight may be lost.
    pub(super) fn mark_unavailable(&self, i: usize) {
        self.update_availability(i, |availability| {
            availability.address = None;
            availability.until = None;
            availability.unavailable_since = Some(Instant::now());
        });
    }

    /// Notes which managers are ready, and which have exited by themselves.
    pub(super) fn observe_processes(&mut self) {
        for i in 0..self.fleet.managers.len() {
            match self.process_states[i] {
                ProcessState::Starting => {
                    if let Some(at) = self.fleet.serving(i) {
                        self.update_availability(i, |availability| {
                            availability.address = Some(at);
                            availability.until = None;
                        });
                        self.process_states[i] = ProcessState::Up;
                        self.up_once[i] = true;
                        self.history.note(Event::Ready { process: format!("n{i}") });
                        self.bind(i);
                    }
                }
                ProcessState::Up => {}
                _ => continue,
            }
            if let Some(how) = self.fleet.ended(i) {
                self.handle_exit(i, how);
            }
        }
    }

    /// A process has exited by itself: its restart is scheduled where the supervisor restarts it.
    fn handle_exit(&mut self, i: usize, how: ProcessExit) {
        self.mark_unavailable(i);
        let requests_version = how.status == Some(EXIT_STATUS_NEXT_VERSION);
        let next = if requests_version { self.next_version(i).ok() } else { None };
        self.note_exit(i, how, ExitCause::Own, next.clone());
        let supervise = self.scenario.supervise;
        let back = next.is_some() || supervise.crashed;
        // A process that asks for another version and names none has crashed, too.
        self.crashed += usize::from(next.is_none());
        self.procs[i].version = next.unwrap_or(std::mem::take(&mut self.procs[i].version));
        self.process_states[i] = ProcessState::Down;
        if back && self.procs[i].brought_back < supervise.max_restarts {
            self.procs[i].brought_back += 1;
            self.process_states[i] = ProcessState::RestartPending(
                Instant::now() + Duration::from_secs_f64(supervise.back_ms / 1e3),
            );
        }
    }

    /// Tells the fault proxy the address on which a ready manager listens for membership messages.
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
            match self.fleet.ended(i) {
                Some(how) => {
                    self.crashed += usize::from(how.status != Some(0));
                    self.note_exit(i, how, ExitCause::Nemesis, None);
                    self.start_manager(i, false)?;
                }
                // It hangs, which counts as a crash.
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
