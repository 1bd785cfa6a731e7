//! The control feed's events: changes to the list of engines, as JSON.

use super::Malformed;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// What the list says of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One engine of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its id: addresses are used again, ids are not.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// Its zone, by name.
    pub zone: String,
    /// Its machine kind, by name.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub phase: Phase,
    /// Unix milliseconds of a late start, or 0.
    pub up_since_ms: i64,
}

/// One numbered event.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEvent {
    /// Its number, from 1 at each start.
    pub n: u64,
    /// The revision of the list that it leads to; 0 where none is told.
    pub revision: u64,
    /// The whole list, or only what changed.
    pub complete: bool,
    /// The engines it names.
    pub members: Vec<Member>,
}

/// An event as it is told, `None` for one about something else: what the configuration holds a list of.
#[derive(Clone, Debug, PartialEq)]
pub struct Told(pub Option<ListEvent>);

impl<'de> Deserialize<'de> for Told {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Told, D::Error> {
        let value = Value::deserialize(d)?;
        decode(&value).map(Told).map_err(serde::de::Error::custom)
    }
}

/// The highest number of an event: above it JSON's numbers are no longer told apart, and no feed counts as far.
pub const MOST_N: u64 = (1 << 53) - 1;

/// Reads an event from its text.
///
/// # Errors
/// Where it is no event. So is one that holds U+FFFD, which the reader of a stream puts in the place of bytes that are
/// no UTF-8: a name that came spoilt would be another engine's.
pub fn parse(text: &str) -> Result<Option<ListEvent>, Malformed> {
    if text.contains(char::REPLACEMENT_CHARACTER) {
        return Err(Malformed::field("data", "is not UTF-8"));
    }
    let value: Value =
        serde_json::from_str(text).map_err(|e| Malformed(format!("field data is not JSON: {e}")))?;
    decode(&value)
}

/// Understands an event; `None` for one about something else.
pub fn decode(value: &Value) -> Result<Option<ListEvent>, Malformed> {
    let n = value["n"].as_u64().ok_or_else(|| Malformed::field("n", "is missing or no number"))?;
    if n > MOST_N {
        return Err(Malformed::field("n", "is no event's number"));
    }
    let Some(list) = value.get("members") else { return Ok(None) };
    let rows =
        list["members"].as_array().ok_or_else(|| Malformed::field("members", "is missing or no list"))?;
    let members = rows.iter().map(member).collect::<Result<Vec<_>, _>>()?;
    let (revision, complete) = (list["revision"].as_u64().unwrap_or(0), list["complete"].as_bool());
    Ok(Some(ListEvent { n, revision, complete: complete.unwrap_or(false), members }))
}

fn member(row: &Value) -> Result<Member, Malformed> {
    let text = |name: &str| row[name].as_str().unwrap_or("").to_owned();
    let id = text("id");
    if id.is_empty() {
        return Err(Malformed::field("id", "is missing"));
    }
    Ok(Member {
        id,
        address: text("host_port"),
        zone: text("locality"),
        kind: text("flavor"),
        cell: row["cell"].as_u64().unwrap_or(0) as u32,
        // A state word that is not known says that the engine is listed, no more.
        phase: match row["phase"].as_str() {
            Some("draining") => Phase::Draining,
            Some("gone") => Phase::Gone,
            _ => Phase::Ready,
        },
        up_since_ms: row["up_since_ms"].as_i64().unwrap_or(0),
    })
}
