//! Serving: from the configuration to the last answer after SIGTERM.

use super::acme;
use super::admin::{self, Desk};
use super::cli::Files;
use super::config::Config;
use super::hot_restart_driver::Upgrade;
use super::membership_driver::{self, Told};
use super::operator::Operator;
use crate::core::buffer_pool::BufferPool;
use crate::core::{endpoint_client, now, to_duration, Core, CoreConfig};
use crate::front::{Front, FrontConfig};
use sprucelink_capture::recorder::Recorder;
use sprucelink_capture::settings::Settings;
use sprucelink_hot_restart::WindowSpans;
use sprucelink_membership::MembershipConfig as Membership;
use sprucelink_metrics::Metrics;
use sprucelink_policy::TimeDelta;
use sprucelink_startup::config::StartupConfig;
use sprucelink_startup::endpoint_poller::EndpointPoller;
use sprucelink_zone_failover::terms::Terms as FailoverTerms;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_blocking, spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, Instant};
use tracing::{info, warn};

/// After SIGTERM new connections and requests still come for this long.
const STILL_COMING: Duration = Duration::from_millis(700);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline and [`STILL_COMING`]; a longer one counts as this.
const STOP_PATIENCE: Duration = Duration::from_secs(3);
/// The same at an upgrade.
const UPGRADE_PATIENCE: Duration = Duration::from_secs(5);
/// So long before that, whatever is open is answered: what SIGKILL finds unanswered is lost, and answers have to be
/// written by a process that may be slow.
const LAST_WORDS: Duration = Duration::from_millis(250);
/// Between two looks at whether all is answered.
const LOOK: Duration = Duration::from_millis(10);
/// Looks in a row that must find nothing open and nobody parting before the end: what came while this program had no turn on its
/// processor is read only now, and a new connection takes some turns until its first request is.
const QUIET: u32 = 5;

type Opened = (Rc<Front>, JoinHandle<()>);

/// Everything that a start reads.
pub struct Start {
    /// The configuration.
    pub config: Config,
    /// Where operators call; without it nothing listens for them.
    pub operators: Option<String>,
    /// The clients' listening socket where the platform holds it; else this process opens its own.
    pub inherited: Option<std::net::TcpListener>,
    /// The second front; without it that is off.
    pub operator: Option<Operator>,
    /// The recorder; without it nothing is recorded.
    pub recorder: Option<Settings>,
    /// The cold start; without it, or not enabled, the start is as it always was.
    pub cold_start: Option<StartupConfig>,
    /// The view of the fleet that managers keep; without it, or not enabled, managers do not talk.
    pub membership: Option<Membership>,
    /// Failover between zones; without it, or not enabled, the module draws as it did.
    pub failover: Option<FailoverTerms>,
}

/// Reads the configuration's file anew.
pub type Reread = fn(&Files) -> Result<Config, String>;

/// Serves until SIGTERM or SIGINT; an error is one of the start. At SIGHUP the configuration is read
/// anew from `files` by `reread`.
pub fn serve(start: Start, files: Files, reread: Reread) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let served = LocalSet::new().block_on(&runtime, run(start, files, reread));
    // Nothing that still reads a file on another thread holds the end up.
    runtime.shutdown_background();
    served
}

/// Reads the configuration anew at every SIGHUP, one after the other: of signals that come while it is read one is
/// kept, so that the last file put in its place is read in any case. Only where the control feed is changes in a
/// running program: no session, request or link to an engine is touched.
async fn reload(mut hup: Signal, files: Files, reread: Reread, feed: watch::Sender<Option<String>>) {
    while hup.recv().await.is_some() {
        let files = files.clone();
        // Off the serving path: a slow file system must not hold up requests.
        let read = spawn_blocking(move || reread(&files)).await;
        let read = read.unwrap_or_else(|_| Err("the reader failed".into()));
        let address = read.and_then(|c| c.feed.ok_or_else(|| "configuration: feed: missing".into()));
        match address.and_then(named) {
            Ok(address) => {
                info!("configuration read anew: feed at {address}");
                feed.send_if_modified(|old| {
                    let moved = old.as_ref() != Some(&address);
                    *old = Some(address);
                    moved
                });
            }
            // Guards against a file replaced by a bad one: the program goes on as it was.
            Err(why) => warn!("configuration not read anew, nothing changes: {why}"),
        }
    }
}

/// An address that can be called: a host, and a port that is not 0.
fn named(address: String) -> Result<String, String> {
    let (host, port) = address.rsplit_once(':').unwrap_or_default();
    match port.parse::<u16>() {
        Ok(1..) if !host.is_empty() => Ok(address),
        _ => Err(format!("configuration: feed: {address:?} is no address and port")),
    }
}

async fn run(start: Start, files: Files, reread: Reread) -> Result<(), String> {
    let Start { config, operators, inherited, operator, recorder, cold_start, membership, failover } = start;
    let (home, zones) = (config.settings.zone, config.names[0].clone());
    let cold_start = cold_start.filter(|c| c.enabled);
    // Before anything is awaited: a signal without its handler would end the program.
    let hup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("signals: {e}"))?;
    let longest = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(TimeDelta::ZERO);
    let fleet = config.settings.gateways;
    let seed = config.seed;
    let mut settings = config.settings;
    let told = Told {
        gateways: settings.gateways,
        ration: settings.attempt_budget,
        cold_span: settings.fall_span,
        cold_for: settings.cold_for,
    };
    let spans = WindowSpans {
        retry_budget: settings.attempt_budget.as_ref().map_or(TimeDelta::ZERO, |b| b.span),
        warmup: settings.fall_span,
    };
    settings.cold_ramp = cold_start.and_then(|c| c.first_load.ramp());
    let classes: Vec<String> = config.setup.classes.iter().map(|c| c.name.clone()).collect();
    let figures = Metrics::new(&classes).map_err(|e| format!("figures: {e}"))?;
    let [zone_names, kind_names] = config.names;
    let core = Core::new(CoreConfig {
        settings,
        seed,
        zones: zone_names,
        kinds: kind_names,
        limits: config.terms,
        pool: BufferPool::new(config.buffers),
        metrics: figures,
    });
    if let Some(cold) = &cold_start {
        // Before the first list: what is held is known from the start.
        core.enable_startup_control(cold, &config.name);
    }
    if let Some(set) = recorder {
        match Recorder::start(&set, seed, now()) {
            Ok(recorder) => {
                let dir = set.dir.display();
                info!(dir = %dir, "capture: recording to {dir}");
                core.set_recorder(Some(recorder));
            }
            // Serving goes on without: a recorder is worth less than what it records.
            Err(e) => warn!("capture: not recording: {e}"),
        }
    }
    for (i, event) in config.known.1.iter().enumerate() {
        core.on_endpoint_list(event, i == 0);
    }
    core.skip_event(config.known.0);
    let calls = cold_start.map(|c| EndpointPoller::new(c.endpoint_poller, fleet, seed, now()));
    if let Some(calls) = &calls {
        let window = calls.first_poll_window().as_secs_f64();
        info!(window, fleet, "cold start: first call for lists within {window:.3} s, of {fleet} managers");
    }
    if let Some(terms) = failover.filter(|f| f.enabled) {
        info!(?home, "failover: between {} zones", zones.len());
        core.enable_zone_failover(&terms, home, zones);
    }
    let member = match membership.filter(|m| m.enabled) {
        Some(set) => Some(membership_driver::keep(Rc::clone(&core), set, &config.name, seed, told).await?),
        None => None,
    };
    let mut ticking = spawn_local(Rc::clone(&core).run());
    let (moved, address) = watch::channel(config.feed);
    spawn_local(endpoint_client::follow(Rc::clone(&core), address, calls));
    spawn_local(reload(hup, files, reread, moved));
    let shared = inherited.is_some();
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener).map_err(|e| format!("EDGE_FD: {e}"))?,
        None => bind(&config.listen).await?,
    };
    let upgrade = shared.then(|| Upgrade::begin(Rc::clone(&core), &config.name, &config.listen, spans));
    let desk = Desk::new(Rc::clone(&core), upgrade.clone());
    if let Some(address) = operators {
        desk.open(&address, admin::limits(config.sockets)).await?;
    }
    let mut fronts = vec![open("serving", &core, listener, config.setup)?];
    // Until it has come to serve, what comes is left to the process before.
    fronts[0].0.set_accepting(!shared);
    desk.ready();
    if let Some(upgrade) = &upgrade {
        upgrade.can_serve();
        spawn_local(Rc::clone(upgrade).run(Rc::clone(&fronts[0].0)));
    }
    if let Some(operator) = operator {
        let listener = bind(&operator.listen).await?;
        let second = open("second front", &core, listener, operator.setup)?;
        if let Some(acme) = operator.acme {
            acme::keep(acme, Rc::clone(&second.0)).await?;
        }
        fronts.push(second);
    }
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        // Guards against a program that lives on without its clock: nothing would end any more.
        _ = &mut ticking => {
            core.set_recorder(None);
            return Err("the core's clock has stopped".into());
        }
    }
    info!(open = core.pending_requests(), "stopping: {} open", core.pending_requests());
    if let Some(upgrade) = &upgrade {
        upgrade.stopping();
    }
    let patience = if shared { UPGRADE_PATIENCE } else { STOP_PATIENCE };
    let longest = to_duration(longest).min(patience);
    let stop = Instant::now() + STILL_COMING + longest;
    let mut last_words = Some(stop - LAST_WORDS);
    // What is read from now on and could not end before is not sent on.
    core.set_shutdown_deadline(
        now() + TimeDelta::from_micros((STILL_COMING + longest - LAST_WORDS).as_micros() as i64),
    );
    sleep(STILL_COMING).await;
    // The timer may have fired before the sockets were asked, where this program had no turn meanwhile.
    sleep(LOOK).await;
    for (front, accepting) in &mut fronts {
        front.close();
        // An error here is a front that has ended: it takes nothing more.
        let _ = accepting.await;
    }
    let mut quiet = 0;
    while quiet < QUIET && Instant::now() < stop {
        sleep(LOOK).await;
        if last_words.take_if(|at| Instant::now() >= *at).is_some() {
            let ended = core.complete_all();
            if ended > 0 {
                warn!(ended, "stopping: {ended} given up, for the time is over");
            }
        }
        let open = |f: &Opened| f.0.open_requests() > 0 || f.0.closing_connections() > 0;
        quiet = if fronts.iter().any(open) { 0 } else { quiet + 1 };
    }
    if let Some(member) = member {
        member.leave().await;
    }
    if let Some(upgrade) = &upgrade {
        upgrade.leave();
    }
    core.set_recorder(None);
    info!(open = core.pending_requests(), "stopped: {} open", core.pending_requests());
    Ok(())
}

async fn bind(address: &str) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|e| format!("listen on {address}: {e}"))
}

/// Opens a front: it and the task that takes its connections.
fn open(what: &str, core: &Rc<Core>, listener: TcpListener, setup: FrontConfig) -> Result<Opened, String> {
    let at = listener.local_addr().map_err(|e| format!("{what}: {e}"))?;
    let front = Front::new(Rc::clone(core), setup);
    let accepting = spawn_local(Rc::clone(&front).accept_connections(listener));
    info!("{what} on {at}");
    Ok((front, accepting))
}
