//! Drives hot restarts: a second process runs beside the first on the same listening socket, and both
//! together count as one workload manager.
//!
//! `sprucelink_hot_restart` decides which process accepts connections and which part of the budgets each may
//! spend, and maintains the state files through which the processes discover each other; this driver applies
//! its decisions.

use super::cancel_forwarding::CancelForwarding;
use super::feed_address::FeedAddress;
use crate::core::{machine_clock_offset, now, to_duration, Core};
use crate::front::Front;
use sprucelink_hot_restart::{
    usable_state, ClockReference, DiskFolder, FolderScan, Instance, Phase, PhaseStatus, StateFile,
    StateFileDriver, StateSnapshot, WindowCounters, WindowSpans, WriteError,
};
use sprucelink_policy::Timestamp;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::{debug, error, info, warn, Level};

/// Maximum number of hashes of engine ids in a state file, so that there is always room for the cordons.
const MAX_ENGINE_ID_HASHES: usize = 16_384;

/// File with an id that changes with each start of the machine.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// Division of the manager's budgets, as last set in the core.
#[derive(Clone, Copy)]
struct BudgetParts {
    /// Number of processes that share the budgets.
    parts: u32,
    /// Time since which the phase has required fewer parts; `None` if it requires the current number.
    fewer_since: Option<Timestamp>,
}

/// State that the last log line about the phase reported; an unchanged state is not logged again.
#[derive(Clone, Copy, PartialEq, Eq)]
struct LoggedState {
    phase: Phase,
    parts: u32,
    is_unacknowledged: bool,
}

/// Reason for writing the state file; it determines the log level of a failure.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteReason {
    /// The periodic refresh, which repeats a failed write soon.
    Refresh,
    /// A change of the cordons by an operator; the response waits for the write.
    Cordon,
}

/// Relation of this process's clock to the machine's monotonic clock, by which other processes convert the
/// times in its state file; `None` if the boot id of the machine cannot be read.
fn clock_reference() -> Option<ClockReference> {
    let boot_id = std::fs::read_to_string(BOOT_ID_FILE).ok()?.trim().to_owned();
    Some(ClockReference { boot_id, offset: machine_clock_offset() })
}

/// This process's part in hot restarts.
pub struct HotRestartDriver {
    core: Rc<Core>,
    state_files: RefCell<StateFileDriver<DiskFolder>>,
    /// Lengths of the windows in which the retry budget and the slow-start budgets count.
    windows: WindowSpans,
    is_ready: Cell<bool>,
    is_stopping: Cell<bool>,
    budget_parts: Cell<BudgetParts>,
    logged: Cell<Option<LoggedState>>,
    /// Ids of the other processes that were alive at the last scan.
    live_peers: RefCell<BTreeSet<u32>>,
    /// Ids of the other processes that announced their termination.
    terminated_peers: RefCell<BTreeSet<u32>>,
    step_requested: Notify,
    feed: Rc<FeedAddress>,
    cancels: RefCell<CancelForwarding>,
}

impl HotRestartDriver {
    /// Creates the driver and merges the state files of earlier processes into the core. Must be called
    /// before serving begins. `name` and `listen` distinguish this manager from other managers that share the
    /// folder.
    pub fn start(
        core: Rc<Core>,
        feed: Rc<FeedAddress>,
        name: &str,
        listen: &str,
        windows: WindowSpans,
    ) -> Rc<HotRestartDriver> {
        let instance = Instance { name: name.to_owned(), listen: listen.to_owned() };
        let pid = std::process::id();
        let build = env!("CARGO_PKG_VERSION");
        let folder = DiskFolder::tmpdir();
        let (state_files, scan) =
            StateFileDriver::open_with_clock(folder, instance, build, pid, now(), clock_reference());
        let generation = state_files.process().generation;
        info!(manager = name, pid, generation, state_files = scan.files.len(), "hot restart enabled");
        let driver = Rc::new(HotRestartDriver {
            core,
            state_files: RefCell::new(state_files),
            windows,
            is_ready: Cell::new(false),
            is_stopping: Cell::new(false),
            budget_parts: Cell::new(BudgetParts { parts: 1, fewer_since: None }),
            logged: Cell::new(None),
            live_peers: RefCell::default(),
            terminated_peers: RefCell::default(),
            step_requested: Notify::new(),
            feed,
            cancels: RefCell::default(),
        });
        driver.merge_files(scan, Level::INFO);
        driver
    }

    /// Marks this process as ready to serve.
    pub fn set_ready(&self) {
        self.is_ready.set(true);
        self.step_requested.notify_one();
    }

    /// Starts the phases that end this process; called at SIGTERM.
    pub fn begin_stop(&self) {
        self.is_stopping.set(true);
        self.step_requested.notify_one();
    }

    /// Whether health checks of this process should succeed in its current phase.
    pub fn is_healthy(&self) -> bool {
        self.state_files.borrow().is_healthy()
    }

    /// Writes the cordons to the state file. Must be called before the response to the operator's request.
    ///
    /// # Errors
    /// If the state file could not be written: the change of the cordons is in effect in this process only.
    pub fn record_cordons(&self) -> Result<(), WriteError> {
        self.write(WriteReason::Cordon)
    }

    /// Scans the state files periodically and applies the resulting phase, until the process exits.
    pub async fn run(self: Rc<Self>, front: Rc<Front>) {
        loop {
            self.step(&front);
            let scan_interval = self.state_files.borrow().scan_interval(now());
            // Otherwise the requests wait for the next scan: a client can send them at any rate.
            let may_write_early = self.state_files.borrow().may_write_early(now());
            tokio::select! {
                () = sleep(to_duration(scan_interval)) => {}
                () = self.step_requested.notified() => {}
                () = front.unknown_cancel_received(), if may_write_early => {}
            }
        }
    }

    /// Writes the last version of the state file, which announces the termination of this process.
    pub fn leave(&self) {
        let snapshot = self.snapshot();
        if let Err(error) = self.state_files.borrow_mut().write_last(now(), snapshot) {
            warn!(%error, "hot restart state file not written");
        }
    }

    fn step(&self, front: &Front) {
        let scan = self.state_files.borrow_mut().scan(now());
        self.cancels.borrow_mut().exchange(now(), front, &scan);
        self.merge_files(scan, Level::DEBUG);
        self.core.expire_cordons();
        let is_stopping = self.is_stopping.get();
        let status = self.state_files.borrow_mut().step(now(), is_stopping, self.is_ready.get()).clone();
        self.log_state(&status);
        self.log_unresponsive();
        // A draining process sends hardly any more requests while its successor receives all new ones, so the
        // division of budgets limits the successor only.
        let is_draining = matches!(status.phase, Phase::ServingBesideSuccessor | Phase::Draining);
        self.divide_budgets(if is_draining { status.budget_parts } else { 1 });
        front.set_accepting(status.accepts_connections);
        front.keep_unknown_cancels(self.has_live_peers());
        self.forget_dead_peers();
        if let Some(idle) = status.close_idle_after {
            front.drain_sessions(idle);
        }
        let state_files = self.state_files.borrow();
        let has_news = self.cancels.borrow().has_unwritten() || self.core.has_new_request_ids();
        let is_write_due =
            state_files.is_write_due(now()) || (has_news && state_files.may_write_early(now()));
        drop(state_files);
        if is_write_due {
            // `write` logs a failure, and the next refresh repeats the write.
            let _ = self.write(WriteReason::Refresh);
        }
    }

    /// Whether another process of this workload manager is alive.
    fn has_live_peers(&self) -> bool {
        !self.state_files.borrow().live_peers(now()).is_empty()
    }

    /// Forgets which requests are open in processes that have ended.
    fn forget_dead_peers(&self) {
        let peers = self.state_files.borrow().live_peers(now());
        self.core.retain_request_ids(|pid| peers.iter().any(|peer| peer.process.pid == pid));
    }

    /// Merges the state of other processes, with a log line at `level` for each file.
    fn merge_files(&self, scan: FolderScan, level: Level) {
        for error in &scan.folder_errors {
            warn!(%error, "hot restart state folder failed");
        }
        for (file, reason) in &scan.rejected {
            warn!(%file, %reason, "hot restart state file rejected");
        }
        for file in scan.files {
            self.merge_file(file, level);
        }
    }

    fn merge_file(&self, file: StateFile, level: Level) {
        let pid = file.process.pid;
        let generation = file.process.generation;
        if file.phase == Phase::Terminated {
            self.terminated_peers.borrow_mut().insert(pid);
        }
        if let Some(change) = file.snapshot.feed_change.clone() {
            let feed_address = change.address.clone();
            if self.feed.apply(change) {
                info!(pid, feed_address, "control feed changed by another process");
            }
        }
        self.core.merge_request_ids(pid, &file.snapshot.request_ids);
        let request_ids = file.snapshot.request_ids.len();
        let age_s = (now() - file.written_at).as_secs_f64();
        let usable = usable_state(now(), self.windows, file);
        let cordons = usable.cordons.len();
        let engine_ids = usable.known_ids.len();
        let warmup_sends = usable.warmup.len();
        let retries: u32 = usable.retries.iter().map(|(_, count)| count).sum();
        self.core.merge_cordons(&usable.cordons, &usable.known_ids);
        let age = usable.age;
        macro_rules! log_merged {
            ($log:ident) => {
                $log!(
                    pid,
                    generation,
                    age_s,
                    ?age,
                    cordons,
                    engine_ids,
                    request_ids,
                    retries,
                    warmup_sends,
                    "hot restart state merged"
                )
            };
        }
        if level == Level::INFO {
            log_merged!(info);
        } else {
            log_merged!(debug);
        }
    }

    /// Sets in the core the number of processes that share the manager's budgets. An increase takes effect at
    /// once, a decrease only after the slow-start window, in which the requests of the other process still
    /// count.
    fn divide_budgets(&self, parts: u32) {
        let current = self.budget_parts.get();
        let applies = match (parts.cmp(&current.parts), current.fewer_since) {
            (Ordering::Equal, _) => {
                return self.budget_parts.set(BudgetParts { fewer_since: None, ..current });
            }
            (Ordering::Greater, _) => true,
            (Ordering::Less, None) => {
                return self.budget_parts.set(BudgetParts { fewer_since: Some(now()), ..current });
            }
            (Ordering::Less, Some(since)) => now() - since >= self.windows.slow_start,
        };
        if applies {
            self.budget_parts.set(BudgetParts { parts, fewer_since: None });
            self.core.set_process_count(parts);
        }
    }

    /// Logs the phase and the division of budgets if they have changed.
    fn log_state(&self, status: &PhaseStatus) {
        let state = LoggedState {
            phase: status.phase,
            parts: status.budget_parts,
            is_unacknowledged: status.is_unacknowledged,
        };
        if self.logged.replace(Some(state)) == Some(state) {
            return;
        }
        let LoggedState { phase, parts, is_unacknowledged } = state;
        info!(?phase, budget_parts = parts, "hot restart phase changed");
        if is_unacknowledged && phase == Phase::Serving {
            warn!("hot restart serving although other processes did not share their budgets");
        }
    }

    /// Logs other processes that stopped writing their state files without announcing their termination.
    fn log_unresponsive(&self) {
        let peers = self.state_files.borrow().live_peers(now());
        let live: BTreeSet<u32> = peers.iter().map(|peer| peer.process.pid).collect();
        let previously_live = self.live_peers.replace(live.clone());
        let terminated = self.terminated_peers.borrow();
        for pid in previously_live.difference(&live).filter(|pid| !terminated.contains(*pid)) {
            warn!(remaining_processes = live.len(), pid, "hot restart process is unresponsive");
        }
    }

    fn snapshot(&self) -> StateSnapshot {
        let (cordons, known_ids) = self.core.export_cordons(MAX_ENGINE_ID_HASHES);
        // Nothing is counted in these counters yet, so the counts of retries and of work for engines in slow
        // start in a state file are always 0. A reader of the file logs its retries and `warmup_sends`, and
        // uses neither.
        let counters = WindowCounters::new(self.windows.retry_budget, self.windows.slow_start);
        // A process alone has nobody to share the ids with, until it ends: then a later process may read them.
        let shares_request_ids = self.has_live_peers() || self.is_stopping.get();
        let request_ids = if shares_request_ids { self.core.export_request_ids() } else { Vec::new() };
        StateSnapshot {
            cordons,
            known_ids,
            retry_budget: counters.retry_budget(now()),
            warmup: counters.warmup(now()),
            request_ids,
            cancel_requests: self.cancels.borrow_mut().export(now()),
            feed_change: self.feed.last_change(),
            last_event: self.core.last_event(),
        }
    }

    fn write(&self, reason: WriteReason) -> Result<(), WriteError> {
        let snapshot = self.snapshot();
        let result = self.state_files.borrow_mut().write(now(), snapshot);
        match result {
            Ok(written) => {
                self.cancels.borrow_mut().record_written();
                if written.ids_left_out > 0 {
                    let engine_ids = written.ids_left_out;
                    warn!(engine_ids, "engine ids left out of the hot restart state file");
                }
                if written.request_ids_left_out > 0 {
                    let request_ids = written.request_ids_left_out;
                    warn!(request_ids, "request ids left out of the hot restart state file");
                }
                debug!(
                    bytes = written.bytes,
                    removed_files = written.removed_files,
                    "hot restart state file written"
                );
                Ok(())
            }
            Err(error) => {
                match reason {
                    WriteReason::Cordon => error!(%error, "hot restart state file not written"),
                    WriteReason::Refresh => warn!(%error, "hot restart state file not written"),
                }
                Err(error)
            }
        }
    }
}
