//! The operator's file: it sets up the second front, which is off without it.

use super::acme::{self, Acme};
use crate::front::FrontConfig;
use serde_json::Value;
use std::time::Duration;

/// Sessions at a time where the file does not say: so many, or this part of the platform's where that is less.
const SESSIONS: usize = 64;
const SESSIONS_PART: usize = 4;
/// Connections of the second front without a seat, and sessions told to go: only who has said nothing is.
const LOBBY: usize = 8;
const LEAVING: usize = 2;

/// What the file says.
#[derive(Debug)]
pub struct Operator {
    /// Where clients of the second front connect.
    pub listen: String,
    /// What that front is set up with.
    pub setup: FrontConfig,
    /// Where its certificates come from.
    pub acme: Option<Acme>,
}

impl Operator {
    /// Descriptors that the second front holds at most: its listener, its connections, and what its certificates need.
    pub fn descriptors(&self) -> usize {
        1 + self.setup.max_connections() + self.acme.as_ref().map_or(0, |_| acme::DESCRIPTORS)
    }
}

/// Names that the file may hold.
const NAMES: [&str; 6] = ["listen", "max_sessions", "default_class", "default_tenant", "tls", "acme"];
/// Names under `acme`.
const ACME_NAMES: [&str; 8] =
    ["directory", "trust_root", "names", "contact", "challenge_listen", "store", "renew_before_s", "retry_s"];
/// A certificate is renewed this long before it expires, where the file does not say.
const RENEW_BEFORE: f64 = 30.0 * 86_400.0;
/// First and longest rest after a failed order, where the file does not say.
const RETRY: [f64; 2] = [60.0, 3_600.0];
/// A year: no span in the file may be longer.
const MOST_SECONDS: f64 = 366.0 * 86_400.0;

/// Reads an operator's file; `platform` is the set-up of the platform's front.
pub fn parse(text: &str, platform: &FrontConfig) -> Result<Operator, String> {
    let json: Value = serde_json::from_str(text).map_err(|e| format!("operator's file: {e}"))?;
    known("", &json, &NAMES)?;
    let listen = address(&json, "listen")?;
    let name = |key: &str, legal: &dyn Fn(&str) -> bool| match &json[key] {
        Value::Null => Ok(None),
        Value::String(s) if legal(s) => Ok(Some(s.clone())),
        _ => Err(format!("operator's file: {key}: names none that is configured")),
    };
    let default_class = name("default_class", &|s| platform.classes.iter().any(|c| c.name == s))?;
    let default_tenant = name("default_tenant", &|s| platform.tenants.iter().any(|t| t == s))?;
    let max_sessions = match &json["max_sessions"] {
        Value::Null => SESSIONS.min(platform.max_sessions / SESSIONS_PART).max(1),
        n => match n.as_u64() {
            Some(n @ 1..=256) => n as usize,
            _ => return Err("operator's file: max_sessions: is no number from 1 to 256".into()),
        },
    };
    let acme = match &json["acme"] {
        Value::Null => None,
        acme => Some(certificates(acme)?),
    };
    let require_tls = match json["tls"].as_str() {
        Some("required") if acme.is_some() => true,
        Some("allowed") => false,
        None if json["tls"].is_null() => acme.is_some(),
        _ => return Err("operator's file: tls: is neither allowed nor required, or acme is missing".into()),
    };
    let setup = FrontConfig {
        require_tls,
        max_sessions,
        max_evicted: LEAVING,
        max_sessionless: LOBBY,
        extended: true,
        default_class,
        default_tenant,
        ..platform.clone()
    };
    Ok(Operator { listen, setup, acme })
}

fn certificates(json: &Value) -> Result<Acme, String> {
    known("acme.", json, &ACME_NAMES)?;
    let fault = |key: &str, why: &str| format!("operator's file: acme.{key}: {why}");
    let texts = |key: &str| -> Result<Vec<String>, String> {
        let list = json[key].as_array().map_or(&[][..], Vec::as_slice);
        let all = list.iter().map(|v| v.as_str().map(str::to_owned)).collect::<Option<Vec<_>>>();
        all.ok_or_else(|| fault(key, "is no list of texts"))
    };
    let seconds = |key: &str, v: &Value, absent: f64| match v {
        Value::Null => Ok(Duration::from_secs_f64(absent)),
        v => match v.as_f64().filter(|s| (0.0..=MOST_SECONDS).contains(s)) {
            Some(s) => Ok(Duration::from_secs_f64(s)),
            None => Err(fault(key, "is no number of seconds of a year or less")),
        },
    };
    let path = |key: &str| json[key].as_str().map(std::path::PathBuf::from);
    let directory = json["directory"].as_str().filter(|d| d.starts_with("https://"));
    let directory = directory.ok_or_else(|| fault("directory", "is missing, or not https"))?.to_owned();
    let names = texts("names")?;
    if names.is_empty() {
        return Err(fault("names", "holds no name"));
    }
    for key in ["trust_root", "store"] {
        if path(key).is_some_and(|p| !p.exists()) {
            return Err(fault(key, "does not exist"));
        }
    }
    let retry = [0, 1].map(|i| seconds("retry_s", &json["retry_s"][i], RETRY[i]));
    let [first, longest] = retry;
    Ok(Acme {
        directory,
        trust_root: path("trust_root"),
        names,
        contact: texts("contact")?,
        challenge_listen: address(json, "challenge_listen")
            .map_err(|_| fault("challenge_listen", "is no address"))?,
        store: path("store"),
        renew_before: seconds("renew_before_s", &json["renew_before_s"], RENEW_BEFORE)?,
        retry: [first?, longest?],
    })
}

fn known(place: &str, json: &Value, names: &[&str]) -> Result<(), String> {
    let map = json.as_object().ok_or_else(|| format!("operator's file: {place}: is no object"))?;
    match map.keys().find(|k| !names.contains(&k.as_str())) {
        Some(key) => Err(format!("operator's file: {place}{key}: is not known")),
        None => Ok(()),
    }
}

fn address(json: &Value, key: &str) -> Result<String, String> {
    let text = json[key].as_str().ok_or_else(|| format!("operator's file: {key}: missing"))?;
    let legal = text.parse::<std::net::SocketAddr>().is_ok();
    if legal {
        Ok(text.to_owned())
    } else {
        Err(format!("operator's file: {key}: {text:?} is no address"))
    }
}
