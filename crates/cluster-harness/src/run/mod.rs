//! Carries a scenario out: starts the stand-ins and the processes, does the steps when they are due, lets
//! clients ask, and gathers what was counted. It ends every process it started, also when it fails half way.

mod calls;
mod error;
mod failpoint_faults;
mod figures;
mod load;
mod outcome;
mod partitions;
mod peers;
mod process;
mod setup;
mod steps;
mod supervision;
mod views;

pub use error::RunError;
pub use outcome::{Outcome, Views};
pub use process::NEXT_VERSION_FILE;

use crate::client::RequestOutcome;
use crate::engines::CountingEngine;
use crate::fault_proxy::{Faults, TcpPath, UdpNet};
use crate::history::Recorder;
use crate::ledger::Ledger;
use crate::lists::ListService;
use crate::procs::Fleet;
use crate::scenario::{Action, Scenario};
use crate::subscribers::Subscribers;
use failpoint_faults::FailpointFaults;
use peers::Peers;
use process::Proc;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval at which due steps, failpoints and open requests are checked.
const STEP_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which the logs of starting managers are read.
const LOG_INTERVAL: Duration = Duration::from_millis(25);

/// What to run, besides the scenario.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program.
    pub path: PathBuf,
    /// Further arguments of `serve`.
    pub args: Vec<String>,
    /// Folder for configurations and logs.
    pub dir: PathBuf,
}

/// Whether clients send requests to a manager.
#[derive(Default)]
struct Availability {
    /// Where the manager serves; `None` while it is down or paused.
    address: Option<SocketAddr>,
    /// When clients stop sending to it, after SIGTERM.
    until: Option<Instant>,
    /// When it last became unavailable: requests due before may be lost.
    unavailable_since: Option<Instant>,
}

/// What the rig knows of a manager's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    NotStarted,
    Starting,
    Up,
    /// It got SIGTERM at this instant.
    Terminating(Instant),
    Paused,
    /// It has exited by itself and is restarted at this instant.
    RestartPending(Instant),
    Down,
}

struct Engine {
    id: String,
    run: Option<CountingEngine>,
    /// Where each party reaches it.
    at: Vec<SocketAddr>,
    paths: Vec<TcpPath>,
    phase: &'static str,
    since_ms: u128,
}

/// A completed request.
struct CompletedRequest {
    /// When it was due, since the start of the run.
    due: Duration,
    outcome: RequestOutcome,
    /// Its manager was killed or stopped after the request was due.
    manager_failed: bool,
    latency: Duration,
}

struct Rig<'a> {
    scenario: &'a Scenario,
    program: &'a Program,
    start: Instant,
    faults: Faults,
    ledger: Ledger,
    engines: Vec<Engine>,
    lists: Vec<ListService>,
    /// Paths to the list services, which close when they are dropped.
    list_paths: Vec<TcpPath>,
    feeds: Vec<SocketAddr>,
    revision: u64,
    fleet: Fleet,
    process_states: Vec<ProcessState>,
    availability: Vec<Arc<Mutex<Availability>>>,
    up_once: Vec<bool>,
    crashed: usize,
    settings: String,
    /// Where managers reach each other, and where each listens itself.
    net: UdpNet,
    members: Vec<SocketAddr>,
    real: Vec<Option<SocketAddr>>,
    views: Vec<Views>,
    ended: Arc<Mutex<Vec<CompletedRequest>>>,
    /// The parties into which the fault proxy divides the managers.
    parties: Vec<String>,
    history: Recorder,
    peers: Peers,
    procs: Vec<Proc>,
    failpoint_faults: FailpointFaults,
    /// Actions that follow failpoint faults, and when they are due.
    pending: Vec<(Instant, Action)>,
    subscribers: Option<Subscribers>,
    /// Routes on which a rule lets nothing pass.
    silenced: BTreeSet<(String, String)>,
    /// Calls made so far, by the operation's name.
    ops: BTreeMap<String, u64>,
    /// Random draws of managers so far.
    draws: u64,
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

/// Carries a scenario out with a program.
///
/// # Errors
/// Where a stand-in, a file or a process could not be started.
pub fn run(scenario: &Scenario, program: &Program) -> Result<Outcome, RunError> {
    scenario.check()?;
    let began = unix_ms() as f64 / 1e3;
    let mut rig = Rig::new(scenario, program)?;
    let mut timeline = rig.timeline();
    let load = rig.start_clients();
    let done = rig.play(&mut timeline);
    load.iter().for_each(|t| t.abort());
    // Each request ends within its timeout and a second; do not wait longer.
    let last = Duration::from_secs_f64(scenario.load.timeout_ms / 1e3) + Duration::from_secs(1);
    let until = Instant::now() + last;
    while done.is_ok() && rig.open() > 0 && Instant::now() < until {
        rig.observe_processes();
        std::thread::sleep(STEP_INTERVAL);
    }
    let logs = (0..rig.fleet.managers.len()).map(|i| rig.fleet.log(i)).collect();
    let used: Vec<f64> = (0..rig.fleet.managers.len()).filter_map(|i| rig.fleet.cpu(i)).collect();
    let cpu = used.iter().sum::<f64>() / used.len().max(1) as f64;
    // The run is over: exits from here on do not belong into the history.
    rig.subscribers = None;
    let recorded = rig.history.end();
    rig.fleet.end_all();
    done?;
    recorded?;
    let mut got = rig.outcome(logs);
    got.judge(scenario, &program.dir)?;
    got.report.cpu_s = cpu;
    if let Some(watch) = &scenario.watch {
        got.watched(scenario, watch, began);
    }
    got.report.crossing = got.crossing(scenario, 0.0, scenario.seconds);
    got.report.agreed_s = got.agreed(0.0, scenario.seconds).unwrap_or(f64::NAN);
    Ok(got)
}

impl Rig<'_> {
    fn play(&mut self, timeline: &mut Vec<(Duration, Action)>) -> Result<(), RunError> {
        let end = Duration::from_secs_f64(self.scenario.seconds);
        let mut next_logs = Instant::now();
        let mut next_views = Instant::now();
        while self.start.elapsed() < end {
            while timeline.last().is_some_and(|(at, _)| *at <= self.start.elapsed()) {
                if let Some((_, action)) = timeline.pop() {
                    self.perform(&action)?;
                }
            }
            if Instant::now() >= next_logs {
                next_logs = Instant::now() + LOG_INTERVAL;
                self.observe_processes();
                self.restart_exited()?;
                if self.scenario.membership.is_some() && Instant::now() >= next_views {
                    next_views = Instant::now() + views::POLL_INTERVAL;
                    self.poll_views();
                }
            }
            self.read_logs()?;
            self.perform_pending()?;
            std::thread::sleep(STEP_INTERVAL);
        }
        Ok(())
    }
}

/// A folder of the rig's own for configurations and logs, under the system's folder for such.
pub fn scratch(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("sprucelink-cluster-harness-{}-{name}", std::process::id()))
}

/// Removes a folder of [`scratch`], whatever became of it.
pub fn clear(dir: &Path) {
    let _ = std::fs::remove_dir_all(dir);
}
