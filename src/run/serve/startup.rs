//! Starts the subsystems in the order of their dependencies.

use super::fronts::{bind, FrontName, OpenFront};
use super::reload::Reloader;
use super::{ServeError, ServerConfig};
use crate::core::buffer_pool::BufferPool;
use crate::core::{endpoint_client, now, Core, CoreConfig};
use crate::run::admin::{self, AdminOperations};
use crate::run::certificates;
use crate::run::config::Config;
use crate::run::feed_address::FeedAddress;
use crate::run::hot_restart_driver::HotRestartDriver;
use crate::run::membership_driver::{self, FleetSettings, MembershipHandle};
use crate::run::second_front::SecondFrontConfig;
use sprucelink_capture::recorder::Recorder;
use sprucelink_capture::settings::Settings as RecorderSettings;
use sprucelink_hot_restart::WindowSpans;
use sprucelink_membership::MembershipConfig;
use sprucelink_metrics::Metrics;
use sprucelink_policy::{RestartRamp, TimeDelta};
use sprucelink_startup::config::StartupConfig;
use sprucelink_startup::endpoint_poller::EndpointPoller;
use sprucelink_zone_failover::config::FailoverConfig;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinHandle};
use tracing::{info, warn};

/// The subsystems that run from startup to shutdown.
pub struct Server {
    /// Owns requests, attempts and engines.
    pub core: Rc<Core>,
    /// The task that drives the core's clock; it ends only by a fault of the program.
    pub core_task: JoinHandle<()>,
    /// The running membership, if it is enabled.
    pub membership: Option<MembershipHandle>,
    /// This process's part in hot restarts; present if the platform passed on the listening socket.
    pub hot_restart: Option<Rc<HotRestartDriver>>,
    /// The platform's front, then the second front if it is enabled.
    pub fronts: Vec<OpenFront>,
    /// The longest deadline of all request classes, which bounds how long the shutdown waits for open
    /// requests.
    pub longest_deadline: TimeDelta,
}

impl Server {
    /// Starts all subsystems and opens the fronts.
    ///
    /// # Errors
    /// The first subsystem that cannot start.
    pub async fn start(server: ServerConfig, reloader: Reloader) -> Result<Server, ServeError> {
        let config = server.config;
        let startup = server.startup.filter(|startup| startup.enabled);
        let longest_deadline =
            config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(TimeDelta::ZERO);
        let core = build_core(&config, startup.as_ref())?;
        start_recorder(&core, server.recorder, config.seed);
        apply_known_endpoints(&core, &config);
        let poller = startup.map(|startup| endpoint_poller(startup, &config));
        start_failover(&core, server.failover, &config);
        let membership = start_membership(&core, server.membership, &config).await?;
        let core_task = spawn_local(Rc::clone(&core).run());
        let feed = Rc::new(FeedAddress::new(config.feed.clone(), now()));
        spawn_local(endpoint_client::follow(Rc::clone(&core), feed.subscribe(), poller));
        spawn_local(reloader.run(Rc::clone(&feed)));
        let is_shared = server.inherited_listener.is_some();
        let listener = open_listener(server.inherited_listener, &config.listen).await?;
        let hot_restart = is_shared.then(|| start_hot_restart(&core, &config, feed));
        let admin = AdminOperations::new(Rc::clone(&core), hot_restart.clone());
        if let Some(address) = server.admin_address {
            admin.listen(&address, admin::limits(config.sockets)).await?;
        }
        let platform_front = OpenFront::open(FrontName::Platform, &core, listener, config.front)?;
        // A process that shares the listening socket does not accept connections until it is ready.
        platform_front.front.set_accepting(!is_shared);
        admin.set_ready();
        if let Some(hot_restart) = &hot_restart {
            hot_restart.set_ready();
            spawn_local(Rc::clone(hot_restart).run(Rc::clone(&platform_front.front)));
        }
        let mut fronts = vec![platform_front];
        if let Some(second_front) = server.second_front {
            fronts.push(open_second_front(&core, second_front).await?);
        }
        Ok(Server { core, core_task, membership, hot_restart, fronts, longest_deadline })
    }
}

fn build_core(config: &Config, startup: Option<&StartupConfig>) -> Result<Rc<Core>, ServeError> {
    let mut settings = config.settings.clone();
    let ramp = startup.and_then(|startup| startup.first_load.ramp());
    settings.restart_ramp = ramp.map(RestartRamp::from);
    let classes: Vec<String> = config.front.classes.iter().map(|class| class.name.clone()).collect();
    let metrics = Metrics::try_new(&classes).map_err(|e| ServeError::Metrics(Box::new(e)))?;
    let core = Core::new(CoreConfig {
        settings,
        seed: config.seed,
        zones: config.zone_names.clone(),
        kinds: config.kind_names.clone(),
        limits: config.connection_limits,
        pool: BufferPool::new(config.pool_bytes),
        metrics,
    });
    if let Some(startup) = startup {
        // Enabled before the first endpoint list, so that the limits apply from the first connection.
        core.enable_startup_control(startup, &config.name);
    }
    Ok(core)
}

/// Starts the recorder if there are settings for it. A failure is only logged: serving does not depend on the
/// recorder.
fn start_recorder(core: &Core, settings: Option<RecorderSettings>, seed: u64) {
    let Some(settings) = settings else { return };
    match Recorder::start(&settings, seed, now()) {
        Ok(recorder) => {
            info!(directory = %settings.dir.display(), "capture started");
            core.set_recorder(Some(recorder));
        }
        Err(error) => warn!(%error, "capture not started"),
    }
}

/// Applies the endpoint events in the configuration; the first event begins a complete list.
fn apply_known_endpoints(core: &Rc<Core>, config: &Config) {
    for (index, event) in config.known_endpoints.events.iter().enumerate() {
        core.on_endpoint_list(event, index == 0);
    }
    core.skip_event(config.known_endpoints.last_event);
}

/// Creates the schedule on which this manager polls for endpoint lists.
fn endpoint_poller(startup: StartupConfig, config: &Config) -> EndpointPoller {
    let fleet = config.settings.gateways;
    let poller = EndpointPoller::new(startup.endpoint_poller, fleet, config.seed, now());
    let window_s = poller.first_poll_window().as_secs_f64();
    info!(window_s, managers = fleet, "first endpoint poll scheduled");
    poller
}

fn start_failover(core: &Core, settings: Option<FailoverConfig>, config: &Config) {
    let Some(settings) = settings.filter(|settings| settings.enabled) else { return };
    let home = config.settings.zone;
    info!(home_zone = home, zones = config.zone_names.len(), "failover enabled");
    core.enable_zone_failover(&settings, home, config.zone_names.clone());
}

/// Starts the membership if it is enabled.
async fn start_membership(
    core: &Rc<Core>,
    settings: Option<MembershipConfig>,
    config: &Config,
) -> Result<Option<MembershipHandle>, ServeError> {
    let Some(settings) = settings.filter(|settings| settings.enabled) else { return Ok(None) };
    let fleet = FleetSettings {
        managers: config.settings.gateways,
        retry_budget: config.settings.retry_budget,
        slow_start_window: config.settings.slow_start_window,
        slow_start_duration: config.settings.slow_start_duration,
    };
    let core = Rc::clone(core);
    Ok(Some(membership_driver::start(core, settings, &config.name, config.seed, fleet).await?))
}

async fn open_listener(
    inherited: Option<std::net::TcpListener>,
    address: &str,
) -> Result<TcpListener, ServeError> {
    match inherited {
        Some(listener) => TcpListener::from_std(listener).map_err(ServeError::InheritedListener),
        None => bind(address).await,
    }
}

fn start_hot_restart(core: &Rc<Core>, config: &Config, feed: Rc<FeedAddress>) -> Rc<HotRestartDriver> {
    let retry_budget = config.settings.retry_budget.as_ref();
    let windows = WindowSpans {
        retry_budget: retry_budget.map_or(TimeDelta::ZERO, |budget| budget.window),
        slow_start: config.settings.slow_start_window,
    };
    HotRestartDriver::start(Rc::clone(core), feed, &config.name, &config.listen, windows)
}

async fn open_second_front(core: &Rc<Core>, config: SecondFrontConfig) -> Result<OpenFront, ServeError> {
    let listener = bind(&config.listen).await?;
    let second_front = OpenFront::open(FrontName::Second, core, listener, config.front)?;
    if let Some(certificates) = config.certificates {
        certificates::maintain(certificates, Rc::clone(&second_front.front)).await?;
    }
    Ok(second_front)
}
