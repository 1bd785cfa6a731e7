//! The configuration, read once into the few values that the program uses. What it holds, `sprucelink_settings`
//! reads into types, the settings as the adapter's; here they become limits, terms and names.

use crate::core::links::Terms;
use crate::front::{Class, Setup};
use crate::proto::events::{self, ListEvent};
use sprucelink_policy::interface::{ClassSettings, Effect, Micros, Settings};
use sprucelink_settings::{Environment, Error, Platform, Profile, Word};
use std::net::SocketAddr;

/// Descriptors kept for the listener, the feed, signals, standard streams, and connections that are
/// being turned away.
const SPARE_SOCKETS: usize = 48;
/// Sixteenths of the other descriptors that sessions may hold: clients hold a third of all at most, and
/// the rest is for those that say nothing. What is left is the engines'.
const SESSIONS: usize = 10;

/// Everything that a start needs.
pub struct Config {
    /// This manager's name, the same after a restart; empty where none is told.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where the control feed is.
    pub feed: Option<String>,
    /// Where operators call, if they do.
    pub operator: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, where the platform holds it.
    pub inherited: Option<u32>,
    /// The feed's events up to now, and the number of the last.
    pub known: (u64, Vec<ListEvent>),
    /// The module's settings.
    pub settings: Settings,
    /// For random numbers.
    pub seed: u64,
    /// Names of zones and of machine kinds.
    pub names: [Vec<String>; 2],
    /// Connections to engines.
    pub terms: Terms,
    /// What the fronts know.
    pub setup: Setup,
    /// Buffers that the memory limit leaves room for.
    pub buffers: usize,
}

/// Reads a configuration's text; where operators call, and the inherited socket, the environment may say too.
///
/// # Errors
/// Where the text will not do: by line, column and path.
pub fn parse(text: &str, environment: &Environment) -> Result<Config, Error> {
    let told: Platform<events::Told> = Platform::parse(text)?;
    let set = told.settings.settings();
    let limits = &told.settings.limits;
    let names = |list: &[Word]| list.iter().filter(|n| !n.0.is_empty()).map(|n| n.0.clone()).collect();
    let class = |(p, c): (&Profile, &ClassSettings)| Class {
        name: p.name.0.clone(),
        keyed: c.effect == Effect::Keyed,
        deadline: c.deadline,
    };
    let sockets = (told.limits.sockets.0.unwrap_or(1024) as usize).max(2 * SPARE_SOCKETS);
    Ok(Config {
        name: told.name,
        listen: told.listen.to_string(),
        feed: told.feed,
        operator: told.operator.or(environment.operator),
        inherited: environment.listener,
        known: (told.known.n.0.unwrap_or(0), told.known.events.into_iter().filter_map(|e| e.0).collect()),
        seed: told.seed.0,
        names: [names(&told.settings.zones), names(&told.settings.shapes)],
        terms: Terms {
            streams: limits.max_streams.or(32.0).max(1.0) as usize,
            dial: Micros::from_secs(limits.connect_timeout.or(1.0)),
            idle: Micros::from_secs(limits.conn_idle.or(15.0)),
            notes: set.progress_pace,
            most: (sockets / 32).max(2),
            most_links: (sockets - SPARE_SOCKETS).saturating_mul(16 - SESSIONS) / 16,
        },
        setup: Setup {
            classes: told.settings.profiles.iter().zip(&set.classes).map(class).collect(),
            tenants: told.settings.customers.iter().map(|c| c.name.0.clone()).collect(),
            most_sessions: (sockets - SPARE_SOCKETS).saturating_mul(SESSIONS) / 16,
            extended: false,
            require_tls: false,
            default_class: None,
            default_tenant: None,
        },
        // Half of the memory, in buffers of 64 KiB: eight to a megabyte.
        buffers: (told.limits.memory_mb.0.unwrap_or(192) as usize).max(16).saturating_mul(8),
        settings: set,
    })
}

#[cfg(test)]
#[path = "config_tests.rs"]
mod tests;
