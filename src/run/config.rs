//! The configuration, read once into the few values that the program uses. What it holds, `sprucelink_settings`
//! reads into types, the settings as the adapter's; here they become limits, terms and names.

use super::admin;
use crate::core::engine_connection::ConnectionLimits as Terms;
use crate::front::{ClassConfig, FrontConfig};
use crate::proto::events::{self, ListEvent};
use sprucelink_policy::{ClassSettings, Effect, Settings, TimeDelta};
use sprucelink_settings::{Environment, Error, ErrorReason, PlatformConfig, Text, WireClass};
use std::net::SocketAddr;

/// Descriptors that the process holds whoever calls, at most: three standard streams, seven of the runtime (its poll, the
/// waker, signals), the clients' listener, the membership's socket, the feed's call, and three files: a configuration
/// read anew, a capture, the handover's. [`Shares`] tells who holds the others.
const OWN: usize = 16;
/// Sixteenths of the shared descriptors that sessions may hold: clients hold a third of all at most, and
/// the rest is for those that say nothing. What is left is the engines'.
const SESSIONS: usize = 10;
/// Fewer shared descriptors than this are too few to serve with: five sessions, three links.
const LEAST_SHARED: usize = 8;
/// Where the limit on descriptors is not told.
const SOCKETS: usize = 1024;

/// How the descriptors that the limit allows are shared out. All bounds together never go over it:
///
/// `OWN + kept + lobby + leaving + sessions + links <= sockets`
///
/// What is shared is what the first four leave; sessions get ten sixteenths of it and links six, each rounded down.
///
/// | limit | own | operators | lobby | leaving | sessions | links | in all |
/// | --- | --- | --- | --- | --- | --- | --- | --- |
/// | 64 | 16 | 6 | 4 | 2 | 22 | 13 | 63 |
/// | 128 | 16 | 10 | 8 | 2 | 57 | 34 | 127 |
/// | 512 | 16 | 34 | 24 | 8 | 268 | 161 | 511 |
/// | 672 | 16 | 34 | 24 | 8 | 368 | 221 | 671 |
/// | 1024 | 16 | 34 | 24 | 8 | 588 | 353 | 1023 |
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Of the limit, what others than the first front and the links hold: operators' calls, the second front.
    pub kept: usize,
    /// Clients' connections without a seat.
    pub lobby: usize,
    /// Sessions that were told to go and have something to end first.
    pub leaving: usize,
    /// Sessions.
    pub sessions: usize,
    /// Links to engines.
    pub links: usize,
}

impl Shares {
    /// Shares out `sockets` descriptors, of which `kept` are for others.
    ///
    /// # Errors
    /// The least limit that would do.
    pub fn of(sockets: usize, kept: usize) -> Result<Shares, usize> {
        let (lobby, leaving, shared) = match Shares::shared(sockets, kept) {
            Some(parts) => parts,
            None => {
                return Err((sockets..).find(|s| Shares::shared(*s, kept).is_some()).unwrap_or(usize::MAX))
            }
        };
        let sessions = shared.saturating_mul(SESSIONS) / 16;
        let links = shared.saturating_mul(16 - SESSIONS) / 16;
        Ok(Shares { kept, lobby, leaving, sessions, links })
    }

    /// Lobby, leaving, and what they leave to be shared, if that is enough.
    fn shared(sockets: usize, kept: usize) -> Option<(usize, usize, usize)> {
        let (lobby, leaving) = ((sockets / 16).clamp(4, 24), (sockets / 64).clamp(2, 8));
        let shared = sockets.checked_sub(OWN + kept + lobby + leaving)?;
        (shared >= LEAST_SHARED).then_some((lobby, leaving, shared))
    }
}

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
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// How they are shared out.
    pub shares: Shares,
    /// Connections to engines.
    pub terms: Terms,
    /// What the fronts know.
    pub setup: FrontConfig,
    /// Buffers that the memory limit leaves room for.
    pub buffers: usize,
}

impl Config {
    /// Keeps `more` descriptors back, each side giving its part.
    ///
    /// # Errors
    /// The least limit that would do.
    pub fn keep_back(&mut self, more: usize) -> Result<(), usize> {
        self.shares = Shares::of(self.sockets, self.shares.kept + more)?;
        self.terms.max_total = self.shares.links;
        self.setup.max_sessions = self.shares.sessions;
        Ok(())
    }
}

/// Reads a configuration's text; where operators call, and the inherited socket, the environment may say too.
///
/// # Errors
/// Where the text will not do: by line, column and path.
pub fn parse(text: &str, environment: &Environment) -> Result<Config, Error> {
    let told: PlatformConfig<events::ConfiguredEvent> = PlatformConfig::parse(text)?;
    let set = told.settings.to_policy_settings();
    let limits = &told.settings.limits;
    let names = |list: &[Text]| list.iter().filter(|n| !n.0.is_empty()).map(|n| n.0.clone()).collect();
    let class = |(p, c): (&WireClass, &ClassSettings)| ClassConfig {
        name: p.name.0.clone(),
        has_idempotency_key: c.effect == Effect::Keyed,
        default_timeout: c.deadline,
    };
    let operator = told.operator.or(environment.operator);
    let sockets = told.limits.sockets.0.map_or(SOCKETS, |n| usize::try_from(n).unwrap_or(usize::MAX));
    let kept = operator.map_or(0, |_| admin::limits(sockets).descriptors());
    let shares = Shares::of(sockets, kept).map_err(|least| {
        Error::at_path("limits.sockets", ErrorReason::TooFewDescriptors { limit: sockets, needed: least })
    })?;
    if told.limits.memory_mb.0 == Some(0) {
        return Err(Error::at_path("limits.memory_mb", ErrorReason::NoMemory));
    }
    Ok(Config {
        name: told.name,
        listen: told.listen.to_string(),
        feed: told.feed,
        operator,
        inherited: environment.listener,
        known: (told.known.n.0.unwrap_or(0), told.known.events.into_iter().filter_map(|e| e.0).collect()),
        seed: told.seed.0,
        names: [names(&told.settings.zones), names(&told.settings.shapes)],
        sockets,
        shares,
        terms: Terms {
            max_streams: limits.max_streams.unwrap_or(32.0).max(1.0) as usize,
            dial_timeout: TimeDelta::from_secs_f64(limits.connect_timeout.unwrap_or(1.0)),
            idle_timeout: TimeDelta::from_secs_f64(limits.conn_idle.unwrap_or(15.0)),
            note_interval: set.progress_pace,
            max_per_engine: (sockets / 32).max(2),
            max_total: shares.links,
        },
        setup: FrontConfig {
            classes: told.settings.profiles.iter().zip(&set.classes).map(class).collect(),
            tenants: told.settings.customers.iter().map(|c| c.name.0.clone()).collect(),
            max_sessions: shares.sessions,
            max_evicted: shares.leaving,
            max_sessionless: shares.lobby,
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
