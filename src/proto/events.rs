//! Decodes the control feed's events: changes of the endpoint list, as JSON.

use serde::{Deserialize, Deserializer};
use serde_json::Value;
use thiserror::Error;

/// Maximum number of an event. Above it, different integers can be the same JSON number (IEEE 754 double).
pub const MAX_EVENT_NUMBER: u64 = (1 << 53) - 1;

/// Names of the fields of an event on the wire.
mod field {
    /// The event's number, counted from 1 since the feed's start.
    pub(super) const NUMBER: &str = "n";
    /// The change of the endpoint list; absent from events of other kinds.
    pub(super) const LIST: &str = "members";
    /// The endpoints of a list.
    pub(super) const LIST_ENDPOINTS: &str = "members";
    /// Revision of the list after the event.
    pub(super) const LIST_REVISION: &str = "revision";
    /// Whether the event holds the complete list, not only changes.
    pub(super) const LIST_IS_COMPLETE: &str = "complete";
    /// An endpoint's id.
    pub(super) const ID: &str = "id";
    /// The address that an endpoint listens on: `host:port`.
    pub(super) const ADDRESS: &str = "host_port";
    /// Name of an endpoint's zone.
    pub(super) const ZONE: &str = "locality";
    /// Name of an endpoint's machine kind.
    pub(super) const MACHINE_KIND: &str = "flavor";
    /// Number of an endpoint's cell.
    pub(super) const CELL: &str = "cell";
    /// Phase of an endpoint: a value of [`super::phase`].
    pub(super) const PHASE: &str = "phase";
    /// Start time of an endpoint, in Unix milliseconds; absent if the endpoint did not start recently.
    pub(super) const UP_SINCE_MS: &str = "up_since_ms";
}

/// Values of the field [`field::PHASE`]; any other counts as ready.
mod phase {
    /// The endpoint completes its requests and accepts no others.
    pub(super) const DRAINING: &str = "draining";
    /// The endpoint is removed.
    pub(super) const GONE: &str = "gone";
}

/// Reason why a text is not an event.
#[derive(Debug, Error)]
pub enum EventError {
    /// The text holds U+FFFD, which the decoder of the stream substitutes for bytes that are not UTF-8. A
    /// damaged id could name another engine.
    #[error("field data is not UTF-8")]
    NotUtf8,
    /// The text is not JSON; the message of the JSON parser is included.
    #[error("field data is not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The event's number is missing or not a number.
    #[error("field n is missing or no number")]
    NoNumber,
    /// The event's number is above [`MAX_EVENT_NUMBER`].
    #[error("field n is above the maximum event number")]
    NumberTooLarge,
    /// The list has no array of endpoints.
    #[error("field members is missing or no list")]
    NoEndpoints,
    /// An endpoint has no id.
    #[error("field id is missing")]
    NoId,
}

/// Phase of an endpoint, which determines whether it gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint completes its requests and accepts no others.
    Draining,
    /// The endpoint is removed.
    Gone,
}

/// An engine of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Id of the engine. Ids are not reused; addresses are.
    pub id: String,
    /// The address that the engine listens on, `host:port`; empty if the event gives none.
    pub address: String,
    /// Name of the engine's zone; empty if the event gives none.
    pub zone: String,
    /// Name of the engine's machine kind; empty if the event gives none.
    pub machine_kind: String,
    /// Number of the engine's cell; 0 if the event gives none.
    pub cell: u32,
    /// Phase of the endpoint; an unknown phase counts as ready.
    pub phase: EndpointPhase,
    /// Start time of the engine, in Unix milliseconds; 0 if the engine did not start recently.
    pub up_since_ms: i64,
}

/// A numbered change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEvent {
    /// Number of the event, counted from 1 since the feed's start.
    pub number: u64,
    /// Revision of the list after the event; 0 if the event gives none.
    pub revision: u64,
    /// Whether the event holds the complete list, not only changes.
    pub is_complete: bool,
    /// The endpoints of the complete list, or those that changed.
    pub endpoints: Vec<Endpoint>,
}

/// An event of the control feed in the configuration; `None` if the event does not change the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredEvent(pub Option<ListEvent>);

impl<'de> Deserialize<'de> for ConfiguredEvent {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ConfiguredEvent, D::Error> {
        let value = Value::deserialize(deserializer)?;
        decode(&value).map(ConfiguredEvent).map_err(serde::de::Error::custom)
    }
}

/// Decodes an event's text; `None` if the event does not change the endpoint list.
///
/// # Errors
/// If the text is not an event.
pub fn parse(text: &str) -> Result<Option<ListEvent>, EventError> {
    if text.contains(char::REPLACEMENT_CHARACTER) {
        return Err(EventError::NotUtf8);
    }
    let value: Value = serde_json::from_str(text).map_err(EventError::NotJson)?;
    decode(&value)
}

/// Decodes an event from JSON; `None` if the event does not change the endpoint list.
///
/// # Errors
/// If the value is not an event.
pub fn decode(value: &Value) -> Result<Option<ListEvent>, EventError> {
    let number = value[field::NUMBER].as_u64().ok_or(EventError::NoNumber)?;
    if number > MAX_EVENT_NUMBER {
        return Err(EventError::NumberTooLarge);
    }
    let Some(list) = value.get(field::LIST) else { return Ok(None) };
    let entries = list[field::LIST_ENDPOINTS].as_array().ok_or(EventError::NoEndpoints)?;
    let endpoints = entries.iter().map(decode_endpoint).collect::<Result<Vec<_>, _>>()?;
    Ok(Some(ListEvent {
        number,
        revision: list[field::LIST_REVISION].as_u64().unwrap_or(0),
        is_complete: list[field::LIST_IS_COMPLETE].as_bool().unwrap_or(false),
        endpoints,
    }))
}

fn decode_endpoint(entry: &Value) -> Result<Endpoint, EventError> {
    let text = |name: &str| entry[name].as_str().unwrap_or("").to_owned();
    let id = text(field::ID);
    if id.is_empty() {
        return Err(EventError::NoId);
    }
    Ok(Endpoint {
        id,
        address: text(field::ADDRESS),
        zone: text(field::ZONE),
        machine_kind: text(field::MACHINE_KIND),
        cell: entry[field::CELL].as_u64().unwrap_or(0) as u32,
        phase: match entry[field::PHASE].as_str() {
            Some(phase::DRAINING) => EndpointPhase::Draining,
            Some(phase::GONE) => EndpointPhase::Gone,
            // An endpoint with an unknown phase is in the list, so it is used.
            _ => EndpointPhase::Ready,
        },
        up_since_ms: entry[field::UP_SINCE_MS].as_i64().unwrap_or(0),
    })
}
