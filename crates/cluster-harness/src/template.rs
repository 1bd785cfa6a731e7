//! Templates in a scenario's arguments, files and calls: `{name}`, `{number}`, `{group}`, `{zone}`,
//! `{folder}`, `{version}`, `{seed}`, `{clock_offset_ms}`, `{op}`, and for a port `{peers:PORT}`
//! (`n0=ADDRESS,n1=...`), `{peers_json:PORT}` (a list of `{name, address}`) and `{at:PORT:NAME}` (one
//! manager's address). Other text in braces is left as it is.
//!
//! In JSON values, a string that consists of `{number}`, `{seed}`, `{clock_offset_ms}` or `{peers_json:PORT}`
//! alone becomes a number, or the list.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use thiserror::Error;

/// Why a template cannot be filled.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TemplateError {
    /// The template or its port is unknown.
    #[error("unknown template {{{0}}}, or unknown port in it")]
    Unknown(String),
    /// The template is known, but has no value where it is used.
    #[error("the template {{{0}}} has no value here")]
    NoValue(String),
    /// The scenario declares no such port.
    #[error("unknown port {0:?}")]
    UnknownPort(String),
}

/// The values of a manager's templates.
#[derive(Clone, Debug, Default)]
pub struct Values {
    /// Values of the templates without arguments, by name.
    pub variables: BTreeMap<&'static str, String>,
    /// Names and addresses of all managers as this manager reaches them, by port.
    pub peers: BTreeMap<String, Vec<(String, String)>>,
}

/// Templates without arguments.
const VARIABLES: [&str; 9] =
    ["name", "number", "group", "zone", "folder", "version", "seed", "clock_offset_ms", "op"];
/// Templates that become numbers in a string that contains nothing else.
const NUMERIC_VARIABLES: [&str; 3] = ["number", "seed", "clock_offset_ms"];

/// Splits a text that begins with a template into the text between the braces and the text after them.
fn split_template(text: &str) -> Option<(&str, &str)> {
    let (inside, rest) = text.strip_prefix('{')?.split_once('}')?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "_:-.".contains(c);
    (inside.starts_with(|c: char| c.is_ascii_lowercase()) && inside.chars().all(is_allowed))
        .then_some((inside, rest))
}

/// Replaces every template by what `value_of` returns for the text between its braces.
fn replace(
    text: &str,
    mut value_of: impl FnMut(&str) -> Result<String, TemplateError>,
) -> Result<String, TemplateError> {
    let mut out = String::new();
    let mut rest = text;
    while let Some(start) = rest.find('{') {
        out.push_str(&rest[..start]);
        rest = &rest[start..];
        match split_template(rest) {
            Some((inside, after)) => {
                out.push_str(&value_of(inside)?);
                rest = after;
            }
            None => {
                out.push('{');
                rest = &rest[1..];
            }
        }
    }
    out.push_str(rest);
    Ok(out)
}

/// Checks that a text's templates and their ports are known; `is_port` returns whether the scenario declares
/// a port of a name.
///
/// # Errors
/// If a template is unknown or names an unknown port; the error has the first one.
pub fn check(text: &str, is_port: &impl Fn(&str) -> bool) -> Result<(), TemplateError> {
    let known = |inside: &str| {
        let mut parts = inside.split(':');
        match (parts.next(), parts.next(), parts.next(), parts.next()) {
            (Some(word), None, ..) => VARIABLES.contains(&word),
            (Some("peers" | "peers_json"), Some(port), None, _) => is_port(port),
            (Some("at"), Some(port), Some(_), None) => is_port(port),
            _ => false,
        }
    };
    let value_of = |inside: &str| match known(inside) {
        true => Ok(String::new()),
        false => Err(TemplateError::Unknown(inside.to_owned())),
    };
    replace(text, value_of).map(|_| ())
}

/// Checks every string in a JSON value as [`check`] does.
///
/// # Errors
/// If a template is unknown or names an unknown port; the error has the first one.
pub fn check_value(value: &Value, is_port: &impl Fn(&str) -> bool) -> Result<(), TemplateError> {
    match value {
        Value::String(text) => check(text, is_port),
        Value::Array(all) => all.iter().try_for_each(|v| check_value(v, is_port)),
        Value::Object(all) => all.values().try_for_each(|v| check_value(v, is_port)),
        _ => Ok(()),
    }
}

impl Values {
    fn value_of(&self, inside: &str) -> Result<String, TemplateError> {
        let value = || {
            if let Some(value) = self.variables.get(inside) {
                return Some(value.clone());
            }
            let (word, port) = inside.split_once(':')?;
            match (word, port.split_once(':')) {
                ("peers", _) => {
                    let all: Vec<String> =
                        self.peers.get(port)?.iter().map(|(n, a)| format!("{n}={a}")).collect();
                    Some(all.join(","))
                }
                ("peers_json", _) => Some(self.peers_json(port)?.to_string()),
                ("at", Some((port, name))) => {
                    Some(self.peers.get(port)?.iter().find(|(n, _)| n == name)?.1.clone())
                }
                _ => None,
            }
        };
        value().ok_or_else(|| TemplateError::NoValue(inside.to_owned()))
    }

    fn peers_json(&self, port: &str) -> Option<Value> {
        let all = self.peers.get(port)?;
        Some(all.iter().map(|(n, a)| json!({ "name": n, "address": a })).collect())
    }

    /// Replaces the templates in a text by their values.
    ///
    /// # Errors
    /// If a template has no value in this text; the error has the first one.
    pub fn fill(&self, text: &str) -> Result<String, TemplateError> {
        replace(text, |inside| self.value_of(inside))
    }

    /// Replaces the templates in all strings of a JSON value by their values.
    ///
    /// # Errors
    /// As for [`Values::fill`].
    pub fn fill_value(&self, value: &Value) -> Result<Value, TemplateError> {
        Ok(match value {
            Value::String(text) => match split_template(text) {
                Some((word, "")) if NUMERIC_VARIABLES.contains(&word) => {
                    let filled = self.value_of(word)?;
                    // A seed may exceed the range of i64.
                    let number = filled
                        .parse::<i64>()
                        .map(Value::from)
                        .or_else(|_| filled.parse::<u64>().map(Value::from));
                    number.unwrap_or(Value::String(filled))
                }
                Some((word, "")) if word.starts_with("peers_json:") => {
                    let port = word.trim_start_matches("peers_json:");
                    self.peers_json(port).ok_or_else(|| TemplateError::UnknownPort(port.to_owned()))?
                }
                _ => Value::String(self.fill(text)?),
            },
            Value::Array(all) => {
                Value::Array(all.iter().map(|v| self.fill_value(v)).collect::<Result<_, _>>()?)
            }
            Value::Object(all) => {
                let filled = all.iter().map(|(k, v)| Ok((k.clone(), self.fill_value(v)?)));
                Value::Object(filled.collect::<Result<_, TemplateError>>()?)
            }
            other => other.clone(),
        })
    }
}

#[cfg(test)]
mod tests;
