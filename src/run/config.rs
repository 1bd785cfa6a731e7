//! The platform's configuration as the program uses it.
//!
//! `sprucelink_settings` reads the text into types; this module turns them into limits, names and settings.

use super::admin;
use super::descriptor_budget::{DescriptorBudget, TooFewDescriptors};
use super::memory_budget;
use crate::core::engine_connection::ConnectionLimits;
use crate::front::{ClassConfig, FrontConfig};
use crate::proto::events::{self, ListEvent};
use sprucelink_policy::{ClassSettings, Effect, Settings, TimeDelta};
use sprucelink_settings::{Environment, Error, ErrorReason, PlatformConfig, Text, WireClass};
use std::net::SocketAddr;

/// Limit on the file descriptors of the process if the configuration has none.
const DEFAULT_SOCKETS: usize = 1024;
/// Memory limit in megabytes if the configuration has none.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Lower bound of the memory limit in megabytes when the size of the pool is computed.
const MIN_MEMORY_MB: usize = 16;
/// Bytes in a megabyte of the memory limit.
const MEGABYTE: usize = 1 << 20;
/// Maximum number of concurrent attempts on one engine connection if the configuration has no limit.
const DEFAULT_MAX_STREAMS: f64 = 32.0;
/// Connect timeout of an engine connection in seconds if the configuration has none.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 1.0;
/// Seconds after which an idle engine connection is closed if the configuration has no timeout.
const DEFAULT_IDLE_TIMEOUT_S: f64 = 15.0;
/// The limit on connections to one engine is the limit on descriptors divided by this, but at least
/// [`MIN_CONNECTIONS_PER_ENGINE`].
const CONNECTIONS_PER_ENGINE_DIVISOR: usize = 32;
/// Lowest limit on the connections to one engine.
const MIN_CONNECTIONS_PER_ENGINE: usize = 2;

/// The events of the control feed in a configuration, which are applied before the feed is polled.
pub struct KnownEndpoints {
    /// Sequence number of the last event; the control feed is polled for the events after it. 0 if there are
    /// no events.
    pub last_event: u64,
    /// The events that change the endpoint list, oldest first.
    pub events: Vec<ListEvent>,
}

/// The platform's configuration, converted for the subsystems of the program.
pub struct Config {
    /// This manager's name, the same after a restart; empty if none is configured.
    pub name: String,
    /// Address on which clients connect.
    pub listen: String,
    /// Address of the control feed; `None` if none is configured.
    pub feed: Option<String>,
    /// Address of the admin listener; `None` disables it.
    pub admin_address: Option<SocketAddr>,
    /// Descriptor of the clients' listening socket, if the platform passed one on.
    pub inherited_listener: Option<u32>,
    /// Events of the control feed that precede the start of this manager.
    pub known_endpoints: KnownEndpoints,
    /// Settings of the policy, converted from the platform's settings.
    pub settings: Settings,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Names of zones, by zone index.
    pub zone_names: Vec<String>,
    /// Names of machine kinds, by kind index.
    pub kind_names: Vec<String>,
    /// File descriptors that the process may hold (`limits.sockets`).
    pub sockets: usize,
    /// Division of `sockets` among sessions, handshakes, draining connections and connections to engines.
    pub descriptors: DescriptorBudget,
    /// Limits and timeouts of the connections to engines.
    pub connection_limits: ConnectionLimits,
    /// Limits, classes and tenants of the platform's front.
    pub front: FrontConfig,
    /// Maximum number of bytes in the pool of buffers.
    pub pool_bytes: usize,
}

impl Config {
    /// Reserves `count` more descriptors, and reduces the limits on sessions and engine connections
    /// accordingly.
    ///
    /// # Errors
    /// If the limit on descriptors is too low for the reservation; the error holds the lowest sufficient
    /// limit.
    pub fn reserve_descriptors(&mut self, count: usize) -> Result<(), TooFewDescriptors> {
        self.descriptors = DescriptorBudget::divide(self.sockets, self.descriptors.reserved + count)?;
        self.connection_limits.max_total = self.descriptors.engine_connections;
        self.front.max_sessions = self.descriptors.sessions;
        Ok(())
    }
}

/// Parses the text of a configuration. The environment supplies the inherited socket, and the admin address
/// if the text has none.
///
/// # Errors
/// The first invalid field, with its line, column and path.
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
    let pool_bytes = memory_budget::pool_bytes(memory_bytes(platform.limits.memory_mb.0)?, sockets);
    Ok(Config {
        connection_limits: connection_limits(&platform, &settings, sockets, &descriptors),
        front: front_config(&platform, &settings, &descriptors),
        zone_names: non_empty_names(&platform.settings.zone_names),
        kind_names: non_empty_names(&platform.settings.kind_names),
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
        pool_bytes,
    })
}

/// The names in a list, without empty ones.
fn non_empty_names(texts: &[Text]) -> Vec<String> {
    texts.iter().filter(|text| !text.0.is_empty()).map(|text| text.0.clone()).collect()
}

/// The memory that the process may use, in bytes.
fn memory_bytes(memory_mb: Option<u64>) -> Result<usize, Error> {
    if memory_mb == Some(0) {
        return Err(Error::at_path("limits.memory_mb", ErrorReason::NoMemory));
    }
    let memory_mb = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize;
    Ok(memory_mb.max(MIN_MEMORY_MB).saturating_mul(MEGABYTE))
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
        allows_extended_queries: false,
        require_tls: false,
        default_class: None,
        default_tenant: None,
    }
}

#[cfg(test)]
mod tests;
