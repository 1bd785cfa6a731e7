//! The platform's configuration as the program uses it.
//!
//! `sprucelink_settings` reads the text into types; here they become limits, names and settings.

use super::admin;
use super::descriptor_budget::{DescriptorBudget, TooFewDescriptors};
use crate::core::engine_connection::ConnectionLimits;
use crate::front::{ClassConfig, FrontConfig};
use crate::proto::events::{self, ListEvent};
use sprucelink_policy::{ClassSettings, Effect, Settings, TimeDelta};
use sprucelink_settings::{Environment, Error, ErrorReason, PlatformConfig, Text, WireClass};
use std::net::SocketAddr;

/// Limit on descriptors where the configuration names none.
const DEFAULT_SOCKETS: usize = 1024;
/// Memory limit in megabytes where the configuration names none.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Lowest memory limit in megabytes that buffers are computed from.
const MIN_MEMORY_MB: usize = 16;
/// Buffers of 64 KiB for each megabyte of the memory limit: half of the memory.
const BUFFERS_PER_MB: usize = 8;
/// Attempts that one engine connection carries where the configuration does not say.
const DEFAULT_MAX_STREAMS: f64 = 32.0;
/// Seconds that an engine connection may take to be established where the configuration does not say.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 1.0;
/// Seconds after which an idle engine connection is closed where the configuration does not say.
const DEFAULT_IDLE_TIMEOUT_S: f64 = 15.0;
/// The limit on descriptors is divided by this for the connections to one engine.
const CONNECTIONS_PER_ENGINE_DIVISOR: usize = 32;
/// Lowest limit on the connections to one engine.
const MIN_CONNECTIONS_PER_ENGINE: usize = 2;

/// The endpoint events that a configuration holds.
pub struct KnownEndpoints {
    /// Number of the last event.
    pub last_event: u64,
    /// The events, oldest first.
    pub events: Vec<ListEvent>,
}

/// Everything that a start needs from the configuration.
pub struct Config {
    /// This manager's name, the same after a restart; empty where none is configured.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Address of the control feed.
    pub feed: Option<String>,
    /// Address of the admin listener; without it there is none.
    pub admin_address: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, where the platform holds it.
    pub inherited_listener: Option<u32>,
    /// Endpoint events up to now.
    pub known_endpoints: KnownEndpoints,
    /// The policy's settings.
    pub settings: Settings,
    /// Seed for random numbers.
    pub seed: u64,
    /// Names of zones, by number.
    pub zone_names: Vec<String>,
    /// Names of machine kinds, by number.
    pub kind_names: Vec<String>,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// How the descriptors are divided.
    pub descriptors: DescriptorBudget,
    /// Limits of engine connections.
    pub connection_limits: ConnectionLimits,
    /// Configuration of the platform's front.
    pub front: FrontConfig,
    /// Number of buffers that fit into the memory limit.
    pub buffers: usize,
}

impl Config {
    /// Reserves `count` more descriptors; sessions and engine connections get fewer.
    ///
    /// # Errors
    /// The limit that would be enough, where this one is not.
    pub fn reserve_descriptors(&mut self, count: usize) -> Result<(), TooFewDescriptors> {
        self.descriptors = DescriptorBudget::divide(self.sockets, self.descriptors.reserved + count)?;
        self.connection_limits.max_total = self.descriptors.engine_connections;
        self.front.max_sessions = self.descriptors.sessions;
        Ok(())
    }
}

/// Reads a configuration. The environment supplies the admin address where the text has none, and the inherited socket.
///
/// # Errors
/// The first field that is invalid: by line, column and path.
pub fn parse(text: &str, environment: &Environment) -> Result<Config, Error> {
    let platform: PlatformConfig<events::ConfiguredEvent> = PlatformConfig::parse(text)?;
    let settings = platform.settings.to_policy_settings();
    let sockets = platform.limits.descriptors.0;
    let sockets = sockets.map_or(DEFAULT_SOCKETS, |n| usize::try_from(n).unwrap_or(usize::MAX));
    let admin_address = platform.admin_address.or(environment.admin_address);
    let reserved = admin_address.map_or(0, |_| admin::limits(sockets).descriptors());
    let descriptors = DescriptorBudget::divide(sockets, reserved).map_err(|error| {
        let reason = ErrorReason::TooFewDescriptors { limit: error.limit, needed: error.sufficient };
        Error::at_path("limits.sockets", reason)
    })?;
    let buffers = buffer_count(platform.limits.memory_mb.0)?;
    Ok(Config {
        connection_limits: connection_limits(&platform, &settings, sockets, &descriptors),
        front: front_config(&platform, &settings, &descriptors),
        zone_names: names(&platform.settings.zone_names),
        kind_names: names(&platform.settings.kind_names),
        name: platform.name,
        listen: platform.listen.to_string(),
        feed: platform.feed,
        admin_address,
        inherited_listener: environment.listener,
        known_endpoints: KnownEndpoints {
            last_event: platform.known_events.last_event.0.unwrap_or(0),
            events: platform.known_events.events.into_iter().filter_map(|event| event.0).collect(),
        },
        settings,
        seed: platform.seed.0,
        sockets,
        descriptors,
        buffers,
    })
}

/// The names of a list; empty ones are left out.
fn names(texts: &[Text]) -> Vec<String> {
    texts.iter().filter(|text| !text.0.is_empty()).map(|text| text.0.clone()).collect()
}

/// Number of buffers for a memory limit in megabytes.
fn buffer_count(memory_mb: Option<u64>) -> Result<usize, Error> {
    if memory_mb == Some(0) {
        return Err(Error::at_path("limits.memory_mb", ErrorReason::NoMemory));
    }
    let memory_mb = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize;
    Ok(memory_mb.max(MIN_MEMORY_MB).saturating_mul(BUFFERS_PER_MB))
}

fn connection_limits(
    platform: &PlatformConfig<events::ConfiguredEvent>,
    settings: &Settings,
    sockets: usize,
    descriptors: &DescriptorBudget,
) -> ConnectionLimits {
    let limits = &platform.settings.limits;
    ConnectionLimits {
        max_streams: limits.max_streams.unwrap_or(DEFAULT_MAX_STREAMS).max(1.0) as usize,
        dial_timeout: TimeDelta::from_secs_f64(limits.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT_S)),
        idle_timeout: TimeDelta::from_secs_f64(limits.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT_S)),
        note_interval: settings.progress_interval,
        max_per_engine: (sockets / CONNECTIONS_PER_ENGINE_DIVISOR).max(MIN_CONNECTIONS_PER_ENGINE),
        max_total: descriptors.engine_connections,
    }
}

fn front_config(
    platform: &PlatformConfig<events::ConfiguredEvent>,
    settings: &Settings,
    descriptors: &DescriptorBudget,
) -> FrontConfig {
    let class = |(wire_class, class): (&WireClass, &ClassSettings)| ClassConfig {
        name: wire_class.name.0.clone(),
        has_idempotency_key: class.effect == Effect::Keyed,
        default_timeout: class.deadline,
    };
    FrontConfig {
        classes: platform.settings.classes.iter().zip(&settings.classes).map(class).collect(),
        tenants: platform.settings.tenants.iter().map(|tenant| tenant.name.0.clone()).collect(),
        max_sessions: descriptors.sessions,
        max_evicted: descriptors.draining,
        max_sessionless: descriptors.handshakes,
        extended: false,
        require_tls: false,
        default_class: None,
        default_tenant: None,
    }
}

#[cfg(test)]
mod tests;
