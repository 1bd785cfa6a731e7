//! A simulation of the processes of one manager in virtual time with one shared folder: starts, kills,
//! SIGTERM once the new process is healthy, calls by the operator, paused processes, and failing writes and
//! reads. The invariants are checked every 10 ms.

use sprucelink_cordon::{Cause, CordonLimits, CordonRequest, CordonState, Target};
use sprucelink_hot_restart::*;

/// One millisecond in microseconds.
pub const MILLISECOND: i64 = 1_000;
/// Time between two checks of the invariants, in microseconds.
const TICK: i64 = 10 * MILLISECOND;
/// Time after SIGTERM at which processes that end cleanly do so, in microseconds.
const CLEAN_EXIT_AFTER: i64 = 2_500 * MILLISECOND;
/// Time after SIGTERM at which SIGKILL follows, in microseconds.
const SIGKILL_AFTER: i64 = 5_700 * MILLISECOND;
pub const ENGINES: [&str; 3] = ["s-1", "s-2", "s-3"];
const SPANS: WindowSpans = WindowSpans {
    retry_budget: TimeDelta::from_micros(5_000 * MILLISECOND),
    slow_start: TimeDelta::from_micros(2_000 * MILLISECOND),
};

#[derive(Clone, Debug)]
pub enum Event {
    /// Starts a new process that can serve after `ready_after_ms`.
    Start { ready_after_ms: u16 },
    /// Kills the live process with this index, modulo their number.
    Kill { process: u8 },
    /// An operator's call at a live process to cordon or uncordon an engine.
    Call { process: u8, engine: u8, cordon: bool },
    /// A live process gets no CPU time for `ms` milliseconds.
    Pause { process: u8, ms: u16 },
    /// Injects a fault into the next write or read of a live process.
    Fail { process: u8, fault: FolderFault },
}

/// Outcome of a write of a process's own file.
#[derive(PartialEq)]
enum WriteOutcome {
    Written,
    /// The write failed, and the process is alive.
    Failed,
    /// The process died during the write.
    Died,
}

struct SimulatedProcess {
    driver: StateFileDriver<FaultyFolder>,
    folder: FaultyFolder,
    cordons: CordonState,
    started_at: i64,
    can_serve_at: i64,
    sigterm_at: Option<i64>,
    paused_until: i64,
    /// Time at which the process was last paused or had pending faults.
    disturbed_at: i64,
    is_dead: bool,
}

impl SimulatedProcess {
    fn snapshot(&self) -> StateSnapshot {
        StateSnapshot {
            cordons: self.cordons.export_records(),
            known_ids: self.cordons.export_known_ids(usize::MAX),
            ..StateSnapshot::default()
        }
    }

    fn merge_scan(&mut self, now: Timestamp, scan: FolderScan) {
        for file in scan.files {
            let usable = usable_state(now, SPANS, file);
            self.cordons.merge_known_ids(&usable.known_ids);
            self.cordons.merge_records(now, &usable.cordons);
        }
    }

    /// Scans, steps and writes; returns false if the process died while writing.
    fn run_once(&mut self, now: i64) -> bool {
        let timestamp = Timestamp::from_micros(now);
        let scan = self.driver.scan(timestamp);
        self.merge_scan(timestamp, scan);
        let is_sigterm_received = self.sigterm_at.is_some_and(|sigterm_at| sigterm_at <= now);
        self.driver.step(timestamp, is_sigterm_received, now >= self.can_serve_at);
        !self.driver.is_write_due(timestamp) || self.write(timestamp) != WriteOutcome::Died
    }

    fn write(&mut self, now: Timestamp) -> WriteOutcome {
        match self.driver.write(now, self.snapshot()) {
            Ok(_) => WriteOutcome::Written,
            Err(WriteError::Folder(error)) if error.kind() == std::io::ErrorKind::Interrupted => {
                WriteOutcome::Died
            }
            Err(_) => WriteOutcome::Failed,
        }
    }
}

/// The last accepted call on an engine: its time, and whether it cordoned the engine. `None` if there was
/// none, or if the effect of the last call is unknown.
type AcceptedCall = Option<(i64, bool)>;

pub struct Simulation {
    pub now: i64,
    pub folder: FaultyFolder,
    processes: Vec<SimulatedProcess>,
    accepted_calls: [AcceptedCall; 3],
    /// Whether processes were paused or folder faults injected: then budget parts may temporarily add up to
    /// more than 1.
    pub has_faults: bool,
    /// Time since which no process accepts connections although one is able to serve.
    unserved_since: Option<i64>,
    pub call_count: usize,
    /// Number of processes that became healthy.
    pub healthy_reports: usize,
}

impl Simulation {
    pub fn new() -> Simulation {
        let mut simulation = Simulation {
            now: 1_700_000_000_000 * MILLISECOND,
            folder: FaultyFolder::new(),
            processes: Vec::new(),
            accepted_calls: [None; 3],
            has_faults: false,
            unserved_since: None,
            call_count: 0,
            healthy_reports: 0,
        };
        simulation.start(0);
        simulation
    }

    fn start(&mut self, ready_after_ms: u16) {
        let folder = self.folder.handle();
        let instance = Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() };
        // All processes have the same pid, as if each were the first process of a container.
        let (driver, scan) =
            StateFileDriver::open(folder.clone(), instance, "test", 7, Timestamp::from_micros(self.now));
        let mut process = SimulatedProcess {
            driver,
            folder,
            cordons: CordonState::new(CordonLimits::default()),
            started_at: self.now,
            can_serve_at: self.now + i64::from(ready_after_ms) * MILLISECOND,
            sigterm_at: None,
            paused_until: 0,
            disturbed_at: 0,
            is_dead: false,
        };
        ENGINES.iter().for_each(|id| process.cordons.mark_listed(id));
        process.merge_scan(Timestamp::from_micros(self.now), scan);
        self.processes.push(process);
    }

    pub fn live_count(&self) -> usize {
        self.processes.iter().filter(|process| !process.is_dead).count()
    }

    /// The live process with this index, modulo their number; `None` if there is none.
    fn live_process(&mut self, index: u8) -> Option<&mut SimulatedProcess> {
        let mut live: Vec<&mut SimulatedProcess> =
            self.processes.iter_mut().filter(|process| !process.is_dead).collect();
        let index = usize::from(index) % live.len().max(1);
        (index < live.len()).then(|| live.swap_remove(index))
    }

    pub fn apply(&mut self, event: &Event) {
        let now = self.now;
        match event {
            Event::Start { ready_after_ms } if self.live_count() < 3 => {
                // Two processes that start within one microsecond would have the same file name.
                self.run(10);
                self.start(*ready_after_ms);
            }
            Event::Start { .. } => {}
            Event::Kill { process } => {
                self.live_process(*process).into_iter().for_each(|process| process.is_dead = true);
            }
            Event::Pause { process, ms } => {
                self.has_faults = true;
                self.live_process(*process).into_iter().for_each(|process| {
                    process.paused_until = now + i64::from(*ms) * MILLISECOND;
                    process.disturbed_at = process.paused_until;
                });
            }
            Event::Fail { process, fault } => {
                self.has_faults = true;
                let process = self.live_process(*process);
                process.into_iter().for_each(|process| process.folder.fail_next(fault.clone()));
            }
            Event::Call { process, engine, cordon } => self.call(*process, usize::from(*engine), *cordon),
        }
    }

    fn call(&mut self, process_index: u8, engine: usize, cordon: bool) {
        // Two calls never happen within the same microsecond.
        let now = self.now + self.call_count as i64;
        let process = self.live_process(process_index);
        let Some(process) = process.filter(|process| process.paused_until <= now) else { return };
        let target = Target::Engine(ENGINES[engine].into());
        if cordon {
            process
                .cordons
                .cordon(Timestamp::from_micros(now), &target, CordonRequest::Operator, "")
                .expect("listed");
        } else {
            process.cordons.uncordon(Timestamp::from_micros(now), &target, Cause::Operator).expect("listed");
        }
        match process.write(Timestamp::from_micros(now)) {
            WriteOutcome::Written => self.accepted_calls[engine] = Some((now, cordon)),
            // The process died before it answered: the call accepted before is still in force.
            WriteOutcome::Died => process.is_dead = true,
            // The call was not accepted, and its effect is unknown until the next call.
            WriteOutcome::Failed => self.accepted_calls[engine] = None,
        }
        self.call_count += 1;
    }

    pub fn run(&mut self, ms: i64) {
        for _ in 0..ms * MILLISECOND / TICK {
            self.now += TICK;
            self.tick();
            self.check();
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        let mut newly_healthy = None;
        for process in
            self.processes.iter_mut().filter(|process| !process.is_dead && process.paused_until <= now)
        {
            // SIGTERM is handled at once, and everything else at the scan interval.
            let is_sigterm_now = process.sigterm_at == Some(now);
            if !is_sigterm_now
                && (now - process.started_at) % SCAN_INTERVAL.as_micros() != 0
                && process.paused_until != now
            {
                continue;
            }
            let was_healthy = process.driver.is_healthy();
            if process.folder.pending_faults() > 0 {
                process.disturbed_at = now;
            }
            process.is_dead = !process.run_once(now);
            if process.driver.is_healthy() && !was_healthy && !process.is_dead {
                newly_healthy = Some(process.started_at);
            }
            // Half of all processes end cleanly before SIGKILL.
            if let Some(sigterm_at) =
                process.sigterm_at.filter(|sigterm_at| now - sigterm_at > CLEAN_EXIT_AFTER)
            {
                if process.started_at / TICK % 2 == 0 {
                    let snapshot = process.snapshot();
                    process.is_dead =
                        process.driver.write_last(Timestamp::from_micros(now), snapshot).is_ok()
                            || now - sigterm_at > SIGKILL_AFTER;
                } else {
                    process.is_dead = now - sigterm_at > SIGKILL_AFTER;
                }
            }
        }
        if let Some(started_at) = newly_healthy {
            self.healthy_reports += 1;
            // SIGTERM reaches all older processes some time after the new process is healthy.
            let is_older = |process: &&mut SimulatedProcess| {
                process.started_at < started_at && process.sigterm_at.is_none()
            };
            for process in self.processes.iter_mut().filter(is_older) {
                process.sigterm_at = Some(now + (started_at / TICK % 12) * TICK);
            }
        }
    }

    fn check(&mut self) {
        let now = self.now;
        let is_running = |process: &&SimulatedProcess| !process.is_dead && process.paused_until <= now;
        // Time after which all running processes have read a change.
        let propagation_time = SCAN_INTERVAL.as_micros() + 2 * TICK;
        let is_undisturbed = |process: &&SimulatedProcess| now - process.disturbed_at > propagation_time;
        for process in self.processes.iter().filter(is_running).filter(is_undisturbed) {
            for (id, accepted_call) in ENGINES.iter().zip(&self.accepted_calls) {
                let propagated_call =
                    accepted_call.filter(|(called_at, _)| now - called_at > propagation_time);
                let Some((called_at, cordon)) = propagated_call else { continue };
                assert_eq!(
                    process.cordons.is_engine_cordoned(id),
                    cordon,
                    "{id}: last call {} ms ago",
                    (now - called_at) / MILLISECOND
                );
            }
            let ready_time = now - process.can_serve_at.max(process.started_at).max(process.disturbed_at);
            if process.sigterm_at.is_none() && ready_time > ACK_TIMEOUT.as_micros() + propagation_time {
                assert!(process.driver.is_healthy(), "a new process is delayed");
            }
        }
        let live_statuses =
            self.processes.iter().filter(|process| !process.is_dead).map(|process| process.driver.status());
        let spending = live_statuses.filter(|status| status.has_served);
        let spent_fraction: f64 = spending.map(|status| 1.0 / f64::from(status.budget_parts)).sum();
        assert!(self.has_faults || spent_fraction < 1.0 + 1e-9, "{spent_fraction} of the budgets spent");
        // Some process must accept connections as long as one is able to continue serving.
        let running = || self.processes.iter().filter(is_running);
        let can_continue =
            |process: &SimulatedProcess| process.driver.status().has_served && process.sigterm_at.is_none();
        let is_accepting = running().any(|process| process.driver.status().accepts_connections);
        if is_accepting || !running().any(can_continue) {
            self.unserved_since = None;
        }
        let since = *self.unserved_since.get_or_insert(now);
        assert!(
            now - since <= PEER_TIMEOUT.as_micros() + 2 * propagation_time,
            "no process has accepted connections for {} ms",
            (now - since) / MILLISECOND
        );
    }
}
