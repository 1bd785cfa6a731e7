//! One run: starts the stand-ins and the processes, runs clients while faults are injected, and checks the
//! rules.

use crate::client::Client;
use crate::clock::wall_ms;
use crate::engine::{Engine, MEAN_WORK};
use crate::feed::{EventLog, Feed, FeedMode};
use crate::judge::{retry_excess, slow_start_bound, Rule, Violation};
use crate::manager::{failure_lines, Deployment, Manager};
use crate::nemesis::{self, Fault, Plan};
use crate::shim;
use crate::world::World;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_float_math::ln;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Cores of each engine, as the settings state them.
const ENGINE_CORES: f64 = 2.0;
/// Length of the window in which the number of requests to an engine in slow start is limited.
const SLOW_START_WINDOW: Duration = Duration::from_secs(2);
/// Duration of an engine's slow start, `cold` in the settings.
const SLOW_START: Duration = Duration::from_secs(15);
/// Multiple of its capacity above which an engine in slow start fails.
const OVERLOAD_FAILURE_MULTIPLE: f64 = 2.5;
/// Fraction of its capacity that an engine starts with.
const START_CAPACITY: f64 = 0.3;
/// Retries that a manager may make in each window without any request.
const FREE_RETRIES: f64 = 3.0;
/// Further retries that a manager may make per request of the window.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Length of the retry budget's window.
const RETRY_WINDOW: Duration = Duration::from_secs(5);
/// Time between the list events by which an engine drains and is gone.
const DRAIN_DURATION: Duration = Duration::from_secs(2);
/// Time between SIGHUP and the close of the old feed.
const OLD_FEED_CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// Interval between checks for due faults, clients and follow-ups.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which the run continues after its load, so that all answers arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct SoakConfig {
    /// Path of the program under test.
    pub program: PathBuf,
    /// Folder of the run, which is created and not removed.
    pub folder: PathBuf,
    /// Number of managers.
    pub managers: usize,
    /// Number of stand-in engines.
    pub engines: usize,
    /// New clients per second, over all managers.
    pub rate: f64,
    /// Time during which clients are started and faults are injected.
    pub duration: Duration,
    /// Seed of the fault schedule and of the stand-ins' random choices.
    pub seed: u64,
    /// Further arguments of the program's `serve`.
    pub arguments: Vec<String>,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of attempts that engines received.
    pub attempts: usize,
    /// Violations of the rules, in the order in which they were recorded.
    pub violations: Vec<Violation>,
    /// Planned faults with the times at which they are injected, since the start of the load.
    pub faults: Vec<(Duration, Fault)>,
    /// System call faults of the processes under test.
    pub syscalls: shim::SyscallFaults,
    /// Longest scheduling delay of the test process during the run.
    pub longest_lag: Duration,
}

/// Action due some time after a fault.
enum FollowUp {
    FeedMode { manager: usize, feed_index: usize, mode: FeedMode },
    EngineGone { id: String },
    RestoreEngine { id: String },
}

struct Soak {
    config: SoakConfig,
    world: Arc<World>,
    log: Arc<EventLog>,
    deployment: Deployment,
    managers: Vec<Manager>,
    /// Two feeds of each manager.
    feeds: Vec<[Feed; 2]>,
    /// For each manager, the index (0 or 1) of the one of its two feeds that its configuration names.
    active_feeds: Vec<usize>,
    engines: Vec<Engine>,
    started_engines: usize,
    /// Pending follow-ups with their due times.
    follow_ups: Vec<(Instant, FollowUp)>,
    /// Managers that got SIGTERM and are restarted when their processes have ended.
    terminating: Vec<usize>,
    burst_until: Instant,
    rng: ChaCha8Rng,
    longest_lag: Duration,
}

/// Carries out one run and checks its rules. Violations are part of the report, not errors.
///
/// # Errors
/// Fails if a stand-in or process cannot be started, or a file cannot be written or read.
pub async fn run(config: SoakConfig) -> io::Result<SoakReport> {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
    let plan = nemesis::draw(&mut rng, config.duration);
    let mut soak = Soak::new(config, &plan, rng).await?;
    let lag_task = tokio::spawn({
        let world = Arc::clone(&soak.world);
        async move { world.measure_lag().await }
    });
    soak.run_plan(&plan).await?;
    lag_task.abort();
    soak.finish(plan)
}

/// Object under the key `settings` of the managers' configurations, as JSON.
fn settings(managers: usize) -> String {
    format!(
        r#"{{"kindOfService":"queries","zones":["hall-a","hall-b"],"shapes":["std"],"siblings":{managers},
 "profiles":[
  {{"name":"lane-rate","value":1.0,"aim":1.0,"deadline":4.0,"effect":"read_like","dedupScope":"all"}},
  {{"name":"tariff-load","value":5.0,"aim":1.0,"deadline":4.0,"effect":"idempotency_key","dedupScope":"all","repeatWindow":3.0}},
  {{"name":"fee-post","value":3.0,"aim":1.0,"deadline":4.0,"effect":"write","dedupScope":"all"}}],
 "customers":[{{"name":"sud","portion":1.0,"quotaPerS":100000.0}}],
 "specifics":{{"classThreads":[1,1,1],"loads":[false,false,false],"sizeCores":[{ENGINE_CORES}],"ramOfKindMb":[65536.0],
  "takesGrants":true,"priorities":true,"tellsCost":true,"memoryShort":"swap","progressPace":0.0}},
 "limits":{{"cancel":true,"maxAttempts":6,"maxRetryAfter":2.0,"maxStreams":32,"connIdle":4.0,"connectTimeout":2.0}},
 "loadReport":{{"via":"piggyback","fields":["rif","q"]}},
 "invariants":{{"budgetShare":{RETRIES_PER_REQUEST},"freeResends":{FREE_RETRIES},"ratioSpan":5.0,"drainGrace":0.5,
  "fallMultiple":{OVERLOAD_FAILURE_MULTIPLE},"overloadFor":2.0,"startCapacity":{START_CAPACITY},"cold":15.0}}}}"#
    )
}

/// Maximum number of attempts that an engine in slow start may get within a window: the limit for requests of
/// mean work, with the tolerance of [`slow_start_bound`].
fn slow_start_requests() -> f64 {
    // Fraction of its capacity that the engine has at the end of its first window.
    let fraction =
        START_CAPACITY + (1.0 - START_CAPACITY) * SLOW_START_WINDOW.as_secs_f64() / SLOW_START.as_secs_f64();
    let work = OVERLOAD_FAILURE_MULTIPLE * fraction * ENGINE_CORES * SLOW_START_WINDOW.as_secs_f64();
    slow_start_bound(work / MEAN_WORK.as_secs_f64())
}

/// An engine's entry in a list event.
fn member(id: &str, address: std::net::SocketAddr, phase: &str, up_since_ms: i64) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"hall-a","flavor":"std","cell":0,"phase":"{phase}","size":2,"up_since_ms":{up_since_ms}}}"#
    )
}

/// Data of a list event, whose number is also the list's revision.
fn event(number: u64, is_complete: bool, members: &[String]) -> String {
    let members = members.join(",");
    format!(
        r#"{{"n":{number},"members":{{"revision":{number},"complete":{is_complete},"members":[{members}]}}}}"#
    )
}

impl Soak {
    async fn new(config: SoakConfig, plan: &Plan, rng: ChaCha8Rng) -> io::Result<Soak> {
        std::fs::create_dir_all(&config.folder)?;
        let library = shim::build(&config.folder)?;
        let world = Arc::new(World::new(plan.syscalls.steps.clone()));
        let log = EventLog::new(&world);
        let deployment = Deployment {
            program: config.program.clone(),
            library,
            folder: config.folder.clone(),
            settings: settings(config.managers),
            faults: plan.syscalls.clone(),
            arguments: config.arguments.clone(),
        };
        let mut soak = Soak {
            world,
            log,
            deployment,
            managers: Vec::new(),
            feeds: Vec::new(),
            active_feeds: Vec::new(),
            engines: Vec::new(),
            started_engines: 0,
            follow_ups: Vec::new(),
            terminating: Vec::new(),
            burst_until: Instant::now(),
            rng,
            longest_lag: Duration::ZERO,
            config,
        };
        let mut members = Vec::new();
        for _ in 0..soak.config.engines {
            let engine = soak.start_engine(Duration::ZERO).await?;
            members.push(member(&engine.id, engine.address, "ready", 0));
            soak.engines.push(engine);
        }
        soak.log.push(|number| event(number, true, &members));
        for number in 0..soak.config.managers {
            let feeds = [Feed::start(number, &soak.log).await?, Feed::start(number, &soak.log).await?];
            feeds[1].set_mode(FeedMode::Moved);
            soak.feeds.push(feeds);
            soak.active_feeds.push(0);
            soak.managers.push(Manager::new(number, &soak.world)?);
            soak.start_manager(number)?;
        }
        Ok(soak)
    }

    async fn start_engine(&mut self, accept_delay: Duration) -> io::Result<Engine> {
        self.started_engines += 1;
        let id = format!("s-{:06x}", self.started_engines);
        let seed = self.config.seed.wrapping_mul(31).wrapping_add(self.started_engines as u64 * 1_000_000);
        Engine::start(&id, seed, &self.world, accept_delay).await
    }

    fn start_manager(&mut self, number: usize) -> io::Result<()> {
        let events = self.log.all();
        let feed = self.feeds[number][self.active_feeds[number]].address;
        let manager = &mut self.managers[number];
        manager.write_config(&self.deployment, feed, &events)?;
        manager.start(&self.deployment, events.len() as u64)
    }

    /// Starts clients and injects faults, then waits for the last answers and ends all processes.
    async fn run_plan(&mut self, plan: &Plan) -> io::Result<()> {
        let start = Instant::now();
        let mut next_fault = 0;
        let mut next_client = start;
        while start.elapsed() < self.config.duration {
            while plan.faults.get(next_fault).is_some_and(|(at, _)| *at <= start.elapsed()) {
                self.inject(plan.faults[next_fault].1).await?;
                next_fault += 1;
            }
            while next_client <= Instant::now() {
                let rate = self.config.rate * if Instant::now() < self.burst_until { 3.0 } else { 1.0 };
                next_client += Duration::from_secs_f64(-ln(1.0 - self.rng.gen::<f64>()) / rate);
                self.start_client();
            }
            self.follow_up()?;
            sleep(POLL_INTERVAL).await;
        }
        let end = Instant::now() + ANSWER_TIMEOUT;
        while Instant::now() < end {
            self.follow_up()?;
            sleep(POLL_INTERVAL).await;
        }
        self.end_all().await
    }

    /// Starts a client of a randomly drawn manager among those that accept connections.
    fn start_client(&mut self) {
        let accepting: Vec<&Manager> =
            self.managers.iter().filter(|m| m.endpoint.takes_connections()).collect();
        let Some(manager) = accepting.choose(&mut self.rng) else { return };
        let endpoint = Arc::clone(&manager.endpoint);
        let rng = ChaCha8Rng::seed_from_u64(self.rng.gen());
        tokio::spawn(Client::new(&self.world, &endpoint, rng).run());
    }

    async fn inject(&mut self, fault: Fault) -> io::Result<()> {
        let now = Instant::now();
        match fault {
            Fault::Terminate { managers } => {
                for number in self.draw_serving(managers) {
                    self.managers[number].terminate();
                    self.terminating.push(number);
                }
            }
            Fault::Kill { managers } => {
                for number in self.draw_serving(managers) {
                    self.managers[number].kill();
                    self.start_manager(number)?;
                }
            }
            Fault::Reload => self.reload()?,
            Fault::SilentFeeds { duration } => self.change_feeds(FeedMode::Silent, duration, 0.5),
            Fault::FeedsDown { duration } => self.change_feeds(FeedMode::Down, duration, 1.0),
            Fault::Replace { engines } => {
                for _ in 0..engines {
                    self.replace_engine().await?;
                }
            }
            Fault::Hang { engines, duration } => {
                self.draw_engines(engines, |engine, _| {
                    engine.change_behaviour(|b| b.hangs_until = now + duration)
                });
            }
            Fault::Reset { engines } => self.draw_engines(engines, |engine, _| engine.reset_connections()),
            Fault::Fail { engines, duration } => self.draw_engines(engines, |engine, follow_ups| {
                engine.change_behaviour(|b| b.failed_per_mille = 333);
                follow_ups.push((now + duration, FollowUp::RestoreEngine { id: engine.id.clone() }));
            }),
            Fault::Burst { duration } => self.burst_until = now + duration,
        }
        Ok(())
    }

    /// Draws up to `count` managers that serve.
    fn draw_serving(&mut self, count: usize) -> Vec<usize> {
        let mut serving: Vec<usize> =
            (0..self.managers.len()).filter(|n| self.managers[*n].is_serving()).collect();
        serving.shuffle(&mut self.rng);
        // At least two managers continue to serve.
        serving.truncate(count.min(serving.len().saturating_sub(2)));
        serving
    }

    /// Draws up to `count` engines and applies a fault to each.
    fn draw_engines(&mut self, count: usize, mut apply: impl FnMut(&Engine, &mut Vec<(Instant, FollowUp)>)) {
        let drawn: Vec<usize> =
            rand::seq::index::sample(&mut self.rng, self.engines.len(), count.min(self.engines.len()))
                .into_vec();
        for index in drawn {
            apply(&self.engines[index], &mut self.follow_ups);
        }
    }

    /// Gives each serving manager a configuration that names the other one of its two feeds, and sends
    /// SIGHUP.
    fn reload(&mut self) -> io::Result<()> {
        let events = self.log.all();
        for number in 0..self.managers.len() {
            if !self.managers[number].is_serving() {
                continue;
            }
            let old = self.active_feeds[number];
            let index = 1 - old;
            self.active_feeds[number] = index;
            self.feeds[number][index].set_mode(FeedMode::Serve);
            let feed = self.feeds[number][index].address;
            self.managers[number].write_config(&self.deployment, feed, &events)?;
            self.managers[number].reload();
            let moved = FollowUp::FeedMode { manager: number, feed_index: old, mode: FeedMode::Moved };
            self.follow_ups.push((Instant::now() + OLD_FEED_CLOSE_DELAY, moved));
        }
        Ok(())
    }

    /// Changes the mode of the active feed for `duration`, for each manager with probability `fraction`.
    fn change_feeds(&mut self, mode: FeedMode, duration: Duration, fraction: f64) {
        for number in 0..self.managers.len() {
            if self.rng.gen_bool(fraction) {
                let feed_index = self.active_feeds[number];
                self.feeds[number][feed_index].set_mode(mode);
                let restore = FollowUp::FeedMode { manager: number, feed_index, mode: FeedMode::Serve };
                self.follow_ups.push((Instant::now() + duration, restore));
            }
        }
    }

    /// Lists a randomly drawn engine as draining and starts another one, which is cold.
    async fn replace_engine(&mut self) -> io::Result<()> {
        if self.engines.len() <= self.config.engines / 2 {
            return Ok(());
        }
        let accept_delay = match self.rng.gen_bool(0.3) {
            true => Duration::from_millis(self.rng.gen_range(300..1_500)),
            false => Duration::ZERO,
        };
        let new = self.start_engine(accept_delay).await?;
        let old = self.engines.choose(&mut self.rng).map(|engine| (engine.id.clone(), engine.address));
        let Some((id, address)) = old else { return Ok(()) };
        let up_since_ms = wall_ms(&self.world.steps);
        self.world.engine_started(
            &new.id,
            slow_start_requests(),
            SLOW_START_WINDOW,
            Instant::now() + SLOW_START_WINDOW,
        );
        let entry = member(&new.id, new.address, "ready", up_since_ms);
        let drained = member(&id, address, "draining", 0);
        let number = self.log.push(|number| event(number, false, &[entry, drained]));
        self.world.engine_listed(&id, false, number);
        self.engines.push(new);
        self.follow_ups.push((Instant::now() + DRAIN_DURATION, FollowUp::EngineGone { id }));
        Ok(())
    }

    /// Carries out due follow-ups, and restarts processes that have ended after SIGTERM.
    fn follow_up(&mut self) -> io::Result<()> {
        self.longest_lag = self.longest_lag.max(self.world.lag());
        let now = Instant::now();
        let (due, pending) = std::mem::take(&mut self.follow_ups).into_iter().partition(|(at, _)| *at <= now);
        self.follow_ups = pending;
        let due: Vec<(Instant, FollowUp)> = due;
        for (_, follow_up) in due {
            match follow_up {
                // A feed stays open if its manager's configuration has named it again since.
                FollowUp::FeedMode { manager, feed_index, mode: FeedMode::Moved }
                    if self.active_feeds[manager] == feed_index => {}
                FollowUp::FeedMode { manager, feed_index, mode: FeedMode::Serve }
                    if self.active_feeds[manager] != feed_index => {}
                FollowUp::FeedMode { manager, feed_index, mode } => {
                    self.feeds[manager][feed_index].set_mode(mode);
                }
                FollowUp::EngineGone { id } => self.remove_engine(&id),
                FollowUp::RestoreEngine { id } => {
                    if let Some(engine) = self.engines.iter().find(|engine| engine.id == id) {
                        engine.change_behaviour(|behaviour| behaviour.failed_per_mille = 5);
                    }
                }
            }
        }
        for number in 0..self.managers.len() {
            let is_expected = self.terminating.contains(&number);
            if self.managers[number].has_ended() && is_expected {
                self.terminating.retain(|other| *other != number);
                self.start_manager(number)?;
            }
        }
        Ok(())
    }

    fn remove_engine(&mut self, id: &str) {
        let Some(index) = self.engines.iter().position(|engine| engine.id == id) else { return };
        let engine = self.engines.swap_remove(index);
        let entry = member(&engine.id, engine.address, "gone", 0);
        self.log.push(|number| event(number, false, &[entry]));
        engine.stop();
    }

    /// Sends SIGTERM to every serving process and waits until all have ended.
    async fn end_all(&mut self) -> io::Result<()> {
        for manager in self.managers.iter().filter(|manager| manager.is_serving()) {
            manager.terminate();
        }
        let end = Instant::now() + Duration::from_secs(6);
        let mut running: Vec<usize> = (0..self.managers.len()).collect();
        while Instant::now() < end && !running.is_empty() {
            running.retain(|number| !self.managers[*number].has_ended());
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Checks the rules that can be checked only after the run, and creates the report.
    fn finish(self, plan: Plan) -> io::Result<SoakReport> {
        self.world.check_overlaps();
        for (manager, requests, retries) in self.world.retry_times() {
            if let Some(excess) =
                retry_excess(&requests, &retries, FREE_RETRIES, RETRIES_PER_REQUEST, RETRY_WINDOW)
            {
                self.world.report_violation(
                    Rule::RetryBudget,
                    format!("manager {manager}: {excess:.1} retries above the budget"),
                );
            }
        }
        for manager in &self.managers {
            for line in failure_lines(&manager.log_path(&self.deployment))? {
                self.world.report_violation(
                    Rule::OwnInvariant,
                    format!("manager {}: {line}", manager.endpoint.number),
                );
            }
        }
        let (requests, attempts) = self.world.totals();
        Ok(SoakReport {
            requests,
            attempts,
            violations: self.world.violations(),
            faults: plan.faults,
            syscalls: plan.syscalls,
            longest_lag: self.longest_lag,
        })
    }
}
