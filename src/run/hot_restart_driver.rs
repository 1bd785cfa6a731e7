//! Upgrades: a second process beside the first, on the same listening socket, counting with it as one workload
//! manager. `sprucelink_hot_restart` decides who takes connections and what each may spend, and keeps the files by which
//! the two know of each other; here its word is carried out.

use crate::core::{now, Core};
use crate::front::Front;
use sprucelink_hot_restart::{
    usable_state, DiskFolder, FolderScan, Instance, Phase, PhaseStatus, StateFileDriver, StateSnapshot,
    WindowCounters, WindowSpans,
};
use sprucelink_hot_restart::{FileAge, SCAN_INTERVAL};
use sprucelink_policy::Timestamp;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::{debug, error, info, warn};

/// Hashes of ids handed on at most: a file has room for some more, and bans go before them.
const MOST_IDS: usize = 16_384;

/// One process's side of an upgrade.
pub struct Upgrade {
    core: Rc<Core>,
    keeper: RefCell<StateFileDriver<DiskFolder>>,
    spans: WindowSpans,
    can_serve: Cell<bool>,
    term: Cell<bool>,
    /// The parts that the core was told of, and since when fewer would do.
    told: Cell<(u32, Option<Timestamp>)>,
    stand: RefCell<Option<(Phase, u32, bool)>>,
    /// The others that lived at the last look, by process id.
    living: RefCell<BTreeSet<u32>>,
    /// Those whose last file said that they end.
    ended: RefCell<BTreeSet<u32>>,
    look: Notify,
}

impl Upgrade {
    /// Takes over what a process before has left, before anything is served. `name` and `listen` tell this manager
    /// from others that share the folder.
    pub fn begin(core: Rc<Core>, name: &str, listen: &str, spans: WindowSpans) -> Rc<Upgrade> {
        let instance = Instance { name: name.to_owned(), listen: listen.to_owned() };
        let (pid, build) = (std::process::id(), env!("CARGO_PKG_VERSION"));
        let (keeper, looked) = StateFileDriver::open(DiskFolder::tmpdir(), instance, build, pid, now());
        let (process, found) = (keeper.process(), looked.files.len());
        info!(pid, found, "handover: process {} of {name}, found {found} files", process.generation);
        let upgrade = Rc::new(Upgrade {
            core,
            keeper: RefCell::new(keeper),
            spans,
            can_serve: Cell::new(false),
            term: Cell::new(false),
            told: Cell::new((1, None)),
            stand: RefCell::new(None),
            living: RefCell::default(),
            ended: RefCell::default(),
            look: Notify::new(),
        });
        upgrade.take_in(looked, true);
        upgrade
    }

    /// This process can serve from now on.
    pub fn can_serve(&self) {
        self.can_serve.set(true);
        self.look.notify_one();
    }

    /// SIGTERM has come.
    pub fn stopping(&self) {
        self.term.set(true);
        self.look.notify_one();
    }

    /// Whether a health check is to be answered with yes.
    pub fn says_yes(&self) -> bool {
        self.keeper.borrow().is_healthy()
    }

    /// Whether a younger process takes the connections that come.
    pub fn relieved(&self) -> bool {
        !self.keeper.borrow().status().accepts_connections
    }

    /// Puts what an operator called for on record, before the call is answered.
    ///
    /// # Errors
    /// Where the file could not be written: it holds in this process alone.
    pub fn record(&self) -> Result<(), String> {
        self.write(true)
    }

    /// Looks, decides and tells, for good.
    pub async fn run(self: Rc<Self>, front: Rc<Front>) {
        loop {
            self.turn(&front);
            tokio::select! {
                () = sleep(Duration::from_micros(SCAN_INTERVAL.as_micros() as u64)) => {}
                () = self.look.notified() => {}
            }
        }
    }

    fn turn(&self, front: &Front) {
        let looked = self.keeper.borrow_mut().scan(now());
        self.take_in(looked, false);
        self.core.expire_cordons();
        let stand = self.keeper.borrow_mut().step(now(), self.term.get(), self.can_serve.get()).clone();
        self.say(&stand);
        // The one that is relieved has hardly anything to send any more, and the other meets all that comes: parts count
        // for the first alone.
        let relieved = matches!(stand.phase, Phase::ServingBesideSuccessor | Phase::Draining);
        self.part(if relieved { stand.budget_parts } else { 1 });
        front.set_accepting(stand.accepts_connections);
        if let Some(idle) = stand.close_idle_after {
            front.drain_sessions(idle);
        }
        if self.keeper.borrow().is_write_due(now()) {
            // Said there; it is tried again in its time.
            let _ = self.write(false);
        }
    }

    /// The file's last word, at the end of the process.
    pub fn leave(&self) {
        let content = self.content();
        if let Err(e) = self.keeper.borrow_mut().write_last(now(), content) {
            warn!("handover: not written: {e}");
        }
    }

    fn take_in(&self, looked: FolderScan, first: bool) {
        for trouble in &looked.folder_errors {
            warn!("handover: the folder: {trouble}");
        }
        for (file, why) in &looked.rejected {
            warn!("handover: {file} refused: {why}");
        }
        for read in looked.files {
            let (pid, generation) = (read.process.pid, read.process.generation);
            if read.phase == Phase::Terminated {
                self.ended.borrow_mut().insert(pid);
            }
            let age = (now() - read.written_at).as_secs_f64();
            let usable = usable_state(now(), self.spans, read);
            let (bans, ids, cold) = (usable.cordons.len(), usable.known_ids.len(), usable.warmup.len());
            let further: u32 = usable.retries.iter().map(|f| f.1).sum();
            self.core.merge_cordons(&usable.cordons, &usable.known_ids);
            let old = if usable.age == FileAge::Fresh { "" } else { ", not of now" };
            let line = format!(
                "handover: adopted from pid {pid} (generation {generation}), {age:.2} s old{old}: {bans} bans, {ids} ids, \
                 {further} further attempts, {cold} cold sends"
            );
            if first {
                info!(pid, generation, bans, "{line}");
            } else {
                debug!(pid, generation, bans, "{line}");
            }
        }
    }

    /// Tells the module among how many processes the manager's parts are shared. More of them at once; fewer only
    /// after the longest window of cold budgets, for what the other sent still counts there.
    fn part(&self, parts: u32) {
        let (told, since) = self.told.get();
        let wait = match (parts.cmp(&told), since) {
            (std::cmp::Ordering::Equal, _) => return self.told.set((told, None)),
            (std::cmp::Ordering::Greater, _) => false,
            (std::cmp::Ordering::Less, None) => return self.told.set((told, Some(now()))),
            (std::cmp::Ordering::Less, Some(since)) => now() - since < self.spans.warmup,
        };
        if !wait {
            self.told.set((parts, None));
            self.core.set_process_count(parts);
        }
    }

    fn say(&self, stand: &PhaseStatus) {
        let at = (stand.phase, stand.budget_parts, stand.is_unacknowledged);
        if self.stand.replace(Some(at)) != Some(at) {
            let (phase, parts, without_room) = at;
            info!(parts, "handover: {phase:?}, 1 of {parts} parts");
            if without_room && phase == Phase::Serving {
                warn!("handover: serves, and others did not make room");
            }
        }
        let others = self.keeper.borrow().live_peers(now());
        let living: BTreeSet<u32> = others.iter().map(|o| o.process.pid).collect();
        let before = self.living.replace(living.clone());
        for pid in before.difference(&living).filter(|pid| !self.ended.borrow().contains(*pid)) {
            let alone = if living.is_empty() { ", alone" } else { "" };
            warn!(pid, "handover: pid {pid} has gone quiet{alone}");
        }
    }

    fn content(&self) -> StateSnapshot {
        let (bans, ids) = self.core.export_cordons(MOST_IDS);
        let tally = WindowCounters::new(self.spans.retry_budget, self.spans.warmup);
        let (ration, cold) = (tally.retry_budget(now()), tally.warmup(now()));
        StateSnapshot {
            cordons: bans,
            known_ids: ids,
            retry_budget: ration,
            warmup: cold,
            last_event: self.core.last_event(),
        }
    }

    fn write(&self, ban: bool) -> Result<(), String> {
        let content = self.content();
        match self.keeper.borrow_mut().write(now(), content) {
            Ok(written) => {
                if written.ids_left_out > 0 {
                    warn!("handover: {} ids left out", written.ids_left_out);
                }
                debug!(
                    bytes = written.bytes,
                    "handover: written, {} bytes, removed {}", written.bytes, written.removed_files
                );
                Ok(())
            }
            Err(e) => {
                if ban {
                    error!("handover: not written: {e}");
                } else {
                    warn!("handover: not written: {e}");
                }
                Err(e.to_string())
            }
        }
    }
}
