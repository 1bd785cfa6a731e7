//! Faults injected into processes that reach a failpoint, and the actions that are due some time after them.

use super::{Harness, ProcessState, RunError};
use crate::scenario::{Action, FailpointFault, ManagerSelector, ProcessFault, Scenario};
use nix::sys::signal::Signal;
use sprucelink_failpoints::fault_file::Failpoints;
use sprucelink_history_checker::event::Event;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Maximum number of pending actions after failpoint faults.
const MAX_PENDING_ACTIONS: usize = 1_000;

/// A fault and the managers that have yet to reach its failpoint, by index.
struct ArmedFault {
    fault: FailpointFault,
    managers: BTreeSet<usize>,
}

/// All failpoint faults of a run.
#[derive(Default)]
pub(super) struct FailpointFaults(Vec<ArmedFault>);

impl FailpointFaults {
    /// Arms the failpoint faults of a scenario; managers that are selected at random are drawn now.
    pub(super) fn new(scenario: &Scenario) -> FailpointFaults {
        let arm = |(k, fault): (usize, &FailpointFault)| {
            let managers = fault.managers.select(scenario, 1 << 40 | k as u64).into_iter().collect();
            ArmedFault { fault: fault.clone(), managers }
        };
        FailpointFaults(scenario.failpoint_faults.iter().enumerate().map(arm).collect())
    }

    /// The failpoints that are armed in manager `i`'s next process.
    pub(super) fn armed(&self, i: usize) -> Failpoints {
        let own: Vec<&ArmedFault> = self.0.iter().filter(|armed| armed.managers.contains(&i)).collect();
        let wait_ms =
            own.iter().map(|armed| armed.fault.wait_ms).max().unwrap_or(Failpoints::default().wait_ms);
        let arm = own.iter().map(|armed| (armed.fault.point.clone(), armed.fault.pass)).collect();
        Failpoints { arm, wait_ms }
    }

    /// Whether manager `i` has yet to reach a failpoint.
    fn awaits(&self, i: usize) -> bool {
        self.0.iter().any(|armed| armed.managers.contains(&i))
    }

    /// Disarms and returns the fault of manager `i` at a failpoint that it has reached.
    fn disarm(&mut self, i: usize, point: &str) -> Option<FailpointFault> {
        let armed =
            self.0.iter_mut().find(|armed| armed.fault.point == point && armed.managers.contains(&i))?;
        armed.managers.remove(&i);
        if armed.fault.only_one {
            armed.managers.clear();
        }
        Some(armed.fault.clone())
    }
}

impl Harness<'_> {
    /// Reads new log lines for ports and reached failpoints, and injects the failpoints' faults at once.
    pub(super) fn read_logs(&mut self) -> Result<(), RunError> {
        for i in 0..self.procs.len() {
            let needs_log = !self.procs[i].unbound.is_empty() || self.failpoint_faults.awaits(i);
            let Some(tail) = self.procs[i].tail.as_mut().filter(|_| needs_log) else { continue };
            for line in tail.new_lines() {
                if let Some(point) = line.trim().strip_prefix(sprucelink_failpoints::HIT_LINE_PREFIX) {
                    self.inject(i, point)?;
                } else {
                    self.find_ports(i, &line);
                }
            }
        }
        Ok(())
    }

    /// Sets the listen addresses of manager `i`'s ports that a log line contains.
    fn find_ports(&mut self, i: usize, line: &str) {
        let ports = &self.scenario.ports;
        let peers = &self.peers;
        self.procs[i].unbound.retain(|p| {
            let rest = line.split_once(ports[*p].log_prefix.as_str()).map(|(_, rest)| rest);
            let address = rest.and_then(|r| r.split([',', ' ', '"']).next()).and_then(|a| a.parse().ok());
            if address.is_some() {
                peers.bind(&ports[*p].name, i, address);
            }
            address.is_none()
        });
    }

    /// Injects the fault of manager `i` at a failpoint that it has reached, if one is armed, and schedules
    /// the process's restart or resumption.
    fn inject(&mut self, i: usize, point: &str) -> Result<(), RunError> {
        let Some(fault) = self.failpoint_faults.disarm(i, point) else { return Ok(()) };
        self.history.record(Event::FailpointHit { process: format!("n{i}"), point: point.to_owned() });
        let recovery = match fault.fault {
            ProcessFault::Kill => {
                self.kill(i);
                Action::Restart(ManagerSelector::single(i))
            }
            ProcessFault::Stop => {
                self.pause(i)?;
                Action::Resume(ManagerSelector::single(i))
            }
        };
        if let Some(ms) = fault.resume_ms {
            if self.pending.len() >= MAX_PENDING_ACTIONS {
                return Err(RunError::TooManyPendingActions { max: MAX_PENDING_ACTIONS });
            }
            self.pending.push((Instant::now() + Duration::from_secs_f64(ms / 1e3), recovery));
        }
        fault.further_actions.iter().try_for_each(|action| self.perform(action))
    }

    /// Stops manager `i` (SIGSTOP), in any state of its process.
    pub(super) fn pause(&mut self, i: usize) -> Result<(), RunError> {
        self.mark_unavailable(i);
        self.fleet.signal(i, Signal::SIGSTOP)?;
        self.process_states[i] = ProcessState::Paused;
        self.history.record(Event::Suspended { process: format!("n{i}") });
        Ok(())
    }

    /// Resumes manager `i` (SIGCONT), if it is stopped.
    pub(super) fn resume(&mut self, i: usize) -> Result<(), RunError> {
        if self.process_states[i] == ProcessState::Paused {
            self.history.record(Event::Resumed { process: format!("n{i}") });
            self.fleet.signal(i, Signal::SIGCONT)?;
            self.process_states[i] = ProcessState::Starting;
        }
        Ok(())
    }

    /// Performs the pending actions that are due.
    pub(super) fn perform_pending(&mut self) -> Result<(), RunError> {
        let now = Instant::now();
        let (due, pending) = std::mem::take(&mut self.pending).into_iter().partition(|(at, _)| *at <= now);
        self.pending = pending;
        let due: Vec<(Instant, Action)> = due;
        due.iter().try_for_each(|(_, action)| self.perform(action))
    }
}
