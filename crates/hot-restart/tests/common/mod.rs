//! A simulation of the processes of one manager in virtual time, over one folder: starts, kills, SIGTERM once the new
//! process is healthy, calls by the operator, processes that are paused, writes and reads that fail. The invariants are
//! checked every 10 ms.

use sprucelink_cordon::{Cause, CordonLimits, CordonRequest, CordonState, Target};
use sprucelink_hot_restart::*;

/// A millisecond, in microseconds.
pub const MS: i64 = 1_000;
/// Time between two checks, in microseconds.
const TICK: i64 = 10 * MS;
pub const ENGINES: [&str; 3] = ["s-1", "s-2", "s-3"];
const SPANS: WindowSpans = WindowSpans {
    retry_budget: TimeDelta::from_micros(5_000 * MS),
    slow_start: TimeDelta::from_micros(2_000 * MS),
};

#[derive(Clone, Debug)]
pub enum Event {
    /// Starts a new process that can serve after this many ms.
    Start(u16),
    Kill(u8),
    /// At which process, on which engine; `true` cordons it, `false` uncordons it.
    Call(u8, u8, bool),
    /// A process gets no processor for this many ms.
    Pause(u8, u16),
    Fail(u8, FolderFault),
}

struct SimulatedProcess {
    driver: StateFileDriver<FaultyFolder>,
    folder: FaultyFolder,
    cordons: CordonState,
    started_at: i64,
    can_serve_at: i64,
    sigterm_at: Option<i64>,
    paused_until: i64,
    /// When it was last paused or had faults ahead of it.
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

    /// Scans, steps and writes; `false`: the process died while writing.
    fn run_once(&mut self, now: i64) -> bool {
        let t = Timestamp::from_micros(now);
        let scan = self.driver.scan(t);
        self.merge_scan(t, scan);
        self.driver.step(t, self.sigterm_at.is_some_and(|at| at <= now), now >= self.can_serve_at);
        !self.driver.is_write_due(t) || self.write(t) != Some(false)
    }

    /// Whether the file was written; `None`: that failed and the process is alive.
    fn write(&mut self, t: Timestamp) -> Option<bool> {
        match self.driver.write(t, self.snapshot()) {
            Ok(_) => Some(true),
            Err(WriteError::Folder(e)) if e.kind() == std::io::ErrorKind::Interrupted => Some(false),
            Err(_) => None,
        }
    }
}

/// The last accepted call on an engine: when, and whether it cordoned.
type AcceptedCall = Option<(i64, bool)>;

pub struct Simulation {
    pub now: i64,
    pub folder: FaultyFolder,
    processes: Vec<SimulatedProcess>,
    accepted: [AcceptedCall; 3],
    /// Whether processes were paused or writes failed: then budget parts may add up to more than 1 for a while.
    pub has_faults: bool,
    /// Since when nobody accepts connections although somebody could.
    unserved_since: Option<i64>,
    pub calls: usize,
    pub healthy_reports: usize,
}

impl Simulation {
    pub fn new() -> Simulation {
        let mut simulation = Simulation {
            now: 1_700_000_000_000 * MS,
            folder: FaultyFolder::new(),
            processes: Vec::new(),
            accepted: [None; 3],
            has_faults: false,
            unserved_since: None,
            calls: 0,
            healthy_reports: 0,
        };
        simulation.start(0);
        simulation
    }

    fn start(&mut self, after: u16) {
        let folder = self.folder.handle();
        let me = Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() };
        // The same pid for all, as where each is the first process of its machine.
        let (driver, scan) =
            StateFileDriver::open(folder.clone(), me, "test", 7, Timestamp::from_micros(self.now));
        let mut process = SimulatedProcess {
            driver,
            folder,
            cordons: CordonState::new(CordonLimits::default()),
            started_at: self.now,
            can_serve_at: self.now + i64::from(after) * MS,
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
        self.processes.iter().filter(|p| !p.is_dead).count()
    }

    fn pick(&mut self, n: u8) -> Option<&mut SimulatedProcess> {
        let mut living: Vec<&mut SimulatedProcess> =
            self.processes.iter_mut().filter(|p| !p.is_dead).collect();
        let at = usize::from(n) % living.len().max(1);
        (at < living.len()).then(|| living.swap_remove(at))
    }

    pub fn event(&mut self, event: &Event) {
        let now = self.now;
        match event {
            Event::Start(after) if self.live_count() < 3 => {
                // Never two within one microsecond: they would have the same file name.
                self.run(10);
                self.start(*after);
            }
            Event::Start(_) => {}
            Event::Kill(n) => self.pick(*n).into_iter().for_each(|p| p.is_dead = true),
            Event::Pause(n, ms) => {
                self.has_faults = true;
                self.pick(*n).into_iter().for_each(|p| {
                    p.paused_until = now + i64::from(*ms) * MS;
                    p.disturbed_at = p.paused_until;
                });
            }
            Event::Fail(n, fault) => {
                self.has_faults = true;
                self.pick(*n).into_iter().for_each(|p| p.folder.fail_next(fault.clone()));
            }
            Event::Call(n, engine, cordon) => self.call(*n, usize::from(*engine), *cordon),
        }
    }

    fn call(&mut self, n: u8, engine: usize, cordon: bool) {
        // No two calls within one microsecond.
        let now = self.now + self.calls as i64;
        let Some(p) = self.pick(n).filter(|p| p.paused_until <= now) else { return };
        let target = Target::Engine(ENGINES[engine].into());
        if cordon {
            p.cordons
                .cordon(Timestamp::from_micros(now), &target, CordonRequest::Operator, "")
                .expect("listed");
        } else {
            p.cordons.uncordon(Timestamp::from_micros(now), &target, Cause::Operator).expect("listed");
        }
        match p.write(Timestamp::from_micros(now)) {
            Some(true) => self.accepted[engine] = Some((now, cordon)),
            // It died before it answered: the call accepted before is still in force.
            Some(false) => p.is_dead = true,
            // The call was not accepted, and its effect is unknown until the next.
            None => self.accepted[engine] = None,
        }
        self.calls += 1;
    }

    pub fn run(&mut self, ms: i64) {
        for _ in 0..ms * MS / TICK {
            self.now += TICK;
            self.tick();
            self.check();
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        let mut newly_healthy = None;
        for p in self.processes.iter_mut().filter(|p| !p.is_dead && p.paused_until <= now) {
            // SIGTERM is handled at once; all else at the interval of scans.
            let is_sigterm_now = p.sigterm_at == Some(now);
            if !is_sigterm_now
                && (now - p.started_at) % SCAN_INTERVAL.as_micros() != 0
                && p.paused_until != now
            {
                continue;
            }
            let was_healthy = p.driver.is_healthy();
            if p.folder.pending_faults() > 0 {
                p.disturbed_at = now;
            }
            p.is_dead = !p.run_once(now);
            if p.driver.is_healthy() && !was_healthy && !p.is_dead {
                newly_healthy = Some(p.started_at);
            }
            // SIGKILL comes 5.7 s after SIGTERM; half of all processes end in order before.
            if let Some(at) = p.sigterm_at.filter(|at| now - at > 2_500 * MS) {
                if p.started_at / TICK % 2 == 0 {
                    let snapshot = p.snapshot();
                    p.is_dead = p.driver.write_last(Timestamp::from_micros(now), snapshot).is_ok()
                        || now - at > 5_700 * MS;
                } else {
                    p.is_dead = now - at > 5_700 * MS;
                }
            }
        }
        if let Some(started_at) = newly_healthy {
            self.healthy_reports += 1;
            // SIGTERM reaches all older processes some time after the new one is healthy.
            for p in self.processes.iter_mut().filter(|p| p.started_at < started_at && p.sigterm_at.is_none())
            {
                p.sigterm_at = Some(now + (started_at / TICK % 12) * TICK);
            }
        }
    }

    fn check(&mut self) {
        let now = self.now;
        let is_running = |p: &&SimulatedProcess| !p.is_dead && p.paused_until <= now;
        let settled = SCAN_INTERVAL.as_micros() + 2 * TICK;
        for p in self.processes.iter().filter(is_running).filter(|p| now - p.disturbed_at > settled) {
            for (id, accepted_call) in ENGINES.iter().zip(&self.accepted) {
                let Some((at, cordon)) = accepted_call.filter(|(at, _)| now - at > settled) else { continue };
                assert_eq!(
                    p.cordons.is_engine_cordoned(id),
                    cordon,
                    "{id} called {} ms ago",
                    (now - at) / MS
                );
            }
            let waiting = now - p.can_serve_at.max(p.started_at).max(p.disturbed_at);
            if p.sigterm_at.is_none() && waiting > ACK_TIMEOUT.as_micros() + settled {
                assert!(p.driver.is_healthy(), "a new process is delayed");
            }
        }
        let living = || self.processes.iter().filter(|p| !p.is_dead);
        let spends = |p: &&SimulatedProcess| p.driver.status().has_served;
        let spent: f64 =
            living().filter(spends).map(|p| 1.0 / f64::from(p.driver.status().budget_parts)).sum();
        assert!(self.has_faults || spent < 1.0 + 1e-9, "{spent} of the budgets spent");
        // Somebody must accept connections as long as anybody is to go on serving.
        let able =
            living().filter(is_running).any(|p| p.driver.status().has_served && p.sigterm_at.is_none());
        let open = living().filter(is_running).any(|p| p.driver.status().accepts_connections);
        if open || !able {
            self.unserved_since = None;
        }
        let since = *self.unserved_since.get_or_insert(now);
        assert!(
            now - since <= PEER_TIMEOUT.as_micros() + 2 * settled,
            "nobody accepts for {} ms",
            (now - since) / MS
        );
    }
}
