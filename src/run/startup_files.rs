//! Reads the files that the command line names: the configuration and the optional settings files.

use super::cli::ServeOptions;
use super::config::{self, Config};
use super::error::BoxError;
use super::second_front::{self, SecondFrontConfig, SecondFrontError};
use super::serve::ServerConfig;
use super::socket_activation::{self, SocketActivationError};
use sprucelink_capture::settings::Settings as RecorderSettings;
use sprucelink_membership::MembershipConfig;
use sprucelink_settings::{Environment, SettingsFile};
use sprucelink_startup::config::StartupConfig;
use sprucelink_zone_failover::config::FailoverConfig;
use std::io;

/// Reason why a file or an environment variable cannot be used at startup.
#[derive(Debug, thiserror::Error)]
pub enum StartupFileError {
    /// An environment variable is invalid.
    #[error(transparent)]
    Environment(#[from] sprucelink_settings::Error),
    /// Neither the command line nor the environment names a configuration.
    #[error("no configuration: give --config FILE or set EDGE_CONFIG")]
    NoConfiguration,
    /// A file cannot be read.
    #[error("{path}")]
    Read {
        /// Path of the file.
        path: String,
        /// The operating system's reason.
        source: io::Error,
    },
    /// A file can be read, but its content is invalid.
    #[error("{path}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// Location in the file, field and reason.
        source: BoxError,
    },
    /// The inherited listening socket cannot be used.
    #[error(transparent)]
    InheritedListener(#[from] SocketActivationError),
}

/// Reads all files that the options name, and takes over the inherited listening socket.
///
/// # Errors
/// The first file that cannot be used.
pub fn read(options: &ServeOptions) -> Result<ServerConfig, StartupFileError> {
    let mut config = read_config(options)?;
    let recorder = read_recorder(options)?;
    let inherited_listener = config.inherited_listener.map(socket_activation::listener).transpose()?;
    let second_front = match &options.operator {
        Some(path) => Some(read_second_front(path, &mut config)?),
        None => None,
    };
    Ok(ServerConfig {
        admin_address: config.admin_address.map(|address| address.to_string()),
        inherited_listener,
        second_front,
        recorder,
        startup: read_optional(options.cold_start.as_ref(), StartupConfig::parse)?,
        membership: read_optional(options.membership.as_ref(), MembershipConfig::parse)?,
        failover: read_optional(options.failover.as_ref(), FailoverConfig::parse)?,
        config,
    })
}

/// Reads the configuration file that the options name, or else the one that `EDGE_CONFIG` names.
///
/// # Errors
/// A configuration that is missing, unreadable or invalid.
pub fn read_config(options: &ServeOptions) -> Result<Config, StartupFileError> {
    let environment = Environment::read(|name| std::env::var(name).ok())?;
    let path = options.config.as_ref().or(environment.config.as_ref());
    let path = path.ok_or(StartupFileError::NoConfiguration)?;
    let text = read_text(path)?;
    let mut config = config::parse(&text, &environment).map_err(|e| invalid(path, e))?;
    if let Some(listen) = &options.listen {
        config.listen.clone_from(listen);
    }
    Ok(config)
}

/// Reads the second front's settings, and reserves its descriptors in the configuration.
fn read_second_front(path: &str, config: &mut Config) -> Result<SecondFrontConfig, StartupFileError> {
    let text = read_text(path)?;
    let second_front = second_front::parse(&text, &config.front).map_err(|e| invalid(path, e))?;
    let needed = second_front.descriptors();
    config
        .reserve_descriptors(needed)
        .map_err(|too_few| invalid(path, SecondFrontError::TooManyDescriptors { needed, too_few }))?;
    Ok(second_front)
}

/// Reads the recorder's settings; `None` if nothing is to be recorded. The folder on the command line takes
/// precedence over the file's.
fn read_recorder(options: &ServeOptions) -> Result<Option<RecorderSettings>, StartupFileError> {
    let folder = options.capture.as_deref();
    let Some(settings) = read_optional(options.recorder.as_ref(), RecorderSettings::parse)? else {
        return Ok(folder.map(RecorderSettings::in_dir));
    };
    Ok(Some(match folder {
        Some(folder) => RecorderSettings { dir: folder.into(), ..settings },
        None => settings,
    }))
}

/// Reads the settings file at `path`; `None` if no path is given.
fn read_optional<T, E: Into<BoxError>>(
    path: Option<&String>,
    parse: impl FnOnce(&str) -> Result<T, E>,
) -> Result<Option<T>, StartupFileError> {
    let Some(path) = path else { return Ok(None) };
    let settings = parse(&read_text(path)?).map_err(|e| invalid(path, e))?;
    Ok(Some(settings))
}

fn read_text(path: &str) -> Result<String, StartupFileError> {
    std::fs::read_to_string(path).map_err(|source| StartupFileError::Read { path: path.to_owned(), source })
}

fn invalid(path: &str, error: impl Into<BoxError>) -> StartupFileError {
    StartupFileError::Invalid { path: path.to_owned(), source: error.into() }
}
