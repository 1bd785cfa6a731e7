//! The operator's file: it sets up the second front, which is off without it.

use crate::front::Setup;
use serde_json::Value;

/// Sessions at a time where the file does not say.
const SESSIONS: usize = 64;

/// What the file says.
#[derive(Debug)]
pub struct Operator {
    /// Where clients of the second front connect.
    pub listen: String,
    /// What that front is set up with.
    pub setup: Setup,
}

/// Names that the file may hold.
const NAMES: [&str; 4] = ["listen", "max_sessions", "default_class", "default_tenant"];

/// Reads an operator's file; `platform` is the set-up of the platform's front.
pub fn parse(text: &str, platform: &Setup) -> Result<Operator, String> {
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
    let most_sessions = match &json["max_sessions"] {
        Value::Null => SESSIONS,
        n => match n.as_u64() {
            Some(n @ 1..=256) => n as usize,
            _ => return Err("operator's file: max_sessions: is no number from 1 to 256".into()),
        },
    };
    let setup = Setup { most_sessions, extended: true, default_class, default_tenant, ..platform.clone() };
    Ok(Operator { listen, setup })
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
