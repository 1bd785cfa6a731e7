//! The configuration, read once into the few values that the program uses. The settings go
//! through the adapter's own decoder: they are flattened into its `path=value` pairs.

use crate::core::links::Terms;
use crate::front::{Class, Setup};
use crate::proto::events::{self, ListEvent};
use crate::wire::{parse_line, Line};
use serde_json::Value;
use sprucelink_policy::interface::{Effect, Micros, Settings};
use std::collections::BTreeMap;

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

/// Reads a configuration's text.
pub fn parse(text: &str) -> Result<Config, String> {
    let json: Value = serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
    let settings =
        json.get("settings").filter(|s| s.is_object()).ok_or("configuration: settings: missing")?;
    let mut pairs = BTreeMap::new();
    flatten("", settings, &mut pairs);
    let set = decode(&pairs)?;
    let get = |path: &str| pairs.get(path).map_or("", String::as_str);
    let num = |path: &str, absent: f64| get(path).parse::<f64>().unwrap_or(absent);
    let list = |path: &str| -> Vec<String> {
        get(path).split(',').filter(|s| !s.is_empty()).map(str::to_owned).collect()
    };
    let name = |kind: &str, i: usize| get(&format!("{kind}.{i}.name")).to_owned();
    let class = |(i, c): (usize, &sprucelink_policy::interface::ClassSettings)| Class {
        name: name("profiles", i),
        keyed: c.effect == Effect::Keyed,
        deadline: c.deadline,
    };
    let limit = |key: &str, absent: u64| json["limits"][key].as_u64().unwrap_or(absent) as usize;
    let sockets = limit("sockets", 1024).max(2 * SPARE_SOCKETS);
    let seed = &json["seed"];
    let seed = seed.as_u64().or_else(|| u64::from_str_radix(seed.as_str()?, 16).ok());
    let known = json["known"]["events"].as_array().map_or(&[][..], Vec::as_slice);
    let known = known.iter().map(events::decode).collect::<Result<Vec<_>, _>>();
    let known = known.map_err(|e| format!("configuration: known: {e}"))?;
    let listen = json["listen"].as_str().ok_or("configuration: listen: missing")?.to_owned();
    listen
        .parse::<std::net::SocketAddr>()
        .map_err(|_| format!("configuration: listen: {listen:?} is no address"))?;
    Ok(Config {
        name: json["name"].as_str().unwrap_or_default().to_owned(),
        listen,
        feed: json["feed"].as_str().map(str::to_owned),
        known: (json["known"]["n"].as_u64().unwrap_or(0), known.into_iter().flatten().collect()),
        seed: seed.ok_or("configuration: seed: missing, or no number")?,
        names: [list("zones"), list("shapes")],
        terms: Terms {
            streams: num("limits.maxStreams", 32.0).max(1.0) as usize,
            dial: Micros::from_secs(num("limits.connectTimeout", 1.0)),
            idle: Micros::from_secs(num("limits.connIdle", 15.0)),
            notes: set.progress_pace,
            most: (sockets / 32).max(2),
            most_links: (sockets - SPARE_SOCKETS) * (16 - SESSIONS) / 16,
        },
        setup: Setup {
            classes: set.classes.iter().enumerate().map(class).collect(),
            tenants: (0..set.tenants.len()).map(|i| name("customers", i)).collect(),
            most_sessions: (sockets - SPARE_SOCKETS) * SESSIONS / 16,
            extended: false,
            require_tls: false,
            default_class: None,
            default_tenant: None,
        },
        // Half of the memory, in buffers of 64 KiB: eight to a megabyte.
        buffers: limit("memory_mb", 192).max(16) * 8,
        settings: set,
    })
}

fn decode(pairs: &BTreeMap<String, String>) -> Result<Settings, String> {
    let mut line = "INIT\tself\t0".to_owned();
    for (path, value) in pairs {
        line.push_str(&format!("\t{path}={value}"));
    }
    match parse_line(&line) {
        Ok(Some(Line::Init(_, _, set))) => Ok(*set),
        Ok(_) => Err("configuration: settings: unreadable".into()),
        Err(e) => Err(format!("configuration: settings: {e}")),
    }
}

/// Lists of plain values are joined by commas; lists of objects give their length and their items
/// by number; white space and commas inside a value become underscores.
fn flatten(path: &str, value: &Value, out: &mut BTreeMap<String, String>) {
    let below = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, v)| flatten(&below(key), v, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            out.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(i, v)| flatten(&below(&i.to_string()), v, out));
        }
        Value::Array(items) => {
            let plain: Vec<String> = items.iter().map(scalar).collect();
            out.insert(path.to_owned(), plain.join(","));
        }
        _ => drop(out.insert(path.to_owned(), scalar(value))),
    }
}

fn scalar(value: &Value) -> String {
    match value {
        Value::String(s) => s.replace(|c: char| c.is_whitespace() || c.is_control() || c == ',', "_"),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
