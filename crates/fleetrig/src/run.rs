//! Carries a scenario out: starts the stand-ins and the processes, does the steps when they are due, lets
//! clients ask, and gathers what was counted. It ends every process it started, also when it fails half way.

use crate::client::{self, Ask, Became};
use crate::counted::Counted;
use crate::engines::{CountingEngine, Spec};
use crate::ledger::{request_id, Ledger, Sent};
use crate::lists::{ListService, Mood};
use crate::middle::{self, Faults, TcpPath, UdpNet};
use crate::procs::{self, Fleet, Row};
use crate::report::{Outcomes, Report, BUCKET};
use crate::runtime;
use crate::scenario::{Act, Engines, Lists, Part, Scenario, Watch, GROUPS, HALLS};
use hdrhistogram::Histogram;
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sprucelink_membership::codec::{Member, State};
use sprucelink_membership::terms::Settings as Membership;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::sleep_until;

/// Between two looks at what is due.
const LOOK: Duration = Duration::from_millis(5);
/// Between two looks at the logs of managers that are coming up.
const LOOK_LOGS: Duration = Duration::from_millis(25);
/// A manager that is to end by SIGTERM gets no new requests from this long after it on: the platform's new
/// connections go on for 0.2 to 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(300);
/// One that has not ended so long after SIGTERM is killed: the longest deadline of the rig's settings and more.
const LONGEST_END: Duration = Duration::from_secs(30);
/// Between two rounds of asking managers for their views, how many ask at once, and rounds kept at most.
const LOOK_VIEWS: Duration = Duration::from_millis(250);
const ASKERS: usize = 8;
const MOST_VIEWS: usize = 10_000;
/// How long an engine is cold, in seconds: the settings' own. How much slower a slow one is.
const COLD_FOR: f64 = 15.0;
const SLOW: f64 = 10.0;
/// Managers that a client of one that is down tries at most.
const FOLLOWED: usize = 8;
/// Managers that all others know as seeds.
const SEEDS: usize = 3;
/// Requests of one manager that are open at once at most; more are not asked.
const MOST_OPEN: usize = 2_000;

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

/// What a run gives.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The figures.
    pub report: Report,
    /// Requests over time.
    pub requests: Outcomes,
    /// Calls of the list service over time.
    pub calls: Vec<u32>,
    /// Connections to engines over time.
    pub dials: Vec<u32>,
    /// Logs of each manager's last start.
    pub logs: Vec<String>,
    /// Every attempt that reached an engine, in order.
    pub sends: Vec<Sent>,
    /// How far the managers' views of the fleet agreed, over time; empty where they keep none.
    pub views: Vec<Views>,
}

/// The managers' views of the fleet at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Views {
    /// Seconds after the start.
    pub at: f64,
    /// Managers that run and answered.
    pub asked: usize,
    /// Of them, so many hold just those that run.
    pub right: usize,
    /// Names that some hold although they do not run, and the other way round, over all views.
    pub wrong: usize,
    /// Different views.
    pub different: usize,
}

impl Outcome {
    /// Share of the attempts that left from one time up to another, in seconds, which crossed zones; 0 where managers
    /// are told none.
    pub fn crossing(&self, scenario: &Scenario, from: f64, to: f64) -> f64 {
        let within = |s: &&Sent| (from..to).contains(&s.at.as_secs_f64());
        let all: Vec<&Sent> = self.sends.iter().filter(within).collect();
        if !scenario.told_zone || all.is_empty() {
            return 0.0;
        }
        let home =
            |s: &Sent| scenario.group_of(usize::from(s.manager)) == usize::from(s.engine) % scenario.zones;
        all.iter().filter(|s| !home(s)).count() as f64 / all.len() as f64
    }

    /// Fills the table's figures on the zone that a run is about; `began`: the run's start, in Unix seconds.
    fn watched(&mut self, scenario: &Scenario, w: &Watch, began: f64) {
        let zone = HALLS.iter().position(|h| *h == w.zone).unwrap_or(0);
        let share = |(there, all): (usize, usize)| there as f64 / all.max(1) as f64;
        let end = scenario.seconds;
        let lost = format!("failover: zone {} lost", w.zone);
        let time =
            |l: &str| l.split(' ').next().and_then(|t| t.parse::<f64>().ok()).map(|t| t - began - w.from);
        let first =
            |log: &String| log.lines().filter(|l| l.contains(&lost)).filter_map(time).find(|t| *t >= 0.0);
        let mut said: Vec<f64> = self.logs.iter().filter_map(first).collect();
        said.sort_by(f64::total_cmp);
        let at = |q: f64| said.get(((said.len() as f64 * q).ceil() as usize).saturating_sub(1)).copied();
        let r = &mut Report::default();
        std::mem::swap(r, &mut self.report);
        r.crossed_before = self.crossing(scenario, 1.0, w.from);
        r.left_s = self.left(scenario, zone, w.from, w.to).unwrap_or(f64::NAN);
        r.served_away = self.requests.served_share(w.from, w.to);
        r.served_back = self.requests.served_share(w.to, (w.to + 10.0).min(end));
        r.home_first = share(self.sent(scenario, zone, zone, w.to, w.to + 1.0));
        r.home_last = share(self.sent(scenario, zone, zone, end - 5.0, end));
        (r.said_lost, r.said_p50_s, r.said_p95_s) =
            (said.len(), at(0.5).unwrap_or(f64::NAN), at(0.95).unwrap_or(f64::NAN));
        std::mem::swap(r, &mut self.report);
    }

    /// Attempts of the managers of a group to a zone's engines from one time up to another, in seconds; and all of the
    /// group's.
    pub fn sent(&self, scenario: &Scenario, group: usize, zone: usize, from: f64, to: f64) -> (usize, usize) {
        let of = |s: &&Sent| {
            (from..to).contains(&s.at.as_secs_f64()) && scenario.group_of(usize::from(s.manager)) == group
        };
        let all: Vec<&Sent> = self.sends.iter().filter(of).collect();
        (all.iter().filter(|s| usize::from(s.engine) % scenario.zones == zone).count(), all.len())
    }

    /// Seconds after `from` until 95% of the managers that sent to a zone's engines in the second before sent at most
    /// one in ten of their attempts there over each following half second, up to `to`; none if they never did.
    pub fn left(&self, scenario: &Scenario, zone: usize, from: f64, to: f64) -> Option<f64> {
        let in_zone = |s: &&Sent| usize::from(s.engine) % scenario.zones == zone;
        let at = |s: &Sent| s.at.as_secs_f64();
        let before: BTreeSet<u16> = self
            .sends
            .iter()
            .filter(|s| at(s) >= from - 1.0 && at(s) < from)
            .filter(in_zone)
            .map(|s| s.manager)
            .collect();
        let mut last: Vec<f64> = Vec::new();
        for m in before {
            let own: Vec<&Sent> =
                self.sends.iter().filter(|s| s.manager == m && at(s) >= from && at(s) < to).collect();
            // The last half second in which more than one in ten went there.
            let busy = (0..((to - from) * 2.0) as usize).rev().find(|k| {
                let (a, b) = (from + *k as f64 / 2.0, from + (*k + 1) as f64 / 2.0);
                let here: Vec<&&Sent> = own.iter().filter(|s| at(s) >= a && at(s) < b).collect();
                here.iter().filter(|s| in_zone(s)).count() * 10 > here.len()
            });
            let busy_end = busy.map_or(0.0, |k| (k + 1) as f64 / 2.0);
            // Within it, the last attempt there.
            let end = own.iter().filter(|s| in_zone(s) && at(s) < from + busy_end).map(|s| at(s) - from);
            last.push(end.fold(0.0, f64::max));
        }
        last.sort_by(f64::total_cmp);
        let place = (last.len() as f64 * 0.95).ceil() as usize;
        last.get(place.checked_sub(1)?).copied()
    }

    /// Seconds from `from` until all views were right, and stayed so up to `to`; none if they never were.
    pub fn agreed(&self, from: f64, to: f64) -> Option<f64> {
        let span: Vec<&Views> =
            self.views.iter().filter(|v| v.at >= from && v.at < to && v.asked > 0).collect();
        let last_wrong = span.iter().rposition(|v| v.right < v.asked);
        let first_right = last_wrong.map_or(0, |i| i + 1);
        span.get(first_right).map(|v| v.at - from)
    }
}

/// Where a manager is reached now, and when it was last ended or stopped by the rig.
#[derive(Default)]
struct Seat {
    at: Option<SocketAddr>,
    until: Option<Instant>,
    struck: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Unborn,
    Starting,
    Up,
    Ending(Instant),
    Paused,
    Dead,
}

struct Engine {
    id: String,
    run: Option<CountingEngine>,
    /// Where each group reaches it.
    at: Vec<SocketAddr>,
    paths: Vec<TcpPath>,
    phase: &'static str,
    since_ms: u128,
}

/// One ended request: due, what became of it, how long it took.
type Ended = (Duration, Became, bool, Duration);

struct Rig<'a> {
    scenario: &'a Scenario,
    program: &'a Program,
    start: Instant,
    faults: Faults,
    ledger: Ledger,
    engines: Vec<Engine>,
    lists: Vec<ListService>,
    /// Keeps the ways to the list services open.
    list_paths: Vec<TcpPath>,
    feeds: Vec<SocketAddr>,
    revision: u64,
    fleet: Fleet,
    lives: Vec<Life>,
    seats: Vec<Arc<Mutex<Seat>>>,
    up_once: Vec<bool>,
    crashed: usize,
    settings: String,
    /// Where managers reach each other, and where each listens itself.
    net: UdpNet,
    members: Vec<SocketAddr>,
    real: Vec<Option<SocketAddr>>,
    views: Vec<Views>,
    ended: Arc<Mutex<Vec<Ended>>>,
}

fn io(what: &str) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{what}: {e}")
}

/// Where a seat's manager takes new requests now.
fn where_at(seat: &Mutex<Seat>) -> Option<SocketAddr> {
    let s = seat.lock().unwrap_or_else(PoisonError::into_inner);
    s.at.filter(|_| s.until.is_none_or(|u| Instant::now() < u))
}

/// Names that a manager holds as here, its own among them; `None` where it did not answer.
fn held_by(real: SocketAddr) -> Option<BTreeSet<String>> {
    let all = sprucelink_membership::ask::view(real).ok()?;
    let here = |m: &Member| matches!(m.state, State::Alive | State::Suspect);
    Some(all.into_iter().filter(here).map(|m| m.name).collect())
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

/// Carries a scenario out with a program.
///
/// # Errors
/// In words, where a stand-in, a file or a process could not be started.
pub fn run(scenario: &Scenario, program: &Program) -> Result<Outcome, String> {
    scenario.check()?;
    let began = unix_ms() as f64 / 1e3;
    let mut rig = Rig::new(scenario, program)?;
    let mut timeline = rig.timeline();
    let load = rig.ask();
    let done = rig.play(&mut timeline);
    load.iter().for_each(|t| t.abort());
    // What is asked has its end within its time; more is not waited for.
    let last = Duration::from_secs_f64(scenario.load.timeout_ms / 1e3) + Duration::from_secs(1);
    let until = Instant::now() + last;
    while done.is_ok() && rig.open() > 0 && Instant::now() < until {
        rig.look();
        std::thread::sleep(LOOK);
    }
    let logs = (0..rig.fleet.managers.len()).map(|i| rig.fleet.log(i)).collect();
    let used: Vec<f64> = (0..rig.fleet.managers.len()).filter_map(|i| rig.fleet.cpu(i)).collect();
    let cpu = used.iter().sum::<f64>() / used.len().max(1) as f64;
    rig.fleet.end_all();
    done?;
    let mut got = rig.outcome(logs);
    got.report.cpu_s = cpu;
    if let Some(watch) = &scenario.watch {
        got.watched(scenario, watch, began);
    }
    got.report.crossing = got.crossing(scenario, 0.0, scenario.seconds);
    got.report.agreed_s = got.agreed(0.0, scenario.seconds).unwrap_or(f64::NAN);
    Ok(got)
}

impl<'a> Rig<'a> {
    fn new(scenario: &'a Scenario, program: &'a Program) -> Result<Rig<'a>, String> {
        let start = Instant::now();
        let faults = Faults::new(scenario.seed);
        let fleet = Fleet::new(&program.path, &program.dir).map_err(io("the rig's folder"))?;
        let n = scenario.managers;
        let mut rig = Rig {
            scenario,
            program,
            start,
            faults,
            ledger: Ledger::with_grace(Duration::from_secs_f64(scenario.drain_grace_ms / 1e3)),
            engines: Vec::new(),
            lists: Vec::new(),
            list_paths: Vec::new(),
            feeds: Vec::new(),
            revision: 1,
            fleet,
            lives: vec![Life::Unborn; n],
            seats: (0..n).map(|_| Arc::default()).collect(),
            up_once: vec![false; n],
            crashed: 0,
            settings: procs::settings(n).replace(
                r#""zones":["hall-a","hall-b"]"#,
                &format!(r#""zones":{:?}"#, &HALLS[..scenario.zones]),
            ),
            net: UdpNet::new(&Faults::new(0)),
            members: Vec::new(),
            real: vec![None; n],
            views: Vec::new(),
            ended: Arc::default(),
        };
        let Engines { count, cold, missing, .. } = scenario.engines;
        for i in 0..count {
            rig.add_engine(i < cold)?;
            if i + missing >= count {
                rig.stop_engine(i);
            }
        }
        for (group, name) in GROUPS.iter().enumerate().take(scenario.groups.len()) {
            let first = procs::event(1, 1, true, &rig.rows(group));
            let service = ListService::start(first, start).map_err(io("list service"))?;
            let mut feed = service.address;
            if scenario.through_middle() {
                let path = middle::tcp(&rig.faults, name, "lists", feed).map_err(io("fault middle"))?;
                feed = path.address;
                rig.list_paths.push(path);
            }
            rig.lists.push(service);
            rig.feeds.push(feed);
        }
        rig.ledger.date(start);
        rig.set_lists(scenario.lists);
        if scenario.membership.is_some() {
            rig.net = UdpNet::new(&rig.faults);
            for i in 0..n {
                let group = GROUPS[scenario.group_of(i)];
                rig.members.push(rig.net.reserve(group).map_err(io("fault middle"))?);
            }
        }
        Ok(rig)
    }

    fn add_engine(&mut self, cold: bool) -> Result<(), String> {
        let e = &self.scenario.engines;
        let times = if self.engines.len() < e.slow { SLOW } else { 1.0 };
        let (light, heavy) = (times * e.light_ms / 1e3, times * e.heavy_ms / 1e3);
        let cold_for = if cold { COLD_FOR } else { 0.0 };
        let spec = Spec { cores: e.cores, light, heavy, cold_for, ..Spec::default() };
        let number = self.engines.len();
        let run =
            CountingEngine::start_as(spec, number, self.ledger.clone(), self.start).map_err(io("engine"))?;
        let (mut at, mut paths) = (vec![run.address; self.scenario.groups.len()], Vec::new());
        if self.scenario.through_middle() {
            for (group, at) in at.iter_mut().enumerate() {
                let path = middle::tcp(
                    &self.faults,
                    GROUPS[group],
                    HALLS[number % self.scenario.zones],
                    run.address,
                );
                let path = path.map_err(io("fault middle"))?;
                *at = path.address;
                paths.push(path);
            }
        }
        let since_ms = if cold { unix_ms() } else { 0 };
        let id = format!("s-{number:04}");
        self.engines.push(Engine { id, run: Some(run), at, paths, phase: "ready", since_ms });
        Ok(())
    }

    fn stop_engine(&mut self, i: usize) {
        let engine = &mut self.engines[i];
        engine.paths.clear();
        if let Some(run) = &engine.run {
            run.stop();
        }
    }

    /// The engines as a group's list names them.
    fn rows(&self, group: usize) -> Vec<Row> {
        (0..self.engines.len()).map(|i| self.row(group, i)).collect()
    }

    fn row(&self, group: usize, i: usize) -> Row {
        let e = &self.engines[i];
        let zone = HALLS[i % self.scenario.zones].into();
        Row { id: e.id.clone(), at: e.at[group], zone, phase: e.phase, since_ms: e.since_ms }
    }

    /// Tells every group what changed.
    fn tell(&mut self, changed: &[usize]) -> Result<(), String> {
        self.revision += 1;
        for group in 0..self.lists.len() {
            let rows: Vec<Row> = changed.iter().map(|i| self.row(group, *i)).collect();
            self.lists[group].tell(|n| procs::event(n, self.revision, false, &rows))?;
        }
        Ok(())
    }

    fn set_lists(&self, how: Lists) {
        let mood = match how {
            Lists::Serve => Mood::Serving,
            Lists::Refuse => Mood::Refusing,
            Lists::Stall => Mood::Stalling,
        };
        self.lists.iter().for_each(|l| l.set_mood(mood));
    }

    fn config(&self, i: usize) -> String {
        let group = self.scenario.group_of(i);
        let starts = self.fleet.managers.get(i).map_or(0, |m| m.starts);
        let seed = self.scenario.seed.wrapping_mul(1_000_003) ^ (i as u64) << 16 ^ u64::from(starts);
        let known = self.lists[group].known();
        let settings = match self.scenario.told_zone {
            // The zone by number, as the platform words it.
            true => self.settings.replacen('{', &format!("{{\"az\":{group},"), 1),
            false => self.settings.clone(),
        };
        procs::config(&format!("n{i}"), seed, self.feeds[group], &known, &settings)
    }

    /// A manager's arguments: its own file of the membership among them, where the fleet keeps a view.
    fn args(&self, i: usize) -> Result<Vec<String>, String> {
        let mut args = self.program.args.clone();
        if let Some(failover) = &self.scenario.failover {
            let file = self.program.dir.join(format!("n{i}.failover.json5"));
            std::fs::write(&file, failover.to_string()).map_err(io("failover"))?;
            args.extend(["--failover".to_owned(), file.display().to_string()]);
        }
        if let Some(m) = &self.scenario.membership {
            let set = Membership {
                enabled: true,
                listen: "127.0.0.1:0".into(),
                advertise: Some(self.members[i].to_string()),
                seeds: self.members.iter().take(SEEDS).map(SocketAddr::to_string).collect(),
                zone: HALLS[self.scenario.group_of(i)].into(),
                region: "rig".into(),
                protocol: m.protocol,
                share: m.share,
            };
            let file = self.program.dir.join(format!("n{i}.membership.json5"));
            let text = serde_json::to_string(&set).map_err(|e| e.to_string())?;
            std::fs::write(&file, text).map_err(io("membership"))?;
            args.extend(["--membership".to_owned(), file.display().to_string()]);
        }
        Ok(args)
    }

    /// Asks every manager that runs for its view, some at once.
    fn poll(&mut self) {
        let asked: Vec<(usize, SocketAddr)> = (0..self.members.len())
            .filter(|i| self.lives[*i] == Life::Up)
            .filter_map(|i| Some((i, self.real[i]?)))
            .collect();
        let at = self.start.elapsed().as_secs_f64();
        let names: BTreeSet<String> = asked.iter().map(|(i, _)| format!("n{i}")).collect();
        let held: Vec<Option<BTreeSet<String>>> = std::thread::scope(|scope| {
            let parts: Vec<_> = asked.chunks(asked.len().div_ceil(ASKERS).max(1)).collect();
            let asking: Vec<_> = parts
                .into_iter()
                .map(|part| {
                    scope.spawn(move || part.iter().map(|(_, real)| held_by(*real)).collect::<Vec<_>>())
                })
                .collect();
            asking.into_iter().flat_map(|a| a.join().unwrap_or_default()).collect()
        });
        let held: Vec<BTreeSet<String>> = held.into_iter().flatten().collect();
        let row = Views {
            at,
            asked: held.len(),
            right: held.iter().filter(|h| **h == names).count(),
            wrong: held.iter().map(|h| h.symmetric_difference(&names).count()).sum(),
            different: held.iter().collect::<BTreeSet<_>>().len(),
        };
        if self.views.len() < MOST_VIEWS {
            self.views.push(row);
        }
    }

    /// All that happens, in order: starts, and the steps with each manager's part of them.
    fn timeline(&self) -> Vec<(Duration, Act)> {
        let n = self.scenario.managers;
        let one = |i: usize| Part { from: i as f64 / n as f64, to: (i + 1) as f64 / n as f64, over_ms: 0.0 };
        let mut all = Vec::new();
        let spread = |all: &mut Vec<(Duration, Act)>, at: f64, p: &Part, act: fn(Part) -> Act| {
            let who = p.of(n);
            let each = p.over_ms / 1e3 / who.len().max(1) as f64;
            all.extend(
                who.enumerate().map(|(k, i)| (Duration::from_secs_f64(at + each * k as f64), act(one(i)))),
            );
        };
        let starts = Part { from: 0.0, to: 1.0, over_ms: self.scenario.start_over_ms };
        spread(&mut all, 0.0, &starts, Act::Restart);
        for step in &self.scenario.steps {
            match &step.act {
                Act::Kill(p) => spread(&mut all, step.at, p, Act::Kill),
                Act::Restart(p) => spread(&mut all, step.at, p, Act::Restart),
                Act::Roll(p) => spread(&mut all, step.at, p, Act::Roll),
                Act::Pause(p) => spread(&mut all, step.at, p, Act::Pause),
                Act::Resume(p) => spread(&mut all, step.at, p, Act::Resume),
                act => all.push((Duration::from_secs_f64(step.at), act.clone())),
            }
        }
        // Stable: what is due at once happens in the file's order.
        all.sort_by_key(|a| a.0);
        all.reverse();
        all
    }

    fn play(&mut self, timeline: &mut Vec<(Duration, Act)>) -> Result<(), String> {
        let end = Duration::from_secs_f64(self.scenario.seconds);
        let (mut next_logs, mut next_views) = (Instant::now(), Instant::now());
        while self.start.elapsed() < end {
            while timeline.last().is_some_and(|(at, _)| *at <= self.start.elapsed()) {
                if let Some((_, act)) = timeline.pop() {
                    self.act(&act)?;
                }
            }
            if Instant::now() >= next_logs {
                next_logs = Instant::now() + LOOK_LOGS;
                self.look();
                self.come_back()?;
                if self.scenario.membership.is_some() && Instant::now() >= next_views {
                    next_views = Instant::now() + LOOK_VIEWS;
                    self.poll();
                }
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    fn seat<T>(&self, i: usize, f: impl FnOnce(&mut Seat) -> T) -> T {
        f(&mut self.seats[i].lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Nobody is sent to manager `i` any more, and what is open there may die with it.
    fn strike(&self, i: usize) {
        self.seat(i, |s| (s.at, s.until, s.struck) = (None, None, Some(Instant::now())));
    }

    fn begin(&mut self, i: usize) -> Result<(), String> {
        self.strike(i);
        let config = self.config(i);
        let args = self.args(i)?;
        self.real[i] = None;
        if i < self.fleet.managers.len() {
            self.fleet.restart(i, &config).map_err(io("restart"))?;
        } else {
            self.fleet.start(&format!("n{i}"), &config, &args).map_err(io("start"))?;
        }
        self.lives[i] = Life::Starting;
        Ok(())
    }

    fn act(&mut self, act: &Act) -> Result<(), String> {
        let n = self.scenario.managers;
        let engines = |p: &Part, rig: &Rig| p.of(rig.engines.len());
        match act {
            Act::Restart(p) => p.of(n).try_for_each(|i| self.begin(i))?,
            Act::Kill(p) => {
                for i in p.of(n) {
                    self.strike(i);
                    self.fleet.kill(i);
                    self.lives[i] = Life::Dead;
                }
            }
            Act::Roll(p) => {
                for i in p
                    .of(n)
                    .filter(|i| matches!(self.lives[*i], Life::Up | Life::Starting))
                    .collect::<Vec<_>>()
                {
                    self.seat(i, |s| s.until = Some(Instant::now() + STILL_COMING));
                    self.fleet.signal(i, Signal::SIGTERM).map_err(|e| e.to_string())?;
                    self.lives[i] = Life::Ending(Instant::now());
                }
            }
            Act::Pause(p) => {
                for i in p.of(n).filter(|i| self.lives[*i] == Life::Up).collect::<Vec<_>>() {
                    self.strike(i);
                    self.fleet.signal(i, Signal::SIGSTOP).map_err(|e| e.to_string())?;
                    self.lives[i] = Life::Paused;
                }
            }
            Act::Resume(p) => {
                for i in p.of(n).filter(|i| self.lives[*i] == Life::Paused).collect::<Vec<_>>() {
                    self.fleet.signal(i, Signal::SIGCONT).map_err(|e| e.to_string())?;
                    self.lives[i] = Life::Starting;
                }
            }
            Act::Lists(how) => self.set_lists(*how),
            Act::EnginesCome(count) => {
                let from = self.engines.len();
                (0..*count).try_for_each(|_| self.add_engine(true))?;
                self.tell(&(from..self.engines.len()).collect::<Vec<_>>())?;
            }
            Act::EnginesDrain(p) => {
                let who: Vec<usize> = engines(p, self).collect();
                who.iter().for_each(|i| self.engines[*i].phase = "draining");
                self.tell(&who)?;
                who.iter().for_each(|i| self.ledger.drained(*i, Instant::now()));
            }
            Act::EnginesGo(p) => {
                let who: Vec<usize> = engines(p, self).collect();
                who.iter().for_each(|i| self.engines[*i].phase = "gone");
                self.tell(&who)?;
                who.iter().for_each(|i| self.stop_engine(*i));
            }
            Act::EnginesVanish(p) => engines(p, self).for_each(|i| self.stop_engine(i)),
            Act::OlderList => {
                let first = self.scenario.engines.count;
                for group in 0..self.lists.len() {
                    let mut rows = self.rows(group);
                    rows.truncate(first);
                    rows.iter_mut().for_each(|r| r.phase = "ready");
                    self.lists[group].tell(|n| procs::event(n, 1, true, &rows))?;
                }
            }
            Act::ContradictoryList => {
                self.engines[0].phase = "draining";
                self.revision += 1;
                for group in 0..self.lists.len() {
                    let rows = [self.row(group, 0), Row { phase: "ready", ..self.row(group, 0) }];
                    self.lists[group].tell(|n| procs::event(n, self.revision, false, &rows))?;
                }
                self.ledger.drained(0, Instant::now());
            }
            Act::Fault { from, to, rule } => {
                self.ways(from, to).into_iter().for_each(|(from, to)| self.faults.set(&from, &to, *rule));
            }
            Act::Cut { from, to, how } => {
                self.ways(from, to).into_iter().for_each(|(from, to)| self.faults.cut(&from, &to, *how));
            }
            Act::Heal => self.faults.heal(),
            Act::ZoneCold(zone) => {
                let here = |i: &usize| HALLS[i % self.scenario.zones] == zone;
                let who: Vec<usize> = (0..self.engines.len()).filter(here).collect();
                for i in &who {
                    self.engines[*i].since_ms = unix_ms();
                    if let Some(run) = &self.engines[*i].run {
                        run.restart_cold(COLD_FOR);
                    }
                }
                self.tell(&who)?;
            }
        }
        Ok(())
    }

    /// The ways between two groups: `engines` are those of all zones.
    fn ways(&self, from: &str, to: &str) -> Vec<(String, String)> {
        let all = |name: &str| -> Vec<String> {
            match name {
                "engines" => HALLS[..self.scenario.zones].iter().map(|h| (*h).to_owned()).collect(),
                one => vec![one.to_owned()],
            }
        };
        let to = all(to);
        all(from).into_iter().flat_map(|f| to.iter().map(move |t| (f.clone(), t.clone()))).collect()
    }

    /// Looks which managers have come up, and which have ended by themselves.
    fn look(&mut self) {
        for i in 0..self.fleet.managers.len() {
            match self.lives[i] {
                Life::Starting => {
                    if let Some(at) = self.fleet.serving(i) {
                        self.seat(i, |s| (s.at, s.until) = (Some(at), None));
                        (self.lives[i], self.up_once[i]) = (Life::Up, true);
                        self.bind(i);
                    }
                }
                Life::Up => {}
                _ => continue,
            }
            if self.fleet.ended(i).is_some() {
                self.crashed += 1;
                self.strike(i);
                self.lives[i] = Life::Dead;
            }
        }
    }

    /// Lets the middle know where a manager that has come up listens for others.
    fn bind(&mut self, i: usize) {
        if self.members.is_empty() {
            return;
        }
        let log = self.fleet.log(i);
        let line = log.lines().find_map(|l| l.split_once("membership on ")).map(|(_, rest)| rest);
        let real = line.and_then(|l| l.split([',', ' ']).next()).and_then(|a| a.parse().ok());
        if let Some(real) = real {
            self.real[i] = Some(real);
            self.net.bind(self.members[i], real);
        }
    }

    /// Starts those anew that have ended after SIGTERM.
    fn come_back(&mut self) -> Result<(), String> {
        for i in 0..self.fleet.managers.len() {
            let Life::Ending(since) = self.lives[i] else { continue };
            match self.fleet.ended(i) {
                Some(code) => {
                    self.crashed += usize::from(code != Some(0));
                    self.begin(i)?;
                }
                // It had its time: what is open there is lost by its own fault, so it is not struck.
                None if since.elapsed() > LONGEST_END => self.fleet.kill(i),
                None => {}
            }
        }
        Ok(())
    }

    /// Clients that ask every manager evenly, each a Poisson stream of its own.
    fn ask(&self) -> Vec<tokio::task::JoinHandle<()>> {
        let (load, Engines { light_ms, heavy_ms, .. }) = (self.scenario.load, self.scenario.engines);
        if load.rate <= 0.0 {
            return Vec::new();
        }
        let gap = self.scenario.managers as f64 / load.rate;
        let end = self.start + Duration::from_secs_f64(self.scenario.seconds);
        let one = |(i, seat): (usize, &Arc<Mutex<Seat>>)| {
            let (own, ended, start) = (Arc::clone(seat), Arc::clone(&self.ended), self.start);
            let all: Vec<_> =
                if load.follow { self.seats.iter().map(Arc::downgrade).collect() } else { Vec::new() };
            let mut rng = ChaCha8Rng::seed_from_u64(self.scenario.seed ^ (0xc11e << 32) ^ i as u64);
            runtime().spawn(async move {
                let mut due = start;
                loop {
                    // An exponential gap; the draw is never zero.
                    due += Duration::from_secs_f64(-(1.0 - rng.gen::<f64>()).ln() * gap);
                    if due >= end {
                        return;
                    }
                    sleep_until(due.into()).await;
                    let (id, key) = (request_id(i, rng.gen()), rng.gen::<u64>());
                    let heavy = rng.gen_bool(load.heavy);
                    let mut seat = Arc::clone(&own);
                    for _ in 0..FOLLOWED {
                        if where_at(&seat).is_some() || all.is_empty() {
                            break;
                        }
                        seat = all[rng.gen_range(0..all.len())].upgrade().unwrap_or(seat);
                    }
                    let Some(at) = where_at(&seat) else { continue };
                    if Arc::strong_count(&seat) > MOST_OPEN {
                        continue;
                    }
                    let ended = Arc::clone(&ended);
                    let ms = if heavy { heavy_ms } else { light_ms };
                    let ask =
                        Ask { id, heavy, key, ms, timeout: Duration::from_secs_f64(load.timeout_ms / 1e3) };
                    tokio::spawn(async move {
                        let (became, took) = client::ask(at, ask).await;
                        let struck = seat.lock().unwrap_or_else(PoisonError::into_inner).struck;
                        let died = struck.is_some_and(|t| t >= due);
                        let row = (due.saturating_duration_since(start), became, died, took);
                        ended.lock().unwrap_or_else(PoisonError::into_inner).push(row);
                    });
                }
            })
        };
        self.seats.iter().enumerate().map(one).collect()
    }

    /// Requests that are open: each holds its manager's seat.
    fn open(&self) -> usize {
        self.seats.iter().map(|s| Arc::strong_count(s).saturating_sub(1)).sum()
    }

    fn outcome(&self, logs: Vec<String>) -> Outcome {
        let buckets = (self.scenario.seconds / BUCKET.as_secs_f64()).ceil() as usize;
        let none = || vec![0u32; buckets];
        let mut requests = Outcomes { asked: none(), served: none(), refused: none(), bad: none() };
        let mut r = Report {
            scenario: self.scenario.name.clone(),
            cold_start: self.program.args.iter().any(|a| a == "--cold-start"),
            managers: self.scenario.managers,
            up: self.up_once.iter().filter(|u| **u).count(),
            crashed: self.crashed,
            breaches: self.ledger.read(),
            ..Report::default()
        };
        // Bounds are valid constants: microseconds up to a minute, three digits.
        let mut took_us = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
        for (due, became, died, took) in self.ended.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let i = ((due.as_micros() / BUCKET.as_micros()) as usize).min(buckets - 1);
            r.asked += 1;
            let bad = matches!(became, Became::Lost | Became::NotTaken);
            if *died && bad {
                r.died += 1;
                continue;
            }
            requests.asked[i] += 1;
            match became {
                Became::Served => {
                    (r.served, requests.served[i]) = (r.served + 1, requests.served[i] + 1);
                    took_us.saturating_record(took.as_micros() as u64);
                }
                Became::Refused => {
                    (r.refused, requests.refused[i]) = (r.refused + 1, requests.refused[i] + 1)
                }
                Became::Failed => (r.failed, requests.bad[i]) = (r.failed + 1, requests.bad[i] + 1),
                Became::NotTaken => (r.not_taken, requests.bad[i]) = (r.not_taken + 1, requests.bad[i] + 1),
                Became::Lost => (r.lost, requests.bad[i]) = (r.lost + 1, requests.bad[i] + 1),
            }
        }
        r.p50_ms = took_us.value_at_quantile(0.5) as f64 / 1e3;
        r.p99_ms = took_us.value_at_quantile(0.99) as f64 / 1e3;
        r.serving_s = requests.seconds_to_serving(20);
        let (mut calls, mut dials) = (Counted::default(), Counted::default());
        self.lists.iter().for_each(|l| calls.add(&l.calls.read()));
        let (ms100, s1) = (Duration::from_millis(100), Duration::from_secs(1));
        for e in self.engines.iter().filter_map(|e| e.run.as_ref()) {
            let d = e.dials.read();
            r.dials_engine_100ms = r.dials_engine_100ms.max(d.peak(ms100));
            r.most_threads = r.most_threads.max(e.most_threads());
            dials.add(&d);
        }
        let end = Duration::from_secs_f64(self.scenario.seconds);
        (r.calls, r.calls_100ms, r.calls_1s) = (calls.at.len(), calls.peak(ms100), calls.peak(s1));
        r.calls_steady = calls.within(end * 2 / 3, end) as f64 / (end / 3).as_secs_f64();
        (r.dials, r.dials_100ms, r.dials_1s) = (dials.at.len(), dials.peak(ms100), dials.peak(s1));
        Outcome {
            report: r,
            requests,
            calls: calls.buckets(BUCKET, buckets),
            dials: dials.buckets(BUCKET, buckets),
            logs,
            sends: self.ledger.sends(),
            views: self.views.clone(),
        }
    }
}

/// A folder of the rig's own for configurations and logs, under the system's folder for such.
pub fn scratch(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("sprucelink-fleet-{}-{name}", std::process::id()))
}

/// Removes a folder of [`scratch`], whatever became of it.
pub fn clear(dir: &Path) {
    let _ = std::fs::remove_dir_all(dir);
}
