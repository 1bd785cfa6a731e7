//! Drives hot restarts: a second process beside the first, on the same listening socket, counting with it as one
//! workload manager.
//!
//! `sprucelink_hot_restart` decides which process accepts connections and what each may spend, and keeps the files by
//! which they know of each other; here its decisions are carried out.

use crate::core::{now, Core};
use crate::front::Front;
use sprucelink_hot_restart::{
    adopt, Age, Content, DiskFolder, Handover, Instance, Keeper, Looked, Phase, Spans, Stand, Tally,
    WriteFailed, LOOK,
};
use sprucelink_policy::Timestamp;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::{debug, error, info, warn, Level};

/// Most hashes of idempotency keys that are handed on; a file has room for more, and cordons go before them.
const MAX_KEYS: usize = 16_384;

/// Among how many processes the manager's budgets are divided, as the core was last told.
#[derive(Clone, Copy)]
struct BudgetParts {
    parts: u32,
    /// Since when fewer would be enough.
    fewer_since: Option<Timestamp>,
}

/// What the last log line said of this process.
#[derive(Clone, Copy, PartialEq, Eq)]
struct LoggedState {
    phase: Phase,
    parts: u32,
    without_room: bool,
}

/// What a write was for; it decides how serious a failure is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteReason {
    /// The regular refresh: the next one follows.
    Refresh,
    /// An operator's cordon, whose call waits for the answer.
    Cordon,
}

/// One process's side of a hot restart.
pub struct HotRestartDriver {
    core: Rc<Core>,
    keeper: RefCell<Keeper<DiskFolder>>,
    /// Windows of the budgets.
    windows: Spans,
    is_ready: Cell<bool>,
    is_stopping: Cell<bool>,
    budget_parts: Cell<BudgetParts>,
    logged: Cell<Option<LoggedState>>,
    /// Process ids of the other processes that were alive at the last look.
    living: RefCell<BTreeSet<u32>>,
    /// Process ids of those whose last file announced their end.
    ended: RefCell<BTreeSet<u32>>,
    wake: Notify,
}

impl HotRestartDriver {
    /// Adopts what earlier processes have left, before anything is served. `name` and `listen` tell this manager from
    /// others that share the folder.
    pub fn start(core: Rc<Core>, name: &str, listen: &str, windows: Spans) -> Rc<HotRestartDriver> {
        let instance = Instance { name: name.to_owned(), listen: listen.to_owned() };
        let pid = std::process::id();
        let build = env!("CARGO_PKG_VERSION");
        let (keeper, looked) = Keeper::open(DiskFolder::tmpdir(), instance, build, pid, now());
        let generation = keeper.process().generation;
        let found = looked.read.len();
        info!(pid, found, "handover: process {generation} of {name}, found {found} files");
        let driver = Rc::new(HotRestartDriver {
            core,
            keeper: RefCell::new(keeper),
            windows,
            is_ready: Cell::new(false),
            is_stopping: Cell::new(false),
            budget_parts: Cell::new(BudgetParts { parts: 1, fewer_since: None }),
            logged: Cell::new(None),
            living: RefCell::default(),
            ended: RefCell::default(),
            wake: Notify::new(),
        });
        driver.adopt_files(looked, Level::INFO);
        driver
    }

    /// This process can serve from now on.
    pub fn set_ready(&self) {
        self.is_ready.set(true);
        self.wake.notify_one();
    }

    /// SIGTERM has arrived.
    pub fn begin_stop(&self) {
        self.is_stopping.set(true);
        self.wake.notify_one();
    }

    /// Whether a health check is to succeed.
    pub fn is_healthy(&self) -> bool {
        self.keeper.borrow().says_yes()
    }

    /// Writes an operator's cordons, before the call is answered.
    ///
    /// # Errors
    /// A file that could not be written: the cordon holds in this process alone.
    pub fn record_cordons(&self) -> Result<(), WriteFailed> {
        self.write(WriteReason::Cordon)
    }

    /// Looks at the files and carries out what follows from them, until the process ends.
    pub async fn run(self: Rc<Self>, front: Rc<Front>) {
        loop {
            self.step(&front);
            tokio::select! {
                () = sleep(Duration::from_micros(LOOK.as_micros() as u64)) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Writes the last file, at the end of the process.
    pub fn leave(&self) {
        let content = self.content();
        if let Err(error) = self.keeper.borrow_mut().leave(now(), content) {
            warn!("handover: not written: {error}");
        }
    }

    fn step(&self, front: &Front) {
        let looked = self.keeper.borrow_mut().look(now());
        self.adopt_files(looked, Level::DEBUG);
        self.core.expire_cordons();
        let is_stopping = self.is_stopping.get();
        let stand = self.keeper.borrow_mut().step(now(), is_stopping, self.is_ready.get()).clone();
        self.log_state(&stand);
        self.log_unresponsive();
        // A process that drains sends hardly anything more, and its successor meets all that arrives: the division of
        // budgets counts for the successor alone.
        let is_draining = matches!(stand.phase, Phase::Accompanied | Phase::Leaving);
        self.divide_budgets(if is_draining { stand.parts } else { 1 });
        front.set_accepting(stand.accepts);
        if let Some(idle) = stand.let_go {
            front.drain_sessions(idle);
        }
        if self.keeper.borrow().due(now()) {
            // A failure is logged there, and the next refresh tries again.
            let _ = self.write(WriteReason::Refresh);
        }
    }

    /// Adopts what other processes have written, with a log line of this level for each file.
    fn adopt_files(&self, looked: Looked, level: Level) {
        for trouble in &looked.trouble {
            warn!("handover: the folder: {trouble}");
        }
        for (file, reason) in &looked.refused {
            warn!("handover: {file} refused: {reason}");
        }
        for file in looked.read {
            self.adopt_file(file, level);
        }
    }

    fn adopt_file(&self, file: Handover, level: Level) {
        let pid = file.process.pid;
        let generation = file.process.generation;
        if file.phase == Phase::Gone {
            self.ended.borrow_mut().insert(pid);
        }
        let age = (now() - file.written_at).as_secs_f64();
        let adopted = adopt(now(), self.windows, file);
        let cordons = adopted.bans.len();
        let keys = adopted.ids.len();
        let cold = adopted.cold.len();
        let further: u32 = adopted.further.iter().map(|f| f.1).sum();
        self.core.merge_cordons(&adopted.bans, &adopted.ids);
        let old = if adopted.age == Age::Fresh { "" } else { ", not of now" };
        let line = format!(
            "handover: adopted from pid {pid} (generation {generation}), {age:.2} s old{old}: {cordons} bans, {keys} ids, \
             {further} further attempts, {cold} cold sends"
        );
        if level == Level::INFO {
            info!(pid, generation, bans = cordons, "{line}");
        } else {
            debug!(pid, generation, bans = cordons, "{line}");
        }
    }

    /// Tells the core among how many processes the manager's budgets are divided. More count at once; fewer only after
    /// the longest window of cold budgets, since what the other process sent still counts there.
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
            (Ordering::Less, Some(since)) => now() - since >= self.windows.cold,
        };
        if applies {
            self.budget_parts.set(BudgetParts { parts, fewer_since: None });
            self.core.set_process_count(parts);
        }
    }

    /// Logs the phase and the division of budgets where they have changed.
    fn log_state(&self, stand: &Stand) {
        let state = LoggedState { phase: stand.phase, parts: stand.parts, without_room: stand.without_room };
        if self.logged.replace(Some(state)) == Some(state) {
            return;
        }
        let LoggedState { phase, parts, without_room } = state;
        info!(parts, "handover: {phase:?}, 1 of {parts} parts");
        if without_room && phase == Phase::Serving {
            warn!("handover: serves, and others did not make room");
        }
    }

    /// Logs other processes that stopped writing without announcing their end.
    fn log_unresponsive(&self) {
        let others = self.keeper.borrow().living(now());
        let living: BTreeSet<u32> = others.iter().map(|other| other.process.pid).collect();
        let before = self.living.replace(living.clone());
        let ended = self.ended.borrow();
        for pid in before.difference(&living).filter(|pid| !ended.contains(*pid)) {
            let alone = if living.is_empty() { ", alone" } else { "" };
            warn!(pid, "handover: pid {pid} has gone quiet{alone}");
        }
    }

    fn content(&self) -> Content {
        let (bans, ids) = self.core.export_cordons(MAX_KEYS);
        let tally = Tally::new(self.windows.ration, self.windows.cold);
        let ration = tally.ration(now());
        let cold = tally.cold(now());
        Content { bans, ids, ration, cold, last_event: self.core.last_event() }
    }

    fn write(&self, reason: WriteReason) -> Result<(), WriteFailed> {
        let content = self.content();
        let result = self.keeper.borrow_mut().write(now(), content);
        match result {
            Ok(written) => {
                if written.ids_left_out > 0 {
                    warn!("handover: {} ids left out", written.ids_left_out);
                }
                let (bytes, removed) = (written.bytes, written.removed);
                debug!(bytes, "handover: written, {bytes} bytes, removed {removed}");
                Ok(())
            }
            Err(error) => {
                match reason {
                    WriteReason::Cordon => error!("handover: not written: {error}"),
                    WriteReason::Refresh => warn!("handover: not written: {error}"),
                }
                Err(error)
            }
        }
    }
}
