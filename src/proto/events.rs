//! The control feed's events: changes of the endpoint list, as JSON.

use serde::{Deserialize, Deserializer};
use serde_json::Value;
use thiserror::Error;

/// The highest number of an event. Above it JSON's numbers (IEEE 754 doubles) are not distinct.
pub const MAX_EVENT_NUMBER: u64 = (1 << 53) - 1;

/// Names of the fields of an event on the wire.
mod field {
    /// The event's number, counted from 1 since the feed's start.
    pub(super) const NUMBER: &str = "n";
    /// The change of the endpoint list; absent in events about something else.
    pub(super) const LIST: &str = "members";
    /// The endpoints of a list.
    pub(super) const LIST_ENDPOINTS: &str = "members";
    /// The revision of the list that the event leads to.
    pub(super) const LIST_REVISION: &str = "revision";
    /// Whether the event holds the complete list, not only changes.
    pub(super) const LIST_IS_COMPLETE: &str = "complete";
    /// An endpoint's id.
    pub(super) const ID: &str = "id";
    /// The address that an endpoint listens on: host and port.
    pub(super) const ADDRESS: &str = "host_port";
    /// Name of an endpoint's zone.
    pub(super) const ZONE: &str = "locality";
    /// Name of an endpoint's machine kind.
    pub(super) const MACHINE_KIND: &str = "flavor";
    /// Number of an endpoint's cell.
    pub(super) const CELL: &str = "cell";
    /// Phase of an endpoint.
    pub(super) const PHASE: &str = "phase";
    /// When an endpoint started, in Unix milliseconds, if that was late.
    pub(super) const UP_SINCE_MS: &str = "up_since_ms";
}

/// Values of the field [`field::PHASE`]; any other counts as ready.
mod phase {
    /// The endpoint completes the requests that it has.
    pub(super) const DRAINING: &str = "draining";
    /// The endpoint is removed.
    pub(super) const GONE: &str = "gone";
}

/// Why a text is not an event.
#[derive(Debug, Error)]
pub enum EventError {
    /// The text holds U+FFFD, which the decoder of the stream substitutes for bytes that are not UTF-8. A damaged
    /// id could name another engine.
    #[error("field data is not UTF-8")]
    NotUtf8,
    /// The text is not JSON; the parser's message is part of this one.
    #[error("field data is not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The event has no number.
    #[error("field n is missing or no number")]
    NoNumber,
    /// The event's number is above [`MAX_EVENT_NUMBER`].
    #[error("field n is no event's number")]
    NumberTooLarge,
    /// The list has no array of endpoints.
    #[error("field members is missing or no list")]
    NoEndpoints,
    /// An endpoint has no id.
    #[error("field id is missing")]
    NoId,
}

/// State of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It accepts requests.
    Ready,
    /// It completes the requests that it has.
    Draining,
    /// It is removed.
    Gone,
}

/// An engine of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its id. Addresses are reused, ids are not.
    pub id: String,
    /// The address that it listens on.
    pub address: String,
    /// Name of its zone.
    pub zone: String,
    /// Name of its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub phase: EndpointPhase,
    /// When it started, in Unix milliseconds, if that was late; else 0.
    pub up_since_ms: i64,
}

/// A numbered change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEvent {
    /// Its number, counted from 1 since the feed's start.
    pub n: u64,
    /// The revision of the list that it leads to; 0 if it has none.
    pub revision: u64,
    /// Whether it holds the complete list, not only changes.
    pub complete: bool,
    /// The endpoints.
    pub members: Vec<Endpoint>,
}

/// An event of the configuration; `None` for one about something else.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredEvent(pub Option<ListEvent>);

impl<'de> Deserialize<'de> for ConfiguredEvent {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ConfiguredEvent, D::Error> {
        let value = Value::deserialize(deserializer)?;
        decode(&value).map(ConfiguredEvent).map_err(serde::de::Error::custom)
    }
}

/// Decodes an event's text; `None` for an event about something else.
///
/// # Errors
/// Where the text is no event.
pub fn parse(text: &str) -> Result<Option<ListEvent>, EventError> {
    if text.contains(char::REPLACEMENT_CHARACTER) {
        return Err(EventError::NotUtf8);
    }
    let value: Value = serde_json::from_str(text).map_err(EventError::NotJson)?;
    decode(&value)
}

/// Decodes an event; `None` for one about something else.
///
/// # Errors
/// Where the value is no event.
pub fn decode(value: &Value) -> Result<Option<ListEvent>, EventError> {
    let n = value[field::NUMBER].as_u64().ok_or(EventError::NoNumber)?;
    if n > MAX_EVENT_NUMBER {
        return Err(EventError::NumberTooLarge);
    }
    let Some(list) = value.get(field::LIST) else { return Ok(None) };
    let rows = list[field::LIST_ENDPOINTS].as_array().ok_or(EventError::NoEndpoints)?;
    let members = rows.iter().map(decode_endpoint).collect::<Result<Vec<_>, _>>()?;
    Ok(Some(ListEvent {
        n,
        revision: list[field::LIST_REVISION].as_u64().unwrap_or(0),
        complete: list[field::LIST_IS_COMPLETE].as_bool().unwrap_or(false),
        members,
    }))
}

fn decode_endpoint(row: &Value) -> Result<Endpoint, EventError> {
    let text = |name: &str| row[name].as_str().unwrap_or("").to_owned();
    let id = text(field::ID);
    if id.is_empty() {
        return Err(EventError::NoId);
    }
    Ok(Endpoint {
        id,
        address: text(field::ADDRESS),
        zone: text(field::ZONE),
        kind: text(field::MACHINE_KIND),
        cell: row[field::CELL].as_u64().unwrap_or(0) as u32,
        phase: match row[field::PHASE].as_str() {
            Some(phase::DRAINING) => EndpointPhase::Draining,
            Some(phase::GONE) => EndpointPhase::Gone,
            // An endpoint of an unknown state is listed, and so it is used.
            _ => EndpointPhase::Ready,
        },
        up_since_ms: row[field::UP_SINCE_MS].as_i64().unwrap_or(0),
    })
}
