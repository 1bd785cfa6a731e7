//! Runs a scenario: starts the stand-ins and the processes, performs the steps when they are due, runs the
//! clients and collects the counts. It ends every process that it started, also when the run fails half way.

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

/// Interval at which due steps, failpoints and requests in flight are checked.
const STEP_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which the logs of starting managers are read.
const LOG_INTERVAL: Duration = Duration::from_millis(25);

/// The program under test.
#[derive(Clone, Debug)]
pub struct Program {
    /// The executable.
    pub path: PathBuf,
    /// Additional arguments of `serve`, the same for all managers.
    pub args: Vec<String>,
    /// Folder for configurations and logs.
    pub dir: PathBuf,
}

/// Where, and until when, clients send requests to a manager.
#[derive(Default)]
struct Availability {
    /// Address at which the manager serves; `None` while it is down or paused.
    address: Option<SocketAddr>,
    /// Instant at which clients stop sending to a manager that got SIGTERM; `None` if it got none.
    until: Option<Instant>,
    /// Time at which the manager last became unavailable: requests that were due before may be lost.
    unavailable_since: Option<Instant>,
}

/// State of a manager's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    NotStarted,
    Starting,
    Up,
    /// The process got SIGTERM at this instant.
    Terminating(Instant),
    Paused,
    /// The process has exited by itself and is restarted at this instant.
    RestartPending(Instant),
    Down,
}

struct Engine {
    id: String,
    run: Option<CountingEngine>,
    /// The address at which each party reaches the engine.
    addresses: Vec<SocketAddr>,
    paths: Vec<TcpPath>,
    /// Phase on the endpoint list: `ready`, `draining` or `gone`.
    phase: &'static str,
    /// Unix time of the engine's last cold start, in milliseconds; 0: the engine started warm.
    since_ms: u128,
}

/// A request that was answered, or given up by its client.
struct CompletedRequest {
    /// Time at which the request was due, since the start of the run.
    due: Duration,
    outcome: RequestOutcome,
    /// Whether the manager was killed or stopped after the request was due.
    manager_failed: bool,
    latency: Duration,
}

/// The state of a run.
struct Harness<'a> {
    scenario: &'a Scenario,
    program: &'a Program,
    start: Instant,
    faults: Faults,
    ledger: Ledger,
    engines: Vec<Engine>,
    lists: Vec<ListService>,
    /// Paths to the list services, which close when they are dropped.
    list_paths: Vec<TcpPath>,
    /// The address at which each party reaches its list service.
    feeds: Vec<SocketAddr>,
    /// Revision of the endpoint list.
    revision: u64,
    fleet: Fleet,
    process_states: Vec<ProcessState>,
    availability: Vec<Arc<Mutex<Availability>>>,
    became_ready: Vec<bool>,
    crashed: usize,
    settings: String,
    /// The fault proxy between the managers' membership ports.
    membership_net: UdpNet,
    /// The addresses in the fault proxy at which managers reach each other's membership ports.
    membership_addresses: Vec<SocketAddr>,
    /// The addresses on which the managers themselves listen for membership messages, once their logs show
    /// them.
    membership_listeners: Vec<Option<SocketAddr>>,
    views: Vec<Views>,
    completed: Arc<Mutex<Vec<CompletedRequest>>>,
    /// The parties into which the fault proxy divides the managers.
    parties: Vec<String>,
    history: Recorder,
    peers: Peers,
    procs: Vec<Proc>,
    failpoint_faults: FailpointFaults,
    /// Actions that follow failpoint faults, and the times at which they are due.
    pending: Vec<(Instant, Action)>,
    subscribers: Option<Subscribers>,
    /// Routes on which a rule blocks traffic or new connections.
    blocked_routes: BTreeSet<(String, String)>,
    /// Number of calls made so far, by the operation's name.
    ops: BTreeMap<String, u64>,
    /// Number of random draws of managers so far.
    draws: u64,
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

/// Runs a scenario with a program.
///
/// # Errors
/// If the scenario is invalid, a stand-in, a file or a process fails, or the history is incomplete.
pub fn run(scenario: &Scenario, program: &Program) -> Result<Outcome, RunError> {
    scenario.check()?;
    let start_unix_s = unix_ms() as f64 / 1e3;
    let mut harness = Harness::new(scenario, program)?;
    let mut timeline = harness.timeline();
    let clients = harness.start_clients();
    let played = harness.play(&mut timeline);
    clients.iter().for_each(|t| t.abort());
    // Each request ends at most one second after its timeout, so a longer wait is not needed.
    let max_wait = Duration::from_secs_f64(scenario.load.timeout_ms / 1e3) + Duration::from_secs(1);
    let deadline = Instant::now() + max_wait;
    while played.is_ok() && harness.requests_in_flight() > 0 && Instant::now() < deadline {
        harness.observe_processes();
        std::thread::sleep(STEP_INTERVAL);
    }
    let logs = (0..harness.fleet.managers.len()).map(|i| harness.fleet.log(i)).collect();
    let cpu_seconds: Vec<f64> =
        (0..harness.fleet.managers.len()).filter_map(|i| harness.fleet.cpu(i)).collect();
    let mean_cpu_seconds = cpu_seconds.iter().sum::<f64>() / cpu_seconds.len().max(1) as f64;
    // The run is over: later exits do not belong in the history.
    harness.subscribers = None;
    let recorded = harness.history.end();
    harness.fleet.end_all();
    played?;
    recorded?;
    let mut outcome = harness.outcome(logs);
    outcome.check_history(scenario, &program.dir)?;
    outcome.report.cpu_s = mean_cpu_seconds;
    if let Some(watch) = &scenario.watch {
        outcome.fill_watch_figures(scenario, watch, start_unix_s);
    }
    outcome.report.crossing = outcome.crossing(scenario, 0.0, scenario.seconds);
    outcome.report.agreed_s = outcome.seconds_to_agreement(0.0, scenario.seconds).unwrap_or(f64::NAN);
    Ok(outcome)
}

impl Harness<'_> {
    /// Performs the timeline and observes the processes until the end of the run.
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

/// Path of a folder for configurations and logs, under the system's temporary folder and unique to this
/// process.
pub fn scratch(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("sprucelink-cluster-harness-{}-{name}", std::process::id()))
}

/// Removes a folder of [`scratch`]. Errors are ignored, since the folder may not exist.
pub fn clear(dir: &Path) {
    let _ = std::fs::remove_dir_all(dir);
}
