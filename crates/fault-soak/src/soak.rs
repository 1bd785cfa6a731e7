//! One run: starts the stand-ins and the processes, lets clients ask while faults come, and judges.

use crate::client::Client;
use crate::clock::wall_ms;
use crate::engine::{Engine, MEAN_WORK};
use crate::feed::{EventLog, Feed, FeedMode};
use crate::judge::{retry_excess, slow_start_bound, Rule, Violation};
use crate::manager::{alarming_lines, Deployment, Manager};
use crate::nemesis::{self, Fault, Plan};
use crate::shim;
use crate::world::World;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Cores of an engine in the settings.
const ENGINE_CORES: f64 = 2.0;
/// The window in which the load of an engine in slow start is bounded.
const SLOW_START_WINDOW: Duration = Duration::from_secs(2);
/// How long slow start lasts.
const SLOW_START: Duration = Duration::from_secs(15);
/// Multiple of its capacity above which an engine in slow start fails.
const FALL_MULTIPLE: f64 = 2.5;
/// Fraction of its capacity that an engine starts with.
const START_CAPACITY: f64 = 0.3;
/// Retries that a manager may make in each window in any case.
const FREE_RETRIES: f64 = 3.0;
/// Further retries allowed for each request of the window.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Length of the retry budget's window.
const RETRY_WINDOW: Duration = Duration::from_secs(5);
/// An engine that drains is gone after this.
const DRAIN_LASTS: Duration = Duration::from_secs(2);
/// The old feed closes this long after SIGHUP.
const OLD_FEED_LASTS: Duration = Duration::from_millis(1_500);
/// Between two looks at what is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// After the last request all answers come within this.
const LAST_ANSWERS: Duration = Duration::from_secs(5);

/// What to run.
#[derive(Clone, Debug)]
pub struct SoakConfig {
    /// The program.
    pub program: PathBuf,
    /// Folder of the run's own, which is made and left.
    pub folder: PathBuf,
    /// Managers and engines.
    pub managers: usize,
    /// Engines.
    pub engines: usize,
    /// Clients a second, over all managers.
    pub rate: f64,
    /// How long clients come.
    pub duration: Duration,
    /// The seed of all draws.
    pub seed: u64,
    /// Further arguments of the program's `serve`.
    pub arguments: Vec<String>,
}

/// What a run gave.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Requests that were sent, and attempts that engines saw.
    pub requests: usize,
    /// Attempts that engines saw.
    pub attempts: usize,
    /// What broke the rules.
    pub violations: Vec<Violation>,
    /// Faults that were played.
    pub faults: Vec<(Duration, Fault)>,
    /// System calls that failed.
    pub syscalls: shim::SyscallFaults,
    /// The longest delay of this process itself.
    pub longest_lag: Duration,
}

/// Something that follows a fault.
enum FollowUp {
    FeedMode { manager: usize, side: usize, mode: FeedMode },
    EngineGone { id: String },
    Heal { id: String },
}

struct Soak {
    config: SoakConfig,
    world: Arc<World>,
    log: Arc<EventLog>,
    deployment: Deployment,
    managers: Vec<Manager>,
    /// By manager: two feeds, and which of them its configuration names.
    feeds: Vec<[Feed; 2]>,
    feed_sides: Vec<usize>,
    engines: Vec<Engine>,
    next_engine: usize,
    later: Vec<(Instant, FollowUp)>,
    /// Managers that are started again once they have ended.
    ending: Vec<usize>,
    burst_until: Instant,
    rng: ChaCha8Rng,
    longest_lag: Duration,
}

/// Carries out one run.
///
/// # Errors
/// A stand-in, a file or a process that cannot be started.
pub async fn run(config: SoakConfig) -> io::Result<SoakReport> {
    let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
    let plan = nemesis::draw(&mut rng, config.duration);
    let mut soak = Soak::new(config, &plan, rng).await?;
    let lag = tokio::spawn({
        let world = Arc::clone(&soak.world);
        async move { world.measure_lag().await }
    });
    soak.play(&plan).await?;
    lag.abort();
    soak.finish(plan)
}

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
  "fallMultiple":{FALL_MULTIPLE},"overloadFor":2.0,"startCapacity":{START_CAPACITY},"cold":15.0}}}}"#
    )
}

/// Requests of mean work that an engine in slow start may get in its window.
fn slow_start_requests() -> f64 {
    // What it can do at the end of its first window.
    let share =
        START_CAPACITY + (1.0 - START_CAPACITY) * SLOW_START_WINDOW.as_secs_f64() / SLOW_START.as_secs_f64();
    let work = FALL_MULTIPLE * share * ENGINE_CORES * SLOW_START_WINDOW.as_secs_f64();
    slow_start_bound(work / MEAN_WORK.as_secs_f64())
}

fn member(id: &str, address: std::net::SocketAddr, phase: &str, up_since_ms: i64) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"hall-a","flavor":"std","cell":0,"phase":"{phase}","size":2,"up_since_ms":{up_since_ms}}}"#
    )
}

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
            feed_sides: Vec::new(),
            engines: Vec::new(),
            next_engine: 0,
            later: Vec::new(),
            ending: Vec::new(),
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
            soak.feed_sides.push(0);
            soak.managers.push(Manager::new(number, &soak.world)?);
            soak.start_manager(number)?;
        }
        Ok(soak)
    }

    async fn start_engine(&mut self, comes_up_after: Duration) -> io::Result<Engine> {
        self.next_engine += 1;
        let id = format!("s-{:06x}", self.next_engine);
        let seed = self.config.seed.wrapping_mul(31).wrapping_add(self.next_engine as u64 * 1_000_000);
        Engine::start(&id, seed, &self.world, comes_up_after).await
    }

    fn start_manager(&mut self, number: usize) -> io::Result<()> {
        let events = self.log.all();
        let feed = self.feeds[number][self.feed_sides[number]].address;
        let manager = &mut self.managers[number];
        manager.write_config(&self.deployment, feed, &events)?;
        manager.start(&self.deployment, events.len() as u64)
    }

    async fn play(&mut self, plan: &Plan) -> io::Result<()> {
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
                next_client += Duration::from_secs_f64(-(1.0 - self.rng.gen::<f64>()).ln() / rate);
                self.send_client();
            }
            self.follow_up()?;
            sleep(LOOK_INTERVAL).await;
        }
        let last = Instant::now() + LAST_ANSWERS;
        while Instant::now() < last {
            self.follow_up()?;
            sleep(LOOK_INTERVAL).await;
        }
        self.end_all().await
    }

    fn send_client(&mut self) {
        let open: Vec<&Manager> = self.managers.iter().filter(|m| m.endpoint.takes_connections()).collect();
        let Some(manager) = open.choose(&mut self.rng) else { return };
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
                    self.ending.push(number);
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
                self.draw_engines(engines, |engine, _| engine.behave(|b| b.hangs_until = now + duration));
            }
            Fault::Reset { engines } => self.draw_engines(engines, |engine, _| engine.reset_connections()),
            Fault::Fail { engines, duration } => self.draw_engines(engines, |engine, later| {
                engine.behave(|b| b.failing = 333);
                later.push((now + duration, FollowUp::Heal { id: engine.id.clone() }));
            }),
            Fault::Burst { duration } => self.burst_until = now + duration,
        }
        Ok(())
    }

    /// Managers that serve, drawn.
    fn draw_serving(&mut self, count: usize) -> Vec<usize> {
        let mut serving: Vec<usize> =
            (0..self.managers.len()).filter(|n| self.managers[*n].is_serving()).collect();
        serving.shuffle(&mut self.rng);
        // A few always serve.
        serving.truncate(count.min(serving.len().saturating_sub(2)));
        serving
    }

    fn draw_engines(&mut self, count: usize, mut hit: impl FnMut(&Engine, &mut Vec<(Instant, FollowUp)>)) {
        let drawn: Vec<usize> =
            rand::seq::index::sample(&mut self.rng, self.engines.len(), count.min(self.engines.len()))
                .into_vec();
        for index in drawn {
            hit(&self.engines[index], &mut self.later);
        }
    }

    /// All managers get a configuration whose feed is elsewhere.
    fn reload(&mut self) -> io::Result<()> {
        let events = self.log.all();
        for number in 0..self.managers.len() {
            if !self.managers[number].is_serving() {
                continue;
            }
            let old = self.feed_sides[number];
            let side = 1 - old;
            self.feed_sides[number] = side;
            self.feeds[number][side].set_mode(FeedMode::Serve);
            let feed = self.feeds[number][side].address;
            self.managers[number].write_config(&self.deployment, feed, &events)?;
            self.managers[number].reload();
            let moved = FollowUp::FeedMode { manager: number, side: old, mode: FeedMode::Moved };
            self.later.push((Instant::now() + OLD_FEED_LASTS, moved));
        }
        Ok(())
    }

    fn change_feeds(&mut self, mode: FeedMode, duration: Duration, share: f64) {
        for number in 0..self.managers.len() {
            if self.rng.gen_bool(share) {
                let side = self.feed_sides[number];
                self.feeds[number][side].set_mode(mode);
                let heals = FollowUp::FeedMode { manager: number, side, mode: FeedMode::Serve };
                self.later.push((Instant::now() + duration, heals));
            }
        }
    }

    /// An engine drains, and another one starts cold.
    async fn replace_engine(&mut self) -> io::Result<()> {
        if self.engines.len() <= self.config.engines / 2 {
            return Ok(());
        }
        let comes_up_after = match self.rng.gen_bool(0.3) {
            true => Duration::from_millis(self.rng.gen_range(300..1_500)),
            false => Duration::ZERO,
        };
        let fresh = self.start_engine(comes_up_after).await?;
        let old = self.engines.choose(&mut self.rng).map(|engine| (engine.id.clone(), engine.address));
        let Some((id, address)) = old else { return Ok(()) };
        let since = wall_ms(&self.world.steps);
        self.world.engine_started(
            &fresh.id,
            slow_start_requests(),
            SLOW_START_WINDOW,
            Instant::now() + SLOW_START_WINDOW,
        );
        let entry = member(&fresh.id, fresh.address, "ready", since);
        let drained = member(&id, address, "draining", 0);
        let number = self.log.push(|number| event(number, false, &[entry, drained]));
        self.world.engine_listed(&id, false, number);
        self.engines.push(fresh);
        self.later.push((Instant::now() + DRAIN_LASTS, FollowUp::EngineGone { id }));
        Ok(())
    }

    /// Does what follows from faults, and looks after processes that have ended.
    fn follow_up(&mut self) -> io::Result<()> {
        self.longest_lag = self.longest_lag.max(self.world.lag());
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.later).into_iter().partition(|(at, _)| *at <= now);
        self.later = later;
        let due: Vec<(Instant, FollowUp)> = due;
        for (_, what) in due {
            match what {
                // A feed that its manager's configuration names again meanwhile stays.
                FollowUp::FeedMode { manager, side, mode: FeedMode::Moved }
                    if self.feed_sides[manager] == side => {}
                FollowUp::FeedMode { manager, side, mode: FeedMode::Serve }
                    if self.feed_sides[manager] != side => {}
                FollowUp::FeedMode { manager, side, mode } => self.feeds[manager][side].set_mode(mode),
                FollowUp::EngineGone { id } => self.remove_engine(&id),
                FollowUp::Heal { id } => {
                    if let Some(engine) = self.engines.iter().find(|engine| engine.id == id) {
                        engine.behave(|behaviour| behaviour.failing = 5);
                    }
                }
            }
        }
        for number in 0..self.managers.len() {
            let is_expected = self.ending.contains(&number);
            if self.managers[number].has_ended() && is_expected {
                self.ending.retain(|other| *other != number);
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

    /// Ends every process in order.
    async fn end_all(&mut self) -> io::Result<()> {
        for manager in self.managers.iter().filter(|manager| manager.is_serving()) {
            manager.terminate();
        }
        let until = Instant::now() + Duration::from_secs(6);
        let mut running: Vec<usize> = (0..self.managers.len()).collect();
        while Instant::now() < until && !running.is_empty() {
            running.retain(|number| !self.managers[*number].has_ended());
            sleep(LOOK_INTERVAL).await;
        }
        Ok(())
    }

    fn finish(self, plan: Plan) -> io::Result<SoakReport> {
        self.world.check_overlaps();
        for (manager, requests, retries) in self.world.retry_times() {
            if let Some(excess) =
                retry_excess(&requests, &retries, FREE_RETRIES, RETRIES_PER_REQUEST, RETRY_WINDOW)
            {
                self.world.violate(Rule::RetryBudget, format!("manager {manager}: {excess:.1} too many"));
            }
        }
        for manager in &self.managers {
            for line in alarming_lines(&manager.log_path(&self.deployment))? {
                self.world
                    .violate(Rule::OwnInvariant, format!("manager {}: {line}", manager.endpoint.number));
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
