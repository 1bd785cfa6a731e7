//! The platform's configuration: a JSON object whose unknown fields are skipped.

use crate::value::{object, or_default, section, Object, UnsignedInteger};
use crate::{Error, WireSettings};
use serde::de::{self, Deserializer, Unexpected, Visitor};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// The configuration with which the platform starts a manager. `E` is the type of an event of the control
/// feed, whose format the feed's client knows.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(bound(deserialize = "E: Deserialize<'de>"))]
pub struct PlatformConfig<E> {
    /// The manager's name, the same after a restart; empty if absent.
    #[serde(default, deserialize_with = "or_default")]
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Seed of the manager's random number generators.
    pub seed: Seed,
    /// Limits of the process on memory and file descriptors.
    #[serde(default, deserialize_with = "section")]
    pub limits: ProcessLimits,
    /// Address of the control feed, which sends the endpoint list; `None` if the configuration has none.
    #[serde(default)]
    pub feed: Option<String>,
    /// Address of the admin listener; `None` if the configuration has none.
    #[serde(rename = "operator", default)]
    pub admin_address: Option<SocketAddr>,
    /// Events of the control feed that precede the start of this manager.
    #[serde(rename = "known", default = "KnownEvents::none", deserialize_with = "known_events")]
    pub known_events: KnownEvents<E>,
    /// The settings, with the same fields as in the simulator's line that starts an instance.
    #[serde(deserialize_with = "object")]
    pub settings: WireSettings,
}

impl<E: for<'de> Deserialize<'de>> PlatformConfig<E> {
    /// Parses the text of a configuration.
    ///
    /// # Errors
    /// A text that is not JSON, a required field that is missing (`listen`, `seed`, `settings`) or a known
    /// field with an invalid value, with line, column and path.
    pub fn parse(text: &str) -> Result<PlatformConfig<E>, Error> {
        let mut json = serde_json::Deserializer::from_str(text);
        let result = serde_path_to_error::deserialize(&mut json);
        let Object(config) = result.map_err(|e| Error::json(e.path().to_string(), e.inner()))?;
        json.end().map_err(|e| Error::json(String::new(), &e))?;
        Ok(config)
    }
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// Memory in MB above which the process is killed; absent: the program assumes a default.
    pub memory_mb: UnsignedInteger,
    /// Maximum number of file descriptors that the process may hold; absent: the program assumes a
    /// default.
    #[serde(rename = "sockets")]
    pub descriptors: UnsignedInteger,
}

/// Events of the control feed that precede the start of this manager, as the configuration contains them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(bound(deserialize = "E: Deserialize<'de>"))]
pub struct KnownEvents<E> {
    /// Sequence number of the last event; absent if there are no events.
    #[serde(rename = "n", default)]
    pub last_event: UnsignedInteger,
    /// The events, oldest first.
    #[serde(default = "Vec::new", deserialize_with = "or_default")]
    pub events: Vec<E>,
}

impl<E> KnownEvents<E> {
    fn none() -> KnownEvents<E> {
        KnownEvents { last_event: UnsignedInteger(None), events: Vec::new() }
    }
}

fn known_events<'de, D: Deserializer<'de>, E: Deserialize<'de>>(
    deserializer: D,
) -> Result<KnownEvents<E>, D::Error> {
    // A sequence number without the events up to it is ignored. If the feed were polled from that number on,
    // it would never send its first event, which contains the complete list.
    let known = Option::<KnownEvents<E>>::deserialize(deserializer)?;
    Ok(known.filter(|known| !known.events.is_empty()).unwrap_or_else(KnownEvents::none))
}

/// A seed: a number, or up to 16 hex digits as text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed(pub u64);

impl<'de> Deserialize<'de> for Seed {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Seed, D::Error> {
        struct SeedVisitor;
        impl Visitor<'_> for SeedVisitor {
            type Value = Seed;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a whole number, or up to 16 hex digits")
            }
            fn visit_u64<E: de::Error>(self, v: u64) -> Result<Seed, E> {
                Ok(Seed(v))
            }
            fn visit_str<E: de::Error>(self, s: &str) -> Result<Seed, E> {
                let seed = u64::from_str_radix(s, 16).map(Seed);
                seed.map_err(|_| E::invalid_value(Unexpected::Str(s), &self))
            }
        }
        d.deserialize_any(SeedVisitor)
    }
}
