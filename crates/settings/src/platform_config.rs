//! The platform's configuration: a JSON object, whose unknown fields are skipped.

use crate::value::{object, or_default, section, Object, WholeNumber};
use crate::{Error, WireSettings};
use serde::de::{self, Deserializer, Unexpected, Visitor};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// What the platform tells a manager at its start. `E` is an event of the control feed: what one is, the reader
/// of the feed knows.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(bound(deserialize = "E: Deserialize<'de>"))]
pub struct PlatformConfig<E> {
    /// Its name, the same after a restart; empty where none is told.
    #[serde(default, deserialize_with = "or_default")]
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: Seed,
    /// What it may use.
    #[serde(default, deserialize_with = "section")]
    pub limits: ProcessLimits,
    /// Where the control feed is.
    #[serde(default)]
    pub feed: Option<String>,
    /// Where operators call, if they do.
    #[serde(default)]
    pub operator: Option<SocketAddr>,
    /// The control feed's events up to now.
    #[serde(default = "KnownEvents::none", deserialize_with = "known")]
    pub known: KnownEvents<E>,
    /// The settings of the simulator's first message.
    #[serde(deserialize_with = "object")]
    pub settings: WireSettings,
}

impl<E: for<'de> Deserialize<'de>> PlatformConfig<E> {
    /// Reads a configuration's text.
    ///
    /// # Errors
    /// Where the text is no JSON, a needed field is missing (`listen`, `seed`, `settings`) or a known one holds
    /// what it may not: by line, column and path.
    pub fn parse(text: &str) -> Result<PlatformConfig<E>, Error> {
        let mut json = serde_json::Deserializer::from_str(text);
        let read = serde_path_to_error::deserialize(&mut json);
        let Object(read) = read.map_err(|e| Error::json(e.path().to_string(), e.inner()))?;
        json.end().map_err(|e| Error::json(String::new(), &e))?;
        Ok(read)
    }
}

/// What a manager may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ProcessLimits {
    /// Memory in MB, before it is killed.
    pub memory_mb: WholeNumber,
    /// Descriptors.
    pub sockets: WholeNumber,
}

/// Events of the control feed up to the start.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(bound(deserialize = "E: Deserialize<'de>"))]
pub struct KnownEvents<E> {
    /// The number of the last; absent, or with no events told: 0.
    #[serde(default)]
    pub n: WholeNumber,
    /// The events, in order.
    #[serde(default = "Vec::new", deserialize_with = "or_default")]
    pub events: Vec<E>,
}

impl<E> KnownEvents<E> {
    fn none() -> KnownEvents<E> {
        KnownEvents { n: WholeNumber(None), events: Vec::new() }
    }
}

fn known<'de, D: Deserializer<'de>, E: Deserialize<'de>>(d: D) -> Result<KnownEvents<E>, D::Error> {
    // Guards against a number without events: asked for what follows on it, the feed would never tell the whole list.
    let told = Option::<KnownEvents<E>>::deserialize(d)?;
    Ok(told.filter(|k| !k.events.is_empty()).unwrap_or_else(KnownEvents::none))
}

/// A seed: a number, or up to 16 hex digits as text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed(pub u64);

impl<'de> Deserialize<'de> for Seed {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Seed, D::Error> {
        struct Read;
        impl Visitor<'_> for Read {
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
        d.deserialize_any(Read)
    }
}
