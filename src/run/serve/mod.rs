//! Serves clients, from the configuration to the last response after SIGTERM.
//!
//! [`startup`] starts the subsystems in order, [`fronts`] opens the listening sockets, [`reload`] reads the
//! configuration again at SIGHUP, and [`shutdown`] responds to all open requests before the process exits.

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

/// The configuration and the optional settings files, as read at startup.
pub struct ServerConfig {
    /// The platform's configuration, with the descriptors of the second front reserved.
    pub config: Config,
    /// Address of the admin listener; `None` disables it.
    pub admin_address: Option<String>,
    /// The clients' listening socket if the platform passed one on; otherwise this process opens its own.
    pub inherited_listener: Option<std::net::TcpListener>,
    /// Settings of the second front; `None` disables it.
    pub second_front: Option<SecondFrontConfig>,
    /// Settings of the capture recorder; `None` disables recording.
    pub recorder: Option<RecorderSettings>,
    /// Settings of startup pacing, which is off if they are absent or not enabled.
    pub startup: Option<StartupConfig>,
    /// Settings of the membership, by which managers gossip; it is off if they are absent or not enabled.
    pub membership: Option<MembershipConfig>,
    /// Settings of failover between zones, which is off if they are absent or not enabled.
    pub failover: Option<FailoverConfig>,
}

/// Serves until SIGTERM or SIGINT. At SIGHUP `read_config` reads the configuration again from the file that
/// `options` name.
///
/// # Errors
/// A failed start, or a core clock that stopped while serving.
pub fn serve(
    config: ServerConfig,
    options: ServeOptions,
    read_config: ConfigReader,
) -> Result<(), ServeError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(ServeError::Runtime)?;
    let result = LocalSet::new().block_on(&runtime, run(config, options, read_config));
    // A blocking thread that is still reading a file must not delay the exit.
    runtime.shutdown_background();
    result
}

async fn run(
    config: ServerConfig,
    options: ServeOptions,
    read_config: ConfigReader,
) -> Result<(), ServeError> {
    // The handlers are registered before the first await: a signal without a handler would end the process.
    let hangup = register_signal(SignalKind::hangup())?;
    let mut terminate = register_signal(SignalKind::terminate())?;
    let mut interrupt = register_signal(SignalKind::interrupt())?;
    let reloader = reload::Reloader { hangup, options, read_config };
    let mut server = Server::start(config, reloader).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        // Without its clock the core would never time out a request.
        _ = &mut server.core_task => {
            server.core.set_recorder(None);
            return Err(ServeError::CoreStopped);
        }
    }
    shutdown::shut_down(server).await;
    Ok(())
}

fn register_signal(kind: SignalKind) -> Result<Signal, ServeError> {
    signal(kind).map_err(ServeError::Signals)
}
