//! Serving clients, from the configuration to the last answer after SIGTERM.
//!
//! [`startup`] starts the subsystems in order, [`fronts`] opens the listening sockets, [`reload`] reads the
//! configuration again at SIGHUP, and [`shutdown`] answers what is open before the process ends.

mod error;
mod fronts;
mod reload;
mod shutdown;
mod startup;

pub use error::ServeError;
pub use reload::{ConfigReader, ReloadError};

use super::cli::ServeOptions;
use super::config::Config;
use super::second_front::SecondFrontConfig;
use sprucelink_capture::settings::Settings as RecorderSettings;
use sprucelink_membership::MembershipConfig;
use sprucelink_startup::config::StartupConfig;
use sprucelink_zone_failover::config::FailoverConfig;
use startup::Server;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;

/// Everything that a start has read: the configuration and the optional files beside it.
pub struct ServerConfig {
    /// The configuration.
    pub config: Config,
    /// Address of the admin listener; without it there is none.
    pub admin_address: Option<String>,
    /// The clients' listening socket where the platform holds it; otherwise this process opens its own.
    pub inherited_listener: Option<std::net::TcpListener>,
    /// The second front; without it that front is off.
    pub second_front: Option<SecondFrontConfig>,
    /// The recorder; without it nothing is recorded.
    pub recorder: Option<RecorderSettings>,
    /// Start-up pacing; off where it is absent or not enabled.
    pub cold_start: Option<StartupConfig>,
    /// Gossip between managers; off where it is absent or not enabled.
    pub membership: Option<MembershipConfig>,
    /// Failover between zones; off where it is absent or not enabled.
    pub failover: Option<FailoverConfig>,
}

/// Serves until SIGTERM or SIGINT. At SIGHUP the configuration is read again by `read_config` from the files of
/// `options`.
///
/// # Errors
/// A start that failed, or a policy clock that stopped while serving.
pub fn serve(
    config: ServerConfig,
    options: ServeOptions,
    read_config: ConfigReader,
) -> Result<(), ServeError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ServeError::Runtime)?;
    let served = LocalSet::new().block_on(&runtime, run(config, options, read_config));
    // A blocking thread that still reads a file must not delay the exit.
    runtime.shutdown_background();
    served
}

async fn run(
    config: ServerConfig,
    options: ServeOptions,
    read_config: ConfigReader,
) -> Result<(), ServeError> {
    // Before the first await: a signal without a handler would end the process.
    let hangup = register(SignalKind::hangup())?;
    let mut terminate = register(SignalKind::terminate())?;
    let mut interrupt = register(SignalKind::interrupt())?;
    let reloader = reload::Reloader { hangup, options, read_config };
    let mut server = Server::start(config, reloader).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        // Without its clock the core would end no request any more.
        _ = &mut server.core_task => {
            server.core.set_recorder(None);
            return Err(ServeError::CoreStopped);
        }
    }
    shutdown::shut_down(server).await;
    Ok(())
}

fn register(kind: SignalKind) -> Result<Signal, ServeError> {
    signal(kind).map_err(ServeError::Signals)
}
